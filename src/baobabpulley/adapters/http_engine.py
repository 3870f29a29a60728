"""HTTP client for model engines; docs/PROTOCOLS.md describes the protocol."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Final
from typing import TypeVar
from typing import final

import msgspec

from baobabpulley.adapters.events import DONE
from baobabpulley.adapters.events import read_events
from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import HttpResponse
from baobabpulley.adapters.http_client import fetch
from baobabpulley.adapters.retry_after import parse_retry_after
from baobabpulley.decoding import DECODE_ERRORS
from baobabpulley.errors import MismatchedResponse
from baobabpulley.errors import UpstreamBackpressure
from baobabpulley.errors import UpstreamImportFailed
from baobabpulley.errors import UpstreamLeaving
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamModelMissing
from baobabpulley.errors import UpstreamOutOfMemory
from baobabpulley.errors import UpstreamOverloaded
from baobabpulley.errors import UpstreamRefused
from baobabpulley.model.requests import CompletionEvent
from baobabpulley.model.requests import EndEvent
from baobabpulley.model.upstreams import LoadReport
from baobabpulley.model.upstreams import Upstream
from baobabpulley.ports.engine import ChunkRef
from baobabpulley.ports.engine import Engine
from baobabpulley.ports.engine import EngineCall
from baobabpulley.ports.engine import EngineEvent
from baobabpulley.ports.engine import EngineState
from baobabpulley.ports.engine import Hold
from baobabpulley.ports.engine import Order
from baobabpulley.ports.engine import PrefillCall
from baobabpulley.ports.engine import SendGuard
from baobabpulley.timers import TimerService

SILENCE_TIMEOUT_SECONDS: Final = 3.0
SHORT_CALL_TIMEOUT_SECONDS: Final = 2.0

T = TypeVar("T")


class ErrorBody(msgspec.Struct):
    """An engine's error; ``ran`` is ``False`` only if the attempt is certain not to have run."""

    code: str
    message: str
    ran: bool | None = None


class _ErrorDocument(msgspec.Struct):
    error: ErrorBody


_REFUSED_BY_CODE: Final[dict[str, type[UpstreamRefused]]] = {
    "out_of_memory": UpstreamOutOfMemory,
    "import_failed": UpstreamImportFailed,
    "leaving": UpstreamLeaving,
    "unknown_model": UpstreamModelMissing,
    "overloaded": UpstreamOverloaded,
}

_completion_decoder = msgspec.json.Decoder(CompletionEvent)
_event_decoder = msgspec.json.Decoder(EngineEvent)


