"""How long ago the store last confirmed what a gateway knows.

Load pattern: changes are rare, and most watch calls end without one. Silence means that nothing has
changed, or that nothing is heard; only the age of the last confirmation tells which.
"""

from __future__ import annotations

import math
from typing import final


@final
class StoreConfirmation:
    """The last time as of which all changes that the store had accepted are known.

    The store confirms it to this gateway, or to one whose changes this gateway applies. Times are
    seconds of a clock that runs on while the machine is suspended.
    """

    __slots__ = ("_confirmed_at",)

    def __init__(self) -> None:
        self._confirmed_at: float | None = None

    @property
    def confirmed_at(self) -> float | None:
        """The time of the last confirmation, or ``None`` before the first."""
        return self._confirmed_at

    def record(self, confirmed_at: float) -> None:
        """Record a confirmation, unless a later one is known."""
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def age(self, *, now: float) -> float:
        """Return the seconds since the last confirmation, infinity before the first."""
        return math.inf if self._confirmed_at is None else max(0.0, now - self._confirmed_at)
