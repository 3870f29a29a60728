"""The latest changes of the store that a gateway has applied, for gateways that follow it."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Final
from typing import final

from baobabpulley.model.documents import StoredEntry

# Enough for the registrations of a large fleet; a peer that lacks more gets a snapshot.
MAX_CHANGES: Final = 512
# A configuration may have a megabyte, and each change of it is a whole one.
MAX_CHANGE_BYTES: Final = 8 * 1024 * 1024


@final
class ChangeLog:
    """All changes after a start revision, in the order of their revisions.

    A change without a value is a removal.
    """

    __slots__ = ("_changes", "_size", "_start")

    def __init__(self) -> None:
        self._changes: deque[StoredEntry] = deque()
        self._size = 0
        self._start: int | None = None

    @property
    def size(self) -> int:
        """Bytes of the values in the log."""
        return self._size

    def restart(self, revision: int) -> None:
        """Forget all changes; the log then begins after ``revision``."""
        self._changes.clear()
        self._size = 0
        self._start = revision

    def append(self, entries: Iterable[StoredEntry], *, above: int) -> None:
        """Add changes whose revision is above that of the changes already applied."""
        if self._start is None:
            return
        new = [entry for entry in entries if entry.mod_revision > above]
        self._changes.extend(new)
        self._size += sum(map(_value_bytes, new))
        while len(self._changes) > MAX_CHANGES or self._size > MAX_CHANGE_BYTES:
            oldest = self._changes.popleft()
            self._size -= _value_bytes(oldest)
            self._start = oldest.mod_revision

    def since(self, revision: int) -> tuple[StoredEntry, ...] | None:
        """Return the changes after a revision, or ``None`` if the log begins later."""
        if self._start is None or revision < self._start:
            return None
        return tuple(entry for entry in self._changes if entry.mod_revision > revision)


def _value_bytes(entry: StoredEntry) -> int:
    return len(entry.value or b"")