@final
class HttpEngine(Engine):
    """Call engines over one connection pool.

    Engines send a keepalive comment each second of model time while a stream runs. A connection
    that receives nothing for ``silence_timeout`` model seconds counts as lost.
    """

    __slots__ = ("_client", "_silence_timeout", "_timers")

    def __init__(
        self,
        *,
        client: HttpClient,
        timers: TimerService,
        silence_timeout: float = SILENCE_TIMEOUT_SECONDS,
    ) -> None:
        self._client = client
        self._timers = timers
        self._silence_timeout = silence_timeout

    async def complete(
        self, upstream: Upstream, call: EngineCall
    ) -> AsyncIterator[CompletionEvent]:
        async for event in self._stream(
            upstream, "/v1/completions", msgspec.json.encode(call), call.attempt
        ):
            yield event

    async def resume(
        self, upstream: Upstream, *, attempt: str, offset: int
    ) -> AsyncIterator[CompletionEvent]:
        body = msgspec.json.encode({"attempt": attempt, "offset": offset})
        async for event in self._stream(upstream, "/v1/resume", body, attempt, fresh=True):
            yield event

    async def cancel(self, upstream: Upstream, *, attempt: str) -> None:
        await self.release(upstream, ids=(attempt,))

    async def prefill_chunk(self, upstream: Upstream, call: PrefillCall) -> ChunkRef:
        return await self._chunk(upstream, "/v1/parts", msgspec.json.encode(call), call.part)

    async def resume_chunk(self, upstream: Upstream, *, part: str) -> ChunkRef:
        body = msgspec.json.encode({"attempt": part, "offset": 0})
        return await self._chunk(upstream, "/v1/resume", body, part, fresh=True)

    async def holds(self, upstream: Upstream) -> tuple[Hold, ...]:
        return await self._call(upstream, "GET", "/v1/holds", response_type=tuple[Hold, ...])

    async def renew(self, upstream: Upstream, *, holder: str, ids: tuple[str, ...]) -> None:
        body = {"holder": holder, "ids": ids}
        await self._call(upstream, "POST", "/v1/holds/renew", body, response_type=dict)

    async def release(self, upstream: Upstream, *, ids: tuple[str, ...]) -> None:
        await self._call(upstream, "POST", "/v1/holds/release", {"ids": ids}, response_type=dict)

    async def load(self, upstream: Upstream) -> LoadReport:
        return await self._call(upstream, "GET", "/v1/load", response_type=LoadReport)

    async def events(self, upstream: Upstream, *, every: float = 0.0) -> AsyncIterator[EngineEvent]:
        async with self._client.call(
            address=upstream.address,
            method="GET",
            path=f"/v1/events?every={every:g}",
            head_timeout=self._timers.to_real_seconds(self._silence_timeout),
            fresh=True,
        ) as response:
            await self._raise_for_status(response)
            chunks = response.chunks(
                idle_timeout=self._timers.to_real_seconds(self._silence_timeout)
            )
            async for data in read_events(chunks):
                yield _decode(upstream, data, _event_decoder)

    async def order(
        self,
        upstream: Upstream,
        order: Order,
        *,
        guard: SendGuard | None = None,
        window: float | None = None,
        credential: str = "",
    ) -> None:
        timeout = self._timers.to_real_seconds(window or SHORT_CALL_TIMEOUT_SECONDS)

        def real_guard() -> float | None:
            remaining = guard() if guard is not None else None
            return None if remaining is None else self._timers.to_real_seconds(remaining)

        # On a new connection, so that an order isn't queued behind other bytes.
        async with self._client.call(
            address=upstream.address,
            method="POST",
            path="/v1/orders",
            body=msgspec.json.encode(order),
            headers={"Authorization": f"Bearer {credential}"} if credential else None,
            head_timeout=timeout,
            fresh=True,
            before_body=real_guard,
            ack_timeout=timeout,
        ) as response:
            await self._raise_for_status(response)
            await response.body(idle_timeout=timeout)

    async def state(self, upstream: Upstream) -> EngineState:
        return await self._call(upstream, "GET", "/v1/state", response_type=EngineState)

    async def _stream(
        self, upstream: Upstream, path: str, body: bytes, attempt: str, *, fresh: bool = False
    ) -> AsyncIterator[CompletionEvent]:
        try:
            async for event in self._checked_stream(upstream, path, body, attempt, fresh=fresh):
                yield event
        except UpstreamLost:
            # Idle connections to this engine may have failed for the same reason.
            self._client.drop_idle(upstream.address)
            raise

    async def _checked_stream(
        self, upstream: Upstream, path: str, body: bytes, attempt: str, *, fresh: bool
    ) -> AsyncIterator[CompletionEvent]:
        idle = self._timers.to_real_seconds(self._silence_timeout)
        async with self._client.call(
            address=upstream.address,
            method="POST",
            path=path,
            body=body,
            head_timeout=idle,
            fresh=fresh,
        ) as response:
            await self._raise_for_status(response)
            ended = False
            async for data in read_events(response.chunks(idle_timeout=idle)):
                if data == DONE:
                    continue
                event = _decode(upstream, data, _completion_decoder)
                if event.attempt != attempt:
                    raise MismatchedResponse(
                        f"{upstream.id} sent an event of attempt {event.attempt} for {attempt}"
                    )
                if ended:
                    raise MismatchedResponse(f"{upstream.id} sent an event after the end event")
                ended = isinstance(event, EndEvent)
                yield event
        if not ended:
            raise UpstreamLost(f"{upstream.id} closed the stream before its end event")

    async def _chunk(
        self, upstream: Upstream, path: str, body: bytes, part: str, *, fresh: bool = False
    ) -> ChunkRef:
        # The engine sends keepalive comments while it works, so a silence timeout is enough.
        idle = self._timers.to_real_seconds(self._silence_timeout)
        async with self._client.call(
            address=upstream.address,
            method="POST",
            path=path,
            body=body,
            head_timeout=idle,
            fresh=fresh,
        ) as response:
            await self._raise_for_status(response)
            async for data in read_events(response.chunks(idle_timeout=idle)):
                return msgspec.json.decode(data, type=ChunkRef)
        raise UpstreamLost(f"{upstream.id} ended the response to chunk {part} without a result")

    async def _call(
        self,
        upstream: Upstream,
        method: str,
        path: str,
        body: object = None,
        *,
        response_type: type[T],
    ) -> T:
        status, response = await fetch(
            self._client,
            address=upstream.address,
            method=method,
            path=path,
            body=b"" if body is None else msgspec.json.encode(body),
            timeout=self._timers.to_real_seconds(SHORT_CALL_TIMEOUT_SECONDS),
        )
        if status >= 400:
            raise parse_upstream_error(upstream.id, response)
        try:
            return msgspec.json.decode(response, type=response_type)
        except DECODE_ERRORS as error:
            raise UpstreamLost(
                f"{upstream.id} sent an invalid response to {path}: {error}"
            ) from error

    async def _raise_for_status(self, response: HttpResponse) -> None:
        if response.status < 400:
            return
        idle = self._timers.to_real_seconds(self._silence_timeout)
        asked_pause = parse_retry_after(response.status, response.headers)
        try:
            body = await response.body(idle_timeout=idle)
        except UpstreamLost as error:
            if asked_pause is None:
                raise
            # What the head asked for holds, whatever becomes of the body.
            raise UpstreamLost(error.message, asked_pause=asked_pause) from error
        raise parse_upstream_error("the engine", body, asked_pause=asked_pause)


def parse_upstream_error(
    name: str, body: bytes, *, asked_pause: float | None = None
) -> UpstreamLost | UpstreamRefused:
    """Return the typed error for the error document of the upstream ``name``.

    ``asked_pause`` is for how many seconds the response asked for no requests, if it did.
    """
    try:
        error = msgspec.json.decode(body, type=_ErrorDocument).error
    except DECODE_ERRORS:
        return UpstreamLost(f"{name} sent an invalid error document", asked_pause=asked_pause)
    if error.ran is not False:
        return UpstreamLost(
            f"{name} failed: {error.code}: {error.message}", asked_pause=asked_pause
        )
    error_type = _REFUSED_BY_CODE.get(error.code, UpstreamRefused)
    if asked_pause is not None and error_type is not UpstreamLeaving:
        error_type = UpstreamBackpressure
    return error_type(
        f"{name} did not run the request: {error.code}: {error.message}", asked_pause=asked_pause
    )


def _decode(upstream: Upstream, data: bytes, decoder: msgspec.json.Decoder[T]) -> T:
    try:
        return decoder.decode(data)
    except DECODE_ERRORS as error:
        raise UpstreamLost(f"{upstream.id} sent an invalid event: {error}") from error
