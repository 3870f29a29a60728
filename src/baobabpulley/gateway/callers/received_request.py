"""One request of a caller: its head and body are received, then it is served in a task."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final
from typing import Protocol
from typing import final

from loguru import logger
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import IOStream

from baobabpulley.adapters.streams import is_drained
from baobabpulley.adapters.streams import unconsumed_bytes
from baobabpulley.errors import BadRequest
from baobabpulley.errors import BaobabError
from baobabpulley.errors import BodyTooLarge
from baobabpulley.errors import BodyTooSlow
from baobabpulley.errors import HeaderTooLarge
from baobabpulley.errors import HeaderTooSlow
from baobabpulley.gateway.callers.body_buffer import BodyBuffer
from baobabpulley.gateway.callers.connection_closes import CloseReason
from baobabpulley.gateway.callers.connection_closes import ConnectionCloses
from baobabpulley.gateway.callers.memory_guard import MemoryGuard
from baobabpulley.gateway.callers.memory_guard import ReceivedBody
from baobabpulley.gateway.callers.replies import Reply
from baobabpulley.gateway.callers.strict_connection import StrictConnection
from baobabpulley.gateway.callers.unsent_bytes import UnsentBytes
from baobabpulley.model.exchanges import IncomingRequest
from baobabpulley.model.routes import RequestBounds
from baobabpulley.timers import TimerService

# This limit holds whatever the configuration allows.
MAX_BODY_BYTES: Final = 64 * 1024 * 1024

Handler = Callable[[IncomingRequest, Reply], Awaitable[None]]


class RequestLimits(Protocol):
    """The listener of a request's connection."""

    handler: Handler
    bounds: Callable[[], RequestBounds]
    closes: ConnectionCloses
    timers: TimerService
    guard: MemoryGuard
    draining: bool

    @property
    def max_header(self) -> int:
        """The largest head in bytes that is allowed now."""

    def free_memory(self, grown: ReceivedBody) -> None:
        """Free memory for a body that has grown, or refuse it."""


class ServedConnection(Protocol):
    """The connection on which a request arrives."""

    stream: IOStream
    requests: set[ReceivedRequest]
    unsent: UnsentBytes
    was_cut: bool
    closed_for_memory: bool

    @property
    def idle(self) -> bool:
        """Whether no request is in progress and no byte of another one has been received."""


