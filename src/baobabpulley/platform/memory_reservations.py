"""Reserve memory at engines under a ticket, and release it."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Final
from typing import final

import msgspec
from loguru import logger

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.platform import names
from baobabpulley.platform.wire import PlatformWire
from baobabpulley.ports.exchange_wire import MemoryReservations
from baobabpulley.ports.exchange_wire import ReservationOutcome
from baobabpulley.ports.exchange_wire import ResponseHead

# Short, as engines answer these requests without waiting for a free slot.
_RELEASE_TIMEOUT_SECONDS: Final = 0.4
_BODY_TIMEOUT_SECONDS: Final = 0.4
_MS_PER_SECOND: Final = 1000
_JSON: Final = {"Content-Type": "application/json"}


class _Reserve(msgspec.Struct, rename="kebab"):
    identifier: str
    token_count: int
    hold_ms: int
    operation: str = "reserve"
    wait: bool = False


class _Release(msgspec.Struct):
    identifier: str
    operation: str = "release"


@final
class PlatformMemoryReservations(MemoryReservations):
    """Reservations over HTTP; a request without a response counts as refused."""

    __slots__ = ("_client", "_wire")

    def __init__(self, *, client: HttpClient) -> None:
        self._client = client
        self._wire = PlatformWire()

    async def reserve(
        self,
        upstream: ListedUpstream,
        *,
        ticket: str,
        tokens: int,
        hold_seconds: float,
        timeout: float,
        before_send: Callable[[], None] | None = None,
    ) -> ReservationOutcome:
        request = _Reserve(
            identifier=ticket, token_count=tokens, hold_ms=round(hold_seconds * _MS_PER_SECOND)
        )
        head = await self._send(
            upstream, msgspec.json.encode(request), timeout=timeout, before_send=before_send
        )
        return ReservationOutcome(reserved=head is not None and head.status == 200, head=head)

    async def release(self, upstream: ListedUpstream, *, ticket: str) -> ResponseHead | None:
        request = _Release(identifier=ticket)
        return await self._send(
            upstream, msgspec.json.encode(request), timeout=_RELEASE_TIMEOUT_SECONDS
        )

    async def _send(
        self,
        upstream: ListedUpstream,
        body: bytes,
        *,
        timeout: float,
        before_send: Callable[[], None] | None = None,
    ) -> ResponseHead | None:
        """Send an order and return the head of the response; its body is not needed."""
        head: ResponseHead | None = None
        try:
            async with (
                asyncio.timeout(timeout),
                self._client.call(
                    address=upstream.address,
                    method="POST",
                    path=names.ORDER,
                    body=body,
                    headers=_JSON | {names.EXPECTED_INSTANCE: upstream.id},
                    head_timeout=timeout,
                    before_send=before_send,
                ) as response,
            ):
                received = self._wire.parse_response_head(response.status, response.headers)
                if received.attempt is not None:
                    # A late second response to a request, as orders have no attempt.
                    raise UpstreamLost(f"{upstream.id} sent a response to another call")
                head = received
                with contextlib.suppress(TimeoutError, UpstreamLost):
                    async with asyncio.timeout(_BODY_TIMEOUT_SECONDS):
                        await response.body(idle_timeout=_BODY_TIMEOUT_SECONDS)
        except (TimeoutError, UpstreamLost, UpstreamUnreachable) as error:
            logger.bind(upstream=upstream.id).info(
                "no complete response to a memory reservation request: {!r}", error
            )
        return head
