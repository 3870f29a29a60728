"""One attempt of an exchange at one upstream."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Final
from typing import final

import msgspec
from loguru import logger
from tornado.httputil import HTTPHeaders

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import HttpResponse
from baobabpulley.adapters.turns import Turns
from baobabpulley.errors import DeadlineExceeded
from baobabpulley.errors import UpstreamBackpressure
from baobabpulley.errors import UpstreamDisconnected
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamOutOfMemory
from baobabpulley.errors import UpstreamRefused
from baobabpulley.errors import UpstreamSkipped
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.gateway.callers.strict_connection import HEAD
from baobabpulley.gateway.exchanges.attempt_progress import AttemptProgress
from baobabpulley.gateway.exchanges.connection_watch import ConnectionWatch
from baobabpulley.gateway.exchanges.event_stream import EventSplitter
from baobabpulley.gateway.exchanges.event_stream import has_content
from baobabpulley.gateway.placement.upstream_record import UpstreamRecord
from baobabpulley.model.exchanges import MAX_LOGGED_ID_CHARS
from baobabpulley.model.exchanges import AttemptParameters
from baobabpulley.model.exchanges import IncomingRequest
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.ports.exchange_wire import ExchangeWire
from baobabpulley.ports.exchange_wire import ResponseHead
from baobabpulley.timers import TimerService

# Upstreams are only milliseconds away.
CONNECT_TIMEOUT_SECONDS: Final = 0.2
# The kernel drops a connection whose peer acknowledges neither data nor keepalive probes, or reads
# nothing, for this long (TCP_USER_TIMEOUT). Sound upstreams may pause for a second or two; memory
# that a dead one's prompt holds elsewhere has to be free within 4 s.
UNACKNOWLEDGED_TIMEOUT_SECONDS: Final = 3.0
# A call that must not be retried reuses only connections that were idle for less than this.
NON_RETRYABLE_MAX_IDLE_SECONDS: Final = 2.0
MAX_IDLE_SECONDS: Final = 9.0
DEADLINE_MARGIN_SECONDS: Final = 1.0
# A refusal is passed on without its body, so little time is spent on reading it.
REFUSAL_BODY_TIMEOUT_SECONDS: Final = 0.2
EVENT_STREAM: Final = "text/event-stream"


@final
class UpstreamResponse:
    """An upstream's response with a checked head; ``timeout`` is in real seconds.

    The answer to a HEAD request has no body, whatever its head says.
    """

    __slots__ = ("_has_body", "_progress", "_response", "_timeout", "head")

    def __init__(
        self,
        response: HttpResponse,
        head: ResponseHead,
        *,
        has_body: bool,
        progress: AttemptProgress,
        timeout: float,
    ) -> None:
        self._response = response
        self._has_body = has_body
        self._progress = progress
        self._timeout = timeout
        self.head = head

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.head.status

    @property
    def headers(self):  # type: ignore[no-untyped-def]
        """Response headers, unchanged."""
        return self._response.headers

    @property
    def is_stream(self) -> bool:
        """Whether the body is a stream of server-sent events."""
        return self._has_body and EVENT_STREAM in self._response.headers.get("Content-Type", "")

    @property
    def stated_length(self) -> str | None:
        """Length of the body that the answer to a HEAD request tells of, if it does."""
        return None if self._has_body else self._response.headers.get("Content-Length")

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection tells the end of the body."""
        return self._response.ends_with_connection

    async def body(self, *, reserve: Callable[[int], Awaitable[None]]) -> bytes:
        """Return the complete body; ``reserve`` is awaited for a large one, see `HttpResponse`."""
        return await self._response.body(
            idle_timeout=self._timeout, on_data=self._progress.record, reserve=reserve
        )

    async def events(self) -> AsyncIterator[bytes]:
        """Yield complete events; raise `UpstreamDisconnected` if the stream ends within one.

        Only complete events with content count as progress.
        """
        splitter = EventSplitter()
        turns = Turns()
        async for chunk in self._response.chunks(idle_timeout=self._timeout):
            for event in splitter.feed(chunk):
                if has_content(event):
                    self._progress.record()
                yield event
                await turns.end_item()
        if splitter.pending:
            raise UpstreamDisconnected("the stream ended within an event")


def _check_nothing() -> None:
    pass


