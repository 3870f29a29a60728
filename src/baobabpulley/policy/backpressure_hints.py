"""Hints of back-pressure: for how long upstreams asked other gateways for no requests.

At the peak of the load a third of a service's upstreams may refuse requests at the same moment.
Without hints each gateway would find out by a refused request of its own at each of them. With one,
it prefers the upstreams that asked nobody for a pause, as long as one of them has room.

A hint is no more than that. The upstream may have meant only the gateway that it refused, so one
whose requests find no room elsewhere sends there and gets its own answer. A hint therefore refuses
no request, counts as no failure, and isn't part of the time after which callers should retry.
"""

from __future__ import annotations

from typing import Final

# A shorter pause is almost over when the other gateways hear of it.
MIN_HINT_SECONDS: Final = 0.5
# Longer pauses are told again before this is over; the hint of a lost gateway soon ends.
MAX_HINT_SECONDS: Final = 30.0
# Pauses that end within this of each other aren't told twice.
HINT_TOLERANCE_SECONDS: Final = 1.0


def hint_seconds(left: float) -> float:
    """Return for how long a pause with ``left`` seconds to go is a hint; 0 if it is none.

    >>> [hint_seconds(left) for left in (0.3, 5.0, 300.0, float("inf"), float("nan"))]
    [0.0, 5.0, 30.0, 30.0, 0.0]
    """
    return min(left, MAX_HINT_SECONDS) if left >= MIN_HINT_SECONDS else 0.0


def is_covered(left: float, *, heard: float) -> bool:
    """Whether gateways that heard of ``heard`` seconds know of a pause of ``left`` seconds.

    >>> is_covered(20.0, heard=19.5), is_covered(20.0, heard=5.0), is_covered(200.0, heard=30.0)
    (True, False, True)
    """
    return heard > 0.0 and heard + HINT_TOLERANCE_SECONDS >= hint_seconds(left)
