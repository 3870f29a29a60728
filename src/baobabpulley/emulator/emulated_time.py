"""Run real daemons' components over real loopback sockets on an emulated clock.

The clock moves only while nothing is left to do, from timer to timer, so that the figures of many
components in one process do not depend on how busy the machine is. Processing takes no time.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Coroutine
from typing import Any
from typing import Final
from typing import TypeVar
from typing import final
from unittest import mock

# Under load the kernel may deliver loopback packets a moment after they were sent.
LOOPBACK_DELIVERY_SECONDS: Final = 0.00005

Result = TypeVar("Result")


@final
class EmulatedClock:
    """A monotonic clock that only `advance` moves."""

    __slots__ = ("_now",)

    def __init__(self) -> None:
        self._now = time.monotonic()

    def now(self, *clock_id: int) -> float:
        """Return the time in seconds; the arguments of `time.clock_gettime` are ignored."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock."""
        self._now += seconds


@final
class _AdvancingSelector(selectors.EpollSelector):
    """A selector that moves a clock instead of waiting."""

    def __init__(self, clock: EmulatedClock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready files; move the clock by ``timeout`` if there are none."""
        events = super().select(0)
        if events or (timeout is not None and timeout <= 0):
            return events
        if timeout is None:
            return super().select()
        time.sleep(LOOPBACK_DELIVERY_SECONDS)
        events = super().select(0)
        if not events:
            self._clock.advance(timeout)
        return events


def run_in_emulated_time(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on an event loop of its own, with the process's clocks emulated."""
    clock = EmulatedClock()
    with (
        mock.patch("time.monotonic", clock.now),
        mock.patch("time.clock_gettime", clock.now),
        asyncio.Runner(loop_factory=lambda: _new_loop(clock)) as runner,
    ):
        return runner.run(main)


def _new_loop(clock: EmulatedClock) -> asyncio.AbstractEventLoop:
    return asyncio.SelectorEventLoop(_AdvancingSelector(clock))
