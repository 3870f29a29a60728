"""Split a keeper's control bandwidth among heartbeats, load reports and the relay to peers."""

from __future__ import annotations

from typing import Final

import msgspec

# A heartbeat without loads.
HEARTBEAT_BYTES: Final = 150
# A load report on an engine's event stream.
REPORT_BYTES: Final = 340
# Sent by one keeper; with more peers, the heartbeat period is lengthened to stay within it.
MAX_HEARTBEATS_PER_SECOND: Final = 10


class ControlShare(msgspec.Struct, frozen=True):
    """Rates that keep a keeper's control traffic within its budget.

    ``period`` is the interval between two heartbeats of a pair of keepers in model seconds,
    ``reports`` the load reports per second that all engines of a keeper may send together, and
    ``relay_bytes`` the bytes per second that the keeper may relay to all peers together.
    """

    period: float
    reports: float
    relay_bytes: int


def share_budget(*, budget: int, peers: int, period: float) -> ControlShare:
    """Split ``budget`` bytes per second.

    Without peers, all of it is for load reports. With peers, half of what heartbeats leave over
    is for load reports, and a quarter each for outgoing and incoming relay traffic, which are
    assumed to be equal.

    >>> share_budget(budget=6_800, peers=0, period=1.0)
    ControlShare(period=1.0, reports=20.0, relay_bytes=0)
    >>> share_budget(budget=6_400, peers=16, period=1.0)
    ControlShare(period=1.6, reports=5.0, relay_bytes=850)
    """
    heartbeat_period = max(period, peers / MAX_HEARTBEATS_PER_SECOND)
    # Each pair exchanges one heartbeat each way per period: one sent and one received.
    heartbeat_bytes = 2 * HEARTBEAT_BYTES * peers / heartbeat_period
    remaining = max(0.0, budget - heartbeat_bytes)
    if not peers:
        return ControlShare(
            period=heartbeat_period, reports=remaining / REPORT_BYTES, relay_bytes=0
        )
    return ControlShare(
        period=heartbeat_period,
        reports=remaining / 2 / REPORT_BYTES,
        relay_bytes=int(remaining / 4),
    )
