"""A stand-in engine over a raw socket that streams events without end."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import final

import msgspec
from endless_sender import chunk

from baobabpulley.ports.engine import EngineCall

# Returns a piece of the stream, from the call and the piece's number.
Piece = Callable[[EngineCall, int], bytes]
_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


@final
class FloodingEngine:
    """Answer each completion with pieces until the connection closes."""

    def __init__(self, piece: Piece) -> None:
        self._piece = piece
        self.address = ""
        self._tasks: set[asyncio.Task[None]] = set()

    async def stop(self) -> None:
        """End all answers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._answer(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        body = await reader.readexactly(length)
        if not head.startswith(b"POST /v1/completions "):
            return
        call = msgspec.json.decode(body, type=EngineCall)
        writer.write(_HEAD)
        for number in itertools.count():
            writer.write(chunk(self._piece(call, number)))
            await writer.drain()
            await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def open_flooding_engine(piece: Piece) -> AsyncIterator[FloodingEngine]:
    """Yield a running engine and stop it afterwards."""
    engine = FloodingEngine(piece)
    server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
    engine.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    try:
        yield engine
    finally:
        server.close()
        await engine.stop()
