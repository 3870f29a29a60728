"""The callers' completion API: ``POST /v1/completions``."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from typing import Annotated

import msgspec
from tornado.iostream import StreamClosedError
from tornado.web import stream_request_body

from baobabpulley.adapters.events import DONE
from baobabpulley.adapters.events import frame_event
from baobabpulley.entry.forwarding import FORWARDED_HEADER
from baobabpulley.entry.resume_tokens import RESUME_HEADER
from baobabpulley.entry.web import StreamedBodyHandler
from baobabpulley.entry.web import route
from baobabpulley.errors import BadRequest
from baobabpulley.errors import BaobabError
from baobabpulley.errors import PromptTooLong
from baobabpulley.errors import UnknownModel
from baobabpulley.errors import errors_by_code
from baobabpulley.model.decisions import DecisionRecord
from baobabpulley.model.requests import CompletionRequest
from baobabpulley.model.requests import EndEvent
from baobabpulley.model.requests import TokenEvent
from baobabpulley.model.requests import estimate_tokens
from baobabpulley.policy.burn import FAILURES
from baobabpulley.policy.lanes import SHORT
from baobabpulley.settings import Count
from baobabpulley.settings import Seconds
from baobabpulley.settings import section


@section("callers", "entry")
class CallersSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds of what callers send, and how deadlines follow from length (model seconds)."""

    max_body_bytes: Count = 8_388_608
    max_header_bytes: Count = 16_384
    body_timeout: Seconds = 30.0
    header_timeout: Seconds = 10.0
    max_output_tokens: Count = 16_384
    deadline_base: Seconds = 20.0
    deadline_per_prompt_token: Seconds = 0.0003
    deadline_per_output_token: Seconds = 0.2


class CompletionBody(msgspec.Struct):
    """The JSON body of a completion request; unknown fields are ignored, as usual there."""

    model: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    prompt: Annotated[str, msgspec.Meta(min_length=1)]
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] = 16
    seed: Annotated[int, msgspec.Meta(ge=0, le=2**62)] = 0
    stream: bool = False


class Choice(msgspec.Struct):
    """A piece of an answer."""

    text: str
    index: int = 0
    finish_reason: str | None = None


class CompletionChunk(msgspec.Struct, omit_defaults=True):
    """One streamed event, or the whole answer; ``usage`` stands in the last one.

    ``offset`` counts the answer's tokens up to the end of this event's text.
    """

    id: str
    model: str
    choices: tuple[Choice, ...]
    object: str = "text_completion"
    offset: int = 0
    usage: dict[str, int] | None = None


_body_decoder = msgspec.json.Decoder(CompletionBody)


