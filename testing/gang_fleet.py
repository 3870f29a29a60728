"""A small fleet in one failure domain in which prompts above 36,000 tokens need a gang."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from typing import Final

from baobabpulley.emulator.caller import Caller
from baobabpulley.emulator.caller import Completion
from baobabpulley.emulator.fleet import MODEL
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.fleet import FleetPlan
from baobabpulley.emulator.fleet import caller_token
from baobabpulley.emulator.journals import journals
from baobabpulley.model.limits import Limit
from baobabpulley.standins.text import expected_text

ENGINE_MEMORY_TOKENS: Final = 40_000
GANG_TOKENS: Final = 75_000
LONG_TOKENS: Final = 20_000
SHORT_TOKENS: Final = 1_000
TEAM: Final = "souk"
SMALL_TEAM: Final = "stall"
SMALL_LIMIT: Final = 6_000
SPEED: Final = 8.0
TYPED_REFUSALS: Final = frozenset({"overloaded", "team_limit", "no_upstream", "not_ready"})


def gang_plan(base_port: int, **changes: Any) -> FleetPlan:
    """Return the plan of the fleet, with the given options replaced."""
    options: dict[str, Any] = {
        "domains": ("fes",),
        "entries": 3,
        "engines": 6,
        "plain_services": 0,
        "speed": SPEED,
        "engine_options": ("--memory", str(ENGINE_MEMORY_TOKENS), "--chunk", "1024"),
        "limits": {TEAM: Limit(1_000_000, 8_000_000), SMALL_TEAM: Limit(3_000, SMALL_LIMIT)},
        "entry_sections": {"lanes": {"short_tokens": "2000"}},
    }
    return FleetPlan(base_port=base_port, **{**options, **changes})


def caller(team: str = TEAM) -> Caller:
    """Return a caller with a token of ``team``."""
    return Caller(token=caller_token(team), model=MODEL)


def is_correct(answer: Completion, prompt: str, *, max_tokens: int) -> bool:
    """Whether the response succeeded with the complete expected text."""
    return answer.ok and answer.text == expected_text(prompt, seed=0, max_tokens=max_tokens)


async def wait_until_granting(fleet: Fleet) -> None:
    """Wait until every entry completes a long prompt.

    Until then an entry may not know all engines, or a memory owner may still be in its grace
    period and grant nothing.
    """
    prompt = "z" * 4 * LONG_TOKENS
    end = time.monotonic() + 20.0
    for address in fleet.entries.values():
        while not (await caller().complete(address, prompt=prompt)).ok:
            assert time.monotonic() < end, "no long prompt completed within 20 s"
            await asyncio.sleep(0.2)


async def engine_journal_of(fleet: Fleet, request_id: str) -> list[tuple[str, str, str]]:
    """Return ``(engine, kind, outcome)`` of all engine journal lines of a request, by time."""
    lines = [
        (line["at"], engine, line["kind"], line["outcome"])
        for engine, journal in (await journals(fleet)).items()
        for line in journal["lines"]
        if line.get("request") == request_id
    ]
    return [line[1:] for line in sorted(lines)]
