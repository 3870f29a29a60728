"""How long the event loop of a test lets no other task run."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

# Processor time for which no other task of the event loop may run, so that load doesn't count.
MAX_TURN_SECONDS = 0.1


@contextlib.asynccontextmanager
async def measured_turns() -> AsyncIterator[list[float]]:
    """Yield a list of the processor time, in seconds, used between two turns of a task."""
    turns: list[float] = []

    async def measure() -> None:
        while True:
            began = time.thread_time()
            await asyncio.sleep(0.001)
            turns.append(time.thread_time() - began)

    task = asyncio.create_task(measure())
    try:
        yield turns
    finally:
        task.cancel()
