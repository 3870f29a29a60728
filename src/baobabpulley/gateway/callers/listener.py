"""HTTP listener for callers: it checks the framing of requests and doesn't parse their bodies."""

from __future__ import annotations

import asyncio
import socket
import sys
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import Final
from typing import final

from loguru import logger
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.http1connection import HTTP1ServerConnection
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError
from tornado.iostream import UnsatisfiableReadError
from tornado.tcpserver import TCPServer

from baobabpulley.adapters.streams import is_acknowledged
from baobabpulley.adapters.streams import is_reusable
from baobabpulley.errors import BaobabError
from baobabpulley.gateway.callers.caller_stream import DISCARDED_BYTES
from baobabpulley.gateway.callers.caller_stream import CallerStream
from baobabpulley.gateway.callers.caller_stream import HeadRefusals
from baobabpulley.gateway.callers.connection_closes import ConnectionCloses
from baobabpulley.gateway.callers.memory_guard import MemoryGuard
from baobabpulley.gateway.callers.received_request import MAX_BODY_BYTES
from baobabpulley.gateway.callers.received_request import Handler
from baobabpulley.gateway.callers.received_request import ReceivedRequest
from baobabpulley.gateway.callers.strict_connection import StrictConnection
from baobabpulley.gateway.callers.unsent_bytes import UnsentBytes
from baobabpulley.model.routes import RequestBounds
from baobabpulley.policy.memory_budget import MemoryBudget
from baobabpulley.timers import TimerService

# This limit holds whatever the configuration allows.
MAX_HEADER_BYTES: Final = 65_536
# A head beyond the limit by this factor is not even read to its end.
READ_HEADER_RATIO: Final = 8
# How often the time limits of the connections are checked.
LIMITS_CHECK_PERIOD_SECONDS: Final = 0.5


