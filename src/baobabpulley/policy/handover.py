"""When a keeper that has become the home of a key may grant.

What the home before it granted is known to the holders alone, so a new home waits for one expiry
time: by then each holder has renewed here or its grant has lapsed.
"""

from __future__ import annotations

from typing import final


@final
class Handover:
    """Which keys this keeper is taken for the home of. Times are model seconds."""

    __slots__ = ("_expiry", "_heard", "_until")

    def __init__(self, *, expiry: float) -> None:
        self._expiry = expiry
        self._heard: dict[str, float] = {}
        self._until: dict[str, float] = {}

    def hear(self, key: str, *, now: float) -> None:
        """Note that a holder takes this keeper for the key's home."""
        if not self.is_home(key, now=now):
            self._until[key] = now + self._expiry
        self._heard[key] = now

    def is_home(self, key: str, *, now: float) -> bool:
        """Whether any holder has taken this keeper for the key's home of late."""
        heard = self._heard.get(key)
        return heard is not None and now - heard <= self._expiry

    def remaining(self, key: str, *, now: float) -> float:
        """Return the seconds until this keeper may grant, 0 once it may.

        >>> handover = Handover(expiry=4.0)
        >>> handover.hear("engine-1", now=10.0)
        >>> handover.remaining("engine-1", now=11.0)
        3.0
        """
        return max(0.0, self._until.get(key, now + self._expiry) - now)
