"""Fake implementations of the engine port and of forwarding."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Sequence
from typing import Any

from baobabpulley.model.requests import CompletionEvent
from baobabpulley.model.requests import CompletionRequest
from baobabpulley.model.requests import EndEvent
from baobabpulley.model.requests import TokenEvent
from baobabpulley.model.requests import Usage
from baobabpulley.model.upstreams import Upstream
from baobabpulley.ports.engine import Engine
from baobabpulley.ports.engine import EngineCall


class ScriptedEngine(Engine):
    """An engine that responds to each attempt by the next step of a script.

    A step is a tuple ``(tokens, error)``: the number of tokens to stream, then the error to
    raise; without an error the response ends after its tokens.
    """

    def __init__(self, script: Sequence[tuple[int, Exception | None]]) -> None:
        self.script = list(script)
        self.calls: list[tuple[str, EngineCall]] = []

    async def complete(
        self, upstream: Upstream, call: EngineCall
    ) -> AsyncIterator[CompletionEvent]:
        self.calls.append((upstream.id, call))
        tokens, error = self.script.pop(0) if self.script else (call.max_tokens, None)
        for index in range(call.offset, call.offset + tokens):
            yield TokenEvent(attempt=call.attempt, index=index, tokens=(f"{index:03} ",))
        if error is not None:
            raise error
        usage = Usage(prompt_tokens=1, completion_tokens=call.offset + tokens)
        yield EndEvent(attempt=call.attempt, reason="length", usage=usage)

    async def cancel(self, upstream: Upstream, *, attempt: str) -> None:
        return

    def _unused(self, *_: Any, **__: Any) -> Any:
        raise NotImplementedError

    resume = prefill_chunk = resume_chunk = holds = renew = release = _unused
    load = events = order = state = _unused


class ScriptedForwarder:
    """Forwarding to other failure domains that yields one token event or raises an error."""

    def __init__(self, error: Exception | None = None) -> None:
        self.error = error
        self.forwarded: list[str] = []

    async def run(self, request: CompletionRequest) -> AsyncIterator[CompletionEvent]:
        self.forwarded.append(request.request_id)
        if self.error is not None:
            raise self.error
        yield TokenEvent(attempt=request.request_id, index=0, tokens=("elsewhere",))
