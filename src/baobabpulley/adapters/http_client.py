"""HTTP/1.1 client with streamed responses and a connection pool.

Tornado's own client neither reuses connections nor lets a caller drop one in the middle of a
response, so this module drives `tornado.http1connection.HTTP1Connection` itself. A connection
returns to the pool only after a complete response.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections import defaultdict
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final
from typing import final

from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError

from baobabpulley.adapters.addresses import connect
from baobabpulley.adapters.addresses import is_reusable
from baobabpulley.adapters.kill_timer import kill_after
from baobabpulley.adapters.traffic import Traffic
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamStalled

MAX_RESPONSE_BYTES: Final = 64 * 1024 * 1024
# A body that is returned as a whole may not be longer; streams are held in parts only.
MAX_WHOLE_BODY_BYTES: Final = 16 * 1024 * 1024
# The connection isn't read further while its reader is behind by more than this.
MAX_UNREAD_BYTES: Final = 1024 * 1024
MAX_IDLE_PER_ADDRESS: Final = 64
MAX_IDLE_SECONDS: Final = 10.0
CONNECT_TIMEOUT_SECONDS: Final = 1.0
# Idle connections are closed this long before the server's keep-alive timeout, so that a request
# is not sent on a connection that the server is closing.
IDLE_MARGIN_SECONDS: Final = 1.0
# Estimates for the byte counts in `Traffic`: start line and header separators of a message, and
# the framing of a chunk.
HEAD_OVERHEAD_BYTES: Final = 60
CHUNK_OVERHEAD_BYTES: Final = 8

_END: Final = object()


class HttpResponse:
    """A response whose headers have arrived; read its body with `chunks` or `body`."""

    __slots__ = ("_connection", "_delegate")

    def __init__(self, *, connection: _Connection, delegate: _ResponseDelegate) -> None:
        self._connection = connection
        self._delegate = delegate

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self._delegate.status

    @property
    def headers(self) -> HTTPHeaders:
        """HTTP headers."""
        return self._delegate.headers

    async def chunks(self, *, idle_timeout: float) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        ``idle_timeout`` is the longest wait for the next bytes, in real seconds. Raises
        `UpstreamStalled` after it, and `UpstreamLost` when the connection breaks.
        """
        while True:
            chunk = await self._next(idle_timeout)
            if chunk is None:
                return
            yield chunk

    async def body(self, *, idle_timeout: float) -> bytes:
        """Return the whole body; raise `UpstreamLost` if it exceeds `MAX_WHOLE_BODY_BYTES`."""
        body = bytearray()
        async for chunk in self.chunks(idle_timeout=idle_timeout):
            body += chunk
            if len(body) > MAX_WHOLE_BODY_BYTES:
                raise UpstreamLost(
                    f"{self._connection.address} sent more than {MAX_WHOLE_BODY_BYTES} bytes"
                )
        return bytes(body)

    async def _next(self, idle_timeout: float) -> bytes | None:
        queue = self._delegate.queue
        if queue.empty():
            try:
                async with asyncio.timeout(idle_timeout):
                    item = await queue.get()
            except TimeoutError:
                raise UpstreamStalled(
                    f"{self._connection.address} sent nothing for {idle_timeout:.2f} s"
                ) from None
        else:
            item = queue.get_nowait()
        if item is _END:
            return None
        if isinstance(item, UpstreamLost):
            raise item
        assert isinstance(item, bytes)
        self._delegate.mark_read(item)
        return item


