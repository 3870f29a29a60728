"""Open a connection to an upstream through another gateway."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Final
from typing import final
from urllib.parse import urlencode

from tornado.iostream import StreamClosedError
from tornado.iostream import UnsatisfiableReadError

from baobabpulley.adapters.addresses import connect
from baobabpulley.adapters.client_stream import ClientStream
from baobabpulley.adapters.streams import reset_on_close
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.gateway.tunnels.tunnel_server import ADDRESS_ARGUMENT
from baobabpulley.gateway.tunnels.tunnel_server import NODE_ARGUMENT
from baobabpulley.gateway.tunnels.tunnel_server import TUNNEL_PATH
from baobabpulley.gateway.tunnels.tunnel_server import UPGRADE
from baobabpulley.gateway.tunnels.tunnel_server import UPSTREAM_ARGUMENT
from baobabpulley.model.servers import ListedUpstream

MAX_HEAD_BYTES: Final = 4096


@final
class TunnelUnavailable(Exception):
    """Another gateway opened no tunnel, for a reason of its own.

    ``status`` is that of its response, ``None`` if there was none.
    """

    def __init__(self, reason: str, *, status: int | None = None) -> None:
        super().__init__(reason)
        self.status = status


async def open_tunnel(
    control: str, upstream: ListedUpstream, *, node: str, timeout: float
) -> ClientStream:
    """Return a connection to an upstream through the gateway with this control address.

    ``node`` is this gateway, ``timeout`` in real seconds. Raise `UpstreamUnreachable` if the other
    gateway doesn't reach the upstream either, and `TunnelUnavailable` if it opens no tunnel for
    another reason. Nothing has been sent to the upstream.
    """
    try:
        async with asyncio.timeout(timeout):
            stream = await connect(control, timeout=timeout)
            try:
                status = await _request_tunnel(stream, control, upstream, node)
            except BaseException:
                stream.close()
                raise
    except (UpstreamUnreachable, StreamClosedError, UnsatisfiableReadError) as error:
        raise TunnelUnavailable(f"{control} is not reached: {error}") from error
    except TimeoutError:
        raise TunnelUnavailable(f"{control} did not respond within {timeout:.2f} s") from None
    if status == HTTPStatus.SWITCHING_PROTOCOLS:
        stream.is_tunnel = True
        return stream
    stream.close()
    if status == HTTPStatus.BAD_GATEWAY:
        raise UpstreamUnreachable(f"{control} does not reach {upstream.address} either")
    raise TunnelUnavailable(f"{control} responded {status}", status=status)


async def _request_tunnel(
    stream: ClientStream, control: str, upstream: ListedUpstream, node: str
) -> int:
    """Ask for the tunnel and return the status of the response."""
    # The other gateway learns at once that the caller left, also while it waits for the upstream.
    reset_on_close(stream.socket)
    query = urlencode(
        {
            UPSTREAM_ARGUMENT: upstream.id,
            ADDRESS_ARGUMENT: upstream.address,
            NODE_ARGUMENT: node,
        }
    )
    head = (
        f"GET {TUNNEL_PATH}?{query} HTTP/1.1\r\nHost: {control}\r\n"
        f"Connection: Upgrade\r\nUpgrade: {UPGRADE}\r\n\r\n"
    )
    await stream.write(head.encode())
    response = await stream.read_until(b"\r\n\r\n", max_bytes=MAX_HEAD_BYTES)
    fields = response.split(b" ", 2)
    is_valid = fields[0] == b"HTTP/1.1" and len(fields) > 1 and fields[1].isdigit()
    return int(fields[1]) if is_valid else HTTPStatus.INTERNAL_SERVER_ERROR
