"""Clock and timers of a process.

Durations in the system are in model seconds, the seconds of a scaled clock, unless stated
otherwise. ``speed`` model seconds pass in one real second. ``speed`` is 1 in production, so that
model seconds are real seconds there, and larger in tests and benches, to shorten them.
"""

from __future__ import annotations

import asyncio
import contextlib
import inspect
import random
import time
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import final

from loguru import logger

Callback = Callable[[], Awaitable[None] | None]


@final
class TimerHandle:
    """Handle of a timer, by which it can be cancelled."""

    __slots__ = ("_task",)

    def __init__(self, task: asyncio.Task[None]) -> None:
        self._task = task

    @property
    def active(self) -> bool:
        """Whether the timer can still fire."""
        return not self._task.done()

    def cancel(self) -> None:
        """Stop the timer; safe to call more than once."""
        self._task.cancel()


class TimerService:
    """Monotonic clock and timers of a process, in model seconds.

    ``seed`` makes the jitter of the timers reproducible.
    """

    __slots__ = ("_random", "_speed", "_start", "_tasks")

    def __init__(self, *, speed: float = 1.0, seed: int | None = None) -> None:
        self._speed = speed
        self._random = random.Random(seed)
        self._start = time.monotonic()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def speed(self) -> float:
        """Number of model seconds that pass in one real second."""
        return self._speed

    @property
    def wall_time(self) -> float:
        """Wall-clock time in real seconds since the epoch, comparable between processes."""
        return time.time()

    def now(self) -> float:
        """Return monotonic model seconds since an arbitrary point."""
        return time.monotonic() * self._speed

    def boot_time(self) -> float:
        """Return seconds like `now`, of a clock that runs on while the machine is suspended."""
        return boot_seconds() * self._speed

    def to_real_seconds(self, seconds: float) -> float:
        """Convert model seconds to real seconds, for library calls that take a timeout."""
        return seconds / self._speed

    async def sleep(self, seconds: float) -> None:
        """Sleep for the given number of model seconds."""
        await asyncio.sleep(max(0.0, seconds) / self._speed)

    @contextlib.asynccontextmanager
    async def timeout(self, seconds: float) -> AsyncIterator[None]:
        """Cancel the block and raise `TimeoutError` after the given number of model seconds."""
        async with asyncio.timeout(max(0.0, seconds) / self._speed):
            yield

    def every(
        self, seconds: float, callback: Callback, *, jitter: float = 0.0, name: str = "timer"
    ) -> TimerHandle:
        """Call ``callback`` at intervals of model seconds.

        ``jitter`` is the width of the range over which an interval varies, as a ratio of
        ``seconds``.
        """
        return self._spawn(self._repeat(seconds, callback, jitter, name), name)

    def after(self, seconds: float, callback: Callback, *, name: str = "timer") -> TimerHandle:
        """Call ``callback`` once, after the given number of model seconds."""
        return self._spawn(self._run_once(seconds, callback, name), name)

    def cancel_all(self) -> None:
        """Stop every timer of this service."""
        for task in tuple(self._tasks):
            task.cancel()

    def _spawn(self, coroutine: object, name: str) -> TimerHandle:
        task = asyncio.get_running_loop().create_task(coroutine, name=name)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return TimerHandle(task)

    async def _repeat(self, seconds: float, callback: Callback, jitter: float, name: str) -> None:
        while True:
            await self.sleep(seconds * (1.0 + jitter * (self._random.random() - 0.5)))
            await _run_callback(callback, name)

    async def _run_once(self, seconds: float, callback: Callback, name: str) -> None:
        await self.sleep(seconds)
        await _run_callback(callback, name)


def boot_seconds() -> float:
    """Return real seconds of a monotonic clock that runs on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def _run_callback(callback: Callback, name: str) -> None:
    # An exception in a callback must not stop its timer: the next call may succeed.
    try:
        result = callback()
        if inspect.isawaitable(result):
            await result
    except Exception:
        logger.exception("callback of timer {} failed", name)


@final
class ManualTimers(TimerService):
    """Timer service with a clock that only ``advance`` and ``pause`` move, for tests."""

    __slots__ = ("_now", "_sleepers")

    def __init__(self, *, start: float = 1000.0) -> None:
        super().__init__(seed=0)
        self._now = start
        self._sleepers: list[tuple[float, asyncio.Future[None]]] = []

    def now(self) -> float:
        """Return the time to which the clock was last moved, in model seconds."""
        return self._now

    def boot_time(self) -> float:
        """Return the same as `now`."""
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Sleep until the clock has been moved by the given number of model seconds."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._sleepers.append((self._now + max(0.0, seconds), future))
        await future

    async def advance(self, seconds: float) -> None:
        """Move the clock and wake the sleepers that are due, each at its own time, in order."""
        end = self._now + seconds
        while True:
            await _run_ready_tasks()
            due = [
                sleeper for sleeper in self._sleepers if sleeper[0] <= end and not sleeper[1].done()
            ]
            if not due:
                break
            wake_at, future = min(due, key=lambda sleeper: sleeper[0])
            self._sleepers.remove((wake_at, future))
            self._now = max(self._now, wake_at)
            future.set_result(None)
        self._now = end
        await _run_ready_tasks()

    async def pause(self, seconds: float) -> None:
        """Move the clock as if the process had been paused: due sleepers wake only at the end."""
        self._now += seconds
        await self.advance(0.0)


async def _run_ready_tasks() -> None:
    # A task may need several passes of the event loop until it sleeps again.
    for _ in range(20):
        await asyncio.sleep(0)
