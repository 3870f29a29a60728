"""How long ago the store last confirmed what a gateway knows.

Load pattern: changes are rare, and most watch calls end without one. Silence means that nothing has
changed, or that nothing is heard; only the age of the last confirmation tells which.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final
from typing import final

# Both are ratios of the time within which a change has to be in force. After a call that reported
# changes and one without, a confirmation is up to two waits old.
_WATCH_WAIT_RATIO: Final = 0.25
# The rest is left for asking the store itself.
_MAX_AGE_RATIO: Final = 0.75


def watch_wait(*, in_force_within: float) -> float:
    """Return the maximum wait of one watch call in seconds.

    >>> watch_wait(in_force_within=2.0)
    0.5
    """
    return _WATCH_WAIT_RATIO * in_force_within


@final
class StoreConfirmation:
    """The last time as of which all changes that the store had accepted are known.

    The store confirms it to this gateway, or to one whose changes this gateway applies. Times are
    seconds of a clock that runs on while the machine is suspended. ``in_force_within`` is the time
    in seconds within which a change has to be in force everywhere.
    """

    __slots__ = ("_confirmed_at", "_listeners", "_max_age")

    def __init__(self, *, in_force_within: float) -> None:
        self._max_age = _MAX_AGE_RATIO * in_force_within
        self._confirmed_at: float | None = None
        self._listeners: list[Callable[[], None]] = []

    @property
    def max_age(self) -> float:
        """The age in seconds from which on a gateway has to ask the store itself."""
        return self._max_age

    @property
    def confirmed_at(self) -> float | None:
        """The time of the last confirmation, or ``None`` before the first."""
        return self._confirmed_at

    def listen(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each confirmation that is later than the ones before."""
        self._listeners.append(listener)

    def record(self, confirmed_at: float) -> None:
        """Record a confirmation, unless a later one is known."""
        if self._confirmed_at is not None and confirmed_at <= self._confirmed_at:
            return
        self._confirmed_at = confirmed_at
        for listener in self._listeners:
            listener()

    def age(self, *, now: float) -> float:
        """Return the seconds since the last confirmation, infinity before the first."""
        return math.inf if self._confirmed_at is None else max(0.0, now - self._confirmed_at)

    def is_stale(self, *, now: float) -> bool:
        """Whether changes may be missing that have to be in force soon."""
        return self.age(now=now) >= self._max_age
