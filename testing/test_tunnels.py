"""Tests of connections to upstreams that a gateway opens for another one."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from collections.abc import Callable
from pathlib import Path

import platform_upstream as upstreams
import pytest
from fair_clock import FairClock
from gateway_builders import World
from gateway_builders import open_world
from gateway_builders import send
from gateway_builders import wait_until
from test_early_answers import CALL_TIMEOUT_SECONDS
from test_early_answers import UPLOAD
from test_early_answers import Ending
from test_early_answers import Framing
from test_early_answers import answer_early_and_read_on
from test_early_answers import early_part

from baobabpulley.adapters.client_stream import ClientStream
from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch
from baobabpulley.errors import BaobabError
from baobabpulley.errors import UpstreamDisconnected
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.gateway.daemon import Gateway
from baobabpulley.gateway.peers.gossip_messages import GossipMessage
from baobabpulley.gateway.tunnels import tunnel_server
from baobabpulley.gateway.tunnels.tunnel_client import TunnelUnavailable
from baobabpulley.gateway.tunnels.tunnel_client import open_tunnel
from baobabpulley.gateway.tunnels.upstream_connector import DIRECT_TIMEOUT_SECONDS
from baobabpulley.gateway.tunnels.upstream_connector import TUNNEL_TIMEOUT_SECONDS
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.platform import names

TIMEOUT_SECONDS = 0.5
BLOCK = bytes(65_536)
HEADERS = {"X-Expected-Instance": "i-1"}


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


async def _start(world: World) -> tuple[Gateway, ListedUpstream]:
    await world.add_upstream("i-1")
    gateway = await world.add_gateway()
    return gateway, gateway.fleet_state.upstreams["i-1"]


async def _open(gateway: Gateway, upstream: ListedUpstream) -> ClientStream:
    return await open_tunnel(
        gateway.node.control, upstream, node="front-9", timeout=TIMEOUT_SECONDS
    )


def _client(gateway: Gateway, upstream: ListedUpstream) -> HttpClient:
    """Return a client that reaches the upstream through a gateway."""

    async def connect(address: str, *, timeout: float) -> ClientStream:
        return await _open(gateway, upstream)

    return HttpClient(connect=connect)


async def _with_address(world: World, upstream: ListedUpstream) -> ListedUpstream:
    other = await world.add_upstream("i-2", listed=False)
    return ListedUpstream(
        id=upstream.id,
        service=upstream.service,
        address=other.address,
        failure_domain="fes",
        slots=8,
        leaving=False,
    )


async def test_each_tunnel_carries_one_request(world: World) -> None:
    gateway, upstream = await _start(world)
    client = _client(gateway, upstream)
    for count in (1, 2):
        status, body = await fetch(
            client,
            address=upstream.address,
            method="GET",
            path="/lookup/1",
            headers=HEADERS,
            timeout=TIMEOUT_SECONDS,
        )
        assert (status, body[:7]) == (200, b"i-1 ran")
        assert gateway.tunnels.opened == count
    assert client.idle_count(upstream.address) == 0
    await wait_until(lambda: not gateway.tunnels.active, seconds=0.5)


# Guards against a gateway that lets others connect to anything that it reaches.
async def test_no_tunnel_leads_to_an_address_that_is_not_listed(world: World) -> None:
    gateway, upstream = await _start(world)
    unlisted = await _with_address(world, upstream)
    with pytest.raises(TunnelUnavailable) as refused:
        await _open(gateway, unlisted)
    assert refused.value.status == 403
    assert world.upstreams["i-2"].connections == 0


async def test_an_upstream_that_the_peer_does_not_reach_either_is_unreachable(
    world: World,
) -> None:
    gateway, upstream = await _start(world)
    await world.upstreams["i-1"].stop()
    with pytest.raises(UpstreamUnreachable):
        await _open(gateway, upstream)


async def test_the_number_of_tunnels_is_bounded(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(tunnel_server, "MAX_TUNNELS", 2)
    gateway, upstream = await _start(world)
    first = await _open(gateway, upstream)
    await _open(gateway, upstream)
    with pytest.raises(TunnelUnavailable) as refused:
        await _open(gateway, upstream)
    assert refused.value.status == 503
    first.close()
    await wait_until(lambda: gateway.tunnels.active == 1, seconds=0.5)
    await _open(gateway, upstream)


@pytest.mark.parametrize("answer", [b"HTTP/1.1 404 Not Found\r\n\r\n", b"nothing\r\n\r\n", b""])
async def test_a_peer_that_knows_no_tunnels_is_unavailable(world: World, answer: bytes) -> None:
    _, upstream = await _start(world)

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    async with await asyncio.start_server(respond, "127.0.0.1", 0) as server:
        control = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        with pytest.raises(TunnelUnavailable):
            await open_tunnel(control, upstream, node="front-9", timeout=TIMEOUT_SECONDS)


async def test_a_silent_peer_is_given_up(world: World) -> None:
    _, upstream = await _start(world)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        control = f"127.0.0.1:{listener.getsockname()[1]}"
        with pytest.raises(TunnelUnavailable):
            await open_tunnel(control, upstream, node="front-9", timeout=0.1)


# Guards against requests held up for one silent peer after the other in a cut of a whole domain.
async def test_a_request_waits_for_one_silent_peer_only(world: World) -> None:
    gateway, _ = await _start(world)
    await world.upstreams["i-1"].stop()
    with contextlib.ExitStack() as listeners:
        for number in range(3):
            listener = listeners.enter_context(socket.create_server(("127.0.0.1", 0)))
            message = GossipMessage(
                node=f"front-{number + 5}",
                incarnation="a",
                sequence=1,
                failure_domain="fes",
                control=f"127.0.0.1:{listener.getsockname()[1]}",
                revision=0,
                configuration_revision=0,
            )
            assert gateway.gossip.receive(message)
        clock = FairClock()
        reply = await send(gateway, "/order/1")
        assert reply.status in (502, 503)
        assert clock.seconds < DIRECT_TIMEOUT_SECONDS + 1.5 * TUNNEL_TIMEOUT_SECONDS
    gateway.gossip.peers.clear()


# Guards against an answer whose reset is taken for its end, as the peer closes in order.
@pytest.mark.parametrize(
    "behaviour", [upstreams.answer_without_length_and_reset, upstreams.reset_after_run]
)
async def test_a_reset_by_the_upstream_is_passed_on(
    world: World, behaviour: upstreams.Behaviour
) -> None:
    gateway, upstream = await _start(world)
    world.upstreams["i-1"].behaviour = behaviour
    with pytest.raises(BaobabError):
        await fetch(
            _client(gateway, upstream),
            address=upstream.address,
            method="GET",
            path="/lookup/1",
            headers=HEADERS,
            timeout=TIMEOUT_SECONDS,
        )


async def test_an_answer_that_ends_with_its_connection_is_whole(world: World) -> None:
    gateway, upstream = await _start(world)
    world.upstreams["i-1"].behaviour = upstreams.unframed(b"half ", b"whole", pause=0.02)
    status, body = await fetch(
        _client(gateway, upstream),
        address=upstream.address,
        method="GET",
        path="/lookup/1",
        headers=HEADERS,
        timeout=TIMEOUT_SECONDS,
    )
    assert (status, body) == (200, b"half whole")


# Guards against an answer that looks whole as the peer in between ends.
async def test_a_peer_that_ends_resets_its_tunnels(world: World) -> None:
    gateway, upstream = await _start(world)
    world.upstreams["i-1"].behaviour = upstreams.unframed(b"half ", b"whole", pause=0.2)
    answer = asyncio.create_task(
        fetch(
            _client(gateway, upstream),
            address=upstream.address,
            method="GET",
            path="/lookup/1",
            headers=HEADERS,
            timeout=2 * TIMEOUT_SECONDS,
        )
    )
    await asyncio.sleep(0.3)
    gateway.tunnels.close()
    with pytest.raises(UpstreamDisconnected):
        await answer


@pytest.mark.parametrize("ending", Ending, ids=lambda ending: ending.value)
@pytest.mark.parametrize("size", [1, 200_000])
async def test_a_part_whose_upload_is_reset_is_no_answer(
    world: World, size: int, ending: Ending
) -> None:
    gateway, upstream = await _start(world)
    world.upstreams["i-1"].reads_bodies = False
    world.upstreams["i-1"].behaviour = early_part(b"x" * size, pause=0.01, ending=ending)
    with pytest.raises(UpstreamLost):
        await _upload(gateway, upstream)


# Guards against the loss of an answer as the peer resets a tunnel with unread bytes.
@pytest.mark.parametrize("framing", Framing, ids=lambda framing: framing.value)
async def test_a_whole_answer_that_ends_before_the_upload_arrives(
    world: World, framing: Framing
) -> None:
    gateway, upstream = await _start(world)
    world.upstreams["i-1"].reads_bodies = False
    world.upstreams["i-1"].behaviour = answer_early_and_read_on(framing)
    assert await _upload(gateway, upstream) == (200, b"the whole answer")


async def _upload(gateway: Gateway, upstream: ListedUpstream) -> tuple[int, bytes]:
    return await fetch(
        _client(gateway, upstream),
        address=upstream.address,
        method="POST",
        path="/lookup/1",
        body=UPLOAD,
        headers=HEADERS,
        timeout=CALL_TIMEOUT_SECONDS,
    )


@contextlib.asynccontextmanager
async def _raw_upstream(
    world: World, serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], object]
) -> AsyncIterator[str]:
    """Replace the upstream's address by that of a plain server."""
    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        entry = world.upstreams["i-1"].entry(address=address, sequence=2)
        world.store.put(names.UPSTREAM_PREFIX + "i-1", entry)
        yield address


