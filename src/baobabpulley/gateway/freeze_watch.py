"""Notice that the process was frozen, or its machine suspended."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from typing import final

from loguru import logger

from baobabpulley.timers import TimerService

# A freeze shows as a late check, by a clock that also runs while the machine is suspended.
CHECK_PERIOD_SECONDS: Final = 0.25
# After a check that is later than this, open connections may be dead and are replaced.
MIN_FREEZE_SECONDS: Final = 1.5


@final
class FreezeWatch:
    """Call ``on_freeze`` after each freeze."""

    __slots__ = ("_checked_at", "_on_freeze", "_timers")

    def __init__(self, *, timers: TimerService, on_freeze: Callable[[], None]) -> None:
        self._timers = timers
        self._on_freeze = on_freeze
        self._checked_at = timers.boot_time()

    def start(self) -> None:
        """Check periodically."""
        self._timers.every(CHECK_PERIOD_SECONDS, self.check, name="pulse")

    def check(self) -> None:
        """Look for a freeze since the last check."""
        now = self._timers.boot_time()
        late = now - self._checked_at - CHECK_PERIOD_SECONDS
        self._checked_at = now
        if late > MIN_FREEZE_SECONDS:
            logger.bind(event="frozen", seconds=round(late, 1)).warning(
                "the process was frozen; closing idle connections and restarting the watch"
            )
            self._on_freeze()
