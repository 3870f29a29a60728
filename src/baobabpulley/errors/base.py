"""What all errors of the system have in common."""

from __future__ import annotations

import functools
from typing import ClassVar
from typing import Final

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_BAD_SETTINGS: Final = 2


class BaobabError(Exception):
    """Base of all errors that the system raises on purpose."""

    code: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    ran: ClassVar[bool | None] = None
    default_remedy: ClassVar[str] = "Report this with the request id; it is a fault of the system."

    def __init__(
        self, message: str, *, remedy: str | None = None, retry_after: float | None = None
    ) -> None:
        super().__init__(message)
        self._remedy = remedy or self.default_remedy
        self._retry_after = retry_after

    @property
    def message(self) -> str:
        """What went wrong, in one sentence."""
        return str(self.args[0])

    @property
    def remedy(self) -> str:
        """What the reader can do next."""
        return self._remedy

    @property
    def retry_after(self) -> float | None:
        """Seconds after which a repeat makes sense, or ``None``."""
        return self._retry_after

    def document(self) -> dict[str, dict[str, object]]:
        """Return the JSON document that callers and operators get.

        >>> from baobabpulley.errors import BadRequest
        >>> BadRequest("max_tokens is -1").document()["error"]["ran"]
        False
        """
        return {
            "error": {
                "code": self.code,
                "message": self.message,
                "ran": self.ran,
                "remedy": self.remedy,
            }
        }


@functools.cache
def errors_by_code() -> dict[str, type[BaobabError]]:
    """Return every kind of error by its code.

    >>> errors_by_code()["bad_token"].status
    401
    """
    found: dict[str, type[BaobabError]] = {}
    waiting = [BaobabError]
    while waiting:
        kind = waiting.pop()
        found[kind.code] = kind
        waiting += kind.__subclasses__()
    return found
