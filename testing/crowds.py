"""Crowds of callers that send without end or read nothing, and the memory of a gateway process."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Coroutine
from pathlib import Path
from typing import Any
from typing import Final
from typing import final

from gateway_builders import GatewayProcess
from gateway_builders import Reply
from gateway_builders import read_reply
from gateway_builders import request_bytes
from platform_upstream import Behaviour
from platform_upstream import Call
from platform_upstream import UpstreamStandin

from baobabpulley.adapters.addresses import split_address
from baobabpulley.platform import names

MAX_BODY_BYTES: Final = 4 * 1024 * 1024
WHOLE_ANSWER_BYTES: Final = 16 * 1024 * 1024
STREAM_BYTES: Final = 8 * 1024 * 1024
BLOCK_BYTES: Final = 65_536
# Kernel buffers would otherwise hold the answers that a caller doesn't read.
RECEIVE_BUFFER_BYTES: Final = 8_192
SAMPLE_SECONDS: Final = 0.02
SLOW_READ_SECONDS: Final = 0.25
TRICKLE_SECONDS: Final = 0.2
LONG_MS: Final = 60_000
_KB: Final = 1024
_BLOCK: Final = b"x" * BLOCK_BYTES

Member = Callable[["Connection"], Coroutine[Any, Any, None]]


@final
class Connection:
    """A caller's connection with a small receive buffer; nothing is read unless asked for."""

    def __init__(self, plain: socket.socket) -> None:
        self._plain = plain

    async def send(self, data: bytes) -> None:
        """Send all data."""
        await asyncio.get_running_loop().sock_sendall(self._plain, data)

    async def receive(self, size: int) -> bytes:
        """Return the next bytes; none if the gateway has closed the connection."""
        return await asyncio.get_running_loop().sock_recv(self._plain, size)


