"""Select the loads that a gateway includes in its next gossip message.

A gateway gossips ten times a second, and most of its loads are unchanged since the last message. A
changed load is sent twice, since one datagram may be lost. Unchanged loads are refreshed at a
longer interval, so that a peer that missed both datagrams, or has just started, soon catches up.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final
from typing import final

from baobabpulley.policy.fleet_load import LoadShare

# A changed load is sent in this many successive messages.
TRANSMISSIONS_PER_CHANGE: Final = 2
# Unchanged loads are sent again after this interval. It is short enough that one refresh may be
# lost before peers expire the load after `MAX_GOSSIP_AGE_SECONDS`.
REFRESH_SECONDS: Final = 0.6
# A backlog counts as changed if it differs by more than this from what peers extrapolate.
BACKLOG_TOLERANCE_SECONDS: Final = 0.01
# Keeps a gossip message within one packet of the usual size.
MAX_SHARES: Final = 36


@final
class _ShareState:
    """A load as it is now and as last published, and the number of transmissions still due."""

    __slots__ = ("published", "published_at", "share", "transmissions_due")

    def __init__(self, share: LoadShare) -> None:
        self.share = share
        self.published: LoadShare | None = None
        self.published_at = 0.0
        self.transmissions_due = TRANSMISSIONS_PER_CHANGE

    @property
    def is_finished(self) -> bool:
        """Whether the load has ended, and was never published or has no transmission due."""
        return self.share.is_empty and (self.published is None or not self.transmissions_due)

    def update(self, share: LoadShare, *, now: float) -> None:
        """Set the current load, and schedule transmissions if it changed or is due a refresh."""
        self.share = share
        if self.published is None:
            return
        if _differs(share, self.published, seconds=now - self.published_at):
            self.transmissions_due = TRANSMISSIONS_PER_CHANGE
        elif now - self.published_at >= REFRESH_SECONDS:
            self.transmissions_due = max(1, self.transmissions_due)

    def publish(self, now: float) -> LoadShare:
        """Record a transmission of the current load and return the load."""
        self.published = self.share
        self.published_at = now
        self.transmissions_due -= 1
        return self.share


@final
class GossipDelta:
    """Track what was published of this gateway's loads; ``now`` is in seconds."""

    __slots__ = ("_states",)

    def __init__(self) -> None:
        self._states: dict[str, _ShareState] = {}

    def take_due(self, shares: Iterable[LoadShare], *, now: float) -> tuple[LoadShare, ...]:
        """Return the loads to send now, the largest first, and record their transmission.

        A load that has ended is sent as an empty share.
        """
        current = {share.upstream: share for share in shares}
        for id in self._states:
            current.setdefault(id, LoadShare.empty(id))
        for id, share in current.items():
            state = self._states.setdefault(id, _ShareState(share))
            state.update(share, now=now)
        due = [
            state
            for state in self._states.values()
            if state.transmissions_due and not state.is_finished
        ]
        due.sort(key=lambda state: state.share.weight, reverse=True)
        batch = tuple(state.publish(now) for state in due[:MAX_SHARES])
        self._states = {id: state for id, state in self._states.items() if not state.is_finished}
        return batch


def _differs(share: LoadShare, published: LoadShare, *, seconds: float) -> bool:
    """Whether a load differs from what peers extrapolate ``seconds`` after it was published."""
    expected = max(0.0, published.backlog - seconds)
    if abs(share.backlog - expected) > BACKLOG_TOLERANCE_SECONDS:
        return True
    return (share.in_flight, share.decoding, share.helping, share.memory_tokens) != (
        published.in_flight,
        published.decoding,
        published.helping,
        published.memory_tokens,
    )
