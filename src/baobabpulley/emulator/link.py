"""A TCP link between two processes that can be cut, or lose track of its open connections."""

from __future__ import annotations

import asyncio
from typing import final

from baobabpulley.adapters.addresses import split_address


@final
class Link:
    """Forward ``listen`` to ``target``; both are ``ip:port``.

    Nothing is refused or closed: what does not pass is lost, as between two ends that a network
    has parted. A connection that was silenced or cut once stays silent for good.
    """

    __slots__ = ("_generation", "_listen", "_server", "_target", "_tasks", "is_cut", "opened")

    def __init__(self, *, listen: str, target: str) -> None:
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._generation = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_cut = False
        self.opened = 0

    async def start(self) -> None:
        """Listen."""
        host, port = split_address(self._listen)
        self._server = await asyncio.start_server(self._accept, host, port)

    def silence(self) -> None:
        """Forward nothing more on the connections open now; they stay open."""
        self._generation += 1

    def cut(self) -> None:
        """Forward nothing, on new connections neither, until `restore`."""
        self.is_cut = True
        self.silence()

    def restore(self) -> None:
        """Forward what comes on new connections."""
        self.is_cut = False
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
            there, back = await asyncio.open_connection(*split_address(self._target))
        except OSError:
            writer.close()
            return
        for source, sink in ((reader, back), (there, writer)):
            task = asyncio.create_task(self._forward(source, sink, generation))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, generation: int
    ) -> None:
        try:
            while data := await source.read(65_536):
                if generation == self._generation and not self.is_cut:
                    sink.write(data)
                    await sink.drain()
        except OSError:
            pass
        finally:
            sink.close()
