"""Pass the bytes of two connections on to each other."""

from __future__ import annotations

import asyncio
import socket
from typing import Final

from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError

from baobabpulley.adapters.client_stream import ClientStream
from baobabpulley.adapters.streams import reset_on_close

# So much of each direction is held at most, beside what a stream reads ahead.
BLOCK_BYTES: Final = 32 * 1024
# While the server reads nothing, it is checked this often whether the client has left.
RESET_CHECK_SECONDS: Final = 0.1


async def pipe(near: IOStream, far: ClientStream) -> None:
    """Pass bytes both ways until one side ends, and let the other side end in the same way.

    ``near`` is the client's connection, ``far`` the server's. Nothing is read while the other side
    doesn't take what was read before. Once the client has left, the server's connection is closed;
    the client resets its own for that, see `reset_on_close`. What the server sent is passed on
    before the end of its connection.
    """
    copies = (
        asyncio.create_task(_copy(near, far, watch_reset=True)),
        asyncio.create_task(_copy(far, near)),
    )
    try:
        await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        if not near.closed() and await far.was_reset() and not near.closed():
            reset_on_close(near.socket)
    finally:
        for copy in copies:
            copy.cancel()
        far.close()
        near.close()
        await asyncio.gather(*copies, return_exceptions=True)


async def _copy(source: IOStream, target: IOStream, *, watch_reset: bool = False) -> None:
    """Copy until one of the streams is closed; with ``watch_reset``, close a reset source."""
    try:
        while True:
            writing = target.write(await source.read_bytes(BLOCK_BYTES, partial=True))
            while watch_reset and not writing.done():
                # A stream that isn't read notices no reset.
                await asyncio.wait({writing}, timeout=RESET_CHECK_SECONDS)
                if source.closed() or _has_error(source):
                    source.close()
                    return
            await writing
    except StreamClosedError:
        return


def _has_error(stream: IOStream) -> bool:
    return stream.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
