"""Tests of registrations that the store carries out after newer ones of the same upstream."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
import pytest
from gateway_builders import LEDGER
from gateway_builders import World
from gateway_builders import open_world
from gateway_builders import send
from gateway_builders import wait_until
from platform_upstream import UpstreamStandin

from baobabpulley.gateway.daemon import Gateway
from baobabpulley.gateway.store.fleet_snapshot import FleetSnapshot
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.revisions import ordered_revision
from baobabpulley.platform import names
from baobabpulley.platform.documents import PlatformDocuments
from baobabpulley.policy.registration_order import HELD_SECONDS

BORN = 1_700_000_000_000
KEY = names.UPSTREAM_PREFIX + "i-1"
# Without newer knowledge, an upstream would get some of so many requests.
REQUESTS = 12


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        for name in ("i-1", "i-2"):
            upstream = await opened.add_upstream(name, listed=False)
            opened.store.put(names.UPSTREAM_PREFIX + name, upstream.entry(born=BORN, sequence=100))
        yield opened


async def register(world: World, *gateways: Gateway, **changes: object) -> None:
    """Write the entry of the first upstream, and wait until the gateways know of it."""
    entry = world.upstreams["i-1"].entry(**{"born": BORN, **changes})  # type: ignore[arg-type]
    revision = world.store.put(KEY, entry)
    await wait_until(lambda: all(each.fleet_state.revision >= revision for each in gateways))


async def requests_sent_to_the_first(world: World, gateway: Gateway) -> int:
    """Return how many of some requests the first upstream gets."""
    before = len(world.upstreams["i-1"].arrivals)
    for _ in range(REQUESTS):
        assert (await send(gateway, "/order/7")).status == 200
    return len(world.upstreams["i-1"].arrivals) - before


# Guards against the fault of review/9: a late heartbeat brought a draining server back.
@pytest.mark.parametrize("says_so_itself", [True, False])
async def test_a_late_heartbeat_brings_no_draining_upstream_back(
    world: World, says_so_itself: bool
) -> None:
    gateways = [await world.add_gateway() for _ in range(3)]
    if says_so_itself:
        world.upstreams["i-1"].response_headers.append(f"{names.LEAVING}: 1")
        for gateway in gateways:
            await requests_sent_to_the_first(world, gateway)
    await register(world, *gateways, state=names.STATE_DRAINING, sequence=102)
    await register(world, *gateways, sequence=101)
    assert [await requests_sent_to_the_first(world, each) for each in gateways] == [0, 0, 0]


async def test_an_entry_without_a_sequence_brings_no_draining_upstream_back(
    world: World,
) -> None:
    gateway = await world.add_gateway()
    await register(world, gateway, state=names.STATE_DRAINING, sequence=102)
    await register(world, gateway, sequence=None)
    assert await requests_sent_to_the_first(world, gateway) == 0


async def test_a_late_heartbeat_brings_no_draining_upstream_back_that_was_removed(
    world: World,
) -> None:
    gateway = await world.add_gateway()
    await register(world, gateway, state=names.STATE_DRAINING, sequence=102)
    world.store.delete(KEY)
    await register(world, gateway, sequence=101)
    assert set(gateway.fleet_state.upstreams) == {"i-2"}
    # One that was only thought to be gone writes a newer entry.
    await register(world, gateway, sequence=103)
    assert set(gateway.fleet_state.upstreams) == {"i-1", "i-2"}


async def test_a_late_heartbeat_of_an_earlier_start_replaces_no_later_one(world: World) -> None:
    gateway = await world.add_gateway()
    await register(world, gateway, born=BORN + 1, sequence=1, slots=3)
    await register(world, gateway, sequence=101)
    assert gateway.fleet_state.upstreams["i-1"].slots == 3


async def test_a_gateway_that_starts_after_a_late_heartbeat_learns_from_others_that_it_is_late(
    world: World,
) -> None:
    gateway = await world.add_gateway()
    await register(world, gateway, state=names.STATE_DRAINING, sequence=102)
    await register(world, gateway, sequence=101)
    world.store.mode = "reset"
    starting = await world.add_gateway(wait=False)
    await wait_until(lambda: starting.fleet_state.revision >= world.store.revision)
    assert await requests_sent_to_the_first(world, starting) == 0
    world.store.mode = ""
    await wait_until(lambda: starting.link.store_reachable and starting.link.connected)
    await asyncio.sleep(0.3)
    assert await requests_sent_to_the_first(world, starting) == 0


@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({"sequence": 103}, id="newer"),
        pytest.param({"sequence": 1, "born": BORN + 1}, id="restarted"),
    ],
)
async def test_a_newer_registration_is_used_at_once(
    world: World, changes: dict[str, object]
) -> None:
    gateway = await world.add_gateway()
    await register(world, gateway, state=names.STATE_DRAINING, sequence=102)
    await register(world, gateway, **changes)
    assert not gateway.fleet_state.upstreams["i-1"].leaving


@pytest.mark.parametrize("sequence", [None, "many", -1, 1.5, True, 10**30])
async def test_a_sequence_that_cannot_be_read_keeps_no_upstream_from_use(
    world: World, sequence: object
) -> None:
    gateway = await world.add_gateway()
    await register(world, gateway, sequence=sequence, slots=3)
    assert gateway.fleet_state.upstreams["i-1"].slots == 3
    await register(world, gateway, sequence=101, slots=4)
    assert gateway.fleet_state.upstreams["i-1"].slots == 4


def entry(revision: int, *, state: str = names.STATE_READY, **changes: object) -> StoredEntry:
    upstream = UpstreamStandin("i-1", service=LEDGER)
    upstream.address = "10.0.0.1:80"
    value = upstream.entry(state=state, **{"born": BORN, **changes})  # type: ignore[arg-type]
    return StoredEntry(key=KEY, value=value, mod_revision=revision)


def given(*entries: StoredEntry) -> FleetState:
    """Return a state that was given an upstream's entries one after the other at time 0."""
    state = FleetState(PlatformDocuments())
    state.install(FleetSnapshot(revision=1, entries=()), now=0.0)
    for each in entries:
        state.apply_changes((each,), revision=each.mod_revision, now=0.0)
    return state


