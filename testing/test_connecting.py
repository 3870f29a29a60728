"""Tests of how connections to upstreams are opened."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
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


def accept_all(server: socket.socket) -> None:
    """Accept connections until none has come for a second."""
    server.settimeout(1.0)
    with contextlib.suppress(TimeoutError, OSError):
        while True:
            server.accept()[0].close()


def address_of(server: socket.socket) -> str:
    return f"127.0.0.1:{server.getsockname()[1]}"


async def test_a_connection_that_opened_while_the_process_was_held_up_is_used(
    full: socket.socket,
) -> None:
    # The kernel tries again after 1 s, when the queue has room.
    threading.Timer(0.6, accept_all, (full,)).start()
    asyncio.get_running_loop().call_later(0.4, time.sleep, 1.4)
    stream = await connect(address_of(full), timeout=1.2)
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
