"""Memory for one whole answer, without which no more than its begin is read."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import final

from baobabpulley.gateway.exchanges.attempt_progress import AttemptProgress
from baobabpulley.policy.memory_budget import MemoryBudget

# How often an answer that waits for memory looks for it, in real seconds.
ROOM_CHECK_SECONDS: Final = 0.1


@final
class AnswerRoom:
    """Reserve memory for one answer; ``release`` after the answer has been passed on."""

    __slots__ = ("_budget", "_progress", "_reserved")

    def __init__(self, budget: MemoryBudget, progress: AttemptProgress) -> None:
        self._budget = budget
        self._progress = progress
        self._reserved: int | None = None

    async def reserve(self, size: int) -> None:
        """Wait until there is memory for ``size`` bytes; the attempt's deadline ends the wait."""
        if not self._budget.reserve_answer(size):
            await self._wait(size)
        self._reserved = size

    def release(self) -> None:
        """Give back what was reserved."""
        if self._reserved is not None:
            self._budget.release_answer(self._reserved)
            self._reserved = None

    async def _wait(self, size: int) -> None:
        self._budget.answers_waiting += 1
        try:
            while not self._budget.reserve_answer(size):
                # The gateway doesn't read now; the upstream isn't silent.
                self._progress.record_reading_paused()
                await asyncio.sleep(ROOM_CHECK_SECONDS)
        finally:
            self._budget.answers_waiting -= 1
