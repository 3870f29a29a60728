"""A TCP link to a server that can be paused: while it is, no byte passes in either direction."""

from __future__ import annotations

import asyncio
import contextlib
from typing import final

BLOCK_BYTES = 65_536


@final
class PausingLink:
    """Forward connections from a free loopback port to ``target``, an ``ip:port`` address.

    Connections are accepted during a pause, as a suspended process's kernel does. ``passed`` counts
    the bytes that the server sent, and ``connections`` the connections that were accepted.
    """

    def __init__(self, target: str) -> None:
        self._target = target.split(":")
        self._open = asyncio.Event()
        self._open.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.passed = 0
        self.connections = 0
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Close the listener and all connections."""
        assert self._server is not None
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    def pause(self, seconds: float) -> None:
        """Let nothing pass for so many real seconds."""
        self._open.clear()
        asyncio.get_running_loop().call_later(seconds, self._open.set)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        host, port = self._target
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await self._open.wait()
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            try:
                async with asyncio.TaskGroup() as both:
                    both.create_task(self._forward(reader, far_writer, counted=False))
                    both.create_task(self._forward(far_reader, writer, counted=True))
            finally:
                far_writer.close()
        writer.close()
        self._tasks.discard(task)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, counted: bool
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(BLOCK_BYTES):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
                if counted:
                    self.passed += len(data)
        await self._open.wait()
        writer.close()
