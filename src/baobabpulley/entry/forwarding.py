"""Forward requests that no upstream here can serve to an entry of another failure domain."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any
from typing import Final
from typing import final

import msgspec

from baobabpulley.adapters.events import DONE
from baobabpulley.adapters.events import read_events
from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import HttpResponse
from baobabpulley.decoding import DECODE_ERRORS
from baobabpulley.errors import BaobabError
from baobabpulley.errors import DeadlineExceeded
from baobabpulley.errors import NoUpstream
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.errors import errors_by_code
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.requests import CompletionEvent
from baobabpulley.model.requests import CompletionRequest
from baobabpulley.model.requests import EndEvent
from baobabpulley.model.requests import TokenEvent
from baobabpulley.model.requests import Usage
from baobabpulley.model.upstreams import LIVE
from baobabpulley.timers import TimerService

FORWARDED_HEADER: Final = "X-Baobab-Passed"


@final
class RequestForwarder:
    """Forward requests to the entries of other failure domains, round-robin."""

    __slots__ = ("_client", "_round_robin", "_timers", "_view")

    def __init__(self, *, client: HttpClient, view: FleetView, timers: TimerService) -> None:
        self._client = client
        self._view = view
        self._timers = timers
        self._round_robin = 0

    async def run(self, request: CompletionRequest) -> AsyncIterator[CompletionEvent]:
        """Yield the other entry's events; the whole text of an event is in its first token.

        Raises the typed error that the other entry sent, `NoUpstream` if no entry could be
        reached, `UpstreamLost` if the connection broke.
        """
        seconds_left = request.deadline - self._timers.now()
        try:
            async with self._timers.timeout(seconds_left):
                for address in self._addresses():
                    try:
                        async for event in self._forward(address, request, seconds_left):
                            yield event
                        return
                    except UpstreamUnreachable:
                        continue
        except TimeoutError:
            raise DeadlineExceeded("the deadline passed in another failure domain") from None
        raise NoUpstream(
            "no upstream here can serve the request, "
            "and no entry of another failure domain responded"
        )

    def _addresses(self) -> list[str]:
        own_domain = self._view.failure_domain
        addresses = [
            vm.http
            for vm in self._view.entry_vms
            if vm.failure_domain != own_domain and vm.state == LIVE and vm.http
        ]
        self._round_robin += 1
        start = self._round_robin % max(1, len(addresses))
        return addresses[start:] + addresses[:start]

    async def _forward(
        self, address: str, request: CompletionRequest, seconds_left: float
    ) -> AsyncIterator[CompletionEvent]:
        body = {
            "model": request.model,
            "prompt": request.prompt,
            "max_tokens": request.max_tokens,
            "seed": request.seed,
            "stream": True,
        }
        async with self._client.call(
            address=address,
            method="POST",
            path="/v1/completions",
            body=msgspec.json.encode(body),
            headers={
                "Authorization": f"Bearer {request.token}",
                "X-Request-Id": request.request_id,
                FORWARDED_HEADER: self._view.failure_domain,
            },
            head_timeout=self._timers.to_real_seconds(seconds_left),
        ) as response:
            async for event in self._read_events(
                response, request, self._timers.to_real_seconds(seconds_left)
            ):
                yield event

    async def _read_events(
        self, response: HttpResponse, request: CompletionRequest, idle_timeout: float
    ) -> AsyncIterator[CompletionEvent]:
        if response.status >= 400:
            raise _error_of(_decode(await response.body(idle_timeout=idle_timeout)))
        offset = 0
        ended = False
        async for data in read_events(response.chunks(idle_timeout=idle_timeout)):
            if data == DONE:
                continue
            document = _decode(data)
            if "error" in document:
                raise _error_of(document)
            if document.get("usage"):
                ended = True
                yield _end_event(document, request.request_id)
            else:
                event = _token_event(document, request.request_id, offset)
                offset += len(event.tokens)
                yield event
        if not ended:
            raise UpstreamLost(
                "the entry of another failure domain closed the stream before its end"
            )


def _decode(data: bytes) -> dict[str, Any]:
    try:
        return msgspec.json.decode(data, type=dict[str, Any])
    except DECODE_ERRORS as error:
        raise UpstreamLost(
            f"the entry of another failure domain sent invalid JSON: {error}"
        ) from error


def _token_event(document: dict[str, Any], attempt: str, offset: int) -> TokenEvent:
    text = document["choices"][0]["text"]
    count = max(1, document.get("offset", 0) - offset)
    # Token boundaries within the text are unknown; empty tokens keep the count for resumption.
    return TokenEvent(attempt=attempt, index=offset, tokens=(text, *[""] * (count - 1)))


def _end_event(document: dict[str, Any], attempt: str) -> EndEvent:
    usage = document["usage"]
    return EndEvent(
        attempt=attempt,
        reason=document["choices"][0]["finish_reason"],
        usage=Usage(
            prompt_tokens=usage["prompt_tokens"],
            completion_tokens=usage["completion_tokens"],
            cached_tokens=usage.get("cached_tokens", 0),
        ),
    )


def _error_of(document: dict[str, Any]) -> BaobabError:
    error = document["error"]
    error_class = errors_by_code().get(error["code"])
    if error_class is None or error_class.ran != error["ran"]:
        return UpstreamLost(f"an entry of another failure domain failed: {error['message']}")
    return error_class(error["message"], remedy=error["remedy"])
