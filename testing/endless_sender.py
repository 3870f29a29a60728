"""A behaviour of stand-in upstreams that send bytes without end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import final

from platform_upstream import Call
from platform_upstream import UpstreamStandin

from baobabpulley.platform import names

BLOCK_BYTES = 65_536


@final
class EndlessSender:
    """A behaviour of an upstream: send ``begin`` and then ``block`` until the connection closes.

    ``pause`` is the time between two blocks in seconds. ``sent`` is the number of bytes sent.
    """

    def __init__(
        self, begin: Callable[[Call], bytes], block: bytes = b"x" * BLOCK_BYTES, pause: float = 0.0
    ) -> None:
        self._begin = begin
        self._block = block
        self._pause = pause
        self.sent = 0
        self.closed = asyncio.Event()

    async def __call__(self, upstream: UpstreamStandin, call: Call) -> None:
        call.writer.write(self._begin(call))
        try:
            while not call.writer.is_closing():
                call.writer.write(self._block)
                await call.writer.drain()
                self.sent += len(self._block)
                await asyncio.sleep(self._pause)
        except ConnectionError:
            pass
        self.closed.set()


def sealed_head(call: Call, *extra: str) -> bytes:
    return call.head(200, f"{names.SEAL}: s.{call.attempt}", *extra)


def begin_without_length(call: Call) -> bytes:
    return sealed_head(call)


def begin_chunks(call: Call) -> bytes:
    return sealed_head(call, "Transfer-Encoding: chunked")


def begin_stream(call: Call) -> bytes:
    return sealed_head(call, "Content-Type: text/event-stream")


def begin_event_chunks(call: Call) -> bytes:
    return sealed_head(call, "Transfer-Encoding: chunked", "Content-Type: text/event-stream")


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)
