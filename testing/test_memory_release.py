"""Fifty seeded kills and freezes under load: engines release all memory within the bound.

Guards against memory that stays held on an engine because the entry or keeper that would have
released it was killed or frozen.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import pytest_asyncio
from gang_fleet import GANG_TOKENS
from gang_fleet import LONG_TOKENS
from gang_fleet import SHORT_TOKENS
from gang_fleet import SPEED
from gang_fleet import caller
from gang_fleet import gang_plan
from gang_fleet import wait_until_granting

from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.journals import MEMORY_RELEASE_TIMEOUT_SECONDS
from baobabpulley.emulator.journals import engines
from baobabpulley.emulator.journals import journals
from baobabpulley.emulator.journals import wait_for_memory_release
from baobabpulley.standins.text import make_prompt

# Times are in model seconds (real seconds x SPEED).
ROUNDS = 5
FAULTS_PER_ROUND = 10
LOAD_LEAD_SECONDS = 4.0
FAULT_INTERVAL_SECONDS = 0.4
# Entries stay frozen until after the check, so memory must be released without their help.
ENTRY_FREEZE_SECONDS = MEMORY_RELEASE_TIMEOUT_SECONDS + 5.0
OTHER_FREEZE_SECONDS = 4.0

pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet(base_port: int, tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[Fleet]:
    directory: Path = tmp_path_factory.mktemp("memory")
    async with Fleet(plan=gang_plan(base_port), directory=directory) as running:
        await wait_until_granting(running)
        yield running


async def send_load(fleet: Fleet, seed: int) -> None:
    """Keep gangs, and long and short prompts with long answers, in flight until cancelled."""

    async def send_requests(kind: int, caller_index: int) -> None:
        sent = 0
        while True:
            tokens = (GANG_TOKENS, LONG_TOKENS, SHORT_TOKENS)[kind]
            address = fleet.entries[f"entry-{caller_index % 3}"]
            prompt = make_prompt(tokens=tokens, seed=seed * 1_000 + caller_index * 100 + sent)
            await caller().complete(address, prompt=prompt, max_tokens=(8, 1_000, 1_000)[kind])
            sent += 1
            await asyncio.sleep(0.05)

    await asyncio.gather(
        *(send_requests(kind, caller_index) for kind in range(3) for caller_index in range(3))
    )


class Injector:
    """Kill and freeze processes chosen by a seed; ``undo`` ends the freezes after the check."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.fault_counts: Counter[str] = Counter()
        self.killed: list[str] = []
        self.frozen: list[str] = []
        self.tasks: list[asyncio.Task[None]] = []

    def inject(self) -> None:
        """Kill or freeze a process without a fault yet this round; restart a killed one at once."""
        names = [
            name
            for name in self.fleet.processes
            if name.startswith(("entry", "engine", "keeper"))
            and name not in self.killed
            and name not in self.frozen
        ]
        name = self.random.choice(sorted(names))
        kind = self.random.choice(("kill", "freeze"))
        self.fault_counts[f"{kind} {name.partition('-')[0]}"] += 1
        if kind == "kill":
            self.fleet.processes[name].kill()
            self.fleet.processes[name].start()
            self.killed.append(name)
            return
        self.fleet.processes[name].send(signal.SIGSTOP)
        self.frozen.append(name)
        seconds = ENTRY_FREEZE_SECONDS if name.startswith("entry") else OTHER_FREEZE_SECONDS
        self.tasks.append(asyncio.create_task(self._resume_later(name, seconds)))

    async def _resume_later(self, name: str, seconds: float) -> None:
        await asyncio.sleep(seconds / SPEED)
        self.fleet.processes[name].send(signal.SIGCONT)

    async def undo(self) -> None:
        """Resume all frozen processes and wait until engines and entries are ready."""
        for task in self.tasks:
            task.cancel()
        for name in self.frozen:
            self.fleet.processes[name].send(signal.SIGCONT)
        for vm in engines(self.fleet):
            await self.fleet.wait_for(vm.address, "/v1/state")
        for address in self.fleet.entries.values():
            await self.fleet.wait_for(address, "/readyz")


async def test_memory_is_released_after_each_of_fifty_kills_and_freezes(fleet: Fleet) -> None:
    total: Counter[str] = Counter()
    held_under_load = 0
    for seed in range(ROUNDS):
        injector = Injector(fleet, seed)
        load = asyncio.create_task(send_load(fleet, seed))
        await asyncio.sleep(LOAD_LEAD_SECONDS / SPEED)
        held_under_load += sum(journal["held"] for journal in (await journals(fleet)).values()) > 0
        for _ in range(FAULTS_PER_ROUND):
            injector.inject()
            await asyncio.sleep(FAULT_INTERVAL_SECONDS / SPEED)
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        # Frozen engines and keepers resume before the end of the wait; frozen entries do not.
        await asyncio.sleep(OTHER_FREEZE_SECONDS / SPEED)
        held = await wait_for_memory_release(
            fleet, timeout=MEMORY_RELEASE_TIMEOUT_SECONDS - OTHER_FREEZE_SECONDS
        )
        assert held == {}, f"round {seed}: {injector.fault_counts}"
        await injector.undo()
        assert await wait_for_memory_release(fleet) == {}
        total += injector.fault_counts
    assert held_under_load == ROUNDS
    assert total.total() == ROUNDS * FAULTS_PER_ROUND
    assert len(total) == 6, total
