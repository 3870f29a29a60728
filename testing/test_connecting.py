"""Tests of how connections to upstreams are opened."""

from __future__ import annotations

import asyncio
import errno
import socket
import time
from collections.abc import Iterator

import pytest

from baobabpulley.adapters.addresses import connect
from baobabpulley.errors import UpstreamUnreachable

TIMEOUT_SECONDS = 0.2


@pytest.fixture
def full() -> Iterator[socket.socket]:
    """Yield a listening socket whose queue is full, so that connections stay half open."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as server:
        waiting = []
        for _ in range(8):
            waiting.append(socket.socket())
            waiting[-1].setblocking(False)
            waiting[-1].connect_ex(server.getsockname())
        yield server
        for connection in waiting:
            connection.close()


def hold_up_process() -> None:
    """Keep the event loop from running for longer than a connection may take to open."""
    time.sleep(2 * TIMEOUT_SECONDS)


def address_of(server: socket.socket) -> str:
    return f"127.0.0.1:{server.getsockname()[1]}"


async def test_a_connection_that_opened_while_the_process_was_held_up_is_used() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        opening = asyncio.create_task(connect(address_of(server), timeout=TIMEOUT_SECONDS))
        await asyncio.sleep(0)
        hold_up_process()
        stream = await opening
        assert not stream.closed()
        stream.close()


async def test_a_connection_that_was_refused_while_the_process_was_held_up_fails() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = address_of(server)
    asyncio.get_running_loop().call_soon(time.sleep, 2 * TIMEOUT_SECONDS)
    with pytest.raises(UpstreamUnreachable, match=address):
        await connect(address, timeout=TIMEOUT_SECONDS)


async def test_a_connection_that_does_not_open_in_time_fails(full: socket.socket) -> None:
    began = time.monotonic()
    with pytest.raises(UpstreamUnreachable, match=r"not open within 0\.20 s"):
        await connect(address_of(full), timeout=TIMEOUT_SECONDS)
    assert time.monotonic() - began >= TIMEOUT_SECONDS


async def test_a_caller_that_gives_up_leaves_no_connection_behind(full: socket.socket) -> None:
    opening = asyncio.create_task(connect(address_of(full), timeout=30.0))
    await asyncio.sleep(0.05)
    opening.cancel()
    with pytest.raises(asyncio.CancelledError):
        await opening


async def test_a_connection_without_a_descriptor_left_is_unreachable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def refuse(*arguments: object, **options: object) -> socket.socket:
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr(socket, "socket", refuse)
    with pytest.raises(UpstreamUnreachable, match="Too many open files"):
        await connect("127.0.0.1:9", timeout=TIMEOUT_SECONDS)
