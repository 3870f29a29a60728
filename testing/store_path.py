"""A gateway's network path to the store, which can be cut."""

from __future__ import annotations

import asyncio
import contextlib
from typing import final

BLOCK_BYTES = 65_536


@final
class StorePath:
    """Forward connections from a free loopback port to ``target``, an ``ip:port`` address."""

    def __init__(self, target: str) -> None:
        self._target = target.split(":")
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_cut = False
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Close the listener and all connections."""
        assert self._server is not None
        self._server.close()
        self.drop()

    def cut(self) -> None:
        """Close all connections, and new ones at once, until the path is mended."""
        self._is_cut = True
        self.drop()

    def mend(self) -> None:
        """Let connections pass again."""
        self._is_cut = False

    def drop(self) -> None:
        """Close the open connections."""
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        far_writer: asyncio.StreamWriter | None = None
        try:
            if not self._is_cut:
                far_reader, far_writer = await asyncio.open_connection(*self._target)
                await _forward_both(reader, writer, far_reader, far_writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()
            if far_writer is not None:
                far_writer.close()


async def _forward_both(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    far_reader: asyncio.StreamReader,
    far_writer: asyncio.StreamWriter,
) -> None:
    """Forward in both directions until one of them ends."""
    ways = [
        asyncio.ensure_future(_forward(reader, far_writer)),
        asyncio.ensure_future(_forward(far_reader, writer)),
    ]
    try:
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for way in ways:
            way.cancel()
        await asyncio.gather(*ways, return_exceptions=True)


async def _forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(BLOCK_BYTES):
            writer.write(data)
            await writer.drain()
