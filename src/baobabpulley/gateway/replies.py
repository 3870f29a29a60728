"""The caller's side of one exchange."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from typing import final

import msgspec
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders
from tornado.httputil import ResponseStartLine

from baobabpulley.errors import BaobabError

_REASONS: Final = {200: "OK", 503: "Service Unavailable"}


@final
class Reply:
    """Write one answer to a caller's connection; nothing is written once the caller has left."""

    __slots__ = ("_closing", "_connection", "_finished", "_started", "disconnected", "status")

    def __init__(self, connection: HTTP1Connection, *, closing: Callable[[], bool]) -> None:
        self._connection = connection
        self._closing = closing
        self._started = False
        self._finished = False
        self.disconnected = False
        # Status sent, 0 before the head of an answer has gone out.
        self.status = 0

    @property
    def started(self) -> bool:
        """Whether the head of an answer has gone out."""
        return self._started

    @property
    def finished(self) -> bool:
        """Whether the answer is complete or broken off."""
        return self._finished

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Send the head of an answer whose body follows in pieces."""
        self._write_head(status, headers, None)

    def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        if not self.disconnected:
            self._connection.write(data)

    def finish(self) -> None:
        """End an answer that is whole."""
        self._finished = True
        if not self.disconnected:
            self._connection.finish()

    def send(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Send a whole answer."""
        headers["Content-Length"] = str(len(body))
        self._write_head(status, headers, body)
        self.finish()

    def send_error(self, error: BaobabError) -> None:
        """Send a typed error, or break the answer off if it has begun."""
        if self._started:
            self.abort()
            return
        headers = HTTPHeaders({"Content-Type": "application/json"})
        if error.retry_after is not None:
            headers["Retry-After"] = f"{error.retry_after:.2f}"
        self.send(error.status, headers, msgspec.json.encode(error.document()))

    def abort(self) -> None:
        """Close the connection, so that a part of an answer does not look whole."""
        self._finished = True
        self._connection.close()

    def _write_head(self, status: int, headers: HTTPHeaders, body: bytes | None) -> None:
        self._started = True
        self.status = status
        if self.disconnected:
            return
        if self._closing():
            headers["Connection"] = "close"
        reason = _REASONS.get(status, "Answer")
        self._connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, reason), headers, body or None
        )
