"""A token bucket: at most ``rate`` units per second on average, and ``burst`` units at once."""

from __future__ import annotations

from typing import final


@final
class TokenBucket:
    """A bucket that starts empty and fills at ``rate`` up to ``burst``.

    >>> bucket = TokenBucket(rate=2.0, burst=1.0, now=0.0)
    >>> bucket.take(now=0.0), bucket.take(now=0.5), bucket.take(now=0.6)
    (False, True, False)
    """

    __slots__ = ("_burst", "_rate", "_tokens", "_updated_at")

    def __init__(self, *, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._updated_at = now
        self._tokens = 0.0

    def take(self, *, now: float, units: float = 1.0) -> bool:
        """Consume ``units`` if the bucket holds at least as many; return whether it did.

        ``now`` is in model seconds.
        """
        self._tokens = min(self._burst, self._tokens + (now - self._updated_at) * self._rate)
        self._updated_at = now
        if self._tokens < units:
            return False
        self._tokens -= units
        return True
