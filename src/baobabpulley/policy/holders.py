"""Which holders of engine memory are live, judged by the messages that one keeper receives."""

from __future__ import annotations

from typing import Final
from typing import final

RETENTION_SECONDS: Final = 60.0


@final
class Holders:
    """The time of each holder's last message. Times are model seconds.

    >>> holders = Holders(expiry=4.0)
    >>> holders.renew("entry-0", now=10.0)
    >>> holders.is_live("entry-0", now=14.0), holders.is_live("entry-0", now=14.5)
    (True, False)
    >>> holders.last_expiry(now=14.5)
    14.0
    """

    __slots__ = ("_expiry", "_last_expiry", "_renewed_at")

    def __init__(self, *, expiry: float) -> None:
        self._expiry = expiry
        self._renewed_at: dict[str, float] = {}
        self._last_expiry = float("-inf")

    def renew(self, holder: str, *, now: float) -> None:
        """Record a message of a holder, which is live for one expiry time from now."""
        self._renewed_at[holder] = now

    def is_live(self, holder: str, *, now: float) -> bool:
        """Whether a holder has sent a message within one expiry time."""
        renewed_at = self._renewed_at.get(holder)
        return renewed_at is not None and now - renewed_at <= self._expiry

    def live_count(self, *, now: float) -> int:
        """Return how many holders are live."""
        return sum(
            1 for renewed_at in self._renewed_at.values() if now - renewed_at <= self._expiry
        )

    def last_expiry(self, *, now: float) -> float:
        """Return when a holder last expired, or minus infinity if none has.

        Holders whose last message is older than `RETENTION_SECONDS` are removed.
        """
        for holder, renewed_at in tuple(self._renewed_at.items()):
            if now - renewed_at > self._expiry:
                self._last_expiry = max(self._last_expiry, renewed_at + self._expiry)
            if now - renewed_at > RETENTION_SECONDS:
                del self._renewed_at[holder]
        return self._last_expiry

    def allow_for_pause(self, seconds: float, *, now: float) -> None:
        """Exclude ``seconds``, in which this process was paused, from the age of every message."""
        for holder, renewed_at in self._renewed_at.items():
            self._renewed_at[holder] = min(renewed_at + seconds, now)
