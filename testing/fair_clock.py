"""A clock that leaves out the time in which the machine gave this process no processor."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Final
from typing import final

# Linux: time on the processor and time spent ready to run, in nanoseconds, and timeslices.
_SCHEDULE: Final = Path("/proc/self/schedstat")
_NS_PER_SECOND: Final = 1e9


@final
class FairClock:
    """Seconds since the clock was made, less those spent waiting for a processor.

    Time that this process spends computing, blocked or asleep counts in full.
    """

    def __init__(self) -> None:
        self._start = self._now()

    @property
    def seconds(self) -> float:
        return self._now() - self._start

    def _now(self) -> float:
        return time.monotonic() - _seconds_without_processor()


def _seconds_without_processor() -> float:
    """Return 0 where the kernel doesn't count it."""
    try:
        return int(_SCHEDULE.read_text().split()[1]) / _NS_PER_SECOND
    except (OSError, IndexError, ValueError):
        return 0.0
