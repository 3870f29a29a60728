"""The response to a caller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final
from typing import final

import msgspec
from tornado.httputil import HTTPHeaders
from tornado.httputil import ResponseStartLine

from baobabpulley.errors import BaobabError
from baobabpulley.gateway.callers.strict_connection import StrictConnection
from baobabpulley.gateway.callers.unsent_bytes import UnsentBytes
from baobabpulley.policy.memory_budget import MAX_UNREAD_BYTES
from baobabpulley.policy.memory_budget import SMALL_BYTES

# A caller for which more memory than this waits to be sent gets no more for now.
MAX_UNSENT_BYTES: Final = MAX_UNREAD_BYTES
# Memory that a write takes besides its data until it has been sent.
WRITE_OVERHEAD_BYTES: Final = 1024
_REASONS: Final = {200: "OK", 503: "Service Unavailable"}


@final
class Reply:
    """Write one response to a caller's connection; nothing is written once it has disconnected.

    ``closing`` says whether the connection will be closed after the response. ``status`` is the
    status sent, 0 before the head of the response.
    """

    __slots__ = (
        "_aborted",
        "_closing",
        "_connection",
        "_finished",
        "_started",
        "_unsent",
        "_unsent_bytes",
        "disconnected",
        "status",
    )

    def __init__(
        self, connection: StrictConnection, *, closing: Callable[[], bool], unsent: UnsentBytes
    ) -> None:
        self._connection = connection
        self._unsent = unsent
        self._closing = closing
        self._started = False
        self._finished = False
        self._aborted = False
        # Memory of what was written since the connection last had nothing left to send.
        self._unsent_bytes = 0
        self.disconnected = False
        self.status = 0

    @property
    def started(self) -> bool:
        """Whether the head of the response has been sent."""
        return self._started

    @property
    def finished(self) -> bool:
        """Whether the response is complete or was aborted."""
        return self._finished

    @property
    def aborted(self) -> bool:
        """Whether the connection was closed in place of the rest of the response."""
        return self._aborted

    @property
    def is_behind(self) -> bool:
        """Whether the caller has not read so much that no more should be written."""
        return self._unsent_bytes > self._unsent.max_unread_bytes and not self.disconnected

    def protect(self, *, until: float) -> None:
        """Don't close the connection for memory until then: the answer may be the only one."""
        self._unsent.protected_until = until

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Send the head of a response whose body is streamed."""
        self._write_head(status, headers, None)

    def write(self, data: bytes) -> None:
        """Send a piece of the response body."""
        if not self.disconnected:
            self._connection.write(data)
            if self._connection.stream.writing():
                self._record_unsent(self._unsent_bytes + len(data) + WRITE_OVERHEAD_BYTES)
            elif self._unsent_bytes:
                self._record_unsent(0)

    async def wait_until_sent(self, *, seconds: float) -> None:
        """Wait until all that was written has been sent, or for so many real seconds."""
        stream = self._connection.stream
        if not stream.closed():
            # An empty write ends when the writes before it have been sent.
            await asyncio.wait([stream.write(b"")], timeout=seconds)
        if stream.closed() or not stream.writing():
            self._record_unsent(0)

    def finish(self) -> None:
        """End a complete response."""
        self._finished = True
        if not self.disconnected:
            self._connection.finish()

    def send(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Send a complete response; a HEAD request gets its head with the length of the body.

        The length of an upstream's answer to HEAD is that of a body which isn't there.
        """
        headers.setdefault("Content-Length", str(len(body)))
        self._write_head(status, headers, body)
        self.finish()

    def send_error(self, error: BaobabError) -> None:
        """Send a typed error, or abort the response if it has started."""
        if self._started:
            self.abort()
            return
        headers = HTTPHeaders({"Content-Type": "application/json"})
        if error.retry_after is not None:
            headers["Retry-After"] = f"{error.retry_after:.2f}"
        self.send(error.status, headers, msgspec.json.encode(error.document()))

    def abort(self) -> None:
        """Close the connection, so that a truncated response does not look complete."""
        self._finished = self._aborted = True
        self._connection.abort()

    def _write_head(self, status: int, headers: HTTPHeaders, body: bytes | None) -> None:
        self._started = True
        self.status = status
        if self.disconnected:
            return
        if self._closing():
            headers["Connection"] = "close"
        if self._connection.is_head_request:
            body = None
        start_line = ResponseStartLine("HTTP/1.1", status, _REASONS.get(status, "Answer"))
        if body and len(body) > SMALL_BYTES:
            # Written after the head, as joining both would copy the body.
            self._connection.write_headers(start_line, headers)
            self._connection.write(body)
            self._unsent.count()
        else:
            self._connection.write_headers(start_line, headers, body or None)

    def _record_unsent(self, size: int) -> None:
        self._unsent_bytes = size
        self._unsent.record_written(size)
