"""The base class of the system's errors, exit codes, and the lookup of errors by code."""

from __future__ import annotations

import functools
from typing import ClassVar
from typing import Final

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_BAD_SETTINGS: Final = 2


class BaobabError(Exception):
    """Base class of all errors that the system raises deliberately."""

    code: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    ran: ClassVar[bool | None] = None
    default_remedy: ClassVar[str] = "Report this with the request id; it is a bug in the system."

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
        """The suggested next step for the caller or operator."""
        return self._remedy

    @property
    def retry_after(self) -> float | None:
        """Seconds to wait before a retry, or ``None`` if there is no estimate."""
        return self._retry_after

    def document(self) -> dict[str, dict[str, object]]:
        """Return the error as the JSON document that is sent to callers and operators.

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
    """Return every error class by its code.

    >>> errors_by_code()["bad_token"].status
    401
    """
    errors: dict[str, type[BaobabError]] = {}
    pending = [BaobabError]
    while pending:
        error = pending.pop()
        errors[error.code] = error
        pending += error.__subclasses__()
    return errors
