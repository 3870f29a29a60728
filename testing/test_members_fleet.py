"""Membership, leaving upstreams and orders over real processes."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
import pytest_asyncio

from baobabpulley.adapters.pynng_peers import PynngPeers
from baobabpulley.emulator.caller import Caller
from baobabpulley.emulator.fleet import ENGINE_SERVICE
from baobabpulley.emulator.fleet import MODEL
from baobabpulley.emulator.fleet import SECRET
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.fleet import FleetPlan
from baobabpulley.emulator.fleet import caller_token
from baobabpulley.errors import BaobabError
from baobabpulley.errors import PeerUnavailable
from baobabpulley.model.documents import ModelDocument
from baobabpulley.model.documents import ServiceDocument
from baobabpulley.model.documents import encode_document
from baobabpulley.model.documents import model_key
from baobabpulley.model.documents import service_key
from baobabpulley.model.messages import FleetStateRequest
from baobabpulley.model.messages import FleetStateResponse
from baobabpulley.model.messages import OrderDecision
from baobabpulley.model.messages import OrderDecisionsRequest
from baobabpulley.model.messages import OrderDecisionsResponse
from baobabpulley.model.upstreams import LEAVING
from baobabpulley.ports.config_store import Swap
from baobabpulley.settings import PeersSection
from baobabpulley.standins.text import make_prompt
from baobabpulley.timers import TimerService

SPEED = 2.0
VM_LIST_LAG_SECONDS = 5.0
LEAVING_BOUND_SECONDS = 3.0
WAIT_SECONDS = 60.0
KEEPERS = 3
ENGINES = 3

pytestmark = pytest.mark.asyncio(loop_scope="module")


class Watcher:
    """Query the keepers of a fleet, as an entry does."""

    def __init__(self, fleet: Fleet, directory: Path) -> None:
        self.fleet = fleet
        self.directory = directory
        self.timers = TimerService(speed=SPEED)
        self.peers = PynngPeers(
            node="watcher", section=PeersSection(secret=SECRET), timers=self.timers
        )

    async def state(self, index: int) -> FleetStateResponse | None:
        return await self._query(index, FleetStateRequest(settings_revision=0), FleetStateResponse)

    async def order_decisions(self, index: int) -> OrderDecisionsResponse | None:
        return await self._query(index, OrderDecisionsRequest(), OrderDecisionsResponse)

    async def live(self, index: int) -> tuple[str, ...]:
        response = await self.state(index)
        return response.live_keepers if response else ()

    async def holder(self, *, above: int = 0) -> int | None:
        for index in range(KEEPERS):
            response = await self.order_decisions(index)
            if response is not None and response.holds and response.fence > above:
                return index
        return None

    async def decisions(self, upstream: str) -> tuple[OrderDecision, ...]:
        """Return the current lease holder's decisions for an engine."""
        holder = await self.holder()
        response = await self.order_decisions(holder) if holder is not None else None
        decisions = response.decisions if response else ()
        return tuple(decision for decision in decisions if decision.upstream == upstream)

    async def journal(self, engine: str) -> list[dict[str, Any]]:
        address = self.fleet.address_of(engine)
        return (await self.fleet.request(address, "GET", "/journal"))["lines"]

    async def models(self, engine: str) -> dict[str, str]:
        address = self.fleet.address_of(engine)
        try:
            return (await self.fleet.request(address, "GET", "/v1/state"))["models"]
        except BaobabError:
            return {}

    async def put(self, key: str, document: msgspec.Struct) -> None:
        stored = await self.fleet.store.get(key)
        revision = stored.mod_revision if stored else 0
        swap = Swap(key=key, value=encode_document(document), expected_revision=revision)
        assert (await self.fleet.store.swap(swap)).applied

    async def _query(self, index: int, request: Any, reply_type: Any) -> Any:
        address = self.fleet.address_of(f"vm-{index}")
        try:
            return await self.peers.request(address, request, reply_type=reply_type, timeout=1.0)
        except PeerUnavailable:
            return None


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def watcher(
    base_port: int, tmp_path_factory: pytest.TempPathFactory
) -> AsyncIterator[Watcher]:
    directory: Path = tmp_path_factory.mktemp("fleet")
    plan = FleetPlan(
        base_port=base_port,
        domains=("fes",),
        speed=SPEED,
        entries=KEEPERS,
        engines=ENGINES,
        plain_services=0,
        vm_list_lag=VM_LIST_LAG_SECONDS,
        engine_options=("--models", "", "--ignores-fencing"),
        keeper_sections={
            "tender": {
                "ttl": "11",
                "renew": "1.5",
                "try_again": "1",
                "loads_per_second": "4",
                "loads_burst": "4",
            }
        },
    )
    async with Fleet(plan=plan, directory=directory) as fleet:
        running = Watcher(fleet, directory)
        unfenced = ServiceDocument(kind="engine", checks_fencing=False)
        await running.put(service_key(ENGINE_SERVICE), unfenced)
        yield running
        running.peers.close()


async def _until(condition: Callable[[], Awaitable[bool]]) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while not await condition():  # noqa: ASYNC110
            await asyncio.sleep(0.05)


async def _all_have(watcher: Watcher, version: str) -> bool:
    engines = [f"engine-{index}" for index in range(ENGINES)]
    models = await asyncio.gather(*(watcher.models(engine) for engine in engines))
    return all(versions.get(MODEL) == version for versions in models)


async def _some_have(watcher: Watcher, version: str) -> bool:
    engines = [f"engine-{index}" for index in range(ENGINES)]
    models = await asyncio.gather(*(watcher.models(engine) for engine in engines))
    return any(versions.get(MODEL) == version for versions in models)


