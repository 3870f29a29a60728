"""The latest changes of the store that a gateway has applied, for gateways that follow it."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Final
from typing import final

from baobabpulley.model.documents import StoredEntry

# Enough for the registrations of a large fleet; a peer that lacks more gets a snapshot.
MAX_CHANGES: Final = 512


@final
class ChangeLog:
    """All changes after a start revision, in the order of their revisions.

    A change without a value is a removal.
    """

    __slots__ = ("_changes", "_start")

    def __init__(self) -> None:
        self._changes: deque[StoredEntry] = deque()
        self._start: int | None = None

    def restart(self, revision: int) -> None:
        """Forget all changes; the log then begins after ``revision``."""
        self._changes.clear()
        self._start = revision

    def append(self, entries: Iterable[StoredEntry], *, above: int) -> None:
        """Add changes whose revision is above that of the changes already applied."""
        if self._start is None:
            return
        self._changes.extend(entry for entry in entries if entry.mod_revision > above)
        while len(self._changes) > MAX_CHANGES:
            self._start = self._changes.popleft().mod_revision

    def since(self, revision: int) -> tuple[StoredEntry, ...] | None:
        """Return the changes after a revision, or ``None`` if the log begins later."""
        if self._start is None or revision < self._start:
            return None
        return tuple(entry for entry in self._changes if entry.mod_revision > revision)
