"""Tests of what bears the store's era: its answers, and messages of gateways of all versions."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
import pytest
from gateway_builders import World
from gateway_builders import configuration
from gateway_builders import open_world
from gateway_builders import wait_until
from platform_store import StoreCopy

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch
from baobabpulley.errors import StoreCompacted
from baobabpulley.errors import StoreResponseLost
from baobabpulley.errors import StoreUnavailable
from baobabpulley.gateway.peers.gossip_messages import GossipMessage
from baobabpulley.gateway.peers.gossip_messages import LeavingRow
from baobabpulley.gateway.peers.gossip_messages import decode
from baobabpulley.gateway.peers.gossip_messages import encode
from baobabpulley.gateway.store.compression import decompress
from baobabpulley.gateway.store.fleet_snapshot import FleetSnapshot
from baobabpulley.gateway.store.fleet_snapshot import as_received
from baobabpulley.gateway.store.fleet_snapshot import as_sent
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.gateway.store.snapshot_fetcher import SnapshotFetcher
from baobabpulley.gateway.store.store_relay import MAX_WAIT_SECONDS
from baobabpulley.gateway.store.store_relay import FleetUpdate
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.revisions import era_of
from baobabpulley.model.revisions import number_of
from baobabpulley.model.revisions import ordered_revision
from baobabpulley.platform import names
from baobabpulley.platform.documents import PlatformDocuments
from baobabpulley.platform.store import PlatformStore
from baobabpulley.policy.store_confirmation import StoreConfirmation
from baobabpulley.policy.store_confirmation import watch_wait
from baobabpulley.ports.config_store import Swap
from baobabpulley.timers import TimerService


class EarlierUpdate(msgspec.Struct, frozen=True, array_like=True):
    """`FleetUpdate` as gateways knew it before eras."""

    revision: int
    entries: tuple[StoredEntry, ...]
    is_full: bool
    removal_delay: float
    connected: bool
    covers_evacuations: bool = False


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


def _store(world: World) -> PlatformStore:
    return PlatformStore(client=HttpClient(), address=world.store.address, watch_wait=0.2)


def _configuration(version: int, *, number: int, era: int) -> StoredEntry:
    revision = ordered_revision(number, era=era)
    return StoredEntry(names.CONFIGURATION_KEY, configuration(version), revision)


def _snapshot(version: int, *, number: int, era: int) -> FleetSnapshot:
    entry = _configuration(version, number=number, era=era)
    return FleetSnapshot(entry.mod_revision, (entry,), covers_evacuations=True)


def _version(state: FleetState) -> int:
    assert state.table is not None
    return state.table.version


async def test_answers_of_an_era_that_ended_are_lost(world: World) -> None:
    store = _store(world)
    world.store.era = 3
    snapshot = await store.read("")
    assert (store.era, era_of(snapshot.revision)) == (3, 3)
    assert number_of(snapshot.revision) == world.store.revision
    world.store.era = 2
    with pytest.raises(StoreUnavailable, match="era 2"):
        await store.read("")
    with pytest.raises(StoreResponseLost):
        await store.put("members/front-1", b"{}", lease=0)


@pytest.mark.parametrize("stated", ["", "-1", "one", "9" * 40, "1.5"])
async def test_an_era_that_cannot_be_read_changes_nothing(world: World, stated: str) -> None:
    store = _store(world)
    world.store.era = 1
    await store.read("")
    world.store.era = stated  # type: ignore[assignment]
    snapshot = await store.read("")
    assert (store.era, era_of(snapshot.revision)) == (1, 1)


async def test_a_watch_does_not_lead_into_another_era(world: World) -> None:
    store = _store(world)
    snapshot = await store.read("")
    world.store.era = 1
    world.store.put(names.CONFIGURATION_KEY, configuration(2))
    with pytest.raises(StoreCompacted):
        await anext(aiter(store.watch("", from_revision=snapshot.revision)))


async def test_a_swap_that_expects_a_revision_of_another_era_is_not_applied(world: World) -> None:
    store = _store(world)
    world.store.put("lock", b"ours")
    entry = await store.get("lock")
    assert entry is not None
    world.store.era = 1
    await store.read("")
    outcome = await store.swap(Swap("lock", b"theirs", entry.mod_revision))
    assert not outcome.applied


@pytest.mark.parametrize("number", [1, 50, 200])
def test_what_is_of_an_earlier_era_replaces_nothing(number: int) -> None:
    state = FleetState(PlatformDocuments())
    state.install(_snapshot(4, number=90, era=0), now=0.0)
    assert state.install(_snapshot(5, number=20, era=1), now=0.0)
    assert not state.install(_snapshot(6, number=number, era=0), now=0.0)
    late = _configuration(7, number=number, era=0)
    state.apply_changes((late,), revision=late.mod_revision, now=0.0)
    assert (_version(state), state.revision) == (5, ordered_revision(20, era=1))


def test_changes_alone_do_not_lead_into_a_newer_era() -> None:
    state = FleetState(PlatformDocuments())
    state.install(_snapshot(4, number=90, era=0), now=0.0)
    early = _configuration(5, number=21, era=1)
    state.apply_changes((early,), revision=early.mod_revision, now=0.0)
    assert (_version(state), state.revision) == (4, 90)


def test_messages_of_earlier_versions_are_of_era_0() -> None:
    entry = _configuration(2, number=7, era=0)
    sent = msgspec.msgpack.encode(EarlierUpdate(9, (entry,), True, 0.0, True))
    update = as_received(msgspec.msgpack.decode(sent, type=FleetUpdate))
    assert (update.revision, update.entries, update.era) == (9, (entry,), 0)
    message = decode(msgspec.msgpack.encode(["n", "a", 1, "d", "h:1", 9, 7]))
    assert isinstance(message, GossipMessage)
    assert message.ordered_revision == 9


def test_earlier_versions_read_the_numbers_of_messages_of_a_later_era() -> None:
    entry = _configuration(2, number=7, era=4)
    update = FleetUpdate(ordered_revision(9, era=4), (entry,), True, 0.0, True)
    earlier = msgspec.msgpack.decode(msgspec.msgpack.encode(as_sent(update)), type=EarlierUpdate)
    assert (earlier.revision, earlier.entries[0].mod_revision) == (9, 7)
    assert as_received(as_sent(update)).entries == (entry,)


def test_gossip_bears_an_era_only_once_there_was_one() -> None:
    plain = GossipMessage("n", "a", 1, "d", "h:1", 9, 7)
    later = msgspec.structs.replace(plain, era=2)
    assert len(encode(later)) > len(encode(plain))
    decoded = decode(encode(later))
    assert isinstance(decoded, GossipMessage)
    assert decoded.ordered_revision == ordered_revision(9, era=2)


async def test_a_gateway_of_an_earlier_version_that_follows_one_in_a_later_era_waits_for_changes(
    world: World,
) -> None:
    gateway = await world.add_gateway(watch_wait="30")
    copy = world.store.copy()
    for _ in range(80):
        world.store.put("members/front-99", b"{}")
    await wait_until(lambda: gateway.fleet_state.revision >= world.store.revision)
    reached = gateway.fleet_state.revision
    world.store.return_from(copy)
    await wait_until(lambda: era_of(gateway.fleet_state.revision) == 1)
    await asyncio.sleep(1.2)
    answers = 0
    end = time.monotonic() + MAX_WAIT_SECONDS
    while time.monotonic() < end:
        status, body = await fetch(
            gateway.client,
            address=gateway.node.control,
            method="GET",
            path=f"/changes?after={reached}",
            timeout=MAX_WAIT_SECONDS + 1.0,
        )
        update = msgspec.msgpack.decode(decompress(body), type=EarlierUpdate)
        assert (status, update.entries, update.is_full) == (200, (), False)
        answers += 1
    # One for each confirmation of the store, not one at once for each question.
    assert answers <= 2 * MAX_WAIT_SECONDS / watch_wait(in_force_within=2.0)


def test_reports_of_an_earlier_era_that_a_relay_holds_do_not_count_as_of_the_later_one() -> None:
    first = GossipMessage("n", "a", 1, "d", "h:1", 90, 7, leaving=(LeavingRow("i-1", 5, 90),))
    second = GossipMessage("n", "a", 2, "d", "h:1", 20, 0, era=1)
    assert first.updated_by(second).leaving == (LeavingRow("i-1", 5, 0),)
    same = msgspec.structs.replace(second, era=0)
    assert first.updated_by(same).leaving == first.leaving


async def test_a_peer_in_an_earlier_era_confirms_nothing(world: World) -> None:
    gateway = await world.add_gateway()
    timers = TimerService()
    state = FleetState(PlatformDocuments())
    confirmation = StoreConfirmation(in_force_within=2.0)
    fetcher = SnapshotFetcher(
        client=gateway.client, fleet_state=state, confirmation=confirmation, timers=timers
    )
    state.install(_snapshot(5, number=2, era=1), now=0.0)
    assert not await fetcher.fetch(gateway.node.control)
    assert confirmation.confirmed_at is None
    world.store.era = 1
    await wait_until(lambda: era_of(gateway.fleet_state.revision) == 1)
    await fetcher.fetch(gateway.node.control)
    assert confirmation.confirmed_at is not None


async def test_a_store_without_eras_is_in_that_of_other_gateways(world: World) -> None:
    world.store.era = None
    store = _store(world)
    for _ in range(20):
        world.store.put("members/front-99", b"{}")
    await store.read("")
    store.adopt_era(2)
    copy = StoreCopy(world.store.items, {}, 5)
    world.store.return_from(copy)
    # Lower than what it answered before, which others have seen already.
    assert era_of((await store.read("")).revision) == 2
    assert store.era == 2
