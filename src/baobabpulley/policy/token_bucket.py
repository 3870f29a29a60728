"""A token bucket: at most ``rate`` units a second in the long run, ``burst`` at once."""

from __future__ import annotations

from typing import final


@final
class TokenBucket:
    """Start empty, fill with time.

    >>> bucket = TokenBucket(rate=2.0, burst=1.0, now=0.0)
    >>> bucket.take(now=0.0), bucket.take(now=0.5), bucket.take(now=0.6)
    (False, True, False)
    """

    __slots__ = ("_at", "_burst", "_rate", "_tokens")

    def __init__(self, *, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._at = now
        self._tokens = 0.0

    def take(self, *, now: float, units: float = 1.0) -> bool:
        """Take units if there are enough; ``now`` is in model seconds."""
        self._tokens = min(self._burst, self._tokens + (now - self._at) * self._rate)
        self._at = now
        if self._tokens < units:
            return False
        self._tokens -= units
        return True
