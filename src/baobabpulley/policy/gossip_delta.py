"""Which of a gateway's loads its peers have to be told now.

Load pattern: a gateway tells its peers ten times a second, and most of its loads are as they were
told before. What changed is told twice, since one datagram may be lost; the rest now and then, so
that a peer that missed both, or has just started, is wrong for a moment only.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final
from typing import final

from baobabpulley.policy.fleet_load import LoadShare

# How often a change is told, in successive tellings.
TRANSMISSIONS_PER_CHANGE: Final = 2
# Seconds after which a load is told although it has not changed; one of these may be lost before
# peers count it no more.
REFRESH_SECONDS: Final = 0.6
# Seconds by which a backlog may differ from what peers make of the one told.
BACKLOG_TOLERANCE_SECONDS: Final = 0.01
# Loads in one telling, which then stays within one packet of the usual size.
MAX_SHARES: Final = 36


@final
class _Entry:
    """A load as it is, as it was last told, and how many more tellings it is due."""

    __slots__ = ("at", "due", "share", "told")

    def __init__(self, share: LoadShare) -> None:
        self.share = share
        self.told: LoadShare | None = None
        self.at = 0.0
        self.due = TRANSMISSIONS_PER_CHANGE

    @property
    def is_over(self) -> bool:
        """Whether there is nothing left to tell of it."""
        return self.share.is_empty and (self.told is None or not self.due)

    def note(self, share: LoadShare, *, now: float) -> None:
        """Take over the load as it is now."""
        self.share = share
        if self.told is None:
            return
        if _differs(share, self.told, seconds=now - self.at):
            self.due = TRANSMISSIONS_PER_CHANGE
        elif now - self.at >= REFRESH_SECONDS:
            self.due = max(1, self.due)

    def tell(self, now: float) -> LoadShare:
        """Count a telling."""
        self.told = self.share
        self.at = now
        self.due -= 1
        return self.share


@final
class GossipDelta:
    """What was told of this gateway's loads; ``now`` is in seconds."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def take_due(self, shares: Iterable[LoadShare], *, now: float) -> tuple[LoadShare, ...]:
        """Return the loads to tell now, the largest first; an ended one is told as nothing."""
        current = {share.upstream: share for share in shares}
        for id in self._entries:
            current.setdefault(id, LoadShare.empty(id))
        for id, share in current.items():
            entry = self._entries.setdefault(id, _Entry(share))
            entry.note(share, now=now)
        due = [entry for entry in self._entries.values() if entry.due and not entry.is_over]
        due.sort(key=lambda entry: entry.share.weight, reverse=True)
        told = tuple(entry.tell(now) for entry in due[:MAX_SHARES])
        self._entries = {id: entry for id, entry in self._entries.items() if not entry.is_over}
        return told


def _differs(share: LoadShare, told: LoadShare, *, seconds: float) -> bool:
    """Whether a load is other than what peers make of it, ``seconds`` after they were told."""
    expected = max(0.0, told.backlog - seconds)
    if abs(share.backlog - expected) > BACKLOG_TOLERANCE_SECONDS:
        return True
    return (share.in_flight, share.writing, share.helping, share.memory_tokens) != (
        told.in_flight,
        told.writing,
        told.helping,
        told.memory_tokens,
    )
