"""Keepers divide the engines between them and follow their event streams, which may go silent.

A silent event stream stays open but delivers nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from pathlib import Path

import pytest
import pytest_asyncio
from keeper_builders import HOST
from keeper_builders import make_keeper

from baobabpulley.adapters.pynng_peers import PynngPeers
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.fleet_state import FleetStateCollector
from baobabpulley.keeper.fleet_state import FollowedEngine
from baobabpulley.model.documents import ServiceDocument
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.documents import encode_document
from baobabpulley.model.documents import service_key
from baobabpulley.model.upstreams import Vm
from baobabpulley.standins.engine import EngineStandin
from baobabpulley.standins.engine_core import EngineProfile
from baobabpulley.standins.faults import FaultOrder
from baobabpulley.timers import TimerService

SPEED = 4.0
ENGINES = 6
KEEPERS = 2
WAIT_SECONDS = 20.0


def _vm_list(base: int) -> tuple[Vm, ...]:
    entries = [
        Vm(
            id=f"vm-{index}",
            role="entry",
            failure_domain="fes",
            address=f"{HOST}:{base + 10 * index}",
        )
        for index in range(KEEPERS)
    ]
    engines = [
        Vm(
            id=f"engine-{index}",
            role="upstream",
            failure_domain="fes",
            address=f"{HOST}:{base + 50 + index}",
            service="kitchen",
        )
        for index in range(ENGINES)
    ]
    return (*entries, *engines)


pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def engines(base_port: int) -> AsyncIterator[list[EngineStandin]]:
    running = []
    timers = TimerService(speed=SPEED)
    for vm in _vm_list(base_port)[KEEPERS:]:
        engine = EngineStandin(
            id=vm.id,
            address=vm.address,
            models=("recipes",),
            profile=EngineProfile(),
            timers=timers,
        )
        engine.start()
        running.append(engine)
    yield running
    for engine in running:
        await engine.stop()
    timers.cancel_all()


@pytest_asyncio.fixture(loop_scope="module")
async def keepers(
    base_port: int, engines: list[EngineStandin], tmp_path: Path
) -> AsyncIterator[list[KeeperContext]]:
    document = encode_document(ServiceDocument(kind="engine"))
    service = StoredEntry(key=service_key("kitchen"), value=document, mod_revision=2)
    contexts = []
    for vm in _vm_list(base_port)[:KEEPERS]:
        context = make_keeper(tmp_path, vm=vm.id, domain="fes", address=vm.address, speed=SPEED)
        context.view.set_vms(_vm_list(base_port))
        context.view.settings_state.install([service])
        assert isinstance(context.peers, PynngPeers)
        context.peers.start()
        for name in ("membership", "fleet_state"):
            await context.parts[name].start()
        contexts.append(context)
    yield contexts
    for context in contexts:
        await _stop(context)


async def _stop(context: KeeperContext) -> None:
    context.timers.cancel_all()
    await context.parts["fleet_state"].stop()
    context.peers.close()


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


def _followed(context: KeeperContext) -> dict[str, FollowedEngine]:
    collector = context.parts["fleet_state"]
    assert isinstance(collector, FleetStateCollector)
    return collector.followed


def _is_divided(keepers: list[KeeperContext]) -> bool:
    """Whether each keeper follows some engines, and no engine is followed twice."""
    counts = [len(_followed(context)) for context in keepers]
    return all(counts) and sum(counts) == ENGINES


async def test_keepers_share_the_engines_and_take_over_from_a_dead_one(
    keepers: list[KeeperContext],
) -> None:
    all_engines = {f"engine-{index}" for index in range(ENGINES)}
    await _until(lambda: all(len(context.view.loads) == ENGINES for context in keepers))
    await _until(lambda: _is_divided(keepers))
    first, second = keepers
    assert set(_followed(first)) | set(_followed(second)) == all_engines
    await _stop(second)
    await _until(lambda: set(_followed(first)) == all_engines)


async def test_silent_event_stream_is_reopened_on_a_new_connection(
    keepers: list[KeeperContext], engines: list[EngineStandin]
) -> None:
    await _until(lambda: _is_divided(keepers))
    followed = {
        id: followed_engine
        for context in keepers
        for id, followed_engine in _followed(context).items()
    }
    await _until(lambda: all(followed_engine.incarnation for followed_engine in followed.values()))
    reopened = {id: followed_engine.reopen_count for id, followed_engine in followed.items()}
    silenced_at = keepers[0].timers.now()
    for engine in engines:
        engine.faults.apply(FaultOrder(kind="silent"))
    await _until(
        lambda: all(
            followed_engine.reopen_count > reopened[id] for id, followed_engine in followed.items()
        )
    )
    await _until(
        lambda: all(
            followed_engine.last_event_at > silenced_at for followed_engine in followed.values()
        )
    )
    recovery = (
        max(followed_engine.last_event_at for followed_engine in followed.values()) - silenced_at
    )
    print(f"silent event streams: the last of {ENGINES} recovered after {recovery:.2f} model s")
    assert all(followed_engine.gap for followed_engine in followed.values())


async def test_engine_with_a_silent_event_stream_is_polled(keepers: list[KeeperContext]) -> None:
    await _until(lambda: all(len(context.view.loads) == ENGINES for context in keepers))
    for context in keepers:
        await context.parts["fleet_state"].stop()
    context = keepers[0]
    before = {id: load.report.sequence for id, load in context.view.loads.items()}
    collector = context.parts["fleet_state"]
    assert isinstance(collector, FleetStateCollector)
    now = context.timers.now()
    for upstream in context.view.upstreams.values():
        collector.followed[upstream.id] = FollowedEngine(upstream=upstream, every=0.5, now=now - 60)
    loads = context.view.loads
    async with asyncio.timeout(WAIT_SECONDS):
        # A response may be late on a busy machine or bring a report that the keeper already has.
        while any(loads[id].report.sequence <= sequence for id, sequence in before.items()):
            await collector._poll_quiet_engines()
            await context.timers.sleep(0.5)
