"""One timer service per process, to which parts subscribe.

All durations in the system are in seconds of model time. ``speed`` is the number of model
seconds that pass in one real second; it is 1 in production and larger in tests and benches.
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
class Subscription:
    """A running timer; ``cancel`` stops it for good."""

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
    """Tell the time and call subscribers; monotonic, in model seconds."""

    __slots__ = ("_random", "_speed", "_start", "_subscriptions")

    def __init__(self, *, speed: float = 1.0, seed: int | None = None) -> None:
        self._speed = speed
        self._random = random.Random(seed)
        self._start = time.monotonic()
        self._subscriptions: set[asyncio.Task[None]] = set()

    @property
    def speed(self) -> float:
        """Model seconds that pass in one real second."""
        return self._speed

    @property
    def wall_time(self) -> float:
        """Wall-clock time in real seconds since the epoch, for stamps read by people."""
        return time.time()

    def now(self) -> float:
        """Return monotonic model seconds since an arbitrary point."""
        return time.monotonic() * self._speed

    def to_real_seconds(self, seconds: float) -> float:
        """Convert model seconds to real ones, for library calls that take a timeout."""
        return seconds / self._speed

    async def sleep(self, seconds: float) -> None:
        """Sleep for model seconds."""
        await asyncio.sleep(max(0.0, seconds) / self._speed)

    @contextlib.asynccontextmanager
    async def timeout(self, seconds: float) -> AsyncIterator[None]:
        """Raise `TimeoutError` from the block once model seconds have passed."""
        async with asyncio.timeout(max(0.0, seconds) / self._speed):
            yield

    def every(
        self, seconds: float, callback: Callback, *, jitter: float = 0.0, name: str = "timer"
    ) -> Subscription:
        """Call ``callback`` again and again; ``jitter`` is a share of the interval."""
        return self._spawn(self._repeat(seconds, callback, jitter, name), name)

    def after(self, seconds: float, callback: Callback, *, name: str = "timer") -> Subscription:
        """Call ``callback`` once."""
        return self._spawn(self._run_once(seconds, callback, name), name)

    def cancel_all(self) -> None:
        """Stop every timer of this service."""
        for task in tuple(self._subscriptions):
            task.cancel()

    def _spawn(self, coroutine: object, name: str) -> Subscription:
        task = asyncio.get_running_loop().create_task(coroutine, name=name)  # type: ignore[arg-type]
        self._subscriptions.add(task)
        task.add_done_callback(self._subscriptions.discard)
        return Subscription(task)

    async def _repeat(self, seconds: float, callback: Callback, jitter: float, name: str) -> None:
        while True:
            await self.sleep(seconds * (1.0 + jitter * (self._random.random() - 0.5)))
            await _run_callback(callback, name)

    async def _run_once(self, seconds: float, callback: Callback, name: str) -> None:
        await self.sleep(seconds)
        await _run_callback(callback, name)


async def _run_callback(callback: Callback, name: str) -> None:
    # A subscriber's fault must not end its timer: the next tick may succeed.
    try:
        outcome = callback()
        if inspect.isawaitable(outcome):
            await outcome
    except Exception:
        logger.exception("timer {} failed", name)


@final
class ManualTimers(TimerService):
    """A timer service whose clock moves only when a test says so."""

    __slots__ = ("_now", "_sleepers")

    def __init__(self, *, start: float = 1000.0) -> None:
        super().__init__(seed=0)
        self._now = start
        self._sleepers: list[tuple[float, asyncio.Future[None]]] = []

    def now(self) -> float:
        """Return the time that the test has set."""
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Wait until ``advance`` has passed the given model seconds."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._sleepers.append((self._now + max(0.0, seconds), future))
        await future

    async def advance(self, seconds: float) -> None:
        """Move the clock and wake, in order, all sleepers whose time has come."""
        end = self._now + seconds
        while True:
            await _run_ready_tasks()
            due = [item for item in self._sleepers if item[0] <= end and not item[1].done()]
            if not due:
                break
            when, future = min(due, key=lambda item: item[0])
            self._sleepers.remove((when, future))
            self._now = max(self._now, when)
            future.set_result(None)
        self._now = end
        await _run_ready_tasks()

    async def pause(self, seconds: float) -> None:
        """Move the clock as if this process had been paused: all that fell due wakes at the end."""
        self._now += seconds
        await self.advance(0.0)


async def _run_ready_tasks() -> None:
    for _ in range(20):
        await asyncio.sleep(0)
