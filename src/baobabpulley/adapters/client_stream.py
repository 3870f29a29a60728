"""A connection to a server that tells an end in order from a reset of what is still being sent."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket
import time
from typing import Any
from typing import Final
from typing import final

from baobabpulley.adapters.streams import NoDelayStream
from baobabpulley.adapters.streams import is_acknowledged
from baobabpulley.adapters.streams import unacknowledged_bytes

# A server that is gone resets the connection as soon as bytes reach it: a round trip, and a
# retransmission if they are lost.
RESET_TIMEOUT_SECONDS: Final = 0.5
RESET_POLL_SECONDS: Final = 0.005
# Sent after the server's end if nothing is on its way, so that one that is gone resets.
PROBE_BYTES: Final = 65_536


@final
class ClientStream(NoDelayStream):
    """A stream that keeps its socket for a while if the server ends it before it has everything.

    The kernel of a process that is gone ends its connection in order if the process had read all
    that had arrived; only the reset that answers the rest of the request shows that it broke off.
    Tornado closes the stream at the end of the input, so a duplicate of the socket is kept until
    `was_reset` has returned or the closed stream is closed once more. ``is_tunnel`` is whether it
    leads through another gateway, and so carries one request only. ``keeps_end`` is whether the
    socket is kept at any end, as more of the request may arrive here later: see `send_after_end`.
    """

    def __init__(self, connection: socket.socket, **options: Any) -> None:
        super().__init__(connection, **options)
        self._unfinished: socket.socket | None = None
        self.is_tunnel = False
        self.keeps_end = False
        self._is_whole = False

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read what has arrived; see Tornado's `IOStream`."""
        size = super().read_from_fd(buf)
        if size == 0:
            self._raise_if_reset()
            self._is_whole = not self.writing()
            if not is_acknowledged(self):
                self._send_probe()
                self._unfinished = self._duplicate()
            elif self.keeps_end:
                self._unfinished = self._duplicate()
        return size

    def send_after_end(self, data: bytes) -> None:
        """Send once what follows in the request, so that a server that is gone resets.

        Nothing is sent if something before it wasn't.
        """
        if self._unfinished is None or not self._is_whole:
            return
        self._is_whole = False
        try:
            self._unfinished.send(data)
        except BlockingIOError:
            pass
        except OSError as error:
            self.error = error

    def close(self, exc_info: Any = False) -> None:
        """Close the stream, or what has been kept of a closed one."""
        if self.closed():
            self._drop_unfinished()
        super().close(exc_info)

    async def was_reset(self, *, at_least: float = 0.0) -> bool:
        """Whether the server has reset the closed connection, also after its end in order.

        Wait for at most `RESET_TIMEOUT_SECONDS`, real seconds, while the server has not
        acknowledged what was sent. If the socket is kept, wait for ``at_least`` real seconds.
        """
        if self.error is not None:
            return True
        try:
            return await self._is_rest_reset(at_least)
        finally:
            self._drop_unfinished()

    async def _is_rest_reset(self, at_least: float) -> bool:
        begun = time.monotonic()
        while self._unfinished is not None:
            if self.error or self._unfinished.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return True
            # The kernel is asked before the clock, as this process may have been held up.
            is_received = not unacknowledged_bytes(self._unfinished)
            if time.monotonic() >= begun + (at_least if is_received else RESET_TIMEOUT_SECONDS):
                return False
            await asyncio.sleep(RESET_POLL_SECONDS)
        return False

    def _raise_if_reset(self) -> None:
        """Raise `ConnectionResetError` if a reset has followed the end of the input.

        The kernel reports the end first, however soon the reset came.
        """
        if error := self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise ConnectionResetError(errno.ECONNRESET, os.strerror(error))

    def _send_probe(self) -> None:
        """Send some of what is left to be sent; raise `OSError` if the connection was reset."""
        if self.writing():
            with self._write_buffer.peek(PROBE_BYTES) as data, contextlib.suppress(BlockingIOError):
                self.write_to_fd(data)

    def _duplicate(self) -> socket.socket:
        try:
            return self.socket.dup()
        except OSError as error:
            # Without a descriptor nothing tells whether the response is whole.
            raise ConnectionAbortedError(errno.ECONNABORTED, str(error)) from error

    def _drop_unfinished(self) -> None:
        if self._unfinished is not None:
            self._unfinished.close()
            self._unfinished = None
