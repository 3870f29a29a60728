"""Pass a request to an entry of another failure domain when this one has no fit upstream."""

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

PASSED_HEADER: Final = "X-Baobab-Passed"


@final
class EntryPasser:
    """Send requests to the entries of other failure domains, in turns."""

    __slots__ = ("_client", "_timers", "_turn", "_view")

    def __init__(self, *, client: HttpClient, view: FleetView, timers: TimerService) -> None:
        self._client = client
        self._view = view
        self._timers = timers
        self._turn = 0

    async def run(self, request: CompletionRequest) -> AsyncIterator[CompletionEvent]:
        """Yield the other entry's answer; an event's text stands in its first token.

        Raises the other entry's own typed error, `NoUpstream` if no entry could be reached,
        `UpstreamLost` if the connection broke.
        """
        left = request.deadline - self._timers.now()
        try:
            async with self._timers.limit(left):
                for address in self._addresses():
                    try:
                        async for event in self._ask(address, request, left):
                            yield event
                        return
                    except UpstreamUnreachable:
                        continue
        except TimeoutError:
            raise DeadlineExceeded("the deadline passed in another failure domain") from None
        raise NoUpstream("no upstream here, and no entry of another failure domain answers")

    def _addresses(self) -> list[str]:
        own = self._view.failure_domain
        found = [
            vm.http
            for vm in self._view.entry_vms
            if vm.failure_domain != own and vm.state == LIVE and vm.http
        ]
        self._turn += 1
        start = self._turn % max(1, len(found))
        return found[start:] + found[:start]

    async def _ask(
        self, address: str, request: CompletionRequest, left: float
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
                PASSED_HEADER: self._view.failure_domain,
            },
            head_timeout=self._timers.real(left),
        ) as answer:
            async for event in self._read(answer, request, self._timers.real(left)):
                yield event

    async def _read(
        self, answer: HttpResponse, request: CompletionRequest, idle: float
    ) -> AsyncIterator[CompletionEvent]:
        if answer.status >= 400:
            raise _error_of(msgspec.json.decode(await answer.body(idle_timeout=idle)))
        offset = 0
        ended = False
        async for data in read_events(answer.chunks(idle_timeout=idle)):
            if data == DONE:
                continue
            document = msgspec.json.decode(data)
            if "error" in document:
                raise _error_of(document)
            if document.get("usage"):
                ended = True
                yield _end_of(document, request.request_id)
            else:
                event = _piece_of(document, request.request_id, offset)
                offset += len(event.tokens)
                yield event
        if not ended:
            raise UpstreamLost("the entry of another failure domain ended its answer early")


def _piece_of(document: dict[str, Any], attempt: str, offset: int) -> TokenEvent:
    text = document["choices"][0]["text"]
    count = max(1, document.get("offset", 0) - offset)
    # The parts between tokens are not known here; their number is, for resumption.
    return TokenEvent(attempt=attempt, index=offset, tokens=(text, *[""] * (count - 1)))


def _end_of(document: dict[str, Any], attempt: str) -> EndEvent:
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
    kind = errors_by_code().get(error["code"])
    if kind is None or kind.ran != error["ran"]:
        return UpstreamLost(f"another failure domain answered: {error['message']}")
    return kind(error["message"], remedy=error["remedy"])
