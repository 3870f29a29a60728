"""Tests of gateways that are cut off from all upstreams while peers still reach these."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import socket
import time
from collections.abc import AsyncIterator
from pathlib import Path

import platform_upstream as upstreams
import pytest
from fair_clock import FairClock
from gateway_builders import KITCHEN
from gateway_builders import LEDGER
from gateway_builders import Reply
from gateway_builders import World
from gateway_builders import configuration
from gateway_builders import open_world
from gateway_builders import request_bytes
from gateway_builders import route
from gateway_builders import send
from gateway_builders import wait_until
from partitions import Cut
from partitions import Partition

from baobabpulley.gateway.daemon import Gateway
from baobabpulley.gateway.peers.gossip_messages import GossipMessage
from baobabpulley.gateway.peers.gossip_peers import GossipPeer
from baobabpulley.gateway.tunnels import tunnel_server
from baobabpulley.platform import names
from baobabpulley.policy.tunnel_peers import TunnelPeers

# The platform's `contact-ms`: from then on, callers of a machine that is cut off are to be served.
CONTACT_SECONDS = 3.0
SERVED_SHARE = 0.95
LATENESS_MS = 100
ANY_CUT = pytest.mark.parametrize("how", list(Cut))


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


@pytest.fixture
async def partition(world: World, monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Partition]:
    partition = Partition(world, monkeypatch)
    yield partition
    await partition.stop()


async def _start(partition: Partition, *, gateways: int = 3, engines: int = 3) -> list[Gateway]:
    """Start upstreams of both services, and gateways that know each other and have connections."""
    for number in range(3):
        await partition.add_upstream(f"i-{number}", service=LEDGER)
    for number in range(engines):
        engine = await partition.add_upstream(f"k-{number}", service=KITCHEN)
        engine.behaviour = upstreams.stream(events=5)
    started = [await partition.add_gateway() for _ in range(gateways)]
    await _wait_for_peers(started)
    for gateway in started:
        await _send_some(gateway)
    return started


async def _wait_for_peers(gateways: list[Gateway]) -> None:
    await wait_until(
        lambda: all(len(gateway.gossip.live_peers()) == len(gateways) - 1 for gateway in gateways)
    )


async def _send_some(gateway: Gateway, *, count: int = 10) -> list[Reply]:
    """Send ``count`` orders, lookups and short prompts each, at once."""
    paths = ("/order/1", "/lookup/1", "/draft/1")
    return await asyncio.gather(*(send(gateway, path) for path in paths for _ in range(count)))


async def _cut_and_wait(partition: Partition, gateways: list[Gateway], how: Cut) -> None:
    """Cut gateways off, with a few requests on the way, until `CONTACT_SECONDS` later."""
    for gateway in gateways:
        partition.cut(gateway, how)
    end = asyncio.get_running_loop().time() + CONTACT_SECONDS
    lost = []
    while asyncio.get_running_loop().time() < end:
        lost += [asyncio.create_task(send(gateway, "/lookup/1")) for gateway in gateways]
        await asyncio.sleep(0.25)
    for task in lost:
        task.cancel()
    await asyncio.gather(*lost, return_exceptions=True)


def _served_share(replies: list[Reply]) -> float:
    served = sum(reply.status == 200 and reply.complete for reply in replies)
    return served / len(replies)


def _opened(gateway: Gateway) -> int:
    return gateway.tunnels.opened


# Guards against callers that get nothing as their gateway has lost its links to all upstreams.
@ANY_CUT
async def test_callers_of_a_stranded_gateway_are_served_in_time(
    world: World, partition: Partition, how: Cut
) -> None:
    stranded, *_ = await _start(partition)
    await _cut_and_wait(partition, [stranded], how)
    clock = FairClock()
    replies = await _send_some(stranded)
    assert _served_share(replies) >= SERVED_SHARE
    assert clock.seconds < 1.0
    runs = collections.Counter(
        call.attempt for upstream in world.upstreams.values() for call in upstream.journal
    )
    ids = {call.attempt for call in _orders(world)}
    assert all(runs[id] == 1 for id in ids)


def _orders(world: World) -> list[upstreams.Call]:
    journals = [call for upstream in world.upstreams.values() for call in upstream.journal]
    return [call for call in journals if call.target.startswith("/order/")]


@ANY_CUT
async def test_long_prompts_with_reservations_are_served_through_peers(
    world: World, partition: Partition, how: Cut
) -> None:
    stranded, *_ = await _start(partition, engines=4)
    await _cut_and_wait(partition, [stranded], how)
    for engine in world.upstreams.values():
        engine.orders.clear()
    replies = [
        await send(stranded, "/draft/7", **{names.TOKEN_COUNTS: "300000,100"}) for _ in range(3)
    ]
    assert _served_share(replies) == 1.0
    operations = [
        order["operation"] for engine in world.upstreams.values() for order in engine.orders
    ]
    assert operations.count("reserve") > 0


@pytest.mark.parametrize("how", [Cut.REFUSED, Cut.RESET])
async def test_the_way_through_a_peer_costs_no_attempt_and_no_retry(
    world: World, partition: Partition, how: Cut
) -> None:
    routes = [
        route("/order/", LEDGER, names.KIND_ONCE, **{"max-attempts": 1}),
        route("/lookup/", LEDGER, names.KIND_IDEMPOTENT, **{"max-attempts": 1}),
        route("/draft/", KITCHEN, names.KIND_STREAM),
    ]
    world.store.put(names.CONFIGURATION_KEY, configuration(2, routes=routes))
    stranded, *_ = await _start(partition)
    await _cut_and_wait(partition, [stranded], how)
    arrivals = sum(len(upstream.arrivals) for upstream in world.upstreams.values())
    replies = await asyncio.gather(*(send(stranded, "/lookup/2") for _ in range(20)))
    assert _served_share(replies) == 1.0
    assert sum(len(each.arrivals) for each in world.upstreams.values()) == arrivals + len(replies)


# Guards against work that goes on at an upstream for a caller that has left.
async def test_an_upstream_learns_through_the_peer_that_the_caller_left(
    world: World, partition: Partition
) -> None:
    stranded, *peers = await _start(partition)
    await _cut_and_wait(partition, [stranded], Cut.SILENT)
    for upstream in world.upstreams.values():
        upstream.behaviour = upstreams.stay_silent
    before = sum(upstream.early_closes for upstream in world.upstreams.values())
    host, port = stranded.node.callers.split(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(request_bytes("/order/1"))
    await wait_until(lambda: any(peer.tunnels.active for peer in peers))
    await asyncio.sleep(0.1)
    writer.close()
    await wait_until(
        lambda: sum(upstream.early_closes for upstream in world.upstreams.values()) > before,
        seconds=0.5,
    )
    await wait_until(lambda: not any(peer.tunnels.active for peer in peers), seconds=0.5)


async def test_a_deadline_ends_a_request_through_a_peer(world: World, partition: Partition) -> None:
    stranded, *peers = await _start(partition)
    await _cut_and_wait(partition, [stranded], Cut.SILENT)
    for upstream in world.upstreams.values():
        upstream.behaviour = upstreams.stay_silent
    clock = FairClock()
    reply = await send(stranded, "/order/1", **{names.REMAINING_MS: "600"})
    assert reply.status == 504
    assert clock.seconds < 0.9
    await wait_until(lambda: not any(peer.tunnels.active for peer in peers), seconds=0.5)


async def test_a_draining_peer_ends_its_tunnels_in_order_and_opens_no_others(
    world: World, partition: Partition
) -> None:
    stranded, *peers = await _start(partition)
    await _cut_and_wait(partition, [stranded], Cut.SILENT)
    for upstream in world.upstreams.values():
        if upstream.service == KITCHEN:
            upstream.behaviour = upstreams.stream(events=50, gap=0.02)
    running = [asyncio.create_task(send(stranded, "/draft/1")) for _ in range(10)]
    await wait_until(lambda: all(peer.tunnels.active for peer in peers))
    drain = asyncio.create_task(peers[0].drain())
    await asyncio.sleep(0.05)
    opened = _opened(peers[0])
    replies = await _send_some(stranded, count=4)
    assert _served_share(replies) == 1.0
    assert _opened(peers[0]) == opened
    ended = await asyncio.gather(*running)
    assert all(reply.complete and reply.events == list(range(50)) for reply in ended)
    await drain
    assert not peers[0].tunnels.active


# Guards against upstreams that are handed the time that was spent on silent peers.
async def test_an_upstream_is_handed_no_more_time_than_is_left(
    world: World, partition: Partition, monkeypatch: pytest.MonkeyPatch
) -> None:
    stranded, _ = await _start(partition, gateways=2)
    await _cut_and_wait(partition, [stranded], Cut.SILENT)
    monkeypatch.setattr(TunnelPeers, "choose", lambda _, nodes, now: sorted(nodes, reverse=True))
    with contextlib.ExitStack() as listeners:
        for node in ("front-8", "front-9"):
            listener = listeners.enter_context(socket.create_server(("127.0.0.1", 0)))
            message = GossipMessage(
                node=node,
                incarnation="a",
                sequence=1,
                failure_domain="fes",
                control=f"127.0.0.1:{listener.getsockname()[1]}",
                revision=0,
                configuration_revision=0,
            )
            assert stranded.gossip.receive(message)
        begun = time.monotonic()
        await send(stranded, "/order/1", **{names.REMAINING_MS: "2000"})
    stranded.gossip.peers.clear()
    (call,) = [order for order in _orders(world) if order.received_at >= begun]
    handed = int(call.headers[names.REMAINING_MS.lower()])
    assert handed <= 2000 - 1000 * (call.received_at - begun) + LATENESS_MS


async def test_two_stranded_gateways_use_the_third_and_not_each_other(
    world: World, partition: Partition
) -> None:
    first, second, third = await _start(partition)
    await _cut_and_wait(partition, [first, second], Cut.SILENT)
    assert first.connector.is_cut_off and second.connector.is_cut_off
    before = _opened(first), _opened(second)
    replies = [*await _send_some(first), *await _send_some(second)]
    assert _served_share(replies) >= SERVED_SHARE
    assert (_opened(first), _opened(second)) == before
    assert _opened(third) >= len(replies)


async def test_requests_that_no_gateway_can_send_are_refused_soon(
    world: World, partition: Partition
) -> None:
    first, second = await _start(partition, gateways=2)
    runs = len(_orders(world))
    await _cut_and_wait(partition, [first, second], Cut.REFUSED)
    clock = FairClock()
    replies = await asyncio.gather(*(send(first, "/order/1") for _ in range(5)))
    assert {reply.status for reply in replies} <= {502, 503}
    assert clock.seconds < 2.5
    assert len(_orders(world)) == runs
    assert not first.connector.is_cut_off and not second.connector.is_cut_off
    assert not first.tunnels.active and not second.tunnels.active


async def test_the_load_of_a_stranded_failure_domain_is_spread_over_the_others(
    world: World, partition: Partition
) -> None:
    for number in range(4):
        await partition.add_upstream(f"i-{number}", service=LEDGER)
        engine = await partition.add_upstream(f"k-{number}", service=KITCHEN)
        engine.behaviour = upstreams.stream(events=5)
    stranded = [await partition.add_gateway() for _ in range(2)]
    others = [
        await partition.add_gateway(failure_domain=domain) for domain in ("meknes", "rabat", "taza")
    ]
    await _wait_for_peers([*stranded, *others])
    for gateway in stranded:
        await _send_some(gateway)
    await _cut_and_wait(partition, stranded, Cut.REFUSED)
    before = [_opened(other) for other in others]
    replies = [reply for gateway in stranded for reply in await _send_some(gateway)]
    assert _served_share(replies) >= SERVED_SHARE
    opened = [_opened(other) - count for other, count in zip(others, before, strict=True)]
    assert max(opened) <= 0.6 * sum(opened)


@ANY_CUT
async def test_requests_go_directly_again_once_the_links_are_back(
    world: World, partition: Partition, how: Cut
) -> None:
    stranded, *peers = await _start(partition)
    await _cut_and_wait(partition, [stranded], how)
    await _send_some(stranded)
    assert stranded.connector.is_cut_off
    partition.restore(stranded)
    await wait_until(lambda: not stranded.connector.is_cut_off, seconds=1.5)
    opened = sum(_opened(peer) for peer in peers)
    assert _served_share(await _send_some(stranded)) == 1.0
    assert sum(_opened(peer) for peer in peers) == opened
    await wait_until(lambda: not any(peer.tunnels.active for peer in peers), seconds=0.5)


# Guards against a sound server's silent second that is taken for a partition.
async def test_one_silent_upstream_is_not_taken_for_a_cut(
    world: World, partition: Partition
) -> None:
    gateways = await _start(partition)
    partition.links[0].pause(1.2)
    for _ in range(12):
        await asyncio.gather(*(send(gateway, "/lookup/1") for gateway in gateways))
        assert not any(gateway.connector.is_cut_off for gateway in gateways)
        await asyncio.sleep(0.1)
    assert sum(_opened(gateway) for gateway in gateways) == 0


async def test_a_dead_upstream_is_not_taken_for_a_cut(world: World, partition: Partition) -> None:
    gateways = await _start(partition)
    await partition.links[0].stop()
    await world.upstreams["i-0"].stop()
    for _ in range(10):
        replies = await asyncio.gather(*(send(gateway, "/lookup/1") for gateway in gateways))
        assert {reply.status for reply in replies} == {200}
        assert not any(gateway.connector.is_cut_off for gateway in gateways)
        await asyncio.sleep(0.1)


async def test_other_gateways_hear_of_the_cut_and_of_its_end(
    world: World, partition: Partition
) -> None:
    stranded, peer, _ = await _start(partition)

    def heard() -> GossipPeer:
        return peer.gossip.peers[stranded.node.id]

    await _cut_and_wait(partition, [stranded], Cut.REFUSED)
    await wait_until(lambda: heard().cut_off, seconds=1.0)
    partition.restore(stranded)
    await wait_until(lambda: not heard().cut_off, seconds=2.0)


# Guards against prompts that all gateways refuse as a partition's resets look like crashes.
async def test_resets_by_a_cut_are_no_evidence_of_prompts_that_crash_engines(
    world: World, partition: Partition
) -> None:
    stranded, *peers = await _start(partition)
    await _cut_and_wait(partition, [stranded], Cut.RESET)
    assert not stranded.evidence.quarantined
    assert not any(peer.evidence.quarantined for peer in peers)


# Guards against upstreams that get nothing for seconds as peers had no room for a moment.
async def test_upstreams_are_not_blamed_while_peers_have_no_room_for_tunnels(
    world: World, partition: Partition, monkeypatch: pytest.MonkeyPatch
) -> None:
    stranded, _ = await _start(partition, gateways=2)
    await _cut_and_wait(partition, [stranded], Cut.REFUSED)
    listed = list(stranded.fleet_state.upstreams.values())
    with monkeypatch.context() as patches:
        patches.setattr(tunnel_server, "MAX_TUNNELS", 0)
        replies = await asyncio.gather(*(send(stranded, "/lookup/1") for _ in range(5)))
    assert {reply.status for reply in replies} == {503}
    assert stranded.record.usable(listed) == listed
