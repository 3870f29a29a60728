"""Tests of how a gateway follows configuration and upstreams through faults of the store."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from fair_clock import FairClock
from gateway_builders import LEDGER
from gateway_builders import World
from gateway_builders import configuration
from gateway_builders import open_world
from gateway_builders import route
from gateway_builders import send
from gateway_builders import wait_until

from baobabpulley.model.documents import StoredEntry
from baobabpulley.platform import names


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


def _with_route(version: int, prefix: str) -> bytes:
    return configuration(version, routes=[route(prefix, LEDGER, names.KIND_ONCE)])


async def test_without_a_configuration_every_request_is_refused_with_503(world: World) -> None:
    world.store.items.clear()
    gateway = await world.add_gateway(wait=False)
    await asyncio.sleep(0.2)
    reply = await send(gateway, "/order/7", key="stolen")
    assert (reply.status, gateway.ready) == (503, False)
    assert float(reply.headers["retry-after"]) > 0


async def test_a_request_during_the_start_waits_for_the_first_configuration(world: World) -> None:
    await world.add_upstream("i-1")
    world.store.items.pop(names.CONFIGURATION_KEY)
    gateway = await world.add_gateway(wait=False)
    early = asyncio.create_task(send(gateway, "/order/7"))
    await asyncio.sleep(0.05)
    world.store.put(names.CONFIGURATION_KEY, configuration())
    assert (await early).status == 200


async def test_a_configuration_change_takes_effect_at_once(world: World) -> None:
    await world.add_upstream("i-1")
    gateway = await world.add_gateway()
    world.store.put(names.CONFIGURATION_KEY, _with_route(2, "/new/"))
    await asyncio.sleep(0.1)
    assert (await send(gateway, "/new/7")).status == 200
    assert (await send(gateway, "/order/7")).status == 404


async def test_a_silent_watch_is_replaced_in_time(world: World) -> None:
    await world.add_upstream("i-1")
    gateway = await world.add_gateway()
    world.store.silent_watches = True
    world.store.put(names.CONFIGURATION_KEY, _with_route(2, "/new/"))
    await asyncio.sleep(0.05)
    world.store.silent_watches = False
    await wait_until(
        lambda: gateway.fleet_state.table is not None and gateway.fleet_state.table.version == 2
    )


async def test_a_store_that_refuses_each_watch_as_compacted_is_not_asked_without_pause(
    world: World,
) -> None:
    await world.add_gateway()
    world.store.history_start = world.store.revision + 1_000
    world.store.mode = "cut"
    await asyncio.sleep(0.1)
    world.store.mode = ""
    calls = world.store.calls
    await asyncio.sleep(1.0)
    # Each time a read and a watch, after pauses that grow from 0.05 s.
    assert world.store.calls - calls <= 2 * 10


async def test_after_compaction_the_configuration_is_listed_again(world: World) -> None:
    await world.add_upstream("i-1")
    gateway = await world.add_gateway()
    world.store.mode = "reset"
    world.store.put(names.CONFIGURATION_KEY, _with_route(2, "/new/"))
    await asyncio.sleep(0.2)
    world.store.history_start = world.store.revision + 1
    world.store.put(names.CONFIGURATION_KEY, _with_route(3, "/newer/"))
    world.store.mode = ""
    await wait_until(
        lambda: gateway.fleet_state.table is not None and gateway.fleet_state.table.version == 3
    )


async def test_a_list_longer_than_one_page_is_read_completely(world: World) -> None:
    world.store.page_size = 2
    for number in range(5):
        await world.add_upstream(f"i-{number}")
    gateway = await world.add_gateway()
    assert sorted(gateway.fleet_state.upstreams) == [f"i-{number}" for number in range(5)]


async def test_a_draining_upstream_gets_no_new_requests(world: World) -> None:
    draining = await world.add_upstream("i-1")
    await world.add_upstream("i-2")
    gateway = await world.add_gateway()
    world.store.put(names.UPSTREAM_PREFIX + "i-1", draining.entry(state=names.STATE_DRAINING))
    await asyncio.sleep(0.1)
    before = len(draining.journal)
    for _ in range(10):
        assert (await send(gateway, "/order/7")).status == 200
    assert len(draining.journal) == before


async def test_serving_continues_while_the_store_is_unavailable(world: World) -> None:
    await world.add_upstream("i-1")
    gateway = await world.add_gateway()
    world.store.mode = "silent"
    await wait_until(lambda: not gateway.link.connected)
    assert (await send(gateway, "/order/7")).status == 200


async def test_upstreams_that_expired_during_an_outage_are_removed_unless_registered_again(
    world: World,
) -> None:
    await world.add_upstream("i-back")
    await world.add_upstream("i-gone")
    gateway = await world.add_gateway()
    world.store.mode = "reset"
    await wait_until(lambda: not gateway.link.connected)
    await asyncio.sleep(0.6)
    for name in ("i-back", "i-gone"):
        world.store.delete(names.UPSTREAM_PREFIX + name)
    world.store.mode = ""
    await wait_until(lambda: gateway.link.connected)
    assert set(gateway.fleet_state.upstreams) == {"i-back", "i-gone"}
    world.store.put(names.UPSTREAM_PREFIX + "i-back", world.upstreams["i-back"].entry())
    await wait_until(lambda: set(gateway.fleet_state.upstreams) == {"i-back"}, seconds=2.0)
    await asyncio.sleep(0.5)
    assert set(gateway.fleet_state.upstreams) == {"i-back"}


async def test_no_state_is_kept_of_removed_upstreams(world: World) -> None:
    upstream = await world.add_upstream("i-1")
    gateway = await world.add_gateway()
    assert (await send(gateway, "/order/7")).status == 200
    gateway.record.record_failure(gateway.fleet_state.upstreams["i-1"])
    world.store.delete(names.UPSTREAM_PREFIX + "i-1")
    await wait_until(lambda: not gateway.fleet_state.upstreams)
    assert gateway.record.has_no_record("i-1")
    assert gateway.client.idle_count(upstream.address) == 0


async def test_without_an_outage_an_upstream_is_removed_with_its_entry(world: World) -> None:
    await world.add_upstream("i-1")
    gateway = await world.add_gateway()
    world.store.delete(names.UPSTREAM_PREFIX + "i-1")
    await wait_until(lambda: not gateway.fleet_state.upstreams, seconds=0.2)


async def test_peers_relay_the_configuration_to_a_gateway_cut_off_from_the_store(
    world: World,
) -> None:
    await world.add_upstream("i-1")
    relay = _StoreRelay(world)
    await relay.start()
    connected_gateway = await world.add_gateway()
    isolated_gateway = await world.add_gateway(store=relay.address)
    await relay.cut_off()
    await wait_until(lambda: not isolated_gateway.link.connected)
    world.store.put(names.CONFIGURATION_KEY, _with_route(2, "/new/"))
    await wait_until(
        lambda: connected_gateway.fleet_state.table is not None
        and connected_gateway.fleet_state.table.version == 2
    )
    clock = FairClock()
    await wait_until(
        lambda: isolated_gateway.fleet_state.table is not None
        and isolated_gateway.fleet_state.table.version == 2
    )
    assert clock.seconds < 2.0
    assert (await send(isolated_gateway, "/new/7")).status == 200


async def test_a_gateway_that_starts_during_an_outage_learns_from_peers(world: World) -> None:
    await world.add_upstream("i-1")
    first = await world.add_gateway()
    world.store.mode = "silent"
    await wait_until(lambda: not first.link.connected)
    second = await world.add_gateway(wait=False)
    await wait_until(lambda: second.ready, seconds=3.0)
    assert (await send(second, "/order/7")).status == 200


async def test_an_older_snapshot_is_not_installed(world: World) -> None:
    gateway = await world.add_gateway()
    old = gateway.fleet_state.snapshot()
    world.store.put(names.CONFIGURATION_KEY, configuration(2))
    await wait_until(
        lambda: gateway.fleet_state.table is not None and gateway.fleet_state.table.version == 2
    )
    assert not gateway.fleet_state.install(old, now=0.0)
    assert gateway.fleet_state.table is not None
    assert gateway.fleet_state.table.version == 2


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xff\xfe", id="no-text"),
        pytest.param(b'{"service": 7}', id="other-type"),
        pytest.param(b'{"service": "ledger", "zone": "fes", "slots": 8}', id="fields-missing"),
        pytest.param(
            b'{"service":"ledger","address":"10.0.0.1:1","zone":"f","slots":1,"state":"asleep"}',
            id="unknown-state",
        ),
    ],
)
async def test_an_invalid_entry_adds_no_upstream(world: World, value: bytes) -> None:
    await world.add_upstream("i-1")
    world.store.put(names.UPSTREAM_PREFIX + "i-odd", value)
    gateway = await world.add_gateway(wait=False)
    await wait_until(lambda: set(gateway.fleet_state.upstreams) == {"i-1"})
    assert (await send(gateway, "/order/7")).status == 200


async def test_an_invalid_configuration_leaves_the_last_one_in_force(world: World) -> None:
    await world.add_upstream("i-1")
    gateway = await world.add_gateway()
    world.store.put(names.CONFIGURATION_KEY, b'{"version": 2, "routes": 3}')
    await asyncio.sleep(0.2)
    assert (await send(gateway, "/order/7")).status == 200
    world.store.put(names.CONFIGURATION_KEY, _with_route(3, "/new/"))
    await wait_until(
        lambda: gateway.fleet_state.table is not None and gateway.fleet_state.table.version == 3
    )


async def test_a_lost_response_to_a_write_leaves_the_member_registered(world: World) -> None:
    world.store.responses_to_lose = 1
    await world.add_gateway()
    key = names.MEMBER_PREFIX + "front-1"
    await wait_until(lambda: key in world.store.items, seconds=4.0)
    assert world.store.items[key]["lease"] in world.store.leases


async def test_an_outage_causes_no_retry_storm(world: World) -> None:
    gateway = await world.add_gateway()
    world.store.mode = "busy"
    await wait_until(lambda: not gateway.link.connected)
    before = world.store.calls
    await asyncio.sleep(2.0)
    assert world.store.calls - before <= 14


async def test_gateways_receive_each_others_loads(world: World) -> None:
    upstream = await world.add_upstream("i-1", slots=1)
    first = await world.add_gateway()
    second = await world.add_gateway()
    await wait_until(lambda: first.gossip.gateway_count == second.gossip.gateway_count == 2)
    running = asyncio.Event()

    async def hold(*_: object) -> None:
        running.set()
        await asyncio.sleep(3600)

    upstream.behaviour = hold
    task = asyncio.create_task(send(first, "/order/7"))
    await running.wait()
    await asyncio.sleep(0.3)
    assert second.loads.load("i-1", now=second.timers.now()).in_flight == 1
    task.cancel()


class _StoreRelay:
    """A relay to the store that can be cut off while the store itself stays reachable."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def cut_off(self) -> None:
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, port = self._world.store.address.split(":")
        store_reader, store_writer = await asyncio.open_connection(host, int(port))
        copies = (_copy(reader, store_writer), _copy(store_reader, writer))
        self._tasks |= {asyncio.ensure_future(copy) for copy in copies}


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    except (ConnectionError, asyncio.CancelledError):
        pass
    finally:
        writer.close()


