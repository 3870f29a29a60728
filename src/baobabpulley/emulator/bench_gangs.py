"""Measure the time to first token of several concurrent prompts that each need a gang."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path
from typing import Final
from typing import final

import msgspec

from baobabpulley.emulator.caller import Caller
from baobabpulley.emulator.caller import Completion
from baobabpulley.emulator.fleet import MODEL
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.fleet import FleetPlan
from baobabpulley.emulator.fleet import caller_token
from baobabpulley.model.limits import Limit
from baobabpulley.standins.text import expected_text
from baobabpulley.standins.text import make_prompt

TEAM: Final = "souk"
PREFILL_TOKENS_PER_SECOND: Final = 20_000.0
SHORT_TOKENS: Final = 1_000
MAX_TOKENS: Final = 8
SHORT_PERIOD_SECONDS: Final = 1.0
SETTLE_SECONDS: Final = 10.0


class GangRow(msgspec.Struct, frozen=True):
    """Figures of one prompt, in model seconds.

    ``rank`` is its place by time to first token, from 1; ``ideal`` is the prefill time on one
    engine; ``right`` says whether the response is complete and correct.
    """

    rank: int
    first_token: float
    ideal: float
    right: bool


class GangResult(msgspec.Struct, frozen=True):
    """Figures of one run.

    ``shorts_p50`` and ``shorts_p95`` are times to first token, in model seconds, of short prompts
    sent at a steady rate during the run. ``held_after`` is the engine memory, in tokens, still
    held at the end.
    """

    gangs: int
    tokens: int
    engines: int
    speed: float
    seed: int
    rows: tuple[GangRow, ...]
    shorts: int
    shorts_failed: int
    shorts_p50: float
    shorts_p95: float
    held_after: int


@final
class GangBench:
    """Send several gang prompts at once, and short prompts meanwhile, to one failure domain."""

    __slots__ = ("_engines", "_gangs", "_seed", "_speed", "_tokens")

    def __init__(self, *, gangs: int, tokens: int, engines: int, speed: float, seed: int) -> None:
        self._gangs = gangs
        self._tokens = tokens
        self._engines = engines
        self._speed = speed
        self._seed = seed

    async def run(self, *, base_port: int) -> GangResult:
        """Start the fleet, run the measurement and return its result."""
        plan = FleetPlan(
            base_port=base_port,
            domains=("fes",),
            entries=2,
            engines=self._engines,
            plain_services=0,
            speed=self._speed,
            limits={TEAM: Limit(1_000_000, 16_000_000)},
        )
        with tempfile.TemporaryDirectory() as directory:
            async with Fleet(plan=plan, directory=Path(directory)) as fleet:
                # Wait for the owners' grace period of one lease and for load reports.
                await asyncio.sleep(SETTLE_SECONDS / self._speed)
                return await self._measure(fleet)

    async def _measure(self, fleet: Fleet) -> GangResult:
        stop = asyncio.Event()
        short_prompts = asyncio.create_task(self._send_short_prompts(fleet, stop))
        completions = await asyncio.gather(
            *(self._send(fleet, index) for index in range(self._gangs))
        )
        stop.set()
        times, failed = await short_prompts
        await asyncio.sleep(SETTLE_SECONDS / self._speed)
        times.sort()
        return GangResult(
            gangs=self._gangs,
            tokens=self._tokens,
            engines=self._engines,
            speed=self._speed,
            seed=self._seed,
            rows=self._rows(completions),
            shorts=len(times) + failed,
            shorts_failed=failed,
            shorts_p50=_quantile(times, 0.5),
            shorts_p95=_quantile(times, 0.95),
            held_after=await _held_memory_tokens(fleet),
        )

    def _rows(self, completions: list[tuple[Completion, str]]) -> tuple[GangRow, ...]:
        ordered = sorted(completions, key=lambda pair: pair[0].first_token or 0.0)
        return tuple(
            GangRow(
                rank=rank + 1,
                first_token=round((completion.first_token or 0.0) * self._speed, 2),
                ideal=self._tokens / PREFILL_TOKENS_PER_SECOND,
                right=completion.ok
                and completion.text == expected_text(prompt, seed=0, max_tokens=MAX_TOKENS),
            )
            for rank, (completion, prompt) in enumerate(ordered)
        )

    async def _send(self, fleet: Fleet, index: int) -> tuple[Completion, str]:
        prompt = make_prompt(tokens=self._tokens, seed=self._seed * 1_000 + index)
        addresses = list(fleet.entries.values())
        caller = Caller(token=caller_token(TEAM), model=MODEL)
        address = addresses[index % len(addresses)]
        return await caller.complete(address, prompt=prompt, max_tokens=MAX_TOKENS), prompt

    async def _send_short_prompts(
        self, fleet: Fleet, stop: asyncio.Event
    ) -> tuple[list[float], int]:
        caller = Caller(token=caller_token(TEAM), model=MODEL)
        addresses = list(fleet.entries.values())
        running: list[asyncio.Task[Completion]] = []
        started = time.monotonic()
        while not stop.is_set():
            prompt = make_prompt(tokens=SHORT_TOKENS, seed=self._seed * 1_000_000 + len(running))
            address = addresses[len(running) % len(addresses)]
            running.append(
                asyncio.create_task(caller.complete(address, prompt=prompt, max_tokens=MAX_TOKENS))
            )
            due = started + len(running) * SHORT_PERIOD_SECONDS / self._speed
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        completions = await asyncio.gather(*running)
        times = [
            (completion.first_token or 0.0) * self._speed
            for completion in completions
            if completion.ok
        ]
        return times, len(completions) - len(times)


async def _held_memory_tokens(fleet: Fleet) -> int:
    held = 0
    for vm in fleet.vms:
        if vm.role == "upstream":
            held += (await fleet.request(vm.address, "GET", "/journal"))["held"]
    return held


def _quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 3)


def table(result: GangResult) -> str:
    """Return a result as a text table with a row a prompt."""
    lines = [f"{'prompt':>6} {'first token, s':>15} {'x ideal':>8} {'answer':>7}"]
    for row in result.rows:
        answer = "whole" if row.right else "WRONG"
        ratio = row.first_token / row.ideal
        lines.append(f"{row.rank:>6} {row.first_token:>15.1f} {ratio:>8.2f} {answer:>7}")
    lines.append(
        f"shorts: {result.shorts}, failed {result.shorts_failed}, first token p50 "
        f"{result.shorts_p50} s, p95 {result.shorts_p95} s; memory held after: {result.held_after}"
    )
    return "\n".join(lines)
