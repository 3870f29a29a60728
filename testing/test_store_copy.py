"""Tests of gateways whose store comes back from a copy that lacks its latest writes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterable
from pathlib import Path

import pytest
from gateway_builders import LEDGER
from gateway_builders import World
from gateway_builders import configuration
from gateway_builders import open_world
from gateway_builders import route
from gateway_builders import send
from gateway_builders import wait_for_version
from gateway_builders import wait_until
from platform_store import StoreCopy

from baobabpulley.gateway.daemon import Gateway
from baobabpulley.model.revisions import era_of
from baobabpulley.platform import names

# Writes since the copy: more than are written again before the next change.
MANY_WRITES = 80
IN_FORCE_SECONDS = 2.0
# What the test's settings allow for registrations to come back.
RETURNED_WITHIN_SECONDS = 0.8


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


def _with_route(version: int, prefix: str) -> bytes:
    return configuration(version, routes=[route(prefix, LEDGER, names.KIND_ONCE)])


def _register(world: World, upstream: str, *, state: str = names.STATE_READY) -> None:
    entry = world.upstreams[upstream].entry(state=state)
    world.store.put(names.UPSTREAM_PREFIX + upstream, entry)


def _used(gateway: Gateway) -> set[str]:
    return {each.id for each in gateway.fleet_state.upstreams.values() if not each.leaving}


def _version(gateway: Gateway) -> int | None:
    table = gateway.fleet_state.table
    return None if table is None else table.version


def _write_heartbeats(world: World, count: int = MANY_WRITES) -> None:
    ids = sorted(world.upstreams)
    for number in range(count):
        _register(world, ids[number % len(ids)])


async def _come_back(
    world: World, copy: StoreCopy, *, version: int, upstreams: Iterable[str], away: float = 0.2
) -> None:
    """Take the store away, bring it back from a copy, and write again what others own."""
    world.store.mode = "reset"
    await asyncio.sleep(away)
    world.store.return_from(copy)
    if version > 1:
        world.store.put(names.CONFIGURATION_KEY, _with_route(version, f"/v{version}/"))
    for upstream in upstreams:
        _register(world, upstream)
    world.store.mode = ""


async def _add_gateways(world: World, count: int = 2, **options: str) -> list[Gateway]:
    """Start gateways of one failure domain, and one of another."""
    gateways = [await world.add_gateway(**options) for _ in range(count)]
    gateways.append(await world.add_gateway(failure_domain="rabat", **options))
    return gateways


async def _wait_until_used(gateways: Iterable[Gateway], upstreams: set[str]) -> None:
    """Wait until the gateways use just these upstreams."""
    for gateway in gateways:
        await wait_until(
            lambda gateway=gateway: _used(gateway) == upstreams, seconds=IN_FORCE_SECONDS
        )


@pytest.mark.parametrize("writes", [0, 4, MANY_WRITES])
async def test_changes_after_a_return_from_a_copy_are_in_force(world: World, writes: int) -> None:
    for name in ("i-1", "i-2", "i-3"):
        await world.add_upstream(name)
    gateways = await _add_gateways(world)
    copy = world.store.copy()
    _write_heartbeats(world, writes)
    world.store.put(names.CONFIGURATION_KEY, _with_route(2, "/v2/"))
    for gateway in gateways:
        await wait_for_version(gateway, 2)
    await _come_back(world, copy, version=2, upstreams=world.upstreams)
    await asyncio.sleep(0.5)
    world.store.put(names.CONFIGURATION_KEY, _with_route(3, "/v3/"))
    for gateway in gateways:
        await wait_for_version(gateway, 3)
        assert (await send(gateway, "/v3/7")).status == 200
        assert (await send(gateway, "/v2/7")).status == 404
    _register(world, "i-1", state=names.STATE_DRAINING)
    world.store.delete(names.UPSTREAM_PREFIX + "i-2")
    await _wait_until_used(gateways, {"i-3"})


async def test_a_change_in_the_revisions_that_are_given_out_again_is_not_missed(
    world: World,
) -> None:
    await world.add_upstream("i-1")
    gateways = await _add_gateways(world)
    copy = world.store.copy()
    _write_heartbeats(world, 3)
    for gateway in gateways:
        await wait_until(lambda g=gateway: g.fleet_state.upstreams["i-1"].revision > copy.revision)
    # Before any gateway asks again, the count has passed the revisions that they know.
    world.store.mode = "reset"
    await asyncio.sleep(0.2)
    world.store.return_from(copy)
    world.store.put(names.CONFIGURATION_KEY, _with_route(2, "/v2/"))
    _write_heartbeats(world, 20)
    world.store.mode = ""
    for gateway in gateways:
        await wait_for_version(gateway, 2)


async def test_two_returns_from_copies_in_a_row_are_followed(world: World) -> None:
    await world.add_upstream("i-1")
    gateways = await _add_gateways(world)
    for version in (2, 4):
        copy = world.store.copy()
        _write_heartbeats(world)
        await asyncio.sleep(0.1)
        await _come_back(world, copy, version=version, upstreams=["i-1"])
    world.store.put(names.CONFIGURATION_KEY, _with_route(5, "/v5/"))
    for gateway in gateways:
        await wait_for_version(gateway, 5)


async def test_a_gateway_without_a_path_to_the_store_learns_of_the_return_from_others(
    world: World,
) -> None:
    await world.add_upstream("i-1")
    gateways = await _add_gateways(world)
    # It has read the store, then nothing answers it any more.
    gateways[1].store._address = "127.0.0.1:1"
    gateways[1].link.restart()
    copy = world.store.copy()
    _write_heartbeats(world)
    await asyncio.sleep(0.5)
    await _come_back(world, copy, version=2, upstreams=["i-1"])
    world.store.put(names.CONFIGURATION_KEY, _with_route(3, "/v3/"))
    for gateway in gateways:
        await wait_for_version(gateway, 3)


async def test_a_gateway_that_starts_after_the_return_agrees_with_the_others(world: World) -> None:
    await world.add_upstream("i-1")
    gateways = await _add_gateways(world)
    copy = world.store.copy()
    _write_heartbeats(world)
    await asyncio.sleep(0.1)
    await _come_back(world, copy, version=2, upstreams=["i-1"])
    gateways.append(await world.add_gateway())
    world.store.put(names.CONFIGURATION_KEY, _with_route(3, "/v3/"))
    for gateway in gateways:
        await wait_for_version(gateway, 3)


async def test_a_store_that_states_no_era_is_followed_after_its_return(world: World) -> None:
    world.store.era = None
    await world.add_upstream("i-1")
    gateways = await _add_gateways(world)
    copy = world.store.copy()
    _write_heartbeats(world)
    await asyncio.sleep(0.1)
    await _come_back(world, copy, version=2, upstreams=["i-1"])
    gateways.append(await world.add_gateway())
    world.store.put(names.CONFIGURATION_KEY, _with_route(3, "/v3/"))
    for gateway in gateways:
        await wait_for_version(gateway, 3)


async def test_a_return_of_a_store_that_states_no_era_counts_once(world: World) -> None:
    world.store.era = None
    await world.add_upstream("i-1")
    gateways = await _add_gateways(world, 6)
    copy = world.store.copy()
    _write_heartbeats(world)
    await asyncio.sleep(0.3)
    await _come_back(world, copy, version=2, upstreams=["i-1"])
    for _ in range(8):
        await asyncio.sleep(0.2)
        _register(world, "i-1")
    assert [era_of(gateway.fleet_state.revision) for gateway in gateways] == [1] * len(gateways)


async def test_a_gateway_that_starts_after_the_return_learns_of_an_era_that_no_answer_states(
    world: World,
) -> None:
    world.store.era = None
    await world.add_upstream("i-1")
    gateways = await _add_gateways(world)
    copy = world.store.copy()
    _write_heartbeats(world)
    await asyncio.sleep(0.3)
    await _come_back(world, copy, version=2, upstreams=["i-1"])
    for gateway in gateways:
        await wait_until(lambda g=gateway: era_of(g.fleet_state.revision) == 1)
    late = await world.add_gateway(failure_domain="safi")
    # It hears of the newer era, and then reads the store and watches it in that.
    await wait_until(lambda: era_of(late.fleet_state.revision) == late.store.era == 1)
    for version in range(3, 8):
        world.store.put(names.CONFIGURATION_KEY, _with_route(version, f"/v{version}/"))
        for gateway in (*gateways, late):
            await wait_for_version(gateway, version)
        await asyncio.sleep(0.2)


async def test_what_left_since_the_copy_does_not_come_back(world: World) -> None:
    for name in ("i-1", "i-2", "i-3"):
        await world.add_upstream(name)
    gateways = await _add_gateways(world)
    copy = world.store.copy()
    _register(world, "i-1", state=names.STATE_DRAINING)
    world.store.delete(names.UPSTREAM_PREFIX + "i-2")
    await _wait_until_used(gateways, {"i-3"})
    await _come_back(world, copy, version=1, upstreams=["i-3"])
    end = asyncio.get_running_loop().time() + 2 * RETURNED_WITHIN_SECONDS
    while asyncio.get_running_loop().time() < end:
        assert [_used(gateway) for gateway in gateways] == [{"i-3"}] * len(gateways)
        await asyncio.sleep(0.01)
    # A server that was only thought to be gone is used again once it has written its entry.
    _register(world, "i-2")
    await _wait_until_used(gateways, {"i-2", "i-3"})


async def test_what_the_copy_lacks_is_used_until_its_time_to_register_again_is_over(
    world: World,
) -> None:
    await world.add_upstream("i-1")
    gateways = await _add_gateways(world)
    copy = world.store.copy()
    for name in ("i-2", "i-3"):
        await world.add_upstream(name)
    await _wait_until_used(gateways, {"i-1", "i-2", "i-3"})
    await _come_back(world, copy, version=1, upstreams=["i-1"])
    await asyncio.sleep(RETURNED_WITHIN_SECONDS / 4)
    _register(world, "i-2")
    assert [_used(gateway) for gateway in gateways] == [{"i-1", "i-2", "i-3"}] * len(gateways)
    await _wait_until_used(gateways, {"i-1", "i-2"})


async def test_a_configuration_older_than_the_one_in_force_does_not_come_back_with_a_copy(
    world: World,
) -> None:
    await world.add_upstream("i-1")
    gateways = await _add_gateways(world)
    copy = world.store.copy()
    world.store.put(names.CONFIGURATION_KEY, _with_route(2, "/v2/"))
    for gateway in gateways:
        await wait_for_version(gateway, 2)
    await _come_back(world, copy, version=1, upstreams=["i-1"])
    for _ in range(100):
        assert [_version(gateway) for gateway in gateways] == [2] * len(gateways)
        await asyncio.sleep(0.01)
    # What the operators write after the return is in force, whatever its version.
    world.store.put(names.CONFIGURATION_KEY, configuration(1))
    for gateway in gateways:
        await wait_for_version(gateway, 1)


async def test_an_evacuation_that_the_copy_lacks_goes_on_until_it_is_written_again(
    world: World,
) -> None:
    await world.add_upstream("i-1")
    gateways = await _add_gateways(world)
    copy = world.store.copy()
    evacuation = names.EVACUATION_PREFIX + "fes"
    world.store.put(evacuation, b"{}")
    for gateway in gateways:
        await wait_until(lambda g=gateway: bool(g.fleet_state.evacuations.domains))
    await _come_back(world, copy, version=1, upstreams=["i-1"])
    await asyncio.sleep(RETURNED_WITHIN_SECONDS / 4)
    world.store.put(evacuation, b"{}")
    for _ in range(100):
        assert all(gateway.fleet_state.evacuations.domains for gateway in gateways)
        await asyncio.sleep(0.01)
    world.store.delete(evacuation)
    for gateway in gateways:
        await wait_until(lambda g=gateway: not g.fleet_state.evacuations.domains)


async def test_gateways_register_again_at_once_after_the_return(world: World) -> None:
    copy = world.store.copy()
    gateways = await _add_gateways(world)
    nodes = {names.MEMBER_PREFIX + gateway.node.id for gateway in gateways}
    await wait_until(lambda: nodes <= world.store.items.keys())
    await _come_back(world, copy, version=1, upstreams=[])
    await wait_until(lambda: nodes <= world.store.items.keys(), seconds=2.0)
    assert all(world.store.items[node]["lease"] in world.store.leases for node in nodes)


async def test_registrations_after_the_return_are_spread_out(world: World) -> None:
    copy = world.store.copy()
    gateways = [await world.add_gateway() for _ in range(8)]
    nodes = {names.MEMBER_PREFIX + gateway.node.id for gateway in gateways}
    await wait_until(lambda: nodes <= world.store.items.keys())
    await asyncio.sleep(0.5)
    await _come_back(world, copy, version=1, upstreams=[])
    await wait_until(lambda: not nodes.isdisjoint(world.store.items.keys()))
    await asyncio.sleep(0.1)
    # All of them within a second.
    assert len(nodes & world.store.items.keys()) <= 5
    await wait_until(lambda: nodes <= world.store.items.keys(), seconds=2.0)


async def test_a_stale_lease_that_another_gateway_holds_now_is_not_renewed(world: World) -> None:
    copy = world.store.copy()
    gateway = await world.add_gateway(member_lease="0.6")
    key = names.MEMBER_PREFIX + gateway.node.id
    await wait_until(lambda: key in world.store.items)
    lease = world.store.items[key]["lease"]
    world.store.return_from(copy)
    # The store gives out the same lease to someone else.
    assert next(world.store.lease_numbers) == lease
    world.store.leases[lease] = {"members/front-99"}
    world.store.put("members/front-99", b"{}", lease)
    await wait_until(lambda: key in world.store.items, seconds=2.0)
    assert world.store.leases[lease] == {"members/front-99"}


async def test_reading_again_after_a_return_does_not_hurry_the_store(world: World) -> None:
    await world.add_upstream("i-1")
    await _add_gateways(world)
    copy = world.store.copy()
    _write_heartbeats(world)
    await asyncio.sleep(0.1)
    calls = world.store.calls
    world.store.return_from(copy)
    await asyncio.sleep(1.0)
    # A read, a watch every second and the registration of each gateway, twice over.
    assert world.store.calls - calls <= 2 * 3 * 5
