"""The path from one machine to the platform's store: a TCP proxy that can turn the machine away."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct


class StorePath:
    """Passes connections on to the store; ``turn_away`` resets them and all later ones."""

    def __init__(self, store: str) -> None:
        self._store = store
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.turned_away = False
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def turn_away(self) -> None:
        """Reset the open connections, and each new one."""
        self.turned_away = True
        for writer in tuple(self._writers):
            _reset(writer)

    def serve_again(self) -> None:
        """Pass connections on again."""
        self.turned_away = False

    async def stop(self) -> None:
        """Close everything."""
        assert self._server is not None
        self._server.close()
        for writer in tuple(self._writers):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.turned_away:
            _reset(writer)
            return
        host, port = self._store.split(":")
        store_reader, store_writer = await asyncio.open_connection(host, int(port))
        self._writers |= {writer, store_writer}
        try:
            await asyncio.gather(_copy(reader, store_writer), _copy(store_reader, writer))
        finally:
            self._writers -= {writer, store_writer}


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
    with contextlib.suppress(OSError):
        writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    plain = writer.transport.get_extra_info("socket")
    if plain is not None and plain.fileno() >= 0:
        plain.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
