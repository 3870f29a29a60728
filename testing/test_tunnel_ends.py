"""Tests of how a tunnel ends whose server has ended its connection before the request was there."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest
from tornado.iostream import IOStream

from baobabpulley.adapters.addresses import connect
from baobabpulley.adapters.streams import detect_dead_peer
from baobabpulley.adapters.tunnel_pipe import pipe

BEGIN = b"x" * 1000
REST = b"y" * 1000
READ_BYTES = 65_536
REST_LATENESS_SECONDS = 0.01
DEAD_AFTER_SECONDS = 1.0
PART = b"HTTP/1.1 200 OK\r\n\r\nhalf"


@contextlib.asynccontextmanager
async def _tunnel() -> AsyncIterator[tuple[socket.socket, socket.socket]]:
    """Yield the sockets of a client and of a server, with a tunnel between them."""
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        far = await connect(address, timeout=1.0)
        server, _ = await loop.sock_accept(listener)
        client = socket.socket()
        client.setblocking(False)
        await loop.sock_connect(client, listener.getsockname())
        near, _ = await loop.sock_accept(listener)
    for plain in (server, near):
        plain.setblocking(False)
    detect_dead_peer(near, DEAD_AFTER_SECONDS)
    running = asyncio.create_task(pipe(IOStream(near), far, dead_after=DEAD_AFTER_SECONDS))
    with server, client:
        yield client, server
    await running


async def _begin(client: socket.socket, server: socket.socket) -> None:
    """Let the server read all that has arrived of a request, and send a part of its answer."""
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(client, BEGIN)
    assert await loop.sock_recv(server, READ_BYTES) == BEGIN
    await loop.sock_sendall(server, PART)


async def _read_to_end(client: socket.socket) -> bytes:
    received = b""
    while data := await asyncio.get_running_loop().sock_recv(client, READ_BYTES):
        received += data
    return received


# Guards against a part that is taken for the whole answer, as the server died in mid-upload.
async def test_a_part_by_a_server_that_is_gone_before_the_rest_arrives_is_no_answer() -> None:
    async with _tunnel() as (client, server):
        await _begin(client, server)
        server.close()
        await asyncio.sleep(REST_LATENESS_SECONDS)
        await asyncio.get_running_loop().sock_sendall(client, REST)
        with pytest.raises(ConnectionResetError):
            await _read_to_end(client)


@pytest.mark.parametrize("has_rest", [False, True])
async def test_an_answer_by_a_server_that_ends_and_reads_on_is_whole(has_rest: bool) -> None:
    loop = asyncio.get_running_loop()
    async with _tunnel() as (client, server):
        await _begin(client, server)
        server.shutdown(socket.SHUT_WR)
        await asyncio.sleep(REST_LATENESS_SECONDS)
        if has_rest:
            await loop.sock_sendall(client, REST)
            assert await loop.sock_recv(server, READ_BYTES) == REST
        assert await _read_to_end(client) == PART


async def test_an_answer_by_a_server_that_closes_after_the_request_is_whole() -> None:
    async with _tunnel() as (client, server):
        await _begin(client, server)
        server.close()
        assert await _read_to_end(client) == PART


# Guards against an answer that is cut off as its reader pauses for longer than a dead one may.
@pytest.mark.parametrize("is_over", [False, True])
async def test_an_answer_whose_reader_pauses_arrives_whole(is_over: bool) -> None:
    size = 20_000_000 if not is_over else 1_000_000
    loop = asyncio.get_running_loop()
    async with _tunnel() as (client, server):
        sending = asyncio.create_task(loop.sock_sendall(server, bytes(size)))
        await asyncio.sleep(3 * DEAD_AFTER_SECONDS)
        assert sending.done() is is_over
        reading = asyncio.create_task(_read_to_end(client))
        await sending
        server.close()
        assert len(await reading) == size
