"""Pass the bytes of two connections on to each other."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from typing import Final

from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError

from baobabpulley.adapters.client_stream import RESET_POLL_SECONDS
from baobabpulley.adapters.client_stream import RESET_TIMEOUT_SECONDS
from baobabpulley.adapters.client_stream import ClientStream
from baobabpulley.adapters.streams import allow_pause
from baobabpulley.adapters.streams import is_acknowledged
from baobabpulley.adapters.streams import reset_on_close

# So much of each direction is held at most, beside what a stream reads ahead.
BLOCK_BYTES: Final = 32 * 1024
# While the server reads nothing, it is checked this often whether the client has left.
RESET_CHECK_SECONDS: Final = 0.1
# So often in the time after which a client is dead is it checked whether it only pauses.
PAUSE_CHECKS: Final = 6
# A client closes its connection within this time after it has read the end.
END_TIMEOUT_SECONDS: Final = 1.0
# What the client is still sending arrives within this time after the server's end.
REST_SECONDS: Final = 0.05


async def pipe(near: IOStream, far: ClientStream, *, dead_after: float) -> None:
    """Pass bytes both ways until one side ends, and let the other side end in the same way.

    ``near`` is the client's connection, ``far`` the server's. Nothing is read while the other side
    doesn't take what was read before. Once the client has left, the server's connection is closed;
    the client resets its own for that, see `reset_on_close`. What the server sent is passed on
    before the end of its connection. If this is cancelled, the client's connection is reset. So it
    is if the client acknowledges nothing for ``dead_after`` real seconds; a slow one may pause.
    """
    reset_on_close(near.socket)
    # The client has the rest of a request that the server may have ended too early.
    far.keeps_end = True
    to_server = asyncio.create_task(_copy_to_server(near, far))
    to_client = asyncio.create_task(_copy_to_client(far, near))
    try:
        await _wait_for_end(near, (to_server, to_client), dead_after)
        is_reset = near.closed() or await far.was_reset(at_least=REST_SECONDS)
        if is_reset:
            await _wait_until_received(near)
        elif not near.closed():
            _end_in_order(near)
            # A client that still sends has to read the end before the connection is closed.
            await asyncio.wait((to_server,), timeout=END_TIMEOUT_SECONDS)
    finally:
        for copy in (to_server, to_client):
            copy.cancel()
        far.close()
        near.close()
        await asyncio.gather(to_server, to_client, return_exceptions=True)


async def _wait_for_end(
    near: IOStream, copies: tuple[asyncio.Task[None], ...], dead_after: float
) -> None:
    """Wait until one of the copies has ended."""
    period = dead_after / PAUSE_CHECKS
    while not any(copy.done() for copy in copies):
        await asyncio.wait(copies, timeout=period, return_when=asyncio.FIRST_COMPLETED)
        if not near.closed():
            allow_pause(near.socket, dead_after)


async def _copy_to_client(server: IOStream, client: IOStream) -> None:
    """Copy until the server's connection has ended or the client's is closed."""
    with contextlib.suppress(StreamClosedError):
        while True:
            await client.write(await server.read_bytes(BLOCK_BYTES, partial=True))


async def _copy_to_server(client: IOStream, server: ClientStream) -> None:
    """Copy until the client's connection is closed; what the server no longer takes is dropped."""
    while True:
        try:
            block = await client.read_bytes(BLOCK_BYTES, partial=True)
        except StreamClosedError:
            return
        try:
            await _write_while_open(server, block, client)
        except StreamClosedError:
            server.send_after_end(block)


async def _write_while_open(server: IOStream, block: bytes, client: IOStream) -> None:
    """Write a block to the server; close the client's stream if it is reset meanwhile."""
    writing = server.write(block)
    while not writing.done():
        # A stream that isn't read notices no reset.
        await asyncio.wait({writing}, timeout=RESET_CHECK_SECONDS)
        if client.closed():
            return
        if client.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            client.close()
            return
    await writing


async def _wait_until_received(stream: IOStream) -> None:
    """Wait a while until the other side has what was written, as a reset would discard the rest."""
    end = time.monotonic() + RESET_TIMEOUT_SECONDS
    while not stream.closed():
        if is_acknowledged(stream) or time.monotonic() >= end:
            return
        await asyncio.sleep(RESET_POLL_SECONDS)


def _end_in_order(stream: IOStream) -> None:
    reset_on_close(stream.socket, enabled=False)
    with contextlib.suppress(OSError):
        stream.socket.shutdown(socket.SHUT_WR)