@final
class Usage:
    """The largest memory and number of descriptors that a process was seen to hold."""

    def __init__(self, process: GatewayProcess) -> None:
        self._folder = Path(f"/proc/{process.pid}")
        self.anonymous_mb = 0.0
        self.descriptors = 0

    @property
    def anonymous_mb_now(self) -> float:
        """Resident anonymous memory of the process in MB."""
        for line in (self._folder / "status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / _KB
        return 0.0

    @property
    def descriptors_now(self) -> int:
        """Number of open descriptors of the process."""
        return len(list((self._folder / "fd").iterdir()))

    def sample(self) -> None:
        """Record what the process holds now."""
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            self.anonymous_mb = max(self.anonymous_mb, self.anonymous_mb_now)
            self.descriptors = max(self.descriptors, self.descriptors_now)

    async def watch(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_SECONDS)


@contextlib.asynccontextmanager
async def crowd(
    process: GatewayProcess, members: list[Member], *, seconds: float
) -> AsyncIterator[None]:
    """Run each member on a connection of its own; enter the block after ``seconds``.

    The connections stay open until the end of the block. A member whose connection the gateway
    closes is done.
    """
    tasks = [asyncio.create_task(_run(process, member)) for member in members]
    try:
        await asyncio.sleep(seconds)
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _run(process: GatewayProcess, member: Member) -> None:
    plain = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    plain.setblocking(False)
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    with plain, contextlib.suppress(OSError):
        await asyncio.get_running_loop().sock_connect(plain, split_address(process.node.callers))
        await member(Connection(plain))
        await asyncio.sleep(3600)


async def ask_until_answered(process: GatewayProcess, path: str, *, tries: int = 60) -> Reply:
    """Return the answer to an ordinary request, which is sent again if it was refused."""
    for _ in range(tries):
        reply = await ask(process, path)
        if reply.status == 200:
            break
        await asyncio.sleep(0.25)
    return reply


async def ask(process: GatewayProcess, path: str, **options: Any) -> Reply:
    """Send one request on a new connection and return the answer; status 0 if there is none."""
    host, port = split_address(process.node.callers)
    with contextlib.suppress(OSError, TimeoutError):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(request_bytes(path, **options))
            return await asyncio.wait_for(read_reply(reader), 10)
        finally:
            writer.close()
    return Reply(0, {}, b"", complete=False)


def chunked_head(path: str) -> bytes:
    """Return the head of a request with a chunked body."""
    return long_request(path, body=b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")


def send_unended(
    path: str, *, chunk_bytes: int, total_bytes: int, one_by_one: bool = False
) -> Member:
    """Return a member that sends a chunked body without its end, by many chunks or by one."""
    piece = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    pieces = 1 if one_by_one else max(1, BLOCK_BYTES // len(piece))

    async def run(connection: Connection) -> None:
        await connection.send(chunked_head(path))
        left = total_bytes // chunk_bytes
        while left > 0:
            count = min(left, pieces)
            await connection.send(piece * count)
            left -= count
            await asyncio.sleep(0)

    return run


def send_too_much(path: str, *, announced: bool, total_bytes: int) -> Member:
    """Return a member that sends a body over the limit, announced by its length or in chunks."""

    async def run(connection: Connection) -> None:
        if not announced:
            await send_unended(path, chunk_bytes=BLOCK_BYTES, total_bytes=total_bytes)(connection)
            return
        head = request_bytes(path, body=b"")
        length = b"Content-Length: %d" % total_bytes
        await connection.send(head.replace(b"Content-Length: 0", length))
        for _ in range(total_bytes // BLOCK_BYTES):
            await connection.send(_BLOCK)

    return run


def send_whole(path: str, *, total_bytes: int) -> Member:
    """Return a member that sends a request with a whole body and reads nothing."""

    async def run(connection: Connection) -> None:
        head = long_request(path, body=b"")
        length = b"Content-Length: %d" % total_bytes
        await connection.send(head.replace(b"Content-Length: 0", length))
        for _ in range(total_bytes // BLOCK_BYTES):
            await connection.send(_BLOCK)

    return run


def read_little(path: str, *, slowly: bool) -> Member:
    """Return a member that sends a request and reads the answer slowly or never."""

    async def run(connection: Connection) -> None:
        await connection.send(long_request(path))
        while slowly:
            await asyncio.sleep(SLOW_READ_SECONDS)
            if not await connection.receive(RECEIVE_BUFFER_BYTES):
                return

    return run


async def trickle_head(connection: Connection) -> None:
    """Send a head byte by byte."""
    for number in itertools.cycle(request_bytes("/lookup/1")[:-9]):
        await connection.send(bytes([number]))
        await asyncio.sleep(TRICKLE_SECONDS)


async def say_nothing(connection: Connection) -> None:
    """Send nothing on an open connection."""


def long_request(path: str, *, body: bytes = b"hello") -> bytes:
    """Return a request that may take as long as the test."""
    request = request_bytes(path, body=body)
    return request.replace(
        f"{names.REMAINING_MS}: 3000".encode(), f"{names.REMAINING_MS}: {LONG_MS}".encode()
    )


def answer_large(size: int = WHOLE_ANSWER_BYTES) -> Behaviour:
    """Return a behaviour: answer ``/lookup/large`` with this size, others with a word."""

    async def run(upstream: UpstreamStandin, call: Call) -> None:
        if not call.target.endswith("large"):
            await call.write(call.sealed(b"ordinary"))
            return
        await call.write(call.head(200, f"{names.SEAL}: s.{call.attempt}", length=size))
        for _ in range(size // BLOCK_BYTES):
            await call.write(_BLOCK)

    return run


def stream_large(size: int = STREAM_BYTES, *, event_bytes: int = 4096) -> Behaviour:
    """Return a behaviour: stream events of this total size, as fast as they are read."""

    async def run(upstream: UpstreamStandin, call: Call) -> None:
        stream_head = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        await call.write(call.head(200, f"{names.SEAL}: s.{upstream.name}", *stream_head))
        for number in range(size // event_bytes):
            await call.write_chunk(b"id: %d\ndata: %s\n\n" % (number, b"x" * event_bytes))
        await call.write(b"0\r\n\r\n")

    return run


async def hold_then_answer(upstream: UpstreamStandin, call: Call) -> None:
    """Answer ordinary requests at once and keep ``/lookup/held`` without an answer."""
    if call.target.endswith("held"):
        await asyncio.sleep(3600)
    await call.write(call.sealed(b"ordinary"))
