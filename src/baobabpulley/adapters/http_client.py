"""HTTP/1.1 client with streamed responses and a connection pool.

Tornado's own client neither reuses connections nor lets a caller drop one in the middle of a
response, so this module drives `tornado.http1connection.HTTP1Connection` itself. A connection
returns to the pool only after a complete response.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import defaultdict
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final
from typing import Protocol
from typing import final

from tornado.httputil import HTTPHeaders

from baobabpulley.adapters.addresses import connect
from baobabpulley.adapters.client_stream import ClientStream
from baobabpulley.adapters.http_connection import END_OF_BODY
from baobabpulley.adapters.http_connection import MAX_IDLE_SECONDS
from baobabpulley.adapters.http_connection import Connection
from baobabpulley.adapters.http_connection import ResponseDelegate
from baobabpulley.adapters.streams import detect_dead_peer
from baobabpulley.adapters.streams import is_reusable
from baobabpulley.adapters.traffic import Traffic
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamStalled
from baobabpulley.policy.memory_budget import SMALL_BYTES
from baobabpulley.policy.memory_budget import MemoryBudget

# A body that is returned as a whole may not be longer; streams are held in parts only.
MAX_WHOLE_BODY_BYTES: Final = 16 * 1024 * 1024
MAX_IDLE_PER_ADDRESS: Final = 64
CONNECT_TIMEOUT_SECONDS: Final = 1.0
# Connections that are set aside are closed after this time, unless they are restored.
ASIDE_SECONDS: Final = 3.0
# Silence that is noticed later than by this may have been a hold-up of this process.
MAX_LATENESS_SECONDS: Final = 0.1
# What arrived during a hold-up is processed within this.
HOLD_UP_GRACE_SECONDS: Final = 0.1


class HttpResponse:
    """A response whose headers have arrived; read its body with `chunks` or `body`."""

    __slots__ = ("_connection", "_delegate")

    def __init__(self, *, connection: Connection, delegate: ResponseDelegate) -> None:
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

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection tells the end of the body."""
        return self._delegate.ends_with_connection

    async def chunks(self, *, idle_timeout: float) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        ``idle_timeout`` is the longest wait for the next bytes, in real seconds. Raises
        `UpstreamStalled` after it, and `UpstreamLost` when the connection breaks. If this process
        notices the timeout late, what has arrived meanwhile is read first.
        """
        while True:
            chunk = await self._next(idle_timeout)
            if chunk is None:
                return
            yield chunk

    async def body(
        self,
        *,
        idle_timeout: float,
        on_data: Callable[[], None] | None = None,
        reserve: Callable[[int], Awaitable[None]] | None = None,
    ) -> bytes:
        """Return the whole body; raise `UpstreamLost` if it exceeds `MAX_WHOLE_BODY_BYTES`.

        ``on_data`` is called for each part that arrives. ``reserve`` is awaited before more than
        the begin of a large body is read, with the size that it has or may have.
        """
        body = bytearray()
        size = self._largest_body_bytes()
        async for chunk in self.chunks(idle_timeout=idle_timeout):
            if on_data is not None:
                on_data()
            body += chunk
            if reserve is not None and len(body) > SMALL_BYTES:
                await reserve(size)
                reserve = None
            if len(body) > MAX_WHOLE_BODY_BYTES:
                raise UpstreamLost(
                    f"{self._connection.address} sent more than {MAX_WHOLE_BODY_BYTES} bytes"
                )
        return bytes(body)

    def _largest_body_bytes(self) -> int:
        """Return the size that the head states, if it may be read, or else the largest one."""
        length = self._delegate.headers.get("Content-Length", "")
        stated = int(length) if length.isdecimal() else MAX_WHOLE_BODY_BYTES
        return min(stated, MAX_WHOLE_BODY_BYTES)

    async def _next(self, idle_timeout: float) -> bytes | None:
        queue = self._delegate.queue
        item = await self._wait(idle_timeout) if queue.empty() else queue.get_nowait()
        if item is END_OF_BODY:
            return None
        if isinstance(item, UpstreamLost):
            raise item
        assert isinstance(item, bytes)
        self._delegate.mark_read(item)
        return item

    async def _wait(self, idle_timeout: float) -> object:
        due = time.monotonic() + idle_timeout
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(idle_timeout):
                return await self._delegate.queue.get()
        if time.monotonic() - due > MAX_LATENESS_SECONDS:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HOLD_UP_GRACE_SECONDS):
                    return await self._delegate.queue.get()
        raise UpstreamStalled(f"{self._connection.address} sent nothing for {idle_timeout:.2f} s")


class Connect(Protocol):
    """Open a connection to an address; raise `UpstreamUnreachable` if that fails.

    ``timeout`` is in real seconds.
    """

    async def __call__(self, address: str, *, timeout: float) -> ClientStream: ...


# Time until which a connection may be reused, time at which it became idle, connection.
_Idle = tuple[float, float, ClientStream]


@final
class HttpClient:
    """A pool of connections per address."""

    __slots__ = ("_aside", "_budget", "_connect", "_idle", "_opened", "_reused", "traffic")

    def __init__(self, budget: MemoryBudget | None = None, *, connect: Connect = connect) -> None:
        self._budget = budget or MemoryBudget()
        self._connect = connect
        self._idle: dict[str, list[_Idle]] = defaultdict(list)
        # Idle connections that may have gone silent, by address.
        self._aside: dict[str, list[_Idle]] = {}
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
        headers: dict[str, str] | HTTPHeaders | Callable[[], HTTPHeaders] | None = None,
        head_timeout: float = 30.0,
        fresh: bool = False,
        before_send: Callable[[], None] | None = None,
        before_body: Callable[[], float | None] | None = None,
        ack_timeout: float | None = None,
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
        max_idle: float = MAX_IDLE_SECONDS,
        on_connected: Callable[[ClientStream, bool], None] | None = None,
    ) -> AsyncIterator[HttpResponse]:
        """Send a request and yield its response; leaving the block early drops the connection.

        All durations are in real seconds. If ``headers`` is a function, it is called once a
        connection is open, for headers that depend on the time. A ``Host`` in ``headers`` replaces
        the address in the ``Host`` header. ``head_timeout`` bounds the wait for the response's
        headers. ``fresh`` opens a new connection instead of reusing one that has been idle for
        ``max_idle`` at most.
        ``before_send`` is called once a connection is open; if it raises, nothing is sent.
        ``before_body`` is called after the request's headers are written and before its body is;
        if it raises, the connection is dropped. It returns the time within which the body must be
        written, or ``None`` if that is unbounded: see `kill_after`. ``ack_timeout`` is the time
        after which the kernel drops a connection whose peer acknowledges neither sent bytes nor
        the keepalive probes on a connection without traffic. ``on_connected`` is called with the
        connection, and whether it has been used before.

        Raises `UpstreamUnreachable` if no connection could be opened, and `UpstreamLost` on
        failures after that, when bytes may have been sent.
        """
        stream = None if fresh else self._take_idle(address, max_idle=max_idle)
        is_reused = stream is not None
        if stream is None:
            self._opened += 1
            stream = await self._connect(address, timeout=connect_timeout)
        if on_connected is not None:
            on_connected(stream, is_reused)
        if ack_timeout is not None:
            detect_dead_peer(stream.socket, ack_timeout)
        connection = Connection(
            address=address, stream=stream, traffic=self.traffic, budget=self._budget
        )
        clean = False
        try:
            if before_send is not None:
                before_send()
            delegate = await connection.send(
                method=method,
                path=path,
                body=body,
                headers=headers() if callable(headers) else headers or {},
                timeout=head_timeout,
                before_body=before_body,
            )
            yield HttpResponse(connection=connection, delegate=delegate)
            clean = delegate.finished and delegate.queue.empty() and delegate.allows_reuse
        finally:
            self._release(connection, clean=clean and not stream.is_tunnel)

    def close(self) -> None:
        """Close all idle connections."""
        for address in (*self._idle, *self._aside):
            self.drop_idle(address)

    def drop_idle(self, address: str) -> None:
        """Close all idle connections to an address, for when another one to it has failed."""
        for _, _, stream in (*self._idle.pop(address, []), *self._aside.pop(address, [])):
            stream.close()

    def set_aside(self, address: str, *, heard_before: float) -> int:
        """Don't use the idle connections that were last heard before a time; return their number.

        They may have gone silent with another one. They are closed after `ASIDE_SECONDS` unless
        `restore` is called before. ``heard_before`` is by `time.monotonic`.
        """
        idle = self._idle.get(address, [])
        aside = [each for each in idle if each[1] < heard_before]
        if not aside:
            return 0
        self._idle[address] = [each for each in idle if each[1] >= heard_before]
        self._aside.setdefault(address, []).extend(aside)
        asyncio.get_running_loop().call_later(ASIDE_SECONDS, self._close_aside, address, aside)
        return len(aside)

    def set_all_aside(self, *, heard_before: float) -> int:
        """Set aside the idle connections to all addresses that were last heard before a time."""
        return sum(
            self.set_aside(address, heard_before=heard_before) for address in tuple(self._idle)
        )

    def restore(self, address: str) -> None:
        """Use the connections to an address again that were set aside."""
        self._idle[address] = self._aside.pop(address, []) + self._idle.get(address, [])

    def _close_aside(self, address: str, closing: list[_Idle]) -> None:
        left = self._aside.get(address, [])
        for each in closing:
            if each in left:
                left.remove(each)
                each[2].close()
        if not left:
            self._aside.pop(address, None)

    def _take_idle(self, address: str, *, max_idle: float) -> ClientStream | None:
        """Return an idle connection that may be used again, or ``None``."""
        streams = self._idle[address]
        while streams:
            usable_until, idle_since, stream = streams.pop()
            now = time.monotonic()
            if is_reusable(stream) and now < min(usable_until, idle_since + max_idle):
                self._reused += 1
                stream.set_close_callback(None)
                return stream
            stream.close()
        return None

    def _release(self, connection: Connection, *, clean: bool) -> None:
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


@final
class WholeResponse:
    """A response whose body has arrived completely."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, *, status: int, headers: HTTPHeaders, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


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

    See `fetch_response` for ``timeout`` and the errors.
    """
    response = await fetch_response(
        client,
        address=address,
        method=method,
        path=path,
        body=body,
        headers=headers,
        timeout=timeout,
    )
    return response.status, response.body


async def fetch_response(
    client: HttpClient,
    *,
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float,
) -> WholeResponse:
    """Send a request and return the whole response.

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
            content = await response.body(idle_timeout=timeout)
            return WholeResponse(status=response.status, headers=response.headers, body=content)
    except TimeoutError:
        raise UpstreamLost(f"{address}{path} did not respond within {timeout:.2f} s") from None
