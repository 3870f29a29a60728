"""Attempts of one exchange that run at the same time.

An attempt whose upstream is silent keeps running beside the one that may replace it, because a
sound upstream may pause and go on. The first attempt that has something new for the caller wins.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import Final
from typing import final

from baobabpulley.errors import BaobabError
from baobabpulley.gateway.exchanges.attempt_progress import AttemptProgress
from baobabpulley.gateway.placement.placement import Placement
from baobabpulley.timers import TimerService

# Before the first event, an attempt is checked this often for a stalled upstream.
STALL_CHECK_SECONDS: Final = 0.05
# Silence that is noticed later than by this may have been a hold-up of this process.
MAX_LATENESS_SECONDS: Final = 0.1
# What arrived during a hold-up is processed within this.
HOLD_UP_GRACE_SECONDS: Final = 0.1


@final
class RunningAttempt:
    """One attempt.

    ``events`` is the number of events with content that it has received. ``refundable`` is whether
    it was started beside silent attempts, and charged to this gateway's retry budget for that.
    ``loan_ends_at`` is until when it may be sent, if another gateway lent the retry.
    ``reported_silent`` is whether its own silence has been recorded.
    """

    __slots__ = (
        "_task",
        "events",
        "loan_ends_at",
        "placement",
        "progress",
        "refundable",
        "reported_silent",
    )

    def __init__(
        self,
        *,
        placement: Placement,
        progress: AttemptProgress,
        refundable: bool = False,
        loan_ends_at: float | None = None,
    ) -> None:
        self._task: asyncio.Task[None] | None = None
        self.placement = placement
        self.progress = progress
        self.events = 0
        self.refundable = refundable
        self.loan_ends_at = loan_ends_at
        self.reported_silent = False

    @property
    def task(self) -> asyncio.Task[None]:
        """The task that runs the attempt; set by `AttemptRace.start`."""
        assert self._task is not None
        return self._task

    @property
    def error(self) -> BaobabError | None:
        """Return the error of an attempt that has ended; raise one that isn't a `BaobabError`."""
        error = self.task.exception()
        if error is not None and not isinstance(error, BaobabError):
            raise error
        return error

    def run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start the task."""
        self._task = asyncio.get_running_loop().create_task(coroutine)


@final
class AttemptRace:
    """The attempts of one exchange, of which at most one delivers to the caller at a time."""

    __slots__ = ("_attempts", "_beaten", "_check_at", "_timers")

    def __init__(self, *, timers: TimerService) -> None:
        self._timers = timers
        self._attempts: list[RunningAttempt] = []
        self._beaten: list[RunningAttempt] = []
        self._check_at = 0.0

    @property
    def attempts(self) -> tuple[RunningAttempt, ...]:
        """The attempts whose end `wait` has not returned yet, without beaten ones."""
        return tuple(self._attempts)

    @property
    def upstreams(self) -> frozenset[str]:
        """Ids of the upstreams of the running attempts."""
        return frozenset(attempt.placement.upstream.id for attempt in self._attempts)

    @property
    def has_events(self) -> bool:
        """Whether one of the attempts has received an event with content."""
        return any(attempt.events for attempt in self._attempts)

    def start(self, attempt: RunningAttempt, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run an attempt beside the others."""
        attempt.run(coroutine)
        self._attempts.append(attempt)

    def has_others(self, attempt: RunningAttempt) -> bool:
        """Whether another attempt than the given one is running."""
        return any(other is not attempt for other in self._attempts)

    def claim(self, winner: RunningAttempt) -> tuple[RunningAttempt, ...]:
        """Cancel and return the other running attempts, as this one has something new.

        Those that have failed by themselves are still returned by `wait`.
        """
        beaten = [
            attempt
            for attempt in self._attempts
            if attempt is not winner and not attempt.task.done()
        ]
        for attempt in beaten:
            attempt.task.cancel()
            self._attempts.remove(attempt)
        self._beaten += beaten
        return tuple(beaten)

    def is_silent(self, silence_timeout: float) -> bool:
        """Whether all attempts have been silent for ``silence_timeout``."""
        return self._latest_progress() + silence_timeout <= self._timers.now()

    def postpone(self, seconds: float) -> None:
        """Let `wait` report no silence for so long."""
        self._check_at = self._timers.now() + seconds

    async def wait(
        self, *, silence_timeout: float | None, is_stalled: Callable[[], bool] | None = None
    ) -> RunningAttempt | None:
        """Return an attempt that ended, or ``None`` once all are silent for ``silence_timeout``.

        Silence isn't watched if the timeout is ``None``. Before the first event, ``is_stalled``
        says whether to return ``None`` earlier. What has arrived while this process was held up is
        processed before silence is judged.
        """
        while True:
            ended = next((attempt for attempt in self._attempts if attempt.task.done()), None)
            if ended is not None:
                self._attempts.remove(ended)
                return ended
            timeout = self._seconds_to_watch(silence_timeout, is_stalled)
            if timeout is not None and timeout <= 0:
                return None
            if await self._sleep(timeout):
                await self._sleep(HOLD_UP_GRACE_SECONDS)

    async def close(self) -> None:
        """Cancel all attempts and wait for their end."""
        tasks = [attempt.task for attempt in (*self._attempts, *self._beaten)]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _seconds_to_watch(
        self, silence_timeout: float | None, is_stalled: Callable[[], bool] | None
    ) -> float | None:
        """Return after how long to check for silence again; 0 or less if all are silent now."""
        if silence_timeout is None:
            return None
        now = self._timers.now()
        left = self._silent_at(silence_timeout) - now
        if is_stalled is None or self.has_events:
            return left
        if now >= self._check_at and is_stalled():
            return 0.0
        return min(left, STALL_CHECK_SECONDS)

    async def _sleep(self, timeout: float | None) -> bool:
        """Wait for an attempt to end; return whether the process was held up meanwhile."""
        begun = self._timers.now()
        await asyncio.wait(
            [attempt.task for attempt in self._attempts],
            timeout=None if timeout is None else self._timers.to_real_seconds(timeout),
            return_when=asyncio.FIRST_COMPLETED,
        )
        return timeout is not None and self._timers.now() - begun > timeout + MAX_LATENESS_SECONDS

    def _silent_at(self, silence_timeout: float) -> float:
        """Return when all attempts will have been silent for so long, if none makes progress."""
        return max(self._latest_progress() + silence_timeout, self._check_at)

    def _latest_progress(self) -> float:
        return max(attempt.progress.at for attempt in self._attempts)
