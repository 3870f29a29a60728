"""One attempt of an exchange at one upstream."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Final
from typing import final

from loguru import logger

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import HttpResponse
from baobabpulley.errors import DeadlineExceeded
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamRefused
from baobabpulley.errors import UpstreamStalled
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.gateway.event_stream import EventSplitter
from baobabpulley.gateway.event_stream import has_content
from baobabpulley.model.exchanges import AttemptParameters
from baobabpulley.model.exchanges import IncomingRequest
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.ports.exchange_wire import ExchangeWire
from baobabpulley.ports.exchange_wire import ResponseHead
from baobabpulley.timers import TimerService

# Upstreams are only milliseconds away.
CONNECT_TIMEOUT_SECONDS: Final = 0.2
# The kernel drops a connection whose data stays unacknowledged for this long (TCP_USER_TIMEOUT).
UNACKNOWLEDGED_TIMEOUT_SECONDS: Final = 0.5
# A call that must not be retried reuses only connections that were idle for less than this.
NON_RETRYABLE_MAX_IDLE_SECONDS: Final = 2.0
MAX_IDLE_SECONDS: Final = 9.0
EVENT_STREAM: Final = "text/event-stream"


@final
class UpstreamResponse:
    """An upstream's response with a checked head."""

    __slots__ = ("_response", "_silence_timeout", "head")

    def __init__(
        self, response: HttpResponse, head: ResponseHead, *, silence_timeout: float
    ) -> None:
        self._response = response
        self._silence_timeout = silence_timeout
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
        return EVENT_STREAM in self._response.headers.get("Content-Type", "")

    async def body(self) -> bytes:
        """Return the complete body."""
        return await self._response.body(idle_timeout=self._silence_timeout)

    async def events(self) -> AsyncIterator[bytes]:
        """Yield complete events.

        Raise `UpstreamLost` if the stream ends within one, and `UpstreamStalled` if bytes arrive
        but complete no event with content within the silence timeout.
        """
        splitter = EventSplitter()
        now = asyncio.get_running_loop().time
        progress_at = now()
        async for chunk in self._response.chunks(idle_timeout=self._silence_timeout):
            for event in splitter.feed(chunk):
                yield event
                if has_content(event):
                    progress_at = now()
            if now() - progress_at > self._silence_timeout:
                raise UpstreamStalled(
                    f"only incomplete or empty events came for {self._silence_timeout:.2f} s"
                )
        if splitter.pending:
            raise UpstreamLost("the stream ended within an event")


@final
class UpstreamCaller:
    """Send attempts to upstreams and check that the responses belong to them."""

    __slots__ = ("_client", "_timers", "_wire")

    def __init__(self, *, client: HttpClient, wire: ExchangeWire, timers: TimerService) -> None:
        self._client = client
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
        silence_timeout: float,
    ) -> AsyncIterator[UpstreamResponse]:
        """Yield the response of one upstream; leaving the block early drops the connection.

        The upstream counts as lost after ``silence_timeout`` seconds without a byte. Raise
        `UpstreamUnreachable` or `UpstreamRefused` if the request is certain not to have run
        there, `UpstreamLost` if it may have, and `DeadlineExceeded` if the upstream did not finish
        within ``parameters.remaining`` seconds.
        """
        try:
            async with (
                asyncio.timeout(self._timers.to_real_seconds(parameters.remaining)),
                self._client.call(
                    address=upstream.address,
                    method=incoming.method,
                    path=incoming.target,
                    body=incoming.body,
                    headers=self._wire.request_headers(incoming.headers, parameters),
                    head_timeout=self._timers.to_real_seconds(silence_timeout),
                    ack_timeout=self._timers.to_real_seconds(UNACKNOWLEDGED_TIMEOUT_SECONDS),
                    connect_timeout=self._timers.to_real_seconds(CONNECT_TIMEOUT_SECONDS),
                    max_idle=MAX_IDLE_SECONDS if retryable else NON_RETRYABLE_MAX_IDLE_SECONDS,
                ) as response,
            ):
                head = self._wire.parse_response_head(response.status, response.headers)
                if head.not_run:
                    await self._skip_body(response, silence_timeout)
                    raise UpstreamRefused(
                        f"{upstream.id} answered {head.status}, not run", at_fault=head.at_fault
                    )
                if head.attempt != parameters.attempt or not head.sealed:
                    raise UpstreamLost(
                        f"{upstream.id} sent a response without a seal or to another attempt"
                    )
                yield UpstreamResponse(
                    response, head, silence_timeout=self._timers.to_real_seconds(silence_timeout)
                )
        except TimeoutError:
            raise DeadlineExceeded(
                f"{upstream.id} did not finish within {max(0.0, parameters.remaining):.2f} s"
            ) from None

    async def _skip_body(self, response: HttpResponse, silence_timeout: float) -> None:
        """Read the body of a refusal to its end, so that its connection can be reused."""
        try:
            await response.body(idle_timeout=self._timers.to_real_seconds(silence_timeout))
        except UpstreamLost as error:
            logger.debug("the body of a refusal ended early: {}", error.message)


def did_not_run(error: Exception) -> bool:
    """Whether an error proves that the attempt did not run."""
    return isinstance(error, UpstreamUnreachable | UpstreamRefused)