def is_used(state: FleetState) -> bool:
    listed = state.upstreams.get("i-1")
    return listed is not None and not listed.leaving


# A draining entry of another writer would otherwise keep a sound upstream out of use for good, as
# the upstream's entry changes no more.
@pytest.mark.parametrize("changes", [{"sequence": 10**9}, {"sequence": 1, "born": 2 * BORN}])
def test_an_entry_that_stands_for_long_is_used_whatever_was_known(
    changes: dict[str, object],
) -> None:
    odd = entry(3, state=names.STATE_DRAINING, **changes)
    state = given(entry(2, sequence=100), odd, entry(4, sequence=101))
    state.apply_changes((entry(5, sequence=102),), revision=5, now=HELD_SECONDS / 2)
    state.remove_expired(now=HELD_SECONDS - 0.1)
    assert not is_used(state)
    state.remove_expired(now=HELD_SECONDS)
    assert is_used(state)
    state.apply_changes((entry(6, sequence=103, slots=3),), revision=6, now=HELD_SECONDS)
    assert state.upstreams["i-1"].slots == 3


# Another writer's entry must not keep the upstream's own one from use.
@pytest.mark.parametrize("changes", [{"service": "unknown"}, {"address": "10.0.0.2:80"}], ids=str)
def test_an_entry_of_another_service_or_address_says_nothing_of_the_upstream(
    changes: dict[str, object],
) -> None:
    odd = entry(3, **{"sequence": 10**9, **changes})
    state = given(entry(2, sequence=100), odd, entry(4, sequence=101))
    assert is_used(state) and state.upstreams["i-1"].sequence == 101
    odd = entry(3, state=names.STATE_DRAINING, **{"sequence": 10**9, **changes})
    state = given(entry(2, sequence=100), odd, entry(4, sequence=101))
    assert is_used(state) and state.upstreams["i-1"].sequence == 101


def test_what_a_late_entry_says_is_not_used_once_it_was_removed() -> None:
    state = given(entry(2, sequence=102, state=names.STATE_DRAINING), entry(3, sequence=101))
    gone = StoredEntry(key=KEY, value=None, mod_revision=4)
    state.apply_changes((gone,), revision=4, now=1.0)
    late = entry(5, sequence=101)
    state.apply_changes((late,), revision=5, now=2.0)
    state.install(FleetSnapshot(revision=6, entries=()), now=3.0)
    state.remove_expired(now=3 * HELD_SECONDS)
    assert not state.upstreams
    assert state.snapshot().entries == ()


def test_a_snapshot_tells_what_is_known_and_the_late_entry() -> None:
    sender = given(entry(2, sequence=102, state=names.STATE_DRAINING), entry(3, sequence=101))
    receiver = FleetState(PlatformDocuments())
    receiver.install(sender.snapshot(), now=0.0)
    assert set(receiver.upstreams) == {"i-1"}
    assert not is_used(receiver)
    receiver.remove_expired(now=HELD_SECONDS)
    assert is_used(receiver)


def test_a_store_that_comes_back_from_a_copy_takes_no_registration_back() -> None:
    state = given(entry(2, sequence=100), entry(3, sequence=102, slots=3))
    returned = ordered_revision(2, era=1)
    copy = msgspec.structs.replace(entry(2, sequence=100), mod_revision=returned)
    state.install(FleetSnapshot(revision=returned, entries=(copy,)), now=0.0)
    assert state.upstreams["i-1"].slots == 3
    again = entry(ordered_revision(3, era=1), sequence=103, slots=4)
    state.apply_changes((again,), revision=again.mod_revision, now=0.0)
    assert state.upstreams["i-1"].slots == 4
