"""Builders of test data."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from baobabpulley.ports.engine import EngineCall
from baobabpulley.standins.text import make_prompt

MODEL = "recipes"
WAIT_SECONDS = 30.0


def call_of(
    attempt: str,
    *,
    tokens: int = 100,
    max_tokens: int = 4,
    priority: int = 0,
    prompt_seed: int = 7,
) -> EngineCall:
    """Return an attempt whose prompt has a number of tokens."""
    return EngineCall(
        attempt=attempt,
        request_id=attempt,
        holder="test",
        model=MODEL,
        prompt=make_prompt(tokens=tokens, seed=prompt_seed),
        max_tokens=max_tokens,
        seed=0,
        priority=priority,
        deadline=600.0,
    )


async def eventually(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; fail after a generous time."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)