async def _listed(gateway: Gateway, address: str) -> ListedUpstream:
    await wait_until(lambda: gateway.fleet_state.upstreams["i-1"].address == address)
    return gateway.fleet_state.upstreams["i-1"]


# Guards against a peer that holds a whole long answer for a reader that is slow.
async def test_a_slow_reader_holds_up_the_upstream(world: World) -> None:
    gateway, _ = await _start(world)
    sent = 0

    async def flood(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(BLOCK)
                await writer.drain()
                sent += len(BLOCK)

    async with _raw_upstream(world, flood) as address:
        stream = await _open(gateway, await _listed(gateway, address))
        used = gateway.budget.used_bytes
        assert used >= tunnel_server.TUNNEL_BYTES
        await asyncio.sleep(0.5)
        stalled_at = sent
        await asyncio.sleep(0.3)
        assert sent == stalled_at
        stream.close()
        await wait_until(lambda: not gateway.tunnels.active, seconds=0.5)
        assert gateway.budget.used_bytes == used - tunnel_server.TUNNEL_BYTES


async def test_a_caller_that_leaves_is_noticed_while_the_upstream_reads_nothing(
    world: World,
) -> None:
    gateway, _ = await _start(world)
    ended = asyncio.Event()

    async def read_nothing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await ended.wait()
        writer.close()

    async with _raw_upstream(world, read_nothing) as address:
        stream = await _open(gateway, await _listed(gateway, address))
        writing = stream.write(b"x" * 32_000_000)
        await asyncio.sleep(0.3)
        assert not writing.done()
        stream.close()
        await wait_until(lambda: not gateway.tunnels.active, seconds=0.5)
        ended.set()
