"""Tests of the entry by which a gateway is a member of the fleet."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from gateway_builders import World
from gateway_builders import open_world
from gateway_builders import wait_until

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.gateway.store.fleet_snapshot import FleetSnapshot
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.gateway.store.member_registration import MemberRegistration
from baobabpulley.model.revisions import ordered_revision
from baobabpulley.platform import names
from baobabpulley.platform.documents import PlatformDocuments
from baobabpulley.platform.store import PlatformStore
from baobabpulley.timers import TimerService

# A cancellation may come in any of so many turns of the event loop after the event.
TURNS = 8


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


@pytest.mark.parametrize("turns", range(TURNS))
async def test_a_gateway_that_stops_just_as_the_store_returns_ends_its_registration(
    world: World, turns: int
) -> None:
    gateway = await world.add_gateway()
    state = FleetState(PlatformDocuments())
    store = PlatformStore(client=HttpClient(), address=world.store.address, watch_wait=0.2)
    registration = MemberRegistration(
        node=gateway.node,
        store=store,
        documents=PlatformDocuments(),
        lease_seconds=30.0,
        fleet_state=state,
        timers=TimerService(),
    )
    state.install(FleetSnapshot(5, ()), now=0.0)
    key = names.MEMBER_PREFIX + gateway.node.id
    await wait_until(lambda: key in world.store.items)
    written_at = world.store.items[key]["revision"]
    task = asyncio.create_task(registration.run())
    await wait_until(lambda: world.store.items[key]["revision"] > written_at)
    # It has the answer to its write, and waits until its lease is to be renewed.
    await asyncio.sleep(0.05)
    state.install(FleetSnapshot(ordered_revision(5, era=1), ()), now=0.0)
    for _ in range(turns):
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait([task], timeout=1.0)
    assert task.cancelled()
