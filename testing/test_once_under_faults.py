"""Seeded runs of once-only calls under faults: nothing runs twice, "not run" is true."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any

from entry_builders import LedgerFleet
from entry_builders import call
from entry_builders import client
from entry_builders import order

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.errors import BaobabError
from baobabpulley.standins.faults import FaultOrder

SEEDS = 300
LANES = 25
PORTS_OF_A_LANE = 20
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


class Told:
    """What one try of a caller was told."""

    def __init__(self, *, status: int, ran: bool | None, answer: Any) -> None:
        self.status = status
        self.ran = ran
        self.answer = answer


async def test_once_only_calls_run_at_most_once_in_300_seeded_runs(
    base_port: int, tmp_path: Path
) -> None:
    lanes = [
        LedgerFleet(port=base_port + 500 + lane * PORTS_OF_A_LANE, directory=tmp_path)
        for lane in range(LANES)
    ]
    answered = await asyncio.gather(
        *(run_lane(fleet, range(lane, SEEDS, LANES)) for lane, fleet in enumerate(lanes))
    )
    # Were nearly every run without an answer, the runs would show nothing.
    assert sum(answered) > SEEDS / 3


async def run_lane(fleet: LedgerFleet, seeds: range) -> int:
    """Run some seeds one after another; return how many got an answer."""
    fleet.start()
    answered = 0
    async with client() as http:
        for seed in seeds:
            answered += await run_seed(fleet, http, seed)
    await fleet.stop()
    return answered


async def run_seed(fleet: LedgerFleet, http: HttpClient, seed: int) -> bool:
    source = random.Random(seed)
    mark = await take_mark(fleet, http, source, seed)
    switch(fleet, source)
    told = await asyncio.gather(
        *(
            one_try(http, source.choice(fleet.entries).address, seed, mark, source.uniform(0, 1.2))
            for _ in range(source.randint(2, 4))
        ),
        crash(fleet, source),
        lose_service(fleet, random.Random(seed)),
    )
    # A repeat long after everything has come back must not run the call a second time either.
    switch_off(fleet)
    last = await one_try(http, source.choice(fleet.entries).address, seed, mark, 0.3)
    check(seed, [*(one for one in told if one is not None), last], fleet.executed_orders)
    return any(one is not None and one.status == 201 for one in told)


async def take_mark(
    fleet: LedgerFleet, http: HttpClient, source: random.Random, seed: int
) -> dict[str, str]:
    if source.random() < 0.5:
        return {"Idempotency_Key": f"order-{seed}"}
    _, issued = await call(http, source.choice(fleet.entries).address, "POST", "/v1/tickets")
    return {"Call_Ticket": issued["ticket"]}


def switch(fleet: LedgerFleet, source: random.Random) -> None:
    fault = source.choice(SERVICE_FAULTS)
    for service in fleet.services:
        if fault is not None and (fault.kind != "leaving" or service is fleet.services[0]):
            service.faults.apply(fault)
    trouble = source.choice(STORE_FAULTS)
    if trouble is not None:
        fleet.store.faults.apply(trouble)


def switch_off(fleet: LedgerFleet) -> None:
    for standin in (*fleet.services, fleet.store):
        standin.faults.apply(FaultOrder(kind="none"))


async def crash(fleet: LedgerFleet, source: random.Random) -> None:
    """Kill an entry before sending, after sending or before answering, and bring it back.

    Some are shut down instead, and hand their tickets over.
    """
    chance = source.random()
    if chance < 0.4:
        return
    victim = source.choice(fleet.entries)
    await asyncio.sleep(source.choice((0.0, 0.005, 0.02, 0.1, 0.4, 0.9)))
    await (victim.kill() if chance < 0.8 else victim.shut_down())
    await asyncio.sleep(source.uniform(0.0, 0.3))
    victim.start(vms=fleet.vms)


async def lose_service(fleet: LedgerFleet, source: random.Random) -> None:
    """Have a service VM die for a while: before a call, or after one has run, unanswered."""
    if source.random() < 0.7:
        return
    victim = source.choice(fleet.services)
    victim.faults.apply(FaultOrder(kind="delay", seconds=0.3))
    await asyncio.sleep(source.choice((0.0, 0.3, 0.6)))
    await victim.stop()
    await asyncio.sleep(source.uniform(0.2, 0.8))
    victim.start()


async def one_try(
    http: HttpClient, address: str, seed: int, mark: dict[str, str], pause: float
) -> Told:
    await asyncio.sleep(pause)
    try:
        status, answer = await order(http, address, seed, **mark)
    except BaobabError as error:
        return Told(status=0, ran=error.ran, answer=None)
    ran = answer["error"]["ran"] if status >= 400 else True
    return Told(status=status, ran=ran, answer=answer)


def check(seed: int, told: list[Told], ran: list[dict[str, Any]]) -> None:
    times = sum(1 for placed in ran if placed["id"] == seed)
    answers = [one.answer for one in told if one.status == 201]
    assert times <= 1, f"seed {seed}: the order ran {times} times"
    assert all(answer == answers[0] for answer in answers), f"seed {seed}: answers differ"
    if answers:
        assert times == 1, f"seed {seed}: answered but never ran"
    if all(one.ran is False for one in told):
        assert times == 0, f"seed {seed}: refused as not run but ran"
