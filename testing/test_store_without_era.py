"""Tests of a store that states no era, and comes back from a copy all the same."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from gateway_builders import World
from gateway_builders import configuration
from gateway_builders import open_world
from gateway_builders import wait_for_version
from gateway_builders import wait_until

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.gateway.daemon import Gateway
from baobabpulley.model.revisions import era_of
from baobabpulley.model.revisions import ordered_revision
from baobabpulley.platform import names
from baobabpulley.platform.store import PlatformStore

MANY_WRITES = 80


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        opened.store.era = None
        await opened.add_upstream("i-1")
        yield opened


async def _lose_writes(world: World) -> None:
    """Write to the store, and bring it back from a copy of before."""
    copy = world.store.copy()
    for _ in range(MANY_WRITES):
        world.store.put(names.UPSTREAM_PREFIX + "i-1", world.upstreams["i-1"].entry())
    await asyncio.sleep(0.5)
    world.store.mode = "reset"
    await asyncio.sleep(0.2)
    world.store.return_from(copy)
    world.store.mode = ""


def _era(gateway: Gateway) -> int:
    return era_of(gateway.fleet_state.revision)


async def test_one_return_is_counted_once_by_all_gateways(world: World) -> None:
    domains = 2 * ("fes", "rabat", "agadir")
    gateways = [await world.add_gateway(failure_domain=domain) for domain in domains]
    await _lose_writes(world)
    await wait_until(lambda: all(_era(gateway) for gateway in gateways))
    calls = world.store.calls
    await asyncio.sleep(1.5)
    assert [_era(gateway) for gateway in gateways] == [1] * len(gateways)
    # Two watches and the registration of each gateway, twice over.
    assert world.store.calls - calls <= 2 * 5 * len(gateways)


async def test_a_return_that_others_told_of_is_not_counted_again(world: World) -> None:
    store = PlatformStore(client=HttpClient(), address=world.store.address, watch_wait=0.2)
    copy = world.store.copy()
    world.store.put("members/front-1", b"{}")
    await store.read("")
    world.store.return_from(copy)
    store.adopt_era(1)
    position = ordered_revision(copy.revision, era=1)
    batch = await anext(aiter(store.watch("", from_revision=position)))
    assert (store.era, batch.revision) == (1, position)


async def test_a_gateway_that_starts_after_the_return_hears_changes_by_itself(world: World) -> None:
    first = await world.add_gateway()
    await _lose_writes(world)
    await wait_until(lambda: _era(first) == 1)
    started = await world.add_gateway(failure_domain="rabat")
    await wait_until(lambda: _era(started) == 1)
    first.close()
    world.gateways.remove(first)
    world.store.put(names.CONFIGURATION_KEY, configuration(2))
    await wait_for_version(started, 2)
