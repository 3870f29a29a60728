"""Seeded runs of at-most-once calls under faults of entries, services and the store.

Guards against an order that runs twice when a caller retries it after a lost response or a crash,
and against an order that was refused as not run although it ran.
"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any

from entry_builders import LedgerFleet
from entry_builders import open_client
from entry_builders import send_order
from entry_builders import send_request

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.errors import BaobabError
from baobabpulley.standins.faults import FaultOrder

SEEDS = 300
FLEETS = 25
PORTS_PER_FLEET = 20
SERVICE_FAULTS = (
    None,
    None,
    FaultOrder(kind="delay", seconds=0.2),
    FaultOrder(kind="delay", seconds=0.8),
    FaultOrder(kind="lose_answer", count=1),
    FaultOrder(kind="lose_request", count=1),
    FaultOrder(kind="leaving"),
)
STORE_FAULTS = (
    None,
    None,
    FaultOrder(kind="down", seconds=0.5),
    FaultOrder(kind="delay", seconds=0.1),
    FaultOrder(kind="lose_answer", count=1),
    FaultOrder(kind="lose_answer", count=2),
    FaultOrder(kind="lose_request", count=1),
)


class CallResult:
    """The outcome of one attempt for its caller; ``status`` is 0 if no response arrived."""

    def __init__(self, *, status: int, ran: bool | None, answer: Any) -> None:
        self.status = status
        self.ran = ran
        self.answer = answer


async def test_once_only_calls_run_at_most_once_in_300_seeded_runs(
    base_port: int, tmp_path: Path
) -> None:
    fleets = [
        LedgerFleet(port=base_port + 500 + index * PORTS_PER_FLEET, directory=tmp_path)
        for index in range(FLEETS)
    ]
    answered = await asyncio.gather(
        *(run_seeds(fleet, range(index, SEEDS, FLEETS)) for index, fleet in enumerate(fleets))
    )
    # If hardly any run got an answer, the checks would be vacuous.
    assert sum(answered) > SEEDS / 3


async def run_seeds(fleet: LedgerFleet, seeds: range) -> int:
    """Run seeds one after another on a fleet; return how many got an answer."""
    fleet.start()
    answered = 0
    async with open_client() as http:
        for seed in seeds:
            answered += await run_seed(fleet, http, seed)
    await fleet.stop()
    return answered


async def run_seed(fleet: LedgerFleet, http: HttpClient, seed: int) -> bool:
    rng = random.Random(seed)
    headers = await make_call_headers(fleet, http, rng, seed)
    inject_faults(fleet, rng)
    results = await asyncio.gather(
        *(
            attempt_order(
                http, rng.choice(fleet.entries).address, seed, headers, rng.uniform(0, 1.2)
            )
            for _ in range(rng.randint(2, 4))
        ),
        crash_entry(fleet, rng),
        crash_service(fleet, random.Random(seed)),
    )
    # A retry long after everything has recovered must not run the call a second time either.
    clear_faults(fleet)
    late_result = await attempt_order(http, rng.choice(fleet.entries).address, seed, headers, 0.3)
    check_results(
        seed,
        [*(result for result in results if result is not None), late_result],
        fleet.executed_orders,
    )
    return any(result is not None and result.status == 201 for result in results)


async def make_call_headers(
    fleet: LedgerFleet, http: HttpClient, rng: random.Random, seed: int
) -> dict[str, str]:
    if rng.random() < 0.5:
        return {"Idempotency_Key": f"order-{seed}"}
    _, issued = await send_request(http, rng.choice(fleet.entries).address, "POST", "/v1/tickets")
    return {"Call_Ticket": issued["ticket"]}


def inject_faults(fleet: LedgerFleet, rng: random.Random) -> None:
    fault = rng.choice(SERVICE_FAULTS)
    for service in fleet.services:
        if fault is not None and (fault.kind != "leaving" or service is fleet.services[0]):
            service.faults.apply(fault)
    store_fault = rng.choice(STORE_FAULTS)
    if store_fault is not None:
        fleet.store.faults.apply(store_fault)


def clear_faults(fleet: LedgerFleet) -> None:
    for standin in (*fleet.services, fleet.store):
        standin.faults.apply(FaultOrder(kind="none"))


async def crash_entry(fleet: LedgerFleet, rng: random.Random) -> None:
    """Kill an entry before sending, after sending or before answering, and restart it.

    Some entries are shut down gracefully instead and hand over their tickets.
    """
    draw = rng.random()
    if draw < 0.4:
        return
    victim = rng.choice(fleet.entries)
    await asyncio.sleep(rng.choice((0.0, 0.005, 0.02, 0.1, 0.4, 0.9)))
    await (victim.kill() if draw < 0.8 else victim.shut_down())
    await asyncio.sleep(rng.uniform(0.0, 0.3))
    victim.start(vms=fleet.vms)


async def crash_service(fleet: LedgerFleet, rng: random.Random) -> None:
    """Stop a service VM for a while: before a call, or after a call ran but before its answer."""
    if rng.random() < 0.7:
        return
    victim = rng.choice(fleet.services)
    victim.faults.apply(FaultOrder(kind="delay", seconds=0.3))
    await asyncio.sleep(rng.choice((0.0, 0.3, 0.6)))
    await victim.stop()
    await asyncio.sleep(rng.uniform(0.2, 0.8))
    victim.start()


async def attempt_order(
    http: HttpClient, address: str, seed: int, headers: dict[str, str], delay: float
) -> CallResult:
    await asyncio.sleep(delay)
    try:
        status, answer = await send_order(http, address, seed, **headers)
    except BaobabError as error:
        return CallResult(status=0, ran=error.ran, answer=None)
    ran = answer["error"]["ran"] if status >= 400 else True
    return CallResult(status=status, ran=ran, answer=answer)


def check_results(seed: int, results: list[CallResult], executed: list[dict[str, Any]]) -> None:
    run_count = sum(1 for placed in executed if placed["id"] == seed)
    answers = [result.answer for result in results if result.status == 201]
    assert run_count <= 1, f"seed {seed}: the order ran {run_count} times"
    assert all(answer == answers[0] for answer in answers), f"seed {seed}: answers differ"
    if answers:
        assert run_count == 1, f"seed {seed}: answered but never ran"
    if all(result.ran is False for result in results):
        assert run_count == 0, f"seed {seed}: refused as not run but ran"
