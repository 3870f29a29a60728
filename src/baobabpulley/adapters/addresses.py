"""TCP connections to ``ip:port`` addresses."""

from __future__ import annotations

import asyncio
import socket

from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError

from baobabpulley.adapters.client_stream import ClientStream
from baobabpulley.errors import UpstreamUnreachable


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``.

    >>> split_address("127.0.0.1:8080")
    ('127.0.0.1', 8080)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


async def connect(address: str, *, timeout: float) -> ClientStream:
    """Open a TCP connection; raise `UpstreamUnreachable` if it fails or takes too long.

    ``timeout`` is in real seconds. A connection that has opened by the time the process notices the
    timeout is returned: the process may have been late.
    """
    try:
        stream = ClientStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    except OSError as error:
        raise UpstreamUnreachable(f"no connection to {address}: {error}") from error
    try:
        await _open(stream, address, timeout)
    except (StreamClosedError, OSError) as error:
        stream.close()
        raise UpstreamUnreachable(f"no connection to {address}: {error}") from error
    except BaseException:
        stream.close()
        raise
    return stream


async def _open(stream: IOStream, address: str, timeout: float) -> None:
    opening = stream.connect(split_address(address))
    await asyncio.wait({opening}, timeout=timeout)
    if not opening.done() and _is_open(stream):
        # This process was held up; the event loop reports the connection in its next turns.
        await asyncio.wait({opening}, timeout=timeout)
    if not opening.done():
        raise UpstreamUnreachable(f"no connection to {address}: not open within {timeout:.2f} s")
    await opening


def _is_open(stream: IOStream) -> bool:
    """Whether the kernel has opened a connection, be it known to the stream yet or not."""
    try:
        stream.socket.getpeername()
    except OSError:
        return False
    return True
