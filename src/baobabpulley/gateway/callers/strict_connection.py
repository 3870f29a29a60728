"""One HTTP/1.1 exchange on a caller's connection, with strict framing and a lingering close."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Final
from typing import final

from tornado.concurrent import Future
from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPInputError
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import IOStream

from baobabpulley.adapters.message_heads import check_length
from baobabpulley.adapters.message_heads import check_line_ends

# A caller that is still sending when its connection ends may do so for this many real seconds.
LINGER_SECONDS: Final = 2.0
HEAD: Final = "HEAD"


@final
class StrictConnection(HTTP1Connection):
    """Reject requests that two parsers could frame differently, against request smuggling.

    Closing a socket that holds unread bytes resets the connection, which may destroy an answer that
    the caller hasn't read. So `close` only ends the sending side; the rest of what the caller sends
    is read and ignored for `LINGER_SECONDS` at most. ``ended`` is whether that has begun.
    ``head_size`` is the size of the request's head in bytes, 0 before it has been read.
    """

    def __init__(self, stream: IOStream, parameters: HTTP1ConnectionParameters) -> None:
        super().__init__(stream, False, parameters, None)
        self.ended = False
        self.head_size = 0

    @property
    def request_read(self) -> bool:
        """Whether the whole request has been read."""
        return self._read_finished

    @property
    def is_head_request(self) -> bool:
        """Whether the request asks for the head of an answer only."""
        request = self._request_start_line
        return isinstance(request, RequestStartLine) and request.method == HEAD

    def answer_without_request(self) -> None:
        """Allow a response although the head of the request has not been read."""
        self._request_start_line = RequestStartLine("GET", "/", "HTTP/1.1")
        self._request_headers = HTTPHeaders()

    def write_headers(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
        chunk: bytes | None = None,
    ) -> Future[None]:
        """Write the head of the response; the connection ends after it if the head says so."""
        if headers.get("Connection") == "close":
            self._disconnect_on_finish = True
        return super().write_headers(start_line, headers, chunk)

    def close(self) -> None:
        """End the sending side; the stream closes when the caller closes, or after a while."""
        if self.stream.closed():
            super().close()
            return
        self.ended = True
        self._clear_callbacks()
        with contextlib.suppress(OSError):
            self.stream.socket.shutdown(socket.SHUT_WR)
        asyncio.get_running_loop().call_later(LINGER_SECONDS, self.stream.close)
        if not self._finish_future.done():
            self._finish_future.set_result(None)

    def abort(self) -> None:
        """Close the stream at once."""
        super().close()

    def _parse_headers(self, data: bytes) -> tuple[str, HTTPHeaders]:
        self.head_size = len(data)
        check_line_ends(data)
        start_line, headers = super()._parse_headers(data)
        lengths = headers.get_list("Content-Length")
        encodings = headers.get_list("Transfer-Encoding")
        if len(lengths) + len(encodings) > 1:
            raise HTTPInputError("more than one Content-Length or Transfer-Encoding header")
        if lengths:
            check_length(lengths[0])
        if encodings and encodings[0].lower() != "chunked":
            raise HTTPInputError("Transfer-Encoding is not chunked")
        if len(headers.get_list("Host")) != 1:
            raise HTTPInputError("the request does not have exactly one Host header")
        return start_line, headers
