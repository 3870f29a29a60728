"""A caller's connection that answers a head which is too long to be read to its end."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Any
from typing import Final
from typing import final

import msgspec
from tornado.iostream import UnsatisfiableReadError

from baobabpulley.adapters.streams import NoDelayStream
from baobabpulley.adapters.turns import Turns
from baobabpulley.errors import BaobabError
from baobabpulley.errors import HeaderTooLarge
from baobabpulley.gateway.callers.strict_connection import LINGER_SECONDS

# What a caller sends after its last response is read and ignored in pieces of this size.
DISCARDED_BYTES: Final = 65_536


@final
class CallerStream(NoDelayStream):
    """Call ``refuse_head`` with the connection when a head exceeds what may be read of it.

    The stream itself closes then, as it can't skip the bytes that it holds.
    """

    def __init__(
        self,
        connection: socket.socket,
        *,
        refuse_head: Callable[[socket.socket], None],
        **options: Any,
    ) -> None:
        super().__init__(connection, **options)
        self._refuse_head = refuse_head
        self._leaves_refusal = False

    def close(self, exc_info: Any = False) -> None:
        """Close the stream; a refusal takes over its descriptor, as there may be no other one."""
        self._leaves_refusal = isinstance(exc_info, UnsatisfiableReadError)
        super().close(exc_info)

    def close_fd(self) -> None:
        """Close the descriptor, or leave it to the refusal."""
        if not self._leaves_refusal:
            super().close_fd()
            return
        self._refuse_head(self.socket)
        self.socket = None  # type: ignore[assignment]


@final
class HeadRefusals:
    """Refuse heads on connections whose streams have closed."""

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        """Number of connections that are still open."""
        return len(self._tasks)

    def start(self, connection: socket.socket) -> None:
        """Refuse a head in a task of its own."""
        task = asyncio.get_running_loop().create_task(_refuse_head(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _refuse_head(connection: socket.socket) -> None:
    """Send the refusal of a head, ignore what the caller still sends for a while, and close."""
    loop = asyncio.get_running_loop()
    turns = Turns()
    refusal = _encode(HeaderTooLarge("the headers are too long"))
    with connection, contextlib.suppress(OSError, TimeoutError):
        connection.setblocking(False)
        async with asyncio.timeout(LINGER_SECONDS):
            # The sending side has ended if the head had been refused before.
            with contextlib.suppress(BrokenPipeError):
                await loop.sock_sendall(connection, refusal)
                connection.shutdown(socket.SHUT_WR)
            while await loop.sock_recv(connection, DISCARDED_BYTES):
                await turns.end_item()


def _encode(error: BaobabError) -> bytes:
    body = msgspec.json.encode(error.document())
    head = (
        f"HTTP/1.1 {error.status} Refused\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body
