"""Gateways that are cut off from all upstreams while everything else still reaches them."""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import enum
import socket
import struct
from typing import Any
from typing import final

import pytest
from gateway_builders import World
from platform_upstream import UpstreamStandin

from baobabpulley.adapters.client_stream import ClientStream
from baobabpulley.gateway.daemon import Gateway
from baobabpulley.platform import names

BLOCK_BYTES = 65_536
# Nothing listens there.
REFUSED = ("127.0.0.1", 1)

# The gateway whose code runs: each is started in a context of its own, which its tasks inherit.
_running: contextvars.ContextVar[str] = contextvars.ContextVar("running", default="")


class Cut(enum.Enum):
    """What becomes of the connections between a gateway and the upstreams."""

    SILENT = "silent"
    REFUSED = "refused"
    RESET = "reset"
    NEW_ONLY = "new only"


@final
class Partition:
    """Links to upstreams at which single gateways can be cut off."""

    def __init__(self, world: World, monkeypatch: pytest.MonkeyPatch) -> None:
        self._world = world
        self._cuts: dict[str, Cut] = {}
        self._owners: dict[int, str] = {}
        self._links: list[PartitionedLink] = []
        self._addresses: set[str] = set()
        connect = ClientStream.connect

        def connect_or_not(stream: ClientStream, address: Any, **options: Any) -> Any:
            node = _running.get()
            if f"{address[0]}:{address[1]}" not in self._addresses:
                return connect(stream, address, **options)
            cut = self._cuts.get(node)
            if cut in (Cut.SILENT, Cut.NEW_ONLY):
                return asyncio.get_running_loop().create_future()
            if cut is not None:
                return connect(stream, REFUSED, **options)
            opening = connect(stream, address, **options)
            self._owners[stream.socket.getsockname()[1]] = node
            return opening

        monkeypatch.setattr(ClientStream, "connect", connect_or_not)

    @property
    def links(self) -> list[PartitionedLink]:
        """The links to all upstreams."""
        return self._links

    async def add_upstream(self, name: str, **options: Any) -> UpstreamStandin:
        """Register an upstream at the address of a link to it."""
        upstream = await self._world.add_upstream(name, listed=False, **options)
        link = PartitionedLink(upstream.address, self)
        await link.start()
        self._links.append(link)
        self._addresses.add(link.address)
        entry = upstream.entry(address=link.address)
        self._world.store.put(names.UPSTREAM_PREFIX + name, entry)
        return upstream

    async def add_gateway(self, **options: str) -> Gateway:
        """Start a gateway that can be cut off."""
        context = contextvars.copy_context()
        context.run(_running.set, f"front-{len(self._world.gateways) + 1}")
        adding = self._world.add_gateway(**options)
        return await asyncio.create_task(adding, context=context)

    def cut(self, gateway: Gateway, how: Cut) -> None:
        """Cut a gateway off from all upstreams."""
        self._cuts[gateway.node.id] = how
        if how is Cut.RESET:
            for link in self._links:
                link.reset(gateway.node.id)

    def restore(self, gateway: Gateway) -> None:
        """Let new connections of a gateway to upstreams work again; silent ones stay so."""
        del self._cuts[gateway.node.id]

    def owner(self, port: int) -> str:
        """Return the gateway that opened a connection from a local port."""
        return self._owners.get(port, "")

    def is_silent(self, node: str) -> bool:
        """Whether nothing passes on the open connections of a gateway."""
        return self._cuts.get(node) in (Cut.SILENT, Cut.REFUSED)

    async def stop(self) -> None:
        """Stop all links."""
        for link in self._links:
            await link.stop()


@final
class PartitionedLink:
    """Forward connections to an upstream, but for those of gateways that are cut off from it."""

    def __init__(self, target: str, partition: Partition) -> None:
        self._target = target.split(":")
        self._partition = partition
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: list[tuple[str, asyncio.StreamWriter]] = []
        self._open = asyncio.Event()
        self._open.set()
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
        """Let nothing pass for so many seconds, for any gateway."""
        self._open.clear()
        asyncio.get_running_loop().call_later(seconds, self._open.set)

    def reset(self, node: str) -> None:
        """Reset all connections of a gateway."""
        for owner, writer in self._writers:
            if owner == node:
                _reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        node = self._partition.owner(writer.get_extra_info("peername")[1])
        self._writers.append((node, writer))
        host, port = self._target
        far_writer: asyncio.StreamWriter | None = None
        with contextlib.suppress(OSError, asyncio.CancelledError):
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            copies = [
                asyncio.create_task(self._copy(node, reader, far_writer)),
                asyncio.create_task(self._copy(node, far_reader, writer)),
            ]
            try:
                await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
                if any(each.done() and each.exception() is not None for each in copies):
                    _reset(writer)
            finally:
                for copy in copies:
                    copy.cancel()
        writer.close()
        if far_writer is not None:
            far_writer.close()
        self._tasks.discard(task)

    async def _copy(
        self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(BLOCK_BYTES):
            if self._partition.is_silent(node):
                await asyncio.Event().wait()
            await self._open.wait()
            writer.write(data)
            await writer.drain()
        if self._partition.is_silent(node):
            await asyncio.Event().wait()


def _reset(writer: asyncio.StreamWriter) -> None:
    plain = writer.get_extra_info("socket")
    if plain is not None and plain.fileno() >= 0:
        plain.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
