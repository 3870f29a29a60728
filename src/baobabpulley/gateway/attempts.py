"""One attempt of an exchange at one upstream."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Final
from typing import final

from loguru import logger

from baobabpulley.adapters.http_client import HttpAnswer
from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.errors import DeadlineExceeded
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamRefused
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.gateway.event_stream import EventSplitter
from baobabpulley.model.exchanges import AttemptParameters
from baobabpulley.model.exchanges import IncomingRequest
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.ports.exchange_wire import ExchangeWire
from baobabpulley.ports.exchange_wire import ResponseHead
from baobabpulley.timers import TimerService

# Seconds to open a connection; upstreams are within milliseconds.
CONNECT_TIMEOUT_SECONDS: Final = 0.2
# Seconds after which the kernel gives up a connection whose bytes nobody acknowledges.
UNACKNOWLEDGED_TIMEOUT_SECONDS: Final = 0.5
# Seconds that a connection may have been idle to carry a call that must not be repeated.
NON_RETRYABLE_MAX_IDLE_SECONDS: Final = 2.0
MAX_IDLE_SECONDS: Final = 9.0
EVENT_STREAM: Final = "text/event-stream"


@final
class UpstreamResponse:
    """An upstream's answer whose head has been checked."""

    __slots__ = ("_answer", "_silence_timeout", "head")

    def __init__(self, answer: HttpAnswer, head: ResponseHead, *, silence_timeout: float) -> None:
        self._answer = answer
        self._silence_timeout = silence_timeout
        self.head = head

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.head.status

    @property
    def headers(self):  # type: ignore[no-untyped-def]
        """Headers as they came."""
        return self._answer.headers

    @property
    def is_stream(self) -> bool:
        """Whether the body is a stream of events."""
        return EVENT_STREAM in self._answer.headers.get("Content-Type", "")

    async def body(self) -> bytes:
        """Return the whole body."""
        return await self._answer.body(idle_timeout=self._silence_timeout)

    async def events(self) -> AsyncIterator[bytes]:
        """Yield whole events; raise `UpstreamLost` if the stream ends in the middle of one."""
        splitter = EventSplitter()
        async for chunk in self._answer.chunks(idle_timeout=self._silence_timeout):
            for event in splitter.feed(chunk):
                yield event
        if splitter.pending:
            raise UpstreamLost("the stream ended in the middle of an event")


@final
class UpstreamCaller:
    """Send attempts to upstreams and check who answers."""

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
        """Yield the answer of one upstream; leaving the block early drops the connection.

        ``silence_timeout`` (seconds without a byte) is when the upstream counts as lost. Raises
        `UpstreamUnreachable` and `UpstreamRefused` if it surely did not run there,
        `UpstreamLost` if it may have, `DeadlineExceeded` at the end of the time that the
        upstream was given.
        """
        try:
            async with (
                asyncio.timeout(self._timers.real(parameters.remaining)),
                self._client.call(
                    address=upstream.address,
                    method=incoming.method,
                    path=incoming.target,
                    body=incoming.body,
                    headers=self._wire.request_headers(incoming.headers, parameters),
                    head_timeout=self._timers.real(silence_timeout),
                    unacknowledged=self._timers.real(UNACKNOWLEDGED_TIMEOUT_SECONDS),
                    connect_timeout=self._timers.real(CONNECT_TIMEOUT_SECONDS),
                    max_idle=MAX_IDLE_SECONDS if retryable else NON_RETRYABLE_MAX_IDLE_SECONDS,
                ) as answer,
            ):
                head = self._wire.parse_response_head(answer.status, answer.headers)
                if head.not_run:
                    await self._skip_body(answer, silence_timeout)
                    raise UpstreamRefused(
                        f"{upstream.id} answered {head.status}, not run", at_fault=head.at_fault
                    )
                if head.attempt != parameters.attempt or not head.sealed:
                    raise UpstreamLost(f"{upstream.id} answered another request, or nobody's")
                yield UpstreamResponse(
                    answer, head, silence_timeout=self._timers.real(silence_timeout)
                )
        except TimeoutError:
            raise DeadlineExceeded(f"{upstream.id} did not finish in time") from None

    async def _skip_body(self, answer: HttpAnswer, silence_timeout: float) -> None:
        """Read a refusal to its end, so that its connection can be used again."""
        try:
            await answer.body(idle_timeout=self._timers.real(silence_timeout))
        except UpstreamLost as error:
            logger.debug("a refusal broke off: {}", error.message)


def did_not_run(error: Exception) -> bool:
    """Whether an attempt that failed so did not reach a run."""
    return isinstance(error, UpstreamUnreachable | UpstreamRefused)
