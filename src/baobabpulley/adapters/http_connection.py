"""One request and its response on one HTTP/1.1 connection."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final
from typing import final

from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError

from baobabpulley.adapters.client_stream import ClientStream
from baobabpulley.adapters.kill_timer import kill_after
from baobabpulley.adapters.response_connection import MIN_FINAL_STATUS
from baobabpulley.adapters.response_connection import ResponseConnection
from baobabpulley.adapters.traffic import Traffic
from baobabpulley.errors import UpstreamDisconnected
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamStalled
from baobabpulley.policy.memory_budget import SMALL_BYTES
from baobabpulley.policy.memory_budget import UPSTREAM_BYTES
from baobabpulley.policy.memory_budget import MemoryBudget

MAX_RESPONSE_BYTES: Final = 64 * 1024 * 1024
MAX_IDLE_SECONDS: Final = 10.0
# Idle connections are closed this long before the server's keep-alive timeout, so that a request
# is not sent on a connection that the server is closing.
IDLE_MARGIN_SECONDS: Final = 1.0
# Estimates for the byte counts in `Traffic`: start line and header separators of a message, and
# the framing of a chunk.
HEAD_OVERHEAD_BYTES: Final = 60
CHUNK_OVERHEAD_BYTES: Final = 8
# Put into the queue of a response after the last part of its body.
END_OF_BODY: Final = object()


@final
class ResponseDelegate(HTTPMessageDelegate):
    """Queue the body of one response for the task that reads it.

    The connection isn't read further while its reader is behind by more than ``budget`` allows.
    """

    def __init__(
        self, address: str, traffic: Traffic, *, stream: ClientStream, budget: MemoryBudget
    ) -> None:
        self._budget = budget
        self.address = address
        self._traffic = traffic
        self._stream = stream
        self.status = 0
        self._version = "HTTP/1.1"
        self.headers = HTTPHeaders()
        self.finished = self._is_read = False
        self.queue: asyncio.Queue[object] = asyncio.Queue()
        self._unread_bytes = 0
        self._is_dropped = self._is_waiting = False
        budget.change(UPSTREAM_BYTES)
        self._has_room = asyncio.Event()
        self.head: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @property
    def allows_reuse(self) -> bool:
        """Whether the server keeps the connection open after this response."""
        options = {
            option.strip().lower() for option in self.headers.get("Connection", "").split(",")
        }
        return "close" not in options and (self._version != "HTTP/1.0" or "keep-alive" in options)

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        self._traffic.received += HEAD_OVERHEAD_BYTES + sum(
            len(name) + len(value) for name, value in headers.items()
        )
        if start_line.code < MIN_FINAL_STATUS:
            # The head of the response itself follows.
            return
        self.status = start_line.code
        self._version = start_line.version
        self.headers = headers
        if not self.head.done():
            self.head.set_result(None)

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body is delimited only by the end of the connection."""
        return "Content-Length" not in self.headers and "Transfer-Encoding" not in self.headers

    @property
    def awaits_end(self) -> bool:
        """Whether the body has been read, and is whole unless its connection was reset."""
        return self._is_read and not self.finished

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self._traffic.received += CHUNK_OVERHEAD_BYTES + len(chunk)
        if self._is_dropped:
            return None
        self.queue.put_nowait(chunk)
        self._count_unread(len(chunk))
        return self._wait_for_room() if self._unread_bytes > self._budget.max_unread_bytes else None

    def mark_read(self, chunk: bytes) -> None:
        """Record that a part of the body has been taken from the queue."""
        self._count_unread(-len(chunk))
        if self._unread_bytes <= self._budget.max_unread_bytes:
            self._has_room.set()

    def drop(self) -> None:
        """Record that nothing will be read any more; a reader of the connection need not wait."""
        if not self._is_dropped:
            self._is_dropped = True
            self._count_unread(-self._unread_bytes)
            self._budget.change(-UPSTREAM_BYTES)
            self._has_room.set()

    @property
    def is_full(self) -> bool:
        """Whether the connection isn't read further for now."""
        return self._is_waiting

    def _count_unread(self, size: int) -> None:
        self._unread_bytes += size
        self._budget.change(size)

    async def _wait_for_room(self) -> None:
        self._has_room.clear()
        self._is_waiting = True
        await self._has_room.wait()
        self._is_waiting = False

    def finish(self) -> None:
        self._is_read = True
        if not (self.ends_with_connection and self._stream.closed()):
            self.complete()

    def complete(self) -> None:
        """Report the end of a whole response to the reader."""
        self.finished = True
        self.queue.put_nowait(END_OF_BODY)

    def fail(self, *, is_malformed: bool) -> None:
        """Report a broken connection or a malformed head, unless the response is complete."""
        if self.finished:
            return
        error = UpstreamLost(f"{self.address} sent a malformed response")
        if not is_malformed:
            error = UpstreamDisconnected(
                f"the connection to {self.address} broke before the response ended"
            )
        if not self.head.done():
            self.head.set_exception(error)
        self.queue.put_nowait(error)


@final
class Connection:
    """One request and its response on one connection."""

    __slots__ = (
        "_budget",
        "_delegate",
        "_http",
        "_read_task",
        "_stream",
        "_traffic",
        "address",
        "idle_seconds",
    )

    def __init__(
        self, *, address: str, stream: ClientStream, traffic: Traffic, budget: MemoryBudget
    ) -> None:
        self._budget = budget
        self._delegate: ResponseDelegate | None = None
        self.address = address
        self.idle_seconds = MAX_IDLE_SECONDS
        self._traffic = traffic
        self._stream = stream
        params = HTTP1ConnectionParameters(no_keep_alive=False, max_body_size=MAX_RESPONSE_BYTES)
        self._http = ResponseConnection(stream, params, address=address)
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
    ) -> ResponseDelegate:
        """Write the request and wait for the headers of the response."""
        delegate = self._delegate = ResponseDelegate(
            self.address, self._traffic, stream=self._stream, budget=self._budget
        )
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
                elif len(body) > SMALL_BYTES:
                    # Written after the head, as joining both would copy the body.
                    self._http.write_headers(start_line, all_headers)
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
            raise UpstreamDisconnected(
                f"the connection to {self.address} broke: {error}"
            ) from error
        return delegate

    def detach(self, *, clean: bool) -> ClientStream | None:
        """Return the connection for reuse if the response was complete; else close it."""
        delegate = self._delegate
        # A reader that waits for room finds the stream closed; Tornado would log its cancellation.
        if self._read_task is not None and not clean and not (delegate and delegate.is_full):
            self._read_task.cancel()
        if delegate is not None:
            delegate.drop()
        if clean and not self._stream.closed():
            self._http.detach()
            return self._stream
        self._stream.close()
        return None

    async def _read(self, delegate: ResponseDelegate) -> None:
        try:
            await self._http.read_response(delegate)
            if delegate.awaits_end and not await self._stream.was_reset():
                delegate.complete()
        except StreamClosedError:
            pass
        finally:
            delegate.fail(is_malformed=self._http.is_malformed)


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
