"""Which entries of a store that came back from a copy are known to be out of date.

Load pattern: upstreams leave all day, and a copy that is some seconds old lists those that left
since. Nobody removes them a second time before they have missed a few heartbeats, and until then
each of them would get its share of the requests.
"""

from __future__ import annotations

from typing import Final
from typing import final

import msgspec

from baobabpulley.model.revisions import era_of

# Longer than the age of a copy from which a store comes back.
REMEMBERED_SECONDS: Final = 60.0


class _Removal(msgspec.Struct, frozen=True):
    era: int
    at: float


@final
class OutdatedEntries:
    """Keys that were removed lately, and entries of a copy that are withheld for that.

    ``now`` is in seconds of the monotonic clock, revisions are ordered ones.
    """

    __slots__ = ("_removals", "_withheld")

    def __init__(self) -> None:
        # In the order of the removals.
        self._removals: dict[str, _Removal] = {}
        # By key, the latest revision at which its entry is out of date.
        self._withheld: dict[str, int] = {}

    def record_removal(self, key: str, *, revision: int, now: float) -> None:
        """Record that a key was removed from the store at a revision."""
        self._withheld.pop(key, None)
        self._removals.pop(key, None)
        self._removals[key] = _Removal(era_of(revision), now)
        for other, removal in tuple(self._removals.items()):
            if now - removal.at <= REMEMBERED_SECONDS:
                break
            del self._removals[other]

    def record_entry(self, key: str) -> None:
        """Record that a key has an entry that is up to date."""
        self._removals.pop(key, None)
        self._withheld.pop(key, None)

    def was_removed(self, key: str, *, before: int, now: float) -> bool:
        """Whether a key was removed lately, in an era before a revision, with no entry since."""
        removal = self._removals.get(key)
        if removal is None or removal.era >= era_of(before):
            return False
        return now - removal.at <= REMEMBERED_SECONDS

    def withhold(self, key: str, *, revision: int) -> None:
        """Record that the entry of a key is out of date up to a revision.

        Another one of the same era was written later, so it is up to date.
        """
        if era_of(self._withheld.get(key, -1)) < era_of(revision):
            self._withheld[key] = revision

    def is_withheld(self, key: str, *, revision: int) -> bool:
        """Whether an entry of that revision is out of date."""
        return revision <= self._withheld.get(key, -1)
