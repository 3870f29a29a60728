"""When a keeper that isn't chosen to watch the store watches it nevertheless.

Load pattern: the watchers of a failure domain lose the store while others in it still reach it; or
the store is down for all, where hundreds of keepers must not add many calls.
"""

from __future__ import annotations

import random
from typing import Final
from typing import final

# So long, unless the watch fails, which spares the store one that is opened and ended each time.
OWN_WATCH_SECONDS: Final = 10.0
_RETRY_SECONDS: Final = 10.0
_RETRY_JITTER: Final = 0.2


@final
class OwnWatch:
    """The watch of a keeper whose settings nobody confirms.

    Times are seconds of one clock. Before ``not_before`` there is no such watch.
    """

    __slots__ = ("_not_before", "_random", "_until")

    def __init__(self, *, not_before: float, random: random.Random) -> None:
        self._not_before = not_before
        self._random = random
        self._until = 0.0

    def is_due(self, *, is_stale: bool, now: float) -> bool:
        """Return whether to watch; begin to if the settings are stale."""
        if now < self._until:
            return True
        if not is_stale or now < self._not_before:
            return False
        self._until = now + OWN_WATCH_SECONDS
        return True

    def record_failure(self, *, now: float) -> None:
        """Record that the store failed the watch; the next one begins after a pause."""
        self._until = 0.0
        jitter = self._random.uniform(1.0 - _RETRY_JITTER, 1.0 + _RETRY_JITTER)
        self._not_before = now + _RETRY_SECONDS * jitter
