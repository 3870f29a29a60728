"""Tests of gateways whose operators evacuate failure domains while requests run and wait."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import platform_upstream as upstreams
import pytest
from evacuation_builders import ZONES
from evacuation_builders import add_zones
from evacuation_builders import end_evacuation
from evacuation_builders import evacuate
from fair_clock import FairClock
from gateway_builders import KITCHEN
from gateway_builders import LEDGER
from gateway_builders import Reply
from gateway_builders import World
from gateway_builders import configuration
from gateway_builders import open_world
from gateway_builders import route
from gateway_builders import send
from gateway_builders import wait_until
from platform_upstream import UpstreamStandin
from tornado.iostream import IOStream

from baobabpulley.gateway.daemon import Gateway
from baobabpulley.gateway.placement.evacuation_refusal import RETRY_AFTER_SECONDS
from baobabpulley.gateway.placement.placer import Placement
from baobabpulley.gateway.placement.placer import Placer
from baobabpulley.gateway.placement.planning import PlacementRequest
from baobabpulley.gateway.store.fleet_snapshot import FleetSnapshot
from baobabpulley.gateway.tunnels import upstream_connector
from baobabpulley.platform import names

EVENTS = 6
# Needs two engines with tickets besides the first one.
LONG_TOKENS = "300000,100"


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


def arrivals(standins: list[UpstreamStandin]) -> int:
    return sum(len(standin.arrivals) + len(standin.orders) for standin in standins)


async def orders(gateway: Gateway, count: int = 20) -> set[int]:
    replies = await asyncio.gather(*(send(gateway, "/order/7") for _ in range(count)))
    return {reply.status for reply in replies}


async def start_held(
    world: World, gateway: Gateway, path: str, **options: str
) -> tuple[asyncio.Task[Reply], UpstreamStandin]:
    """Send a request that an upstream holds, and return it with that upstream."""
    task = asyncio.create_task(send(gateway, path, **options))
    before = {name: len(standin.journal) for name, standin in world.upstreams.items()}
    started: list[UpstreamStandin] = []

    def is_started() -> bool:
        started[:] = [
            standin
            for name, standin in world.upstreams.items()
            if len(standin.journal) > before[name]
        ]
        return bool(started)

    await wait_until(is_started)
    return task, started[0]


async def test_under_traffic_a_domain_is_evacuated_and_used_again_and_its_stream_ends_whole(
    world: World,
) -> None:
    engines = await add_zones(world, service=KITCHEN)
    resumes = asyncio.Event()
    for (standin,) in engines.values():
        standin.behaviour = upstreams.stream(events=EVENTS, pause_after=2, resumes=resumes)
    servers = await add_zones_of_ledger(world)
    gateway = await world.add_gateway(watch_wait="0.5")
    stream, engine = await start_held(world, gateway, "/draft/7")
    zone = engine.zone
    statuses: set[int] = set()
    is_over = asyncio.Event()

    async def send_orders() -> None:
        while not is_over.is_set():
            statuses.add((await send(gateway, "/order/7")).status)

    traffic = [asyncio.create_task(send_orders()) for _ in range(4)]
    await wait_until(lambda: all(arrivals([server]) > 5 for server in servers.values()))
    await evacuate(world, zone, known_to=gateway)
    # Requests that were sent just before may still arrive.
    await asyncio.sleep(0.1)
    before = arrivals([servers[zone], engine])
    await asyncio.sleep(0.4)
    assert arrivals([servers[zone], engine]) == before
    resumes.set()
    reply = await stream
    assert (reply.status, reply.complete, reply.events) == (200, True, list(range(EVENTS)))
    value = gateway.metrics.registry.get_sample_value
    assert value("baobab_gateway_evacuated_domains") == 1
    await end_evacuation(world, zone, known_to=gateway)
    await wait_until(lambda: arrivals([servers[zone]]) > before + 5)
    assert value("baobab_gateway_evacuated_domains") == 0
    is_over.set()
    await asyncio.gather(*traffic)
    assert statuses == {200}


async def add_zones_of_ledger(world: World) -> dict[str, UpstreamStandin]:
    return {
        zone: await world.add_upstream(f"s-{zone}", service=LEDGER, zone=zone) for zone in ZONES
    }


async def test_two_domains_get_nothing_and_the_third_gets_all(world: World) -> None:
    servers = await add_zones(world)
    gateway = await world.add_gateway()
    await evacuate(world, "fes", "rabat", known_to=gateway)
    assert await orders(gateway) == {200}
    assert [arrivals(servers[zone]) for zone in ZONES] == [0, 0, 20]


async def test_an_unknown_domain_has_no_effect(world: World) -> None:
    await add_zones(world)
    gateway = await world.add_gateway()
    await evacuate(world, "agadir", known_to=gateway)
    assert await orders(gateway) == {200}
    assert all(standin.arrivals for standin in world.upstreams.values())


async def test_with_all_domains_evacuated_requests_are_refused_at_once_with_retry_after(
    world: World,
) -> None:
    servers = await add_zones(world)
    gateway = await world.add_gateway()
    await evacuate(world, *ZONES, known_to=gateway)
    clock = FairClock()
    reply = await send(gateway, "/order/7")
    assert clock.seconds < 0.5
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) >= RETRY_AFTER_SECONDS
    assert b"all_evacuated" in reply.body
    assert b'"ran":false' in reply.body
    assert sum(map(arrivals, servers.values())) == 0
    await end_evacuation(world, "safi", known_to=gateway)
    assert await orders(gateway) == {200}
    assert [arrivals(servers[zone]) for zone in ZONES] == [0, 0, 20]


async def test_an_evacuation_stays_in_force_while_the_store_is_down_also_at_a_gateway_that_starts(
    world: World,
) -> None:
    servers = await add_zones(world)
    first = await world.add_gateway()
    await evacuate(world, "fes", known_to=first)
    world.store.mode = "silent"
    await wait_until(lambda: not first.link.connected)
    second = await world.add_gateway(wait=False)
    await wait_until(lambda: second.ready, seconds=5.0)
    for gateway in (first, second):
        assert await orders(gateway) == {200}
    assert arrivals(servers["fes"]) == 0


@pytest.mark.parametrize("number", [0, 1])
async def test_after_a_snapshot_of_an_earlier_version_evacuations_come_from_the_store(
    world: World, number: int
) -> None:
    # Of two gateways, one watches the store and the other one follows it.
    await add_zones(world)
    gateways = [await world.add_gateway(watch_wait="0.5") for _ in range(2)]
    await wait_until(lambda: sorted(each.link.followed is None for each in gateways) == [0, 1])
    state = gateways[number].fleet_state
    await evacuate(world, "fes", known_to=gateways[number])
    entries = tuple(
        entry for entry in state.snapshot().entries if names.EVACUATION_PREFIX not in entry.key
    )
    # The removal is among the changes that the snapshot has left out.
    world.store.delete(names.EVACUATION_PREFIX + "fes")
    state.install(FleetSnapshot(world.store.revision, entries), now=gateways[number].timers.now())
    assert state.evacuations.domains == {"fes"}
    await wait_until(lambda: not state.may_lack_evacuations)
    assert state.evacuations.domains == frozenset()


async def test_an_item_of_the_store_that_cannot_be_decoded_evacuates_nevertheless(
    world: World,
) -> None:
    await add_zones(world)
    key = names.EVACUATION_PREFIX + "fes"
    world.store.put(key, b"{}")
    world.store.items[key]["value"] = "%%"
    gateway = await world.add_gateway()
    assert gateway.fleet_state.evacuations.domains == {"fes"}
    await end_evacuation(world, "fes", known_to=gateway)


async def test_with_the_other_domains_unreachable_the_evacuated_one_still_gets_nothing(
    world: World,
) -> None:
    # Without a usable upstream, all candidates are used again; an evacuated one is none.
    servers = await add_zones(world)
    gateway = await world.add_gateway()
    for name, upstream in gateway.fleet_state.upstreams.items():
        if "fes" not in name:
            gateway.record.record_failure(upstream)
            gateway.record.record_failure(upstream)
    await evacuate(world, "fes", known_to=gateway)
    assert await orders(gateway) == {200}
    assert arrivals(servers["fes"]) == 0


async def test_requests_that_wait_as_an_evacuation_begins_do_not_go_there(world: World) -> None:
    await add_zones(world, slots=1)
    for standin in world.upstreams.values():
        standin.behaviour = upstreams.pause_first(0.3, upstreams.answer_complete)
    gateway = await world.add_gateway()
    tasks = [asyncio.create_task(send(gateway, "/order/7")) for _ in range(5)]
    await wait_until(lambda: gateway.placer.waiting == 2)
    await evacuate(world, "fes", "rabat", known_to=gateway)
    assert {reply.status for reply in await asyncio.gather(*tasks)} == {200}
    assert [len(standin.arrivals) for standin in world.upstreams.values()] == [1, 1, 3]


async def test_waiting_requests_are_refused_at_once_if_no_domain_is_left(world: World) -> None:
    await add_zones(world, slots=1)
    for standin in world.upstreams.values():
        standin.behaviour = upstreams.pause_first(0.6, upstreams.answer_complete)
    gateway = await world.add_gateway()
    running = [asyncio.create_task(send(gateway, "/order/7")) for _ in ZONES]
    await wait_until(lambda: all(standin.arrivals for standin in world.upstreams.values()))
    waiting = asyncio.create_task(send(gateway, "/order/7"))
    await wait_until(lambda: gateway.placer.waiting == 1)
    await evacuate(world, *ZONES, known_to=gateway)
    assert (await waiting).status == 503
    assert not any(task.done() for task in running)
    assert {reply.status for reply in await asyncio.gather(*running)} == {200}


# Guards against a wait in vain: the engines that are left together cannot hold the prompt.
async def test_a_waiting_prompt_is_refused_at_once_if_too_few_engines_are_left(
    world: World,
) -> None:
    await add_zones(world, service=KITCHEN, slots=1)
    for standin in world.upstreams.values():
        standin.behaviour = upstreams.pause_first(0.9, upstreams.stream(events=EVENTS))
    gateway = await world.add_gateway()
    running = [asyncio.create_task(send(gateway, "/draft/7")) for _ in ZONES]
    await wait_until(lambda: all(standin.arrivals for standin in world.upstreams.values()))
    # A short prompt that waits before the long one ends each pass over the queue.
    running.append(asyncio.create_task(send(gateway, "/draft/7")))
    await wait_until(lambda: gateway.placer.waiting == 1)
    headers = {names.TOKEN_COUNTS: LONG_TOKENS}
    waiting = asyncio.create_task(send(gateway, "/draft/7", **headers))
    await wait_until(lambda: gateway.placer.waiting == 2)
    await evacuate(world, "fes", known_to=gateway)
    assert (await waiting).status == 503
    assert not any(task.done() for task in running)
    assert {reply.status for reply in await asyncio.gather(*running)} == {200}


async def test_an_attempt_placed_but_not_sent_is_placed_again_and_costs_no_attempt(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    document = configuration(2, routes=[route("/order/", LEDGER, "non_idempotent")])
    only_one = document.replace(b'"max-attempts": 2', b'"max-attempts": 1')
    world.store.put(names.CONFIGURATION_KEY, only_one)
    servers = await add_zones(world)
    gateway = await world.add_gateway()
    zones = {each.address: zone for zone, (each,) in servers.items()}
    chosen: list[str] = []
    open_connection = upstream_connector.connect

    async def evacuate_meanwhile(address: str, *, timeout: float) -> IOStream:
        stream = await open_connection(address, timeout=timeout)
        if address in zones and not chosen:
            chosen.append(zones[address])
            await evacuate(world, zones[address], known_to=gateway)
        return stream

    monkeypatch.setattr(upstream_connector, "connect", evacuate_meanwhile)
    # No retry is in the budget, so the second attempt must not need one.
    gateway.retry_budget.configure(ratio=0.0, slack=0, window=10.0)
    assert (await send(gateway, "/order/7")).status == 200
    assert arrivals(servers[chosen[0]]) == 0
    value = gateway.metrics.registry.get_sample_value
    assert value("baobab_gateway_evacuated_attempts_total", {"service": LEDGER}) == 1


async def test_no_helper_and_no_reservation_is_used_in_an_evacuated_domain(world: World) -> None:
    engines = await add_zones(world, service=KITCHEN, count=2)
    for standin in world.upstreams.values():
        standin.behaviour = upstreams.stream(events=EVENTS)
    gateway = await world.add_gateway()
    await evacuate(world, "fes", known_to=gateway)
    for _ in range(3):
        assert (await send(gateway, "/draft/7", **{names.TOKEN_COUNTS: LONG_TOKENS})).complete
    helpers = "".join(
        call.headers[names.HELPERS.lower()]
        for standin in world.upstreams.values()
        for call in standin.journal
    )
    assert arrivals(engines["fes"]) == 0
    assert not any(standin.address in helpers for standin in engines["fes"])


async def test_reservations_of_a_running_prompt_are_renewed_and_released_in_an_evacuated_domain(
    world: World,
) -> None:
    engines = await add_zones(world, service=KITCHEN)
    for standin in world.upstreams.values():
        standin.behaviour = upstreams.stream(events=EVENTS, gap=0.2)
    gateway = await world.add_gateway()
    stream, first = await start_held(
        world, gateway, "/draft/7", **{names.TOKEN_COUNTS: LONG_TOKENS}
    )
    await evacuate(world, *ZONES, known_to=gateway)
    held, *_ = [standin for (standin,) in engines.values() if standin is not first]
    before = len(held.orders)
    await wait_until(lambda: len(held.orders) > before)
    assert held.orders[-1]["operation"] == "reserve"
    assert (await stream).events == list(range(EVENTS))
    await wait_until(lambda: held.orders[-1]["operation"] == "release")


async def test_a_prompt_whose_helper_is_evacuated_while_memory_is_reserved_is_placed_again(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    engines = await add_zones(world, service=KITCHEN, count=3)
    for standin in world.upstreams.values():
        standin.behaviour = upstreams.stream(events=EVENTS)
    gateway = await world.add_gateway()
    addresses = {each.address for each in engines["fes"]}
    begun: list[str] = []
    open_connection = upstream_connector.connect

    async def evacuate_meanwhile(address: str, *, timeout: float) -> IOStream:
        stream = await open_connection(address, timeout=timeout)
        if address in addresses and not begun:
            begun.append(address)
            await evacuate(world, "fes", known_to=gateway)
        return stream

    monkeypatch.setattr(upstream_connector, "connect", evacuate_meanwhile)
    for _ in range(4):
        reply = await send(gateway, "/draft/7", **{names.TOKEN_COUNTS: LONG_TOKENS})
        assert (reply.status, reply.complete) == (200, True)
    assert begun
    # Not even a release arrives for a reservation that was never asked for.
    await asyncio.sleep(0.1)
    sent = [standin for standin in engines["fes"] if standin.address == begun[0]]
    assert arrivals(sent) == 0


async def test_no_chunk_goes_to_a_helper_evacuated_while_the_first_engine_is_connected_to(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Prompts of this size have helper engines without reservations.
    engines = await add_zones(world, service=KITCHEN)
    zones = {each.address: zone for zone, (each,) in engines.items()}
    for standin in world.upstreams.values():
        standin.behaviour = upstreams.stream(events=EVENTS)
    gateway = await world.add_gateway()
    evacuated: list[str] = []
    open_connection = upstream_connector.connect

    async def evacuate_meanwhile(address: str, *, timeout: float) -> IOStream:
        stream = await open_connection(address, timeout=timeout)
        if address in zones and not evacuated:
            evacuated.append(next(zone for zone in ZONES if zone != zones[address]))
            await evacuate(world, *evacuated, known_to=gateway)
        return stream

    monkeypatch.setattr(upstream_connector, "connect", evacuate_meanwhile)
    assert (await send(gateway, "/draft/7", **{names.TOKEN_COUNTS: "150000,100"})).complete
    (call,) = [call for standin in world.upstreams.values() for call in standin.journal]
    helpers = call.headers[names.HELPERS.lower()]
    assert helpers
    assert engines[evacuated[0]][0].address not in helpers


async def test_no_memory_is_reserved_for_a_prompt_whose_first_engine_is_evacuated(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Of the engines of one domain there are too few for the prompt.
    await add_zones(world, service=KITCHEN, count=2)
    for standin in world.upstreams.values():
        standin.behaviour = upstreams.stream(events=EVENTS)
    gateway = await world.add_gateway()
    place = Placer.place
    placed: list[Placement] = []

    async def evacuate_after_placing(placer: Placer, request: PlacementRequest) -> Placement:
        placement = await place(placer, request)
        if not placed:
            placed.append(placement)
            await evacuate(world, placement.upstream.failure_domain, known_to=gateway)
        return placement

    monkeypatch.setattr(Placer, "place", evacuate_after_placing)
    assert (await send(gateway, "/draft/7", **{names.TOKEN_COUNTS: LONG_TOKENS})).complete
    orders_sent = [order for standin in world.upstreams.values() for order in standin.orders]
    identifiers = {order["identifier"] for order in orders_sent}
    assert placed
    # Those of the second attempt.
    assert len(identifiers) == 2