async def test_a_gateway_whose_member_entry_was_refused_writes_it_again(world: World) -> None:
    world.store.transactions_to_refuse = 1
    gateway = await world.add_gateway()
    await wait_until(lambda: world.store.transactions_to_refuse == 0)
    await wait_until(lambda: f"{names.MEMBER_PREFIX}{gateway.node.id}" in world.store.items)


async def test_a_gateway_whose_lease_expired_registers_anew(world: World) -> None:
    gateway = await world.add_gateway(member_lease="0.6")
    key = f"{names.MEMBER_PREFIX}{gateway.node.id}"
    await wait_until(lambda: key in world.store.items)
    world.store.end_lease(world.store.items[key]["lease"])
    assert key not in world.store.items
    await wait_until(lambda: key in world.store.items)


async def test_a_late_batch_brings_back_no_upstream_that_was_removed(world: World) -> None:
    upstream = await world.add_upstream("i-1", listed=False)
    gateway = await world.add_gateway()
    state, key = gateway.fleet_state, names.UPSTREAM_PREFIX + "i-1"
    first = state.revision + 1
    registered = StoredEntry(key=key, value=upstream.entry(), mod_revision=first)
    removed = StoredEntry(key=key, value=None, mod_revision=first + 1)
    now = gateway.timers.now()
    state.apply_changes((registered, removed), revision=first + 1, now=now)
    # Of a watch or a relay that was slower than the source of the changes above.
    state.apply_changes((registered,), revision=first, now=now)
    assert "i-1" not in state.upstreams
