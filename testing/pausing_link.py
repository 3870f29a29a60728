"""A TCP link to a server that can be paused, or whose open connections can go silent for good."""

from __future__ import annotations

import asyncio
import contextlib
from typing import final

BLOCK_BYTES = 65_536
LATE_SECONDS = 0.02


@final
class PausingLink:
    """Forward connections from a free loopback port to ``target``, an ``ip:port`` address.

    Connections are accepted during a pause, as a suspended process's kernel does. ``connections``
    counts the connections that were accepted, ``bytes_passed`` those of both directions.
    """

    def __init__(self, target: str) -> None:
        self._target = target.split(":")
        self._open = asyncio.Event()
        self._open.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.connections = 0
        self.bytes_passed = 0
        self._late_connections = 0
        self._silent_connections = 0
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

    def pause(self, seconds: float, *, late_connections: int = 0) -> None:
        """Let nothing pass for so many real seconds.

        What waits on the first ``late_connections`` connections passes after all others.
        """
        self._open.clear()
        self._late_connections = late_connections
        asyncio.get_running_loop().call_later(seconds, self._open.set)

    def silence_open_connections(self) -> None:
        """Let nothing pass any more on the connections accepted so far; new ones work."""
        self._silent_connections = self.connections

    async def _wait_until_open(self, number: int) -> None:
        if number <= self._silent_connections:
            await asyncio.Event().wait()
        if self._open.is_set():
            return
        await self._open.wait()
        if number <= self._late_connections:
            await asyncio.sleep(LATE_SECONDS)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        number = self.connections
        host, port = self._target
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await self._wait_until_open(number)
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            try:
                async with asyncio.TaskGroup() as both:
                    both.create_task(self._forward(number, reader, far_writer))
                    both.create_task(self._forward(number, far_reader, writer))
            finally:
                far_writer.close()
        writer.close()
        self._tasks.discard(task)

    async def _forward(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(BLOCK_BYTES):
                await self._wait_until_open(number)
                self.bytes_passed += len(data)
                writer.write(data)
                await writer.drain()
        await self._wait_until_open(number)
        writer.close()