@final
class UpstreamCaller:
    """Send attempts to upstreams and check that the responses belong to them."""

    __slots__ = ("_client", "_record", "_timers", "_watch", "_wire")

    def __init__(
        self,
        *,
        client: HttpClient,
        wire: ExchangeWire,
        record: UpstreamRecord,
        watch: ConnectionWatch,
        timers: TimerService,
    ) -> None:
        self._client = client
        self._watch = watch
        self._record = record
        self._wire = wire
        self._timers = timers

    @contextlib.asynccontextmanager
    async def send(
        self,
        incoming: IncomingRequest,
        parameters: AttemptParameters,
        upstream: ListedUpstream,
        *,
        retryable: bool,
        progress: AttemptProgress,
        expected: float = 0.0,
        helpers: Sequence[ListedUpstream] = (),
        check: Callable[[], None] = _check_nothing,
    ) -> AsyncIterator[UpstreamResponse]:
        """Yield the response of one upstream; leaving the block early drops the connection.

        What arrives is recorded in ``progress``; silence ends nothing here. Raise
        `UpstreamUnreachable` or `UpstreamRefused` if the request is certain not to have run there,
        `UpstreamLost` if it may have, also if the response is to another attempt, and
        `DeadlineExceeded` if the upstream did not finish within ``parameters.remaining`` seconds.
        Nothing is sent to an upstream that has asked for no requests since it was chosen, nor if
        its failure domain or that of one of its ``helpers`` is evacuated.
        ``expected`` is the time in seconds after which the answer should begin. ``check`` is called
        just before the request is sent, and raises if it may not be sent any more.
        """

        def check_all() -> None:
            self._check_engines(upstream, helpers)
            check()

        begun = self._timers.now()

        def headers() -> HTTPHeaders:
            """Return the headers with the time that is left once the connection is open."""
            left = max(0.0, parameters.remaining - (self._timers.now() - begun))
            outgoing = msgspec.structs.replace(parameters, remaining=left)
            return self._wire.request_headers(incoming.headers, outgoing)

        check_all()
        timeout = self._timers.to_real_seconds(parameters.remaining)
        # The deadline ends a silent attempt first, so that it isn't taken for a lost connection.
        silence_timeout = timeout + DEADLINE_MARGIN_SECONDS
        try:
            async with (
                asyncio.timeout(timeout),
                self._watch.watching(upstream, progress, expected=expected),
                self._client.call(
                    address=upstream.address,
                    method=incoming.method,
                    path=incoming.target,
                    body=incoming.body,
                    headers=headers,
                    head_timeout=silence_timeout,
                    # Again, as opening the connection may have taken a while.
                    before_send=check_all,
                    ack_timeout=self._timers.to_real_seconds(UNACKNOWLEDGED_TIMEOUT_SECONDS),
                    connect_timeout=self._timers.to_real_seconds(CONNECT_TIMEOUT_SECONDS),
                    max_idle=MAX_IDLE_SECONDS if retryable else NON_RETRYABLE_MAX_IDLE_SECONDS,
                    on_connected=progress.record_connection,
                ) as response,
            ):
                head = self._wire.parse_response_head(response.status, response.headers)
                _check_owner(upstream, head, parameters)
                progress.record()
                self._record.record_head(upstream, head)
                if head.not_run:
                    await self._skip_body(response)
                    refusal = UpstreamRefused if head.retry_after is None else UpstreamBackpressure
                    raise refusal(
                        f"{upstream.id} answered {head.status}, not run", at_fault=head.at_fault
                    )
                if not head.sealed:
                    raise UpstreamLost(f"{upstream.id} sent a response without a seal")
                yield UpstreamResponse(
                    response,
                    head,
                    has_body=incoming.method != HEAD,
                    progress=progress,
                    timeout=silence_timeout,
                )
        except TimeoutError:
            raise DeadlineExceeded(
                f"{upstream.id} did not finish within {max(0.0, parameters.remaining):.2f} s"
            ) from None

    def _check_engines(self, upstream: ListedUpstream, helpers: Sequence[ListedUpstream]) -> None:
        self._record.check_accepting(upstream)
        for helper in helpers:
            self._record.check_not_evacuated(helper)

    async def _skip_body(self, response: HttpResponse) -> None:
        """Read the body of a refusal to its end, so that its connection can be reused."""
        timeout = self._timers.to_real_seconds(REFUSAL_BODY_TIMEOUT_SECONDS)
        try:
            async with asyncio.timeout(timeout):
                await response.body(idle_timeout=timeout)
        except (TimeoutError, UpstreamLost) as error:
            logger.debug("the body of a refusal ended early: {!r}", error)


def _check_owner(
    upstream: ListedUpstream, head: ResponseHead, parameters: AttemptParameters
) -> None:
    """Raise `UpstreamLost` if a response is to another attempt: nothing it says counts here.

    A faulty upstream may send a second response to an earlier request late, on the same connection.
    """
    if head.attempt == parameters.attempt:
        return
    logger.bind(
        event="foreign_response",
        request=parameters.attempt[:MAX_LOGGED_ID_CHARS],
        upstream=upstream.id,
        attempt=None if head.attempt is None else head.attempt[:MAX_LOGGED_ID_CHARS],
        status=head.status,
        not_run=head.not_run,
    ).warning("ignored a response to another attempt")
    raise UpstreamLost(f"{upstream.id} sent a response to another attempt")


def did_not_run(error: Exception) -> bool:
    """Whether an error proves that the attempt did not run."""
    return isinstance(error, UpstreamUnreachable | UpstreamRefused)


def costs_no_retry(error: Exception) -> bool:
    """Whether another attempt after an error is not charged to the retry budget."""
    return isinstance(error, UpstreamUnreachable | UpstreamOutOfMemory | UpstreamSkipped)