@final
class HttpClient:
    """A pool of connections per address."""

    __slots__ = ("_idle", "_opened", "_reused", "traffic")

    def __init__(self) -> None:
        # Per address: (time until which it may be reused, time it became idle, connection).
        self._idle: dict[str, list[tuple[float, float, IOStream]]] = defaultdict(list)
        self._opened = 0
        self._reused = 0
        self.traffic = Traffic()

    @property
    def opened(self) -> int:
        """Connections opened so far."""
        return self._opened

    @property
    def reused(self) -> int:
        """Requests sent on a reused connection."""
        return self._reused

    def idle_count(self, address: str) -> int:
        """Return the number of idle connections to an address."""
        return len(self._idle.get(address, ()))

    @contextlib.asynccontextmanager
    async def call(
        self,
        *,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | HTTPHeaders | None = None,
        head_timeout: float = 30.0,
        fresh: bool = False,
        before_body: Callable[[], float | None] | None = None,
        ack_timeout: float | None = None,
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
        max_idle: float = MAX_IDLE_SECONDS,
    ) -> AsyncIterator[HttpResponse]:
        """Send a request and yield its response; leaving the block early drops the connection.

        All durations are in real seconds. A ``Host`` in ``headers`` replaces the address in the
        ``Host`` header. ``head_timeout`` bounds the wait for the response's headers. ``fresh``
        opens a new connection instead of reusing one that has been idle for ``max_idle`` at most.
        ``before_body`` is called after the request's headers are written and before its body is;
        if it raises, the connection is dropped. It returns the time within which the body must be
        written, or ``None`` if that is unbounded: see `kill_after`. ``ack_timeout`` is the time
        after which the kernel drops a connection whose sent bytes are not acknowledged.

        Raises `UpstreamUnreachable` if no connection could be opened, and `UpstreamLost` on
        failures after that, when bytes may have been sent.
        """
        stream = await self._acquire(
            address, fresh=fresh, timeout=connect_timeout, max_idle=max_idle
        )
        if ack_timeout is not None:
            timeout_ms = max(1, round(ack_timeout * 1000))
            stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
        connection = _Connection(address=address, stream=stream, traffic=self.traffic)
        clean = False
        try:
            delegate = await connection.send(
                method=method,
                path=path,
                body=body,
                headers=headers if headers is not None else {},
                timeout=head_timeout,
                before_body=before_body,
            )
            yield HttpResponse(connection=connection, delegate=delegate)
            clean = delegate.finished and delegate.queue.empty() and delegate.allows_reuse
        finally:
            self._release(connection, clean=clean)

    def close(self) -> None:
        """Close all idle connections."""
        for streams in self._idle.values():
            for _, _, stream in streams:
                stream.close()
        self._idle.clear()

    def drop_idle(self, address: str) -> None:
        """Close all idle connections to an address, for when another one to it has failed."""
        for _, _, stream in self._idle.pop(address, []):
            stream.close()

    async def _acquire(
        self, address: str, *, fresh: bool, timeout: float, max_idle: float
    ) -> IOStream:
        streams = self._idle[address]
        while streams and not fresh:
            usable_until, idle_since, stream = streams.pop()
            now = time.monotonic()
            if is_reusable(stream) and now < min(usable_until, idle_since + max_idle):
                self._reused += 1
                stream.set_close_callback(None)
                return stream
            stream.close()
        self._opened += 1
        return await connect(address, timeout=timeout)

    def _release(self, connection: _Connection, *, clean: bool) -> None:
        stream = connection.detach(clean=clean)
        if stream is None:
            return
        streams = self._idle[connection.address]
        if len(streams) >= MAX_IDLE_PER_ADDRESS:
            stream.close()
            return
        stream.set_close_callback(stream.close)
        now = time.monotonic()
        streams.append((now + connection.idle_seconds, now, stream))