async def test_engines_that_start_empty_are_given_their_models(watcher: Watcher) -> None:
    await _until(lambda: _all_have(watcher, "1"))
    holder = await watcher.holder()
    assert holder is not None
    response = await watcher.order_decisions(holder)
    assert response is not None
    loads = [decision.upstream for decision in response.decisions if decision.what == "load"]
    assert sorted(loads) == [f"engine-{index}" for index in range(ENGINES)]


async def test_killed_engine_that_returns_empty_is_given_its_models_back(watcher: Watcher) -> None:
    await _until(lambda: _all_have(watcher, "1"))
    before = len(await watcher.decisions("engine-1"))
    process = watcher.fleet.processes["engine-1"]
    process.kill()
    process.start()
    await _until(lambda: _all_have(watcher, "1"))
    await _until(lambda: _is_longer(watcher.decisions("engine-1"), before + 1))
    repair = (await watcher.decisions("engine-1"))[before:]
    assert [decision.what for decision in repair if decision.what != "unanswered"] == [
        "load",
        "confirmed",
    ]
    assert repair[0].reason == "missing"
    output = await _explain(watcher, "engine-1")
    assert f"{MODEL} version 1  order {repair[0].order}  (missing)" in output
    assert "confirmed  engine-1" in output


async def _explain(watcher: Watcher, upstream: str) -> str:
    """Return the output of ``explain`` with all keepers queried."""
    keepers = [
        option
        for index in range(KEEPERS)
        for option in ("--keeper", watcher.fleet.address_of(f"vm-{index}"))
    ]
    settings = watcher.directory / "entry-0.ini"
    command = ["-m", "baobabpulley", "explain", upstream, "--settings", str(settings), *keepers]
    process = await asyncio.create_subprocess_exec(
        sys.executable, *command, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    assert process.returncode == 0
    return output.decode()


async def _is(value: Awaitable[Any], expected: Any) -> bool:
    return await value == expected


async def _is_longer(value: Awaitable[Any], length: int) -> bool:
    return len(await value) > length


async def test_frozen_keeper_is_dropped_and_its_late_orders_change_nothing(
    watcher: Watcher,
) -> None:
    all_keepers = tuple(f"vm-{index}" for index in range(KEEPERS))
    await _until(lambda: _all_have(watcher, "1"))
    old_holder = await watcher.holder()
    assert old_holder is not None
    others = [index for index in range(KEEPERS) if index != old_holder]
    fence = (await watcher.order_decisions(old_holder)).fence  # type: ignore[union-attr]
    # The holder is frozen with orders due: the new version has just been requested.
    await watcher.put(model_key(MODEL), ModelDocument(service=ENGINE_SERVICE, version="2"))
    await _until(lambda: _some_have(watcher, "2"))
    process = watcher.fleet.processes[f"keeper-{old_holder}"]
    process.send(signal.SIGSTOP)
    try:
        await _until(lambda: _is(watcher.live(others[0]), tuple(f"vm-{i}" for i in others)))
        await watcher.put(model_key(MODEL), ModelDocument(service=ENGINE_SERVICE, version="3"))
        await _until(lambda: _all_have(watcher, "3"))
    finally:
        process.send(signal.SIGCONT)
    await _until(lambda: _is(watcher.live(others[0]), all_keepers))
    await _until(lambda: _is(watcher.live(old_holder), all_keepers))
    await watcher.timers.sleep(4.0)
    assert await _all_have(watcher, "3")
    for index in range(ENGINES):
        lines = await watcher.journal(f"engine-{index}")
        fences = [line["fence"] for line in lines if line["kind"] == "order"]
        assert fences == sorted(fences)
        assert fences[-1] > fence


async def test_leaving_upstream_gets_no_new_work_although_the_list_lags(watcher: Watcher) -> None:
    fleet = watcher.fleet
    await _until(lambda: _all_have(watcher, "3"))
    caller = Caller(token=caller_token("souk"), model=MODEL)
    addresses = list(fleet.entries.values())
    leaving = "engine-2"

    async def burst(addresses: list[str], seed: int) -> None:
        prompts = [make_prompt(tokens=50, seed=seed + index) for index in range(3 * ENGINES)]
        calls = [
            caller.complete(address, prompt=prompt, max_tokens=2)
            for address in addresses
            for prompt in prompts
        ]
        assert all(completion.ok for completion in await asyncio.gather(*calls))

    await burst(addresses, 0)
    assert any(line["kind"] == "completion" for line in await watcher.journal(leaving))
    leaving_at = watcher.timers.now()
    await fleet.inject_fault(fleet.address_of(leaving), "leaving")
    vm_list = [
        msgspec.structs.replace(vm, state=LEAVING) if vm.id == leaving else vm for vm in fleet.vms
    ]
    await fleet.put_vms(vm_list)
    # The other entries have sent nothing since, so they learn of it from their keepers alone.
    await burst(addresses[:1], 1_000)
    await watcher.timers.sleep(leaving_at + LEAVING_BOUND_SECONDS - watcher.timers.now())
    deadline = watcher.timers.now()
    assert deadline - leaving_at < VM_LIST_LAG_SECONDS
    states = [await watcher.state(index) for index in range(KEEPERS)]
    assert all(state is not None for state in states)
    await burst(addresses, 2_000)
    lines = await watcher.journal(leaving)
    assert not [line for line in lines if line["kind"] == "completion" and line["at"] > deadline]
