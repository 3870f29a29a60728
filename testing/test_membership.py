"""Heartbeats between keepers in one process, over real sockets."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest_asyncio
from keeper_builders import make_keeper

from baobabpulley.adapters.pynng_peers import PynngPeers
from baobabpulley.emulator.link import Link
from baobabpulley.entry.keeper_link import KeeperLink
from baobabpulley.entry.keeper_link import KeeperLinkSection
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.load_relay import Batch
from baobabpulley.keeper.membership import HeartbeatMembership
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.messages import CacheDelta
from baobabpulley.model.upstreams import LEAVING
from baobabpulley.model.upstreams import LoadReport
from baobabpulley.model.upstreams import Vm
from baobabpulley.ports.engine import CacheEvent
from baobabpulley.settings import PeersSection
from baobabpulley.timers import TimerService

SPEED = 4.0
HOST = "127.0.0.1"
DOMAINS = {"vm-0": "fes", "vm-1": "fes", "vm-2": "rabat", "vm-3": "rabat", "vm-4": "rabat"}
WAIT_SECONDS = 20.0


def _vm_list(base: int, proxied: dict[str, str]) -> tuple[Vm, ...]:
    entries = [
        Vm(
            id=vm,
            role="entry",
            failure_domain=domain,
            address=proxied.get(vm, f"{HOST}:{base + 10 * index}"),
        )
        for index, (vm, domain) in enumerate(DOMAINS.items())
    ]
    engines = [
        Vm(id=f"engine-{index}", role="upstream", failure_domain="fes", address=HOST + ":9")
        for index in range(4)
    ]
    return (*entries, *engines)


@pytest_asyncio.fixture
async def proxy(base_port: int) -> AsyncIterator[Link]:
    running = Link(listen=f"{HOST}:{base_port + 90}", target=f"{HOST}:{base_port + 10}")
    await running.start()
    yield running
    await running.stop()


@pytest_asyncio.fixture
async def keepers(
    base_port: int, proxy: Link, tmp_path: Path
) -> AsyncIterator[dict[str, KeeperContext]]:
    """Two keepers of one failure domain and three of another; vm-0 reaches vm-1 via the proxy."""
    contexts = {}
    for index, (vm, domain) in enumerate(DOMAINS.items()):
        proxies = (f"{HOST}:{base_port + 90}",) if vm == "vm-1" else ()
        context = make_keeper(
            tmp_path,
            vm=vm,
            domain=domain,
            address=f"{HOST}:{base_port + 10 * index}",
            speed=SPEED,
            proxies=proxies,
        )
        proxied = {"vm-1": f"{HOST}:{base_port + 90}"} if vm == "vm-0" else {}
        context.view.set_vms(_vm_list(base_port, proxied))
        assert isinstance(context.peers, PynngPeers)
        context.peers.start()
        await context.parts["membership"].start()
        contexts[vm] = context
    yield contexts
    for context in contexts.values():
        context.timers.cancel_all()
        context.peers.close()


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


def _live_keepers(context: KeeperContext, domain: str) -> list[str]:
    return [vm.id for vm in context.membership.live_keepers(domain)]


def _has_heartbeat(context: KeeperContext, vm: str) -> bool:
    membership = context.parts["membership"]
    assert isinstance(membership, HeartbeatMembership)
    return membership.peer(vm).heartbeat is not None


async def test_keepers_find_each_other_and_only_delegates_reach_other_domains(
    keepers: dict[str, KeeperContext],
) -> None:
    await _until(lambda: _live_keepers(keepers["vm-0"], "fes") == ["vm-0", "vm-1"])
    await _until(lambda: len(_live_keepers(keepers["vm-4"], "rabat")) == 3)
    # Responses name other delegates until heartbeats of all three have arrived.
    await _until(lambda: len(_live_keepers(keepers["vm-2"], "rabat")) == 3)
    delegates = {vm.id for vm in keepers["vm-2"].membership.delegates("rabat")}
    assert len(delegates) == 2
    await _until(lambda: all(_has_heartbeat(keepers["vm-0"], vm) for vm in delegates))
    (third,) = {"vm-2", "vm-3", "vm-4"} - delegates
    assert not any(_has_heartbeat(keepers[third], vm) for vm in ("vm-0", "vm-1"))


async def test_dead_delegates_of_another_domain_are_replaced(
    keepers: dict[str, KeeperContext],
) -> None:
    watcher = keepers["vm-0"]
    await _until(lambda: len(_live_keepers(keepers["vm-4"], "rabat")) == 3)
    killed = {vm.id for vm in watcher.membership.delegates("rabat")}
    await _until(lambda: all(_has_heartbeat(watcher, vm) for vm in killed))
    for vm in killed:
        _kill(keepers[vm])
    (third,) = {"vm-2", "vm-3", "vm-4"} - killed
    await _until(
        lambda: _live_keepers(watcher, "rabat") == [third] and _has_heartbeat(watcher, third)
    )
    _kill(keepers[third])
    await _until(lambda: _live_keepers(watcher, "rabat") == [])


def _kill(context: KeeperContext) -> None:
    context.timers.cancel_all()
    context.peers.close()


async def test_silent_connection_between_keepers_is_replaced(
    keepers: dict[str, KeeperContext], proxy: Link
) -> None:
    membership = keepers["vm-0"].parts["membership"]
    # vm-1 sends no requests, so its heartbeats can only arrive over vm-0's own connection.
    keepers["vm-1"].timers.cancel_all()
    await _until(lambda: membership.is_live("vm-1"))
    for _ in range(2):
        opened = proxy.opened
        proxy.silence()
        last_received_at = membership.peer("vm-1").received_at
        began_at = keepers["vm-0"].timers.now()
        await _until(lambda: membership.peer("vm-1").received_at > last_received_at)  # noqa: B023
        recovery = membership.peer("vm-1").received_at - began_at
        print(f"silent connection between keepers: a heartbeat after {recovery:.2f} model s")
        assert proxy.opened > opened
        assert membership.is_live("vm-1")


async def test_silent_connection_from_an_entry_to_its_keeper_is_replaced(
    keepers: dict[str, KeeperContext], proxy: Link, base_port: int
) -> None:
    await keepers["vm-1"].parts["fleet_state"].start()
    timers = TimerService(speed=SPEED)
    section = PeersSection(secret="a-secret-for-tests-only")
    peers = PynngPeers(node="entry", section=section, timers=timers)
    view = FleetView(failure_domain="fes")
    address = f"{HOST}:{base_port + 90}"
    link = KeeperLink(
        section=KeeperLinkSection(address=address), peers=peers, view=view, timers=timers
    )
    await link.refresh()
    assert view.has_vm_list
    # The other keeper of the list is unreachable, so only a new connection can recover.
    keepers["vm-0"].peers.close()
    timers.every(0.25, link.refresh)
    for _ in range(2):
        opened, began_at = proxy.opened, timers.now()
        proxy.silence()
        await _until(lambda: proxy.opened > opened)  # noqa: B023
        reply = view._last_reply
        await _until(lambda: view._last_reply is not reply)  # noqa: B023
        print(
            f"silent connection to a keeper: a response after {timers.now() - began_at:.2f} model s"
        )
    timers.cancel_all()
    peers.close()


def _report(
    upstream: str, *, queued: int = 0, sequence: int = 1, state: str = "live"
) -> LoadReport:
    return LoadReport(
        upstream=upstream,
        incarnation="a",
        sequence=sequence,
        queued=queued,
        queued_high=0,
        running=0,
        long_prefills=0,
        memory_total=400_000,
        memory_held=0,
        prefill_rate=20_000.0,
        state=state,
    )


async def test_loads_cache_deltas_and_leaving_reach_only_peers_of_the_domain(
    keepers: dict[str, KeeperContext],
) -> None:
    collector, peer = keepers["vm-0"], keepers["vm-1"]
    relay = collector.parts["membership"].relay
    published: list[object] = []
    peer.parts["membership"].relay._peers = _Recorder(published)
    await _until(lambda: _live_keepers(collector, "fes") == ["vm-0", "vm-1"])
    relay.set_collected({"engine-0", "engine-1"})
    now = collector.timers.now()
    collector.view.set_load(_report("engine-0", queued=70_000), measured_at=now)
    collector.view.set_load(_report("engine-1", state=LEAVING), measured_at=now)
    relay.add_cache_delta("engine-0", "a", CacheEvent(sequence=7, stored=(1, 2**64 - 1)), gap=False)
    collector.view.mark_leaving("engine-2")
    await _until(lambda: len(peer.view.loads) == 2 and bool(published))
    await _until(lambda: len(peer.view.leaving) == 2)
    relayed = msgspec.structs.replace(peer.view.loads["engine-0"].report, age=0.0)
    assert relayed == _report("engine-0", queued=70_000)
    collector.view.set_load(_report("engine-0", queued=90_000, sequence=2), measured_at=now)
    await _until(lambda: peer.view.loads["engine-0"].report.queued == 90_000)
    assert [item.upstream for item in peer.view.leaving] == ["engine-1", "engine-2"]
    delta = published[0]
    assert isinstance(delta, CacheDelta)
    assert (delta.upstream, delta.stored) == ("engine-0", (1, 2**64 - 1))
    assert not keepers["vm-2"].view.loads


class _Recorder:
    """Append published messages to a list."""

    def __init__(self, into: list[object]) -> None:
        self.publish = into.append


async def test_batches_stay_within_their_byte_limit_and_mark_gaps(
    keepers: dict[str, KeeperContext],
) -> None:
    relay = keepers["vm-0"].parts["membership"].relay
    view = keepers["vm-0"].view
    collected = {f"engine-{index}" for index in range(4)}
    relay.set_collected(collected)
    relay.batch("vm-9", max_bytes=10_000)
    for index, id in enumerate(sorted(collected)):
        view.set_load(_report(id, queued=index * 20_000), measured_at=0.0)
    first = relay.batch("vm-9", max_bytes=150)
    assert len(first.loads) == 2
    second = relay.batch("vm-9", max_bytes=10_000)
    assert {load.upstream for load in (*first.loads, *second.loads)} == collected
    assert relay.batch("vm-9", max_bytes=10_000) == Batch()
    for id in collected:
        view.set_load(_report(id, queued=90_000, sequence=2), measured_at=0.0)
    third = relay.batch("vm-9", max_bytes=110)
    assert [change.upstream for change in third.changes] == ["engine-0", "engine-1", "engine-2"]
    relay.batch("vm-9", max_bytes=10_000)
    for sequence in range(50):
        relay.add_cache_delta(
            "engine-0", "a", CacheEvent(sequence=sequence, stored=tuple(range(8))), gap=False
        )
    deltas = relay.batch("vm-9", max_bytes=300).news
    assert [delta.sequence for delta in deltas] == [48, 49]
    assert deltas[0].gap
    assert relay.dropped == 48