class _ResponseDelegate(HTTPMessageDelegate):
    """Queue the body of one response for the task that reads it."""

    def __init__(self, address: str, traffic: Traffic, *, stream: IOStream) -> None:
        self.address = address
        self._traffic = traffic
        self._stream = stream
        self.status = 0
        self.headers = HTTPHeaders()
        self.finished = False
        self.queue: asyncio.Queue[object] = asyncio.Queue()
        self._unread_bytes = 0
        self._has_room = asyncio.Event()
        self.head: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @property
    def allows_reuse(self) -> bool:
        """Whether the server keeps the connection open after this response."""
        return self.headers.get("Connection", "").lower() != "close"

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        self.status = start_line.code
        self.headers = headers
        self._traffic.received += HEAD_OVERHEAD_BYTES + sum(
            len(name) + len(value) for name, value in headers.items()
        )
        if not self.head.done():
            self.head.set_result(None)

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body is delimited only by the end of the connection."""
        return "Content-Length" not in self.headers and "Transfer-Encoding" not in self.headers

    def was_reset(self) -> bool:
        """Whether the connection ended with an error instead of a regular close."""
        return self._stream.error is not None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self._traffic.received += CHUNK_OVERHEAD_BYTES + len(chunk)
        self.queue.put_nowait(chunk)
        self._unread_bytes += len(chunk)
        return self._wait_for_room() if self._unread_bytes > MAX_UNREAD_BYTES else None

    def mark_read(self, chunk: bytes) -> None:
        """Record that a part of the body has been taken from the queue."""
        self._unread_bytes -= len(chunk)
        if self._unread_bytes <= MAX_UNREAD_BYTES:
            self._has_room.set()

    async def _wait_for_room(self) -> None:
        self._has_room.clear()
        await self._has_room.wait()

    def finish(self) -> None:
        if self.ends_with_connection and self.was_reset():
            self.fail()
            return
        self.finished = True
        self.queue.put_nowait(_END)

    def on_connection_close(self) -> None:
        self.fail()

    def fail(self) -> None:
        """Report a broken connection to the reader, unless the response is complete."""
        if self.finished:
            return
        error = UpstreamLost(f"the connection to {self.address} broke before the response ended")
        if not self.head.done():
            self.head.set_exception(error)
        self.queue.put_nowait(error)


class _Connection:
    """One request and its response on one connection."""

    __slots__ = ("_http", "_read_task", "_stream", "_traffic", "address", "idle_seconds")

    def __init__(self, *, address: str, stream: IOStream, traffic: Traffic) -> None:
        self.address = address
        self.idle_seconds = MAX_IDLE_SECONDS
        self._traffic = traffic
        self._stream = stream
        params = HTTP1ConnectionParameters(no_keep_alive=False, max_body_size=MAX_RESPONSE_BYTES)
        self._http = HTTP1Connection(stream, True, params)
        self._read_task: asyncio.Task[None] | None = None

    async def send(
        self,
        *,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str] | HTTPHeaders,
        timeout: float,
        before_body: Callable[[], float | None] | None = None,
    ) -> _ResponseDelegate:
        """Write the request and wait for the headers of the response."""
        delegate = _ResponseDelegate(self.address, self._traffic, stream=self._stream)
        all_headers = HTTPHeaders(headers)
        all_headers.setdefault("Host", self.address)
        all_headers["Content-Length"] = str(len(body))
        self._traffic.sent += HEAD_OVERHEAD_BYTES + len(path) + len(body)
        start_line = RequestStartLine(method, path, "HTTP/1.1")
        try:
            async with asyncio.timeout(timeout):
                if before_body is not None:
                    await self._http.write_headers(start_line, all_headers)
                    with kill_after(before_body()):
                        # Check again: this process may have been suspended between the first
                        # check and the start of the timer.
                        before_body()
                        written = self._http.write(body)
                else:
                    written = self._http.write_headers(start_line, all_headers, body or None)
                self._http.finish()
                self._read_task = asyncio.get_running_loop().create_task(self._read(delegate))
                await delegate.head
                written.cancel()
                self.idle_seconds = _idle_seconds(delegate.headers)
        except TimeoutError:
            raise UpstreamStalled(
                f"{self.address} sent no response within {timeout:.2f} s"
            ) from None
        except StreamClosedError as error:
            raise UpstreamLost(f"the connection to {self.address} broke: {error}") from error
        return delegate

    def detach(self, *, clean: bool) -> IOStream | None:
        """Return the connection for reuse if the response was complete; else close it."""
        if self._read_task is not None and not clean:
            self._read_task.cancel()
        if clean and not self._stream.closed():
            return self._http.detach()
        self._stream.close()
        return None

    async def _read(self, delegate: _ResponseDelegate) -> None:
        try:
            await self._http.read_response(delegate)
        except StreamClosedError:
            pass
        finally:
            delegate.fail()


def _idle_seconds(headers: HTTPHeaders) -> float:
    """Return how long a connection may stay idle, from the server's ``Keep-Alive`` header.

    >>> _idle_seconds(HTTPHeaders({"Keep-Alive": "timeout=5"})), _idle_seconds(HTTPHeaders())
    (4.0, 10.0)
    >>> _idle_seconds(HTTPHeaders({"Keep-Alive": "timeout=1"}))
    0.5
    """
    for option in headers.get("Keep-Alive", "").split(","):
        name, _, value = option.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            server_timeout = int(value)
            return min(
                MAX_IDLE_SECONDS, server_timeout - min(IDLE_MARGIN_SECONDS, server_timeout / 2)
            )
    return MAX_IDLE_SECONDS


async def fetch(
    client: HttpClient,
    *,
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float,
) -> tuple[int, bytes]:
    """Send a request and return status and body of the response.

    ``timeout`` bounds the whole call, in real seconds; `UpstreamLost` is raised after it. Raises
    the errors of `HttpClient.call` too.
    """
    try:
        async with (
            asyncio.timeout(timeout),
            client.call(
                address=address,
                method=method,
                path=path,
                body=body,
                headers=headers,
                head_timeout=timeout,
            ) as response,
        ):
            return response.status, await response.body(idle_timeout=timeout)
    except TimeoutError:
        raise UpstreamLost(f"{address}{path} did not respond within {timeout:.2f} s") from None
