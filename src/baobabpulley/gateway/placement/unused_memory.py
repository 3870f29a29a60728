"""End attempts whose reserved memory is not used, as their engine never begins the prompt."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
from typing import Final
from typing import final

from loguru import logger

from baobabpulley.errors import UpstreamStalled
from baobabpulley.gateway.exchanges.attempt_progress import AttemptProgress
from baobabpulley.policy.first_event_silence import idle_memory_timeout
from baobabpulley.policy.prompt_placement import Plan
from baobabpulley.timers import TimerService

# Silence that is noticed later than by this may have been a hold-up of this process.
MAX_LATENESS_SECONDS: Final = 0.1
# Whether another attempt could follow is looked at this often.
CHECK_PERIOD_SECONDS: Final = 0.25


@final
class UnusedMemoryWatch:
    """Watch one attempt; ``is_replaceable`` returns whether another one could follow it.

    Memory may be unused for ``max_idle`` seconds at most.
    """

    __slots__ = ("_is_replaceable", "_max_idle", "_plan", "_progress", "_timers")

    def __init__(
        self,
        plan: Plan,
        progress: AttemptProgress,
        *,
        max_idle: float,
        is_replaceable: Callable[[], bool],
        timers: TimerService,
    ) -> None:
        self._plan = plan
        self._progress = progress
        self._max_idle = max_idle
        self._is_replaceable = is_replaceable
        self._timers = timers

    @contextlib.asynccontextmanager
    async def ending(self, *, request: str, tickets: Sequence[str]) -> AsyncIterator[None]:
        """End the block with `UpstreamStalled` if no event shows in time that memory is used."""
        begun = self._timers.now()
        scope = asyncio.timeout(None)
        watch = asyncio.get_running_loop().create_task(self._expire(scope))
        try:
            async with scope:
                yield
        except TimeoutError:
            if not scope.expired():
                raise
            seconds = self._timers.now() - begun
            logger.bind(
                event="memory_unused",
                request=request,
                upstream=self._plan.first.id,
                tickets=list(tickets),
                seconds=round(seconds, 3),
            ).warning("reserved memory is given back, as no event shows that it is used")
            raise UpstreamStalled(
                f"{self._plan.first.id} sent no event within {seconds:.2f} s while memory was"
                " reserved"
            ) from None
        finally:
            watch.cancel()

    async def _expire(self, scope: asyncio.Timeout) -> None:
        """Let the block expire once its time is over, unless a stream has begun."""
        begun = self._timers.now()
        limit = self._limit(is_replaceable=True)
        await self._timers.sleep(limit)
        if self._timers.now() - begun > limit + MAX_LATENESS_SECONDS:
            # An event that arrived while this process was held up has to be processed first.
            await self._timers.sleep(MAX_LATENESS_SECONDS)
        longest = self._limit(is_replaceable=False)
        while self._timers.now() - begun < longest and not self._is_replaceable():
            await self._timers.sleep(CHECK_PERIOD_SECONDS)
        if not self._progress.is_streaming:
            scope.reschedule(asyncio.get_running_loop().time())

    def _limit(self, *, is_replaceable: bool) -> float:
        return idle_memory_timeout(
            prefill=self._plan.part_seconds,
            backlog=self._plan.backlog,
            max_idle=self._max_idle,
            is_replaceable=is_replaceable,
        )
