"""Share the requests that a cold upstream bears among the gateways.

The load is that of 82 gateways which meet one upstream that has just started and crashes far above
14 requests per second: one request of each would be too many. The gateways ranked first for the
upstream may send to it, each at its own pace, so that nothing has to be agreed on.

While member lists differ, as in a partition or when a gateway is added, two sets of gateways may
be permitted at once. Each set therefore gets at most half of the bound that the deployment allows.
"""

from __future__ import annotations

import math
from typing import Final

import msgspec

from baobabpulley.policy.rendezvous import ranked

# Number of different member lists that gateways may go by at the same time.
CONCURRENT_MEMBER_LISTS: Final = 2
# A second, and how much closer two requests may arrive than they were begun: connections that have
# to be opened take longer than those in use.
WINDOW_SECONDS: Final = 1.05


class ColdLimit(msgspec.Struct, frozen=True):
    """Limit on the requests per second that all gateways together send to a cold upstream.

    ``rate`` applies while all gateways know the same members, ``bound`` at any time.
    """

    rate: float
    bound: float

    @property
    def rate_of_list(self) -> float:
        """Requests per second of the gateways that are permitted by one member list."""
        return min(self.rate, self.bound / CONCURRENT_MEMBER_LISTS)


class SendSchedule(msgspec.Struct, frozen=True):
    """When a permitted gateway may send to a cold upstream.

    ``interval`` is the minimum number of seconds between two of its requests. ``offset`` is how
    long it waits after the upstream turned cold, so that the gateways don't all send at once.
    """

    interval: float
    offset: float


def schedule_of(
    node: str, *, upstream: str, members: frozenset[str], limit: ColdLimit
) -> SendSchedule | None:
    """Return the send schedule of a gateway, or ``None`` if it isn't permitted.

    The whole requests per second are divided among the gateways ranked first; the first of them get
    those that remain.

    >>> limit = ColdLimit(rate=2.0, bound=4.0)
    >>> schedule_of("front-1", upstream="i-1", members=frozenset({"front-1"}), limit=limit)
    SendSchedule(interval=0.525, offset=0.0)
    >>> schedule_of("front-1", upstream="i-1", members=frozenset(), limit=limit) is None
    True
    """
    rate = limit.rate_of_list
    if rate <= 0:
        return None
    requests = max(1, math.floor(rate))
    permitted = ranked(upstream, members)[:requests]
    if node not in permitted:
        return None
    rank = permitted.index(node)
    share, rest = divmod(requests, len(permitted))
    window = WINDOW_SECONDS * max(1.0, 1.0 / rate)
    return SendSchedule(
        interval=window / (share + (rank < rest)),
        offset=window * rank / requests,
    )
