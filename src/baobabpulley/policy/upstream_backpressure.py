"""Back-pressure: windows in which an upstream asked for no requests.

At the peak of the load a third of a service's upstreams may refuse requests at the same moment,
each with the time for which it wants none. Sending on, or probing, would prolong their overload;
counting the refusals as failures would keep sound upstreams from work for longer than they asked
for. Each therefore gets nothing for as long as it asked, and its full share after that. What
already runs there, reservations of its memory included, goes on.

The time is bounded, as a faulty upstream may ask for any.
"""

from __future__ import annotations

import math
from typing import Final
from typing import final

MIN_BACKPRESSURE_SECONDS: Final = 0.1
MAX_BACKPRESSURE_SECONDS: Final = 300.0
# Applies if the requested time can't be read.
UNREADABLE_BACKPRESSURE_SECONDS: Final = 1.0

_NONE: Final[frozenset[str]] = frozenset()


def backpressure_seconds(asked: float) -> float:
    """Return for how long an upstream gets nothing that asked for ``asked`` seconds.

    >>> backpressure_seconds(3.0), backpressure_seconds(1e9), backpressure_seconds(math.nan)
    (3.0, 300.0, 1.0)
    """
    if math.isnan(asked):
        return UNREADABLE_BACKPRESSURE_SECONDS
    return min(MAX_BACKPRESSURE_SECONDS, max(MIN_BACKPRESSURE_SECONDS, asked))


@final
class BackpressureWindows:
    """The upstreams that asked for no requests; ``now`` is in seconds of the monotonic clock."""

    __slots__ = ("_ends",)

    def __init__(self) -> None:
        self._ends: dict[str, float] = {}

    def record(self, upstream: str, *, seconds: float, now: float) -> bool:
        """Record a request for a pause of ``seconds``; return whether there was none before."""
        is_first = self.seconds_left(upstream, now=now) == 0.0
        self._ends[upstream] = max(self._ends.get(upstream, 0.0), now + seconds)
        return is_first

    def seconds_left(self, upstream: str, *, now: float) -> float:
        """Return for how many seconds an upstream gets nothing yet; 0 if it gets requests."""
        return max(0.0, self._ends.get(upstream, now) - now)

    def upstreams(self, *, now: float) -> frozenset[str]:
        """Return the ids of the upstreams that get nothing now."""
        if not self._ends:
            return _NONE
        for upstream in [upstream for upstream, end in self._ends.items() if end <= now]:
            del self._ends[upstream]
        return frozenset(self._ends)

    def forget(self, upstream: str) -> None:
        """Drop the window of an upstream that was removed."""
        self._ends.pop(upstream, None)
