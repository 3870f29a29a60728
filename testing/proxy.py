"""A TCP proxy whose open connections can go silent while new ones work."""

from __future__ import annotations

import asyncio


class SilentProxy:
    """Forward ``listen`` to ``target``; both are ``ip:port``."""

    def __init__(self, *, listen: str, target: str) -> None:
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._generation = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.opened = 0

    async def start(self) -> None:
        host, _, port = self._listen.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    def silence(self) -> None:
        """Forward nothing more on the connections open now; they stay open."""
        self._generation += 1

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        host, _, port = self._target.rpartition(":")
        there, back = await asyncio.open_connection(host, int(port))
        for source, sink in ((reader, back), (there, writer)):
            task = asyncio.create_task(self._pump(source, sink, self._generation))
            self._tasks.add(task)

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, generation: int
    ) -> None:
        try:
            while data := await source.read(65_536):
                if generation == self._generation:
                    sink.write(data)
                    await sink.drain()
        except OSError:
            pass
        finally:
            sink.close()
