"""Which entries of a store that came back from a copy are known to be out of date.

Load pattern: upstreams leave all day, and a copy that is some seconds old lists those that left
since. Nobody removes them a second time before they have missed a few heartbeats, and until then
each of them would get its share of the requests.
"""

from __future__ import annotations

from typing import Final
from typing import final

# Longer than the age of a copy from which a store comes back.
REMEMBERED_SECONDS: Final = 60.0


@final
class OutdatedEntries:
    """Keys that were removed lately, and entries of a copy that are withheld for that.

    ``now`` is in seconds of the monotonic clock, revisions are ordered ones.
    """

    __slots__ = ("_removed_at", "_withheld")

    def __init__(self) -> None:
        # In the order of the removals.
        self._removed_at: dict[str, float] = {}
        # By key, the latest revision at which its entry is out of date.
        self._withheld: dict[str, int] = {}

    def record_removal(self, key: str, *, now: float) -> None:
        """Record that a key was removed from the store."""
        self._withheld.pop(key, None)
        self._removed_at.pop(key, None)
        self._removed_at[key] = now
        for other, removed_at in tuple(self._removed_at.items()):
            if now - removed_at <= REMEMBERED_SECONDS:
                break
            del self._removed_at[other]

    def record_entry(self, key: str) -> None:
        """Record that a key has an entry that is up to date."""
        self._removed_at.pop(key, None)
        self._withheld.pop(key, None)

    def was_removed(self, key: str, *, now: float) -> bool:
        """Whether a key was removed lately and has had no entry since."""
        removed_at = self._removed_at.get(key)
        return removed_at is not None and now - removed_at <= REMEMBERED_SECONDS

    def withhold(self, key: str, *, revision: int) -> None:
        """Record that the entry of a key is out of date up to a revision."""
        self._withheld[key] = revision

    def is_withheld(self, key: str, *, revision: int) -> bool:
        """Whether an entry of that revision is out of date."""
        return revision <= self._withheld.get(key, -1)
