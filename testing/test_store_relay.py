"""Tests of the gateways that watch the store and relay its changes to the others."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from gateway_builders import LEDGER
from gateway_builders import World
from gateway_builders import configuration
from gateway_builders import open_world
from gateway_builders import route
from gateway_builders import wait_until

from baobabpulley.adapters.http_client import MAX_WHOLE_BODY_BYTES
from baobabpulley.adapters.http_client import fetch
from baobabpulley.errors import UpstreamLost
from baobabpulley.gateway.daemon import Gateway
from baobabpulley.gateway.peers.gossip_messages import GossipMessage
from baobabpulley.gateway.sections import StoreSection
from baobabpulley.gateway.store.change_log import MAX_CHANGES
from baobabpulley.gateway.store.change_log import ChangeLog
from baobabpulley.gateway.store.compression import COMPRESSED_TYPE
from baobabpulley.gateway.store.compression import compress
from baobabpulley.gateway.store.compression import decompress
from baobabpulley.gateway.store.fleet_snapshot import FleetSnapshot
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.gateway.store.snapshot_fetcher import SnapshotFetcher
from baobabpulley.gateway.store.store_link import StoreLink
from baobabpulley.gateway.store.store_relay import ChangePublisher
from baobabpulley.gateway.store.store_relay import FleetUpdate
from baobabpulley.gateway.store.store_watchers import WATCHERS_PER_DOMAIN
from baobabpulley.gateway.store.store_watchers import StoreWatchers
from baobabpulley.model.documents import StoredEntry
from baobabpulley.platform import names
from baobabpulley.platform.documents import PlatformDocuments
from baobabpulley.policy.store_confirmation import StoreConfirmation

GATEWAYS = 6
# Nothing listens there.
DEAD_STORE = "127.0.0.1:9"


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


async def start_gateways(world: World, count: int = GATEWAYS) -> list[Gateway]:
    """Start gateways of one failure domain, and wait until half of them or two watch the store."""
    gateways = [await world.add_gateway() for _ in range(count)]
    expected = min(WATCHERS_PER_DOMAIN, (count + 1) // 2)
    await wait_until(lambda: len(watchers(gateways)) == expected)
    return gateways


def watchers(gateways: list[Gateway]) -> list[Gateway]:
    return [gateway for gateway in gateways if gateway.link.followed is None]


def change_configuration(world: World, version: int) -> None:
    new = configuration(version, routes=[route("/new/", LEDGER, names.KIND_ONCE)])
    world.store.put(names.CONFIGURATION_KEY, new)


async def wait_for_version(gateways: list[Gateway], version: int, *, seconds: float = 2.0) -> None:
    await wait_until(
        lambda: all(
            gateway.fleet_state.table is not None and gateway.fleet_state.table.version == version
            for gateway in gateways
        ),
        seconds=seconds,
    )


def link_without_store(gateway: Gateway) -> StoreLink:
    """Return a link that isn't started, over the gateway's state and client."""
    return StoreLink(
        store=gateway.store,
        fleet_state=gateway.fleet_state,
        client=gateway.client,
        section=StoreSection(address=DEAD_STORE),
        timers=gateway.timers,
        watchers=StoreWatchers(
            node="front-new", failure_domain="fes", gossip=gateway.gossip, timers=gateway.timers
        ),
        confirmation=StoreConfirmation(in_force_within=2.0),
    )


def snapshot_fetcher(gateway: Gateway) -> SnapshotFetcher:
    return SnapshotFetcher(
        client=gateway.client,
        fleet_state=gateway.fleet_state,
        confirmation=StoreConfirmation(in_force_within=2.0),
        timers=gateway.timers,
    )


def entry(key: str, revision: int, value: bytes | None = b"{}") -> StoredEntry:
    return StoredEntry(key=key, value=value, mod_revision=revision)


async def test_calls_for_changes_do_not_grow_with_the_number_of_gateways(world: World) -> None:
    gateways = await start_gateways(world)
    before = world.store.calls
    changes = 8
    for number in range(changes):
        await world.add_upstream(f"i-{number}")
        await asyncio.sleep(0.05)
    await wait_until(lambda: all(len(one.fleet_state.upstreams) == changes for one in gateways))
    # A watcher repeats its watch once for each change, and once more if a wait has ended.
    assert world.store.calls - before <= WATCHERS_PER_DOMAIN * (changes + 2)


async def test_a_storm_of_changes_reaches_all_gateways_in_few_calls(world: World) -> None:
    gateways = await start_gateways(world, 3)
    before = world.store.calls
    for number in range(100):
        change_configuration(world, 10 + number)
        await asyncio.sleep(0.01)
    await wait_for_version(gateways, 109)
    assert world.store.calls - before <= WATCHERS_PER_DOMAIN * 14


async def test_a_change_reaches_followers_at_once(world: World) -> None:
    gateways = await start_gateways(world)
    change_configuration(world, 2)
    await wait_for_version(gateways, 2, seconds=0.2)


async def test_a_removed_upstream_is_removed_at_followers(world: World) -> None:
    await world.add_upstream("i-1")
    gateways = await start_gateways(world)
    world.store.delete(names.UPSTREAM_PREFIX + "i-1")
    await wait_until(
        lambda: not any(gateway.fleet_state.upstreams for gateway in gateways), seconds=0.5
    )


async def test_followers_replace_watchers_that_stop(world: World) -> None:
    gateways = await start_gateways(world)
    for gateway in watchers(gateways):
        gateway.close()
        gateways.remove(gateway)
    change_configuration(world, 2)
    await wait_for_version(gateways, 2)


async def test_followers_replace_a_watcher_that_does_not_answer(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    gateways = await start_gateways(world)

    async def hang(*_: object, **__: object) -> None:
        await asyncio.sleep(3600)

    monkeypatch.setattr(ChangePublisher, "update_since", hang)
    # The requests that wait already are answered; those that follow get no answer.
    change_configuration(world, 2)
    change_configuration(world, 3)
    await wait_for_version(gateways, 3, seconds=4.0)


async def test_a_watcher_that_answers_at_once_without_changes_is_not_asked_without_pause(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    await start_gateways(world, 3)
    asked = 0

    async def answer_at_once(publisher: ChangePublisher, after: int, **options: object) -> object:
        nonlocal asked
        asked += 1
        return FleetUpdate(publisher.revision, (), False, 0.0, True, True)

    monkeypatch.setattr(ChangePublisher, "update_since", answer_at_once)
    await wait_until(lambda: asked > 0)
    await asyncio.sleep(1.0)
    assert asked <= 10


async def test_gateways_that_the_store_refuses_do_not_watch_it(world: World) -> None:
    refused = [await world.add_gateway(store=DEAD_STORE, wait=False) for _ in range(2)]
    served = [await world.add_gateway() for _ in range(3)]
    await wait_for_version([*refused, *served], 1)
    await wait_until(lambda: all(gateway.link.followed is not None for gateway in refused))
    change_configuration(world, 2)
    await wait_for_version([*refused, *served], 2)


async def test_a_watch_that_is_cut_once_changes_no_watcher(world: World) -> None:
    gateways = await start_gateways(world)
    before = watchers(gateways)
    world.store.mode = "cut"
    change_configuration(world, 2)
    await asyncio.sleep(0.02)
    world.store.mode = ""
    await wait_for_version(gateways, 2)
    await asyncio.sleep(0.5)
    assert watchers(gateways) == before


async def test_an_outage_of_the_store_is_met_by_few_gateways(world: World) -> None:
    gateways = await start_gateways(world)
    world.store.mode = "reset"
    # Every gateway may try once before all know that the store serves none of them.
    await asyncio.sleep(2.0)
    before = world.store.calls
    await asyncio.sleep(2.0)
    assert world.store.calls - before <= WATCHERS_PER_DOMAIN * 7
    world.store.mode = ""
    change_configuration(world, 2)
    await wait_for_version(gateways, 2)


async def test_registrations_that_expire_in_an_outage_stay_at_followers_for_a_while(
    world: World,
) -> None:
    await world.add_upstream("i-back")
    gateways = await start_gateways(world)
    world.store.mode = "reset"
    await wait_until(lambda: not any(gateway.link.connected for gateway in watchers(gateways)))
    await asyncio.sleep(0.8)
    world.store.delete(names.UPSTREAM_PREFIX + "i-back")
    world.store.mode = ""
    # Each gateway knows of the removal, and delays it.
    await wait_until(
        lambda: all(one.fleet_state.revision >= world.store.revision for one in gateways)
    )
    assert all("i-back" in gateway.fleet_state.upstreams for gateway in gateways)
    await wait_until(lambda: not any(one.fleet_state.upstreams for one in gateways))


async def test_a_gateway_passes_the_delay_of_removals_on_that_it_was_given(world: World) -> None:
    gateway = await world.add_gateway()
    link = link_without_store(gateway)
    assert link.removal_delay() == 0.0
    link._apply_update(FleetUpdate(1, (), is_full=False, removal_delay=0.5, connected=True))
    assert 0.0 < link.removal_delay() <= 0.5


async def test_the_store_counts_as_lost_by_a_peer_that_is_not_followed_either(
    world: World,
) -> None:
    gateway = await world.add_gateway()
    watchers_seen = StoreWatchers(
        node="front-new", failure_domain="fes", gossip=gateway.gossip, timers=gateway.timers
    )
    assert not watchers_seen.store_failed_peer
    gateway.gossip.receive(
        GossipMessage("front-9", "a", 1, "fes", "127.0.0.9:1", 0, 0, store_reachable=False)
    )
    watchers_seen.exclude("127.0.0.9:1")
    assert watchers_seen.store_failed_peer


async def test_followers_keep_up_after_the_store_compacted_its_history(world: World) -> None:
    gateways = await start_gateways(world)
    world.store.history_start = world.store.revision + 2
    change_configuration(world, 2)
    change_configuration(world, 3)
    await wait_for_version(gateways, 3)


async def test_a_gateway_that_starts_in_an_outage_does_not_stay_with_a_peer_that_was_cut_off(
    world: World,
) -> None:
    cut_off, current, starting = [await world.add_gateway() for _ in range(3)]
    cut_off.timers.cancel_all()
    cut_off.link.stop()
    change_configuration(world, 2)
    await wait_for_version([current], 2)
    assert cut_off.fleet_state.table is not None and cut_off.fleet_state.table.version == 1
    starting.fleet_state = FleetState(PlatformDocuments())
    await snapshot_fetcher(starting).fetch_newer([cut_off.node.control, current.node.control])
    await wait_for_version([starting], 2)


async def test_a_large_configuration_is_relayed_compressed(world: World) -> None:
    routes = [route(f"/r{number}/", LEDGER, names.KIND_ONCE) for number in range(400)]
    document = configuration(2, routes=routes)
    gateways = await start_gateways(world, 3)
    world.store.put(names.CONFIGURATION_KEY, document)
    await wait_for_version(gateways, 2)
    relay = watchers(gateways)[0]
    for path in ("/changes?after=0", "/snapshot"):
        status, body = await fetch(
            relay.client,
            address=relay.node.control,
            method="GET",
            path=path,
            headers={"Accept": COMPRESSED_TYPE},
            timeout=2.0,
        )
        assert status == 200
        assert len(body) < len(document) / 5


async def test_a_snapshot_of_an_older_gateway_is_understood(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    old = await world.add_gateway()
    new = await world.add_gateway()
    # An older gateway ignores that the request accepts compression.
    monkeypatch.setattr("baobabpulley.gateway.control.COMPRESSED_TYPE", "unknown")
    new.fleet_state = FleetState(PlatformDocuments())
    assert await snapshot_fetcher(new).fetch(old.node.control)
    assert new.fleet_state.table is not None


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"no zlib", id="damaged"),
        pytest.param(compress(b"x" * 1000)[:-4], id="cut"),
        pytest.param(compress(b"x" * (MAX_WHOLE_BODY_BYTES + 1)), id="too-long"),
    ],
)
def test_damaged_or_endless_updates_are_refused(data: bytes) -> None:
    with pytest.raises(UpstreamLost):
        decompress(data)


def test_the_change_log_returns_the_changes_after_a_revision() -> None:
    log = ChangeLog()
    assert log.since(0) is None
    log.restart(10)
    log.append([entry("a", 11), entry("b", 12, None)], above=10)
    # A watch that overlaps what is known adds nothing twice.
    log.append([entry("b", 12, None), entry("c", 13)], above=12)
    assert log.since(9) is None
    assert [change.key for change in log.since(11) or ()] == ["b", "c"]
    assert log.since(13) == ()


def test_the_change_log_is_bounded_and_says_what_it_no_longer_knows() -> None:
    log = ChangeLog()
    log.restart(0)
    log.append((entry(f"k{number}", number) for number in range(1, MAX_CHANGES + 11)), above=0)
    assert log.since(9) is None
    assert len(log.since(10) or ()) == MAX_CHANGES


async def test_a_full_update_leaves_out_upstreams_whose_removal_is_delayed(world: World) -> None:
    await world.add_upstream("i-1")
    gateway = await world.add_gateway()
    state = gateway.fleet_state
    lacking = FleetSnapshot(
        revision=state.revision + 1,
        entries=tuple(known for known in state.snapshot().entries if "i-1" not in known.key),
    )
    state.install(lacking, now=gateway.timers.now(), removal_delay=60.0)
    assert "i-1" in state.upstreams
    assert not any("i-1" in known.key for known in state.registered_snapshot().entries)
