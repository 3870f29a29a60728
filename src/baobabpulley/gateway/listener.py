"""The callers' listener: strict about how requests are framed, blind to what is in them."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Final
from typing import final

from loguru import logger
from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.http1connection import HTTP1ServerConnection
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPInputError
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError
from tornado.iostream import UnsatisfiableReadError
from tornado.tcpserver import TCPServer

from baobabpulley.adapters.addresses import NoDelayStream
from baobabpulley.adapters.addresses import is_quiet
from baobabpulley.errors import BadRequest
from baobabpulley.errors import BaobabError
from baobabpulley.errors import BodyTooLarge
from baobabpulley.gateway.replies import Reply
from baobabpulley.model.exchanges import IncomingRequest
from baobabpulley.model.routes import RequestBounds
from baobabpulley.timers import TimerService

# Bytes; bounds before the operators' own are known, and of what Tornado buffers.
MAX_HEADER: Final = 65_536
MAX_BODY: Final = 64 * 1024 * 1024

_BARE_LINE_END: Final = re.compile(rb"(?<!\r)\n|\r(?!\n)")

Handler = Callable[[IncomingRequest, Reply], Awaitable[None]]


@final
class CallerListener(TCPServer, HTTPServerConnectionDelegate):
    """Accept callers' connections, one task for each."""

    def __init__(
        self, *, handler: Handler, bounds: Callable[[], RequestBounds], timers: TimerService
    ) -> None:
        super().__init__()
        self.handler = handler
        self.bounds = bounds
        self.timers = timers
        self.draining = False
        self._connections: set[_CallerConnection] = set()

    @property
    def busy(self) -> int:
        """Requests being served."""
        return sum(len(connection.requests) for connection in self._connections)

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        # Nothing listens on the given stream yet, so that its socket can change hands.
        own = NoDelayStream(stream.socket, max_buffer_size=MAX_BODY * 2)
        parameters = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER,
            max_body_size=MAX_BODY,
            header_timeout=self.bounds().idle_timeout + self.bounds().header_timeout,
        )
        connection = _CallerConnection(own, parameters, self)
        self._connections.add(connection)
        connection.start_serving(self)

    def start_request(self, server_conn: object, request_conn: Any) -> HTTPMessageDelegate:
        assert isinstance(server_conn, _CallerConnection)
        return _Request(self, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        self._connections.discard(server_conn)  # type: ignore[arg-type]

    def close_idle(self) -> None:
        """Close the connections on which no request is being served, read or waiting unread."""
        for connection in tuple(self._connections):
            if connection.idle:
                connection.stream.close()

    def close_all(self) -> None:
        """Close every connection."""
        for connection in tuple(self._connections):
            connection.stream.close()


class _CallerConnection(HTTP1ServerConnection):
    """One caller's connection."""

    def __init__(
        self, stream: IOStream, parameters: HTTP1ConnectionParameters, listener: CallerListener
    ) -> None:
        super().__init__(stream, parameters, None)
        self._listener = listener
        # A request may be read before the task of the one before it has ended.
        self.requests: set[_Request] = set()

    @property
    def idle(self) -> bool:
        """Whether nothing is being served and no byte of a further request has come."""
        # A stream that waits for nothing has handed bytes over that no one has looked at yet.
        return not self.requests and self.stream.reading() and is_quiet(self.stream)

    async def _server_request_loop(self, delegate: HTTPServerConnectionDelegate) -> None:
        try:
            going_on = True
            while going_on:
                going_on = await self._serve_one(delegate) and not self._listener.draining
        except (StreamClosedError, UnsatisfiableReadError, asyncio.CancelledError):
            pass
        except Exception:
            logger.exception("serving a connection failed")
        finally:
            self.stream.close()
            delegate.on_close(self)

    async def _serve_one(self, delegate: HTTPServerConnectionDelegate) -> bool:
        connection = _StrictConnection(self.stream, False, self.params, None)
        return bool(await connection.read_response(delegate.start_request(self, connection)))


class _StrictConnection(HTTP1Connection):
    """Refuse what two readers of the same bytes could frame in two ways."""

    def _parse_headers(self, data: bytes) -> tuple[str, HTTPHeaders]:
        if _BARE_LINE_END.search(data):
            raise HTTPInputError("a line does not end with CR LF")
        start_line, headers = super()._parse_headers(data)
        lengths = headers.get_list("Content-Length")
        encodings = headers.get_list("Transfer-Encoding")
        if len(lengths) + len(encodings) > 1:
            raise HTTPInputError("more than one header says how long the body is")
        if lengths and not lengths[0].isdecimal():
            raise HTTPInputError("Content-Length is not a number")
        if encodings and encodings[0].lower() != "chunked":
            raise HTTPInputError("unknown Transfer-Encoding")
        if len(headers.get_list("Host")) != 1:
            raise HTTPInputError("not one Host")
        return start_line, headers


class _Request(HTTPMessageDelegate):
    """Gather one request and serve it in a task that ends when the caller leaves."""

    def __init__(
        self, listener: CallerListener, server: _CallerConnection, connection: HTTP1Connection
    ) -> None:
        self._listener = listener
        self._server = server
        self._connection = connection
        self._reply = Reply(connection, closing=lambda: listener.draining)
        self._parts: list[bytes] = []
        self._size = 0
        self._refused = False
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._server.requests.add(self)
        self._arrived = self._listener.timers.now()
        self._start_line = start_line
        self._headers = headers
        if int(headers.get("Content-Length", "0")) > self._listener.bounds().max_body:
            self._refuse(BodyTooLarge("the body is longer than callers may send"))
        elif not start_line.path.startswith("/") or not start_line.path.isascii():
            self._refuse(BadRequest("the path is not absolute or not ASCII"))

    def data_received(self, chunk: bytes) -> None:
        if self._refused:
            return
        self._parts.append(chunk)
        self._size += len(chunk)
        if self._size > self._listener.bounds().max_body:
            self._refuse(BodyTooLarge("the body is longer than callers may send"))

    def finish(self) -> None:
        if self._refused:
            return
        if self._connection.stream.closed():
            # Nobody gets its answer any more, so it must not run.
            self.on_connection_close()
            return
        incoming = IncomingRequest(
            method=self._start_line.method,
            target=self._start_line.path,
            host=self._headers["Host"],
            headers=self._headers,
            body=b"".join(self._parts),
            arrived=self._arrived,
        )
        self._parts.clear()
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.get_running_loop().create_task(self._serve(incoming))

    def on_connection_close(self) -> None:
        self._server.requests.discard(self)
        self._reply.disconnected = True
        if self._task is not None:
            self._task.cancel()

    def _refuse(self, error: BaobabError) -> None:
        self._refused = True
        self._parts.clear()
        self._reply.send_error(error)
        self._server.requests.discard(self)

    async def _serve(self, incoming: IncomingRequest) -> None:
        try:
            await self._listener.handler(incoming, self._reply)
        except BaobabError as error:
            self._reply.send_error(error)
        except Exception:
            logger.exception("serving a request failed")
            self._reply.send_error(BaobabError("serving the request failed"))
        finally:
            self._server.requests.discard(self)
            if not self._reply.finished and not self._reply.disconnected:
                self._reply.abort()