@route("/v1/completions")
@stream_request_body
class CompletionHandler(StreamedBodyHandler):
    """Admit, dispatch and answer one completion request."""

    @property
    def log_fields(self) -> dict[str, str]:
        steps = self._record.steps if self._record is not None else []
        tried = [step.detail.get("upstream") for step in steps if step.what == "attempt"]
        upstream = {"upstream": str(tried[-1])} if tried else {}
        return {**super().log_fields, **upstream}

    def prepare(self) -> None:
        self._section = self.context.settings.get(CallersSection)
        # Callers may use a request id twice at once, so the count has an id of its own.
        self._spending = secrets.token_hex(8)
        self._work: asyncio.Task[None] | None = None
        self._record: DecisionRecord | None = None
        self.expect_body(max_bytes=self._section.max_body_bytes, timeout=self._section.body_timeout)
        if self.request.method == "POST":
            self.check_accepting()
            self._team = self.authenticate()
            self._log_fields["team"] = self._team

    async def post(self) -> None:
        if self._finished:
            return
        request = self._parse()
        self._record = record = self.context.decisions.open(
            request_id=request.request_id, team=request.team
        )
        self.context.lifecycle.begin()
        try:
            self._check_limit(request)
            self._work = asyncio.current_task()
            await self._spend(request)
            await self._answer(request, record)
            self._count(record, "ok")
        except BaobabError as error:
            self._count(record, error.code)
            await self._fail(error)
        except StreamClosedError:
            self._count(record, "client_gone")
        except asyncio.CancelledError:
            # Only on_connection_close cancels this task; nobody is left to answer.
            self._count(record, "client_gone")
        finally:
            self._work = None
            await self._refund(request)
            self.context.lifecycle.end()

    async def _spend(self, request: CompletionRequest) -> None:
        await self.context.memory.reservations.spend(
            team=request.team, request_id=self._spending, tokens=request.prompt_tokens
        )

    async def _refund(self, request: CompletionRequest) -> None:
        await self.context.memory.reservations.refund(team=request.team, request_id=self._spending)

    def on_connection_close(self) -> None:
        super().on_connection_close()
        if self._work is not None:
            self._work.cancel()

    def _parse(self) -> CompletionRequest:
        try:
            body = _body_decoder.decode(self.whole_body)
        except msgspec.DecodeError as error:
            raise BadRequest(f"the body does not check: {error}") from error
        if body.max_tokens > self._section.max_output_tokens:
            raise BadRequest(f"max_tokens is above {self._section.max_output_tokens}")
        if body.model not in self.context.view.settings_state.models:
            raise UnknownModel(f"no model is called {body.model!r}")
        now = self.context.timers.now()
        prompt_tokens = estimate_tokens(body.prompt)
        allowed = self._allowed_time(prompt_tokens=prompt_tokens, max_tokens=body.max_tokens)
        return CompletionRequest(
            request_id=self.request_id,
            team=self._team,
            model=body.model,
            prompt=body.prompt,
            prompt_tokens=prompt_tokens,
            max_tokens=body.max_tokens,
            seed=body.seed,
            stream=body.stream,
            arrived=now,
            deadline=now + allowed,
            token=self.request.headers["Authorization"].partition(" ")[2],
            forwarded=FORWARDED_HEADER in self.request.headers,
        )

    def _allowed_time(self, *, prompt_tokens: int, max_tokens: int) -> float:
        return (
            self._section.deadline_base
            + self._section.deadline_per_prompt_token * prompt_tokens
            + self._section.deadline_per_output_token * max_tokens
        )

    def _check_limit(self, request: CompletionRequest) -> None:
        limit = self.context.view.settings_state.limit(request.team)
        if request.prompt_tokens > limit.max_prompt_tokens:
            raise PromptTooLong(
                f"the prompt has about {request.prompt_tokens} tokens; "
                f"{request.team} may send {limit.max_prompt_tokens}"
            )

    async def _answer(self, request: CompletionRequest, record: DecisionRecord) -> None:
        text: list[str] = []
        if request.stream:
            # The caller needs the token before the first one, so the head goes out with it.
            self.set_header(RESUME_HEADER, self.context.resume_tokens.make(request))
        async with contextlib.aclosing(self.context.dispatcher.run(request, record)) as events:
            async for event in events:
                if isinstance(event, TokenEvent):
                    if event.index == request.offset:
                        self._observe_first(request, record)
                    text += event.tokens
                    if request.stream:
                        await self._send(request, event)
                else:
                    await self._end(request, event, "".join(text))

    async def _send(self, request: CompletionRequest, event: TokenEvent) -> None:
        self.set_header("Content-Type", "text/event-stream")
        chunk = CompletionChunk(
            id=request.request_id,
            model=request.model,
            choices=(Choice(text="".join(event.tokens)),),
            offset=event.index + len(event.tokens),
        )
        self.write(frame_event(msgspec.json.encode(chunk)))
        await self.flush()

    async def _end(self, request: CompletionRequest, end: EndEvent, text: str) -> None:
        usage = {
            "prompt_tokens": end.usage.prompt_tokens,
            "completion_tokens": end.usage.completion_tokens,
            "total_tokens": end.usage.prompt_tokens + end.usage.completion_tokens,
            "cached_tokens": end.usage.cached_tokens,
        }
        last = "" if request.stream else text
        chunk = CompletionChunk(
            id=request.request_id,
            model=request.model,
            choices=(Choice(text=last, finish_reason=end.reason),),
            usage=usage,
        )
        body = msgspec.json.encode(chunk)
        if request.stream:
            await self.finish(frame_event(body) + frame_event(DONE))
        else:
            self.set_header("Content-Type", "application/json")
            await self.finish(body)

    async def _fail(self, error: BaobabError) -> None:
        if not self._headers_written:
            self.finish_with_error(error)
            return
        # The status has gone out, so the error goes in the stream, and [DONE] does not follow.
        with contextlib.suppress(StreamClosedError):
            await self.finish(frame_event(msgspec.json.encode(error.document())))

    def _observe_first(self, request: CompletionRequest, record: DecisionRecord) -> None:
        elapsed = self.context.timers.now() - request.arrived
        self.context.metrics.first_token.labels(lane=record.lane).observe(elapsed)
        self.context.burn.first_token(
            team=request.team,
            tokens=request.prompt_tokens,
            short=record.lane == SHORT,
            elapsed=elapsed,
            now=self.context.timers.now(),
        )

    def _count(self, record: DecisionRecord, outcome: str) -> None:
        record.outcome = outcome
        self._count_failure(record, outcome)
        self.context.metrics.requests.labels(team=record.team, outcome=outcome).inc()

    def _count_failure(self, record: DecisionRecord, outcome: str) -> None:
        # What callers bring on themselves uses up no budget.
        kind = errors_by_code().get(outcome)
        if kind is None or kind.status >= 500:
            self.context.burn.count(
                team=record.team,
                objective=FAILURES,
                good=kind is None,
                now=self.context.timers.now(),
            )