@final
class CallerListener(TCPServer, HTTPServerConnectionDelegate):
    """Accept callers' connections and serve each in a task of its own."""

    def __init__(
        self,
        *,
        handler: Handler,
        bounds: Callable[[], RequestBounds],
        closes: ConnectionCloses,
        timers: TimerService,
        guard: MemoryGuard | None = None,
    ) -> None:
        super().__init__()
        self.guard = guard or MemoryGuard(MemoryBudget(), timers=timers)
        self.handler = handler
        self.bounds = bounds
        self.closes = closes
        self.timers = timers
        self.draining = False
        self._connections: set[_CallerConnection] = set()
        self._refusals = HeadRefusals()

    @property
    def max_header(self) -> int:
        """The largest head in bytes that is allowed now."""
        return min(MAX_HEADER_BYTES, self.bounds().max_header)

    @property
    def connection_count(self) -> int:
        """Number of open connections of callers."""
        return len(self._connections)

    @property
    def active_requests(self) -> int:
        """Number of requests being received or served."""
        return sum(len(connection.requests) for connection in self._connections)

    @property
    def busy(self) -> bool:
        """Whether a connection is open or a request is being served."""
        return self.active_requests > 0 or any(
            not connection.stream.closed() for connection in self._connections
        )

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        super().add_sockets(sockets)
        self.timers.every(
            LIMITS_CHECK_PERIOD_SECONDS, self._check_time_limits, name="limits of callers"
        )

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        if not self.guard.admit(self._connections, closing=len(self._refusals)):
            stream.close()
            return
        # Nothing reads from the given stream yet, so its socket can be moved to another stream.
        caller_stream = CallerStream(
            stream.socket, refuse_head=self._refusals.start, max_buffer_size=MAX_BODY_BYTES * 2
        )
        max_read = READ_HEADER_RATIO * self.max_header
        parameters = HTTP1ConnectionParameters(max_header_size=max_read, max_body_size=sys.maxsize)
        connection = _CallerConnection(caller_stream, parameters, self)
        self._connections.add(connection)
        connection.start_serving(self)

    def start_request(self, server_conn: object, request_conn: Any) -> HTTPMessageDelegate:
        assert isinstance(server_conn, _CallerConnection)
        return ReceivedRequest(self, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        assert isinstance(server_conn, _CallerConnection)
        self._connections.discard(server_conn)
        server_conn.unsent.count()

    def free_memory(self, grown: ReceivedRequest) -> None:
        """Free memory for a body that has grown, or refuse it."""
        self.guard.free_memory(tuple(self._connections), grown)

    def close_idle(self) -> None:
        """Close the connections without a request in progress and without unread bytes."""
        for connection in tuple(self._connections):
            if connection.idle or connection.done:
                connection.stream.close()

    def refuse_all(self, error: BaobabError) -> None:
        """Refuse the requests whose bodies are arriving with ``error``, and cancel the others.

        The handler answers a request that is cancelled while its caller is connected.
        """
        for connection in tuple(self._connections):
            for request in tuple(connection.requests):
                request.end(error)

    def _check_time_limits(self) -> None:
        """Apply the time limits now in force, whatever they were when a connection was opened."""
        now, bounds = self.timers.now(), self.bounds()
        for connection in tuple(self._connections):
            connection.check_time_limits(now, bounds)
            connection.unsent.check(now)
        self.guard.close_stalled(tuple(self._connections))

    def close_all(self) -> None:
        """Close every connection."""
        for connection in tuple(self._connections):
            connection.cut()


class _CallerConnection(HTTP1ServerConnection):
    """A caller's connection and the requests in progress on it."""

    def __init__(
        self, stream: IOStream, parameters: HTTP1ConnectionParameters, listener: CallerListener
    ) -> None:
        super().__init__(stream, parameters, None)
        self._listener = listener
        # More than one, as a request may be read before the task of the previous one has ended.
        self.requests: set[ReceivedRequest] = set()
        self.was_cut = self.closed_for_memory = False
        self.unsent = UnsentBytes(stream, listener.guard.budget, now=listener.timers.now())
        self._exchange: StrictConnection | None = None
        self._receiving: ReceivedRequest | None = None

    @property
    def idle(self) -> bool:
        """Whether no request is in progress and no byte of another one has been received."""
        # A stream without a pending read has delivered bytes that aren't processed yet.
        return (
            not self.requests
            and not self._ended
            and self.stream.reading()
            and is_reusable(self.stream)
        )

    @property
    def done(self) -> bool:
        """Whether the last response has been received and nothing has come after its request."""
        return (
            self._exchange is not None
            and self._exchange.ended
            and self._exchange.request_read
            and is_reusable(self.stream)
            and is_acknowledged(self.stream)
        )

    @property
    def receiving_body(self) -> ReceivedRequest | None:
        """The request whose body is arriving, if there is one."""
        request = self._receiving
        return request if request is not None and request.is_receiving_body else None

    @property
    def silent_since(self) -> float | None:
        """Since when a request is expected, if none has arrived and nothing is to be sent."""
        if self.stream.closed() or self._receiving is None or self.requests:
            return None
        if self._ended or self.stream.writing():
            return None
        # Closing a connection with unread bytes may destroy the answer to an order before.
        if self.unsent.protected_until and not is_acknowledged(self.stream):
            return None
        return self._receiving.expected_since

    @property
    def is_lingering(self) -> bool:
        """Whether the last response has been written, and what still arrives is ignored."""
        return self._ended

    @property
    def _ended(self) -> bool:
        """Whether the latest response was the last one on this connection."""
        return self._exchange is not None and self._exchange.ended

    def check_time_limits(self, now: float, bounds: RequestBounds) -> None:
        """Close the connection if it is idle, or refuse its request, beyond the time allowed."""
        if self._receiving is not None and not self._ended and not self.stream.closed():
            self._receiving.check_time_limits(now, bounds)

    def cut(self) -> None:
        """Close the connection, whatever its state."""
        self.was_cut = True
        self.stream.close()

    def close_for_memory(self) -> None:
        """Close the connection, as memory or descriptors are short."""
        self.closed_for_memory = True
        self.stream.close()

    async def _server_request_loop(self, delegate: HTTPServerConnectionDelegate) -> None:
        try:
            while await self._serve_one(delegate):
                pass
            while self._ended:
                await self.stream.read_bytes(DISCARDED_BYTES, partial=True)
        except (StreamClosedError, UnsatisfiableReadError, asyncio.CancelledError):
            pass
        except Exception:
            logger.exception("unexpected error on a caller's connection")
        finally:
            self.stream.close()
            if isinstance(self.stream.error, UnsatisfiableReadError) and self._receiving:
                self._receiving.record_unread_head()
            delegate.on_close(self)

    async def _serve_one(self, delegate: HTTPServerConnectionDelegate) -> bool:
        self._exchange = StrictConnection(self.stream, self.params)
        request = delegate.start_request(self, self._exchange)
        assert isinstance(request, ReceivedRequest)
        self._receiving = request
        return bool(await self._exchange.read_response(request)) and not self._ended
