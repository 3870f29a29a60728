"""A TCP proxy between two processes that simulates network partitions and silent connections."""

from __future__ import annotations

import asyncio
from typing import final

from baobabpulley.adapters.addresses import split_address


@final
class Link:
    """Forward connections from ``listen`` to ``target``; both are ``ip:port``.

    A partitioned link refuses and closes no connections but drops all data. A connection that was
    open at a call of `partition` or `silence` never forwards data again. ``opened`` counts the
    accepted connections.
    """

    __slots__ = (
        "_generation",
        "_listen",
        "_server",
        "_target",
        "_tasks",
        "is_partitioned",
        "opened",
    )

    def __init__(self, *, listen: str, target: str) -> None:
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._generation = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_partitioned = False
        self.opened = 0

    async def start(self) -> None:
        """Start listening."""
        host, port = split_address(self._listen)
        self._server = await asyncio.start_server(self._accept, host, port)

    def silence(self) -> None:
        """Drop all further data on connections that are open now; they stay open."""
        self._generation += 1

    def partition(self) -> None:
        """Drop all data, also on new connections, until `restore`."""
        self.is_partitioned = True
        self.silence()

    def restore(self) -> None:
        """Forward data again, on new connections only."""
        self.is_partitioned = False
        self.silence()

    async def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        generation = self._generation
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *split_address(self._target)
            )
        except OSError:
            writer.close()
            return
        for source, sink in ((reader, target_writer), (target_reader, writer)):
            task = asyncio.create_task(self._forward(source, sink, generation))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, generation: int
    ) -> None:
        try:
            while data := await source.read(65_536):
                if generation == self._generation and not self.is_partitioned:
                    sink.write(data)
                    await sink.drain()
        except OSError:
            pass
        finally:
            sink.close()