@final
class ReceivedRequest(HTTPMessageDelegate):
    """Receive one request and serve it in a task that is cancelled if the caller disconnects."""

    def __init__(
        self, listener: RequestLimits, server: ServedConnection, connection: StrictConnection
    ) -> None:
        self._listener = listener
        self._server = server
        self._connection = connection
        self._reply = Reply(
            connection,
            closing=lambda: listener.draining or not connection.request_read,
            unsent=server.unsent,
        )
        self._body = BodyBuffer(listener.guard.budget)
        self._size = 0
        self._refused = False
        self._headers = HTTPHeaders()
        self._task: asyncio.Task[None] | None = None
        self.expected_since = listener.timers.now()
        self._idle_timeout = listener.bounds().idle_timeout
        self._head_since: float | None = None
        self._body_progress_at: float | None = None

    @property
    def is_receiving_body(self) -> bool:
        """Whether the head has arrived and the body has not arrived whole."""
        return self._body_progress_at is not None and self._task is None and not self._refused

    @property
    def held_bytes(self) -> int:
        """Memory that the body takes."""
        return self._body.held_bytes

    @property
    def progress_at(self) -> float:
        """When the latest part of the body arrived."""
        return self._body_progress_at or self.expected_since

    def check_time_limits(self, now: float, bounds: RequestBounds) -> None:
        """Close or refuse a request that has not been received within the time allowed.

        What has arrived but has not been processed is never cut: the process may have been late.
        """
        if self._task is not None or self._refused or not self._server.stream.reading():
            return
        if self._body_progress_at is not None:
            self._check_body(now, bounds, progress_at=self._body_progress_at)
        elif unconsumed_bytes(self._server.stream):
            self._check_head(now, bounds)
        else:
            self._check_idle(now, bounds)

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        if self._refused:
            return
        self._server.requests.add(self)
        self._server.unsent.protected_until = 0.0
        self._arrived = self._body_progress_at = self._listener.timers.now()
        self._start_line = start_line
        self._headers = headers
        if self._connection.head_size > self._listener.max_header:
            self._refuse(HeaderTooLarge(f"the headers exceed {self._listener.max_header} bytes"))
        elif int(headers.get("Content-Length", "0")) > self._max_body():
            self._refuse(BodyTooLarge("the request body exceeds the configured size limit"))
        elif not start_line.path.startswith("/") or not start_line.path.isascii():
            self._refuse(BadRequest("the request path is not absolute or not ASCII"))

    def data_received(self, chunk: bytes) -> None:
        if self._refused:
            return
        self._body_progress_at = self._listener.timers.now()
        self._body.add(chunk)
        self._size += len(chunk)
        if self._size > self._max_body():
            self._refuse(BodyTooLarge("the request body exceeds the configured size limit"))
        elif not self._listener.guard.budget.fits_body(self._body.held_bytes):
            self._listener.free_memory(self)

    def finish(self) -> None:
        if self._refused:
            return
        if self._connection.stream.closed():
            # The caller can't receive the response any more, so the request must not run.
            self.on_connection_close()
            return
        incoming = IncomingRequest(
            method=self._start_line.method,
            target=self._start_line.path,
            host=self._headers["Host"],
            headers=self._headers,
            body=self._body.take(),
            arrived=self._arrived,
        )
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.get_running_loop().create_task(self._serve(incoming))
        self._task.add_done_callback(self._release_body)

    def end(self, error: BaobabError) -> None:
        """Cancel the request, or refuse it with ``error`` if it has not been read whole."""
        if self._reply.finished:
            return
        if self._task is None:
            self._refuse(error)
        else:
            self._task.cancel()

    def record_unread_head(self) -> None:
        """Record that the stream refused the request, as its head was too long to be read."""
        if not self._refused:
            self._reply.status = HeaderTooLarge.status
            self._record_close(CloseReason.REFUSED_UNREAD)

    def on_connection_close(self) -> None:
        if not self._refused:
            self._record_close(self._close_reason())
        self._server.requests.discard(self)
        self._reply.disconnected = True
        if self._task is not None:
            self._task.cancel()
        else:
            self._body.release()

    def _release_body(self, task: asyncio.Task[None]) -> None:
        self._body.release()

    def _check_idle(self, now: float, bounds: RequestBounds) -> None:
        # A caller may go by the limit that was in force when the connection became idle. A request
        # that it sends at the end of the limit gets the time allowed for a head to arrive.
        limit = max(self._idle_timeout, bounds.idle_timeout) + bounds.header_timeout
        if now - self.expected_since > limit and self._server.idle:
            self._server.stream.close()

    def _check_head(self, now: float, bounds: RequestBounds) -> None:
        limit = bounds.header_timeout
        if unconsumed_bytes(self._server.stream) > self._listener.max_header:
            self._refuse_head(HeaderTooLarge("the incomplete headers exceed the limit"))
        elif self._head_since is None:
            self._head_since = now
        elif now - self._head_since > limit and is_drained(self._server.stream):
            self._refuse_head(HeaderTooSlow(f"headers incomplete after the limit of {limit} s"))

    def _refuse_head(self, error: BaobabError) -> None:
        self._connection.answer_without_request()
        self._refuse(error)

    def _check_body(self, now: float, bounds: RequestBounds, *, progress_at: float) -> None:
        limit = bounds.idle_timeout + bounds.header_timeout
        if now - progress_at > limit and is_drained(self._server.stream):
            self._refuse(BodyTooSlow(f"no byte of the request body arrived for {limit} s"))

    def _max_body(self) -> int:
        return min(MAX_BODY_BYTES, self._listener.bounds().max_body)

    def _close_reason(self) -> CloseReason:
        if self._server.was_cut:
            return CloseReason.SHUTDOWN
        if self._server.closed_for_memory:
            return CloseReason.MEMORY_SHORT
        if not self._server.stream.closed():
            return CloseReason.MALFORMED
        broken = self._server.stream.error is not None
        return CloseReason.CONNECTION_BROKEN if broken else CloseReason.CALLER_CLOSED

    def _record_close(self, reason: CloseReason) -> None:
        since = self.expected_since if self._body_progress_at is None else self._arrived
        self._listener.closes.record(
            reason,
            headers=self._headers,
            reply=self._reply,
            received=self._size,
            seconds=self._listener.timers.now() - since,
        )

    def _refuse(self, error: BaobabError) -> None:
        self._refused = True
        self._body.release()
        self._reply.send_error(error)
        self._record_close(CloseReason.REFUSED_UNREAD)
        self._server.requests.discard(self)

    async def _serve(self, incoming: IncomingRequest) -> None:
        try:
            await self._listener.handler(incoming, self._reply)
        except BaobabError as error:
            self._reply.send_error(error)
        except Exception:
            logger.exception("unexpected error while serving a request")
            self._reply.send_error(BaobabError("unexpected error while serving the request"))
        finally:
            self._server.requests.discard(self)
            if self._reply.disconnected:
                pass
            elif self._reply.aborted:
                self._record_close(CloseReason.RESPONSE_ABORTED)
            elif not self._reply.finished:
                self._reply.abort()
                self._record_close(CloseReason.NO_RESPONSE)
