"""Reserve memory at engines under a ticket, and release it."""

from __future__ import annotations

from typing import Final
from typing import final

import msgspec
from loguru import logger

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.platform import names
from baobabpulley.ports.exchange_wire import MemoryReservations

# Short, as engines answer these requests without waiting for a free slot.
_REQUEST_TIMEOUT_SECONDS: Final = 0.4
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

    __slots__ = ("_client",)

    def __init__(self, *, client: HttpClient) -> None:
        self._client = client

    async def reserve(
        self, upstream: ListedUpstream, *, ticket: str, tokens: int, hold_seconds: float
    ) -> bool:
        request = _Reserve(
            identifier=ticket, token_count=tokens, hold_ms=round(hold_seconds * _MS_PER_SECOND)
        )
        return await self._send(upstream, msgspec.json.encode(request)) == 200

    async def release(self, upstream: ListedUpstream, *, ticket: str) -> None:
        await self._send(upstream, msgspec.json.encode(_Release(identifier=ticket)))

    async def _send(self, upstream: ListedUpstream, body: bytes) -> int:
        try:
            status, _ = await fetch(
                self._client,
                address=upstream.address,
                method="POST",
                path=names.ORDER,
                body=body,
                headers=_JSON | {names.EXPECTED_INSTANCE: upstream.id},
                timeout=_REQUEST_TIMEOUT_SECONDS,
            )
        except (UpstreamLost, UpstreamUnreachable) as error:
            logger.bind(upstream=upstream.id).info(
                "no response to a memory reservation request: {}", error.message
            )
            return 0
        return status
