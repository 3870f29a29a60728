"""How a keeper's bytes for control are shared among heartbeats, load reports and the relay."""

from __future__ import annotations

from typing import Final

import msgspec

# One heartbeat without loads, and one load report on an engine's event stream.
HEARTBEAT_BYTES: Final = 150
REPORT_BYTES: Final = 340
MAX_HEARTBEATS_PER_SECOND: Final = 10


class ControlShare(msgspec.Struct, frozen=True):
    """``period`` is the model seconds between two heartbeats of a pair of keepers.

    ``reports`` is the number of load reports that all engines of a keeper may send in a second,
    and ``relay_bytes`` what goes out to all peers in a second.
    """

    period: float
    reports: float
    relay_bytes: int


def share_budget(*, budget: int, peers: int, period: float) -> ControlShare:
    """Share ``budget`` bytes a second; what peers relay comes in at the rate at which it goes out.

    >>> share_budget(budget=6_800, peers=0, period=1.0)
    ControlShare(period=1.0, reports=20.0, relay_bytes=0)
    >>> share_budget(budget=6_400, peers=16, period=1.0)
    ControlShare(period=1.6, reports=5.0, relay_bytes=850)
    """
    stretched = max(period, peers / MAX_HEARTBEATS_PER_SECOND)
    # A pair exchanges one heartbeat each way in a period, so each keeper gets and sends one.
    heartbeats = 2 * HEARTBEAT_BYTES * peers / stretched
    rest = max(0.0, budget - heartbeats)
    if not peers:
        return ControlShare(period=stretched, reports=rest / REPORT_BYTES, relay_bytes=0)
    return ControlShare(
        period=stretched, reports=rest / 2 / REPORT_BYTES, relay_bytes=int(rest / 4)
    )
