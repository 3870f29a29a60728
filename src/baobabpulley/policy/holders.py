"""Which holders of engine memory are live, as one keeper hears them."""

from __future__ import annotations

from typing import Final
from typing import final

FORGET_SECONDS: Final = 60.0


@final
class Holders:
    """When each holder was last heard. Times are model seconds.

    >>> holders = Holders(expiry=4.0)
    >>> holders.renew("entry-0", now=10.0)
    >>> holders.is_live("entry-0", now=14.0), holders.is_live("entry-0", now=14.5)
    (True, False)
    >>> holders.last_expiry(now=14.5)
    14.0
    """

    __slots__ = ("_expiry", "_heard", "_last_lapse")

    def __init__(self, *, expiry: float) -> None:
        self._expiry = expiry
        self._heard: dict[str, float] = {}
        self._last_lapse = float("-inf")

    def renew(self, holder: str, *, now: float) -> None:
        """Note that a holder is live."""
        self._heard[holder] = now

    def is_live(self, holder: str, *, now: float) -> bool:
        """Whether a holder has been heard within one expiry time."""
        heard = self._heard.get(holder)
        return heard is not None and now - heard <= self._expiry

    def live_count(self, *, now: float) -> int:
        """Return how many holders are live."""
        return sum(1 for heard in self._heard.values() if now - heard <= self._expiry)

    def last_expiry(self, *, now: float) -> float:
        """Return when the last holder lapsed so far, minus infinity if none has."""
        for holder, heard in tuple(self._heard.items()):
            if now - heard > self._expiry:
                self._last_lapse = max(self._last_lapse, heard + self._expiry)
            if now - heard > FORGET_SECONDS:
                del self._heard[holder]
        return self._last_lapse

    def allow_for_pause(self, seconds: float, *, now: float) -> None:
        """Leave out of every count the time in which this process heard nobody."""
        for holder, heard in self._heard.items():
            self._heard[holder] = min(heard + seconds, now)
