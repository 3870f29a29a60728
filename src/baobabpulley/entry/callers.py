"""The completion API for callers: ``POST /v1/completions``."""

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
from baobabpulley.decoding import DECODE_ERRORS
from baobabpulley.entry.forwarding import FORWARDED_HEADER
from baobabpulley.entry.resume_tokens import RESUME_HEADER
from baobabpulley.entry.web import StreamedBodyHandler
from baobabpulley.entry.web import route
from baobabpulley.errors import BadRequest
from baobabpulley.errors import BaobabError
from baobabpulley.errors import DeadlineExceeded
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
    """Limits on requests, and how deadlines depend on their length (model seconds)."""

    max_body_bytes: Count = 8_388_608
    max_header_bytes: Count = 16_384
    body_timeout: Seconds = 30.0
    header_timeout: Seconds = 10.0
    max_output_tokens: Count = 16_384
    deadline_base: Seconds = 20.0
    deadline_per_prompt_token: Seconds = 0.0003
    deadline_per_output_token: Seconds = 0.2


class CompletionBody(msgspec.Struct):
    """The JSON body of a completion request; unknown fields are ignored, as in similar APIs."""

    model: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    prompt: Annotated[str, msgspec.Meta(min_length=1)]
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] = 16
    seed: Annotated[int, msgspec.Meta(ge=0, le=2**62)] = 0
    stream: bool = False


class Choice(msgspec.Struct):
    """The generated text of an event or of a whole completion."""

    text: str
    index: int = 0
    finish_reason: str | None = None


class CompletionChunk(msgspec.Struct, omit_defaults=True):
    """One streamed event, or a whole completion; only the last one has ``usage``.

    ``offset`` is the number of the completion's tokens up to the end of this event's text.
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
    """Admit and dispatch one completion request, and send its response."""

    @property
    def log_fields(self) -> dict[str, str]:
        steps = self._record.steps if self._record is not None else []
        attempted = [step.detail.get("upstream") for step in steps if step.what == "attempt"]
        upstream = {"upstream": str(attempted[-1])} if attempted else {}
        return {**super().log_fields, **upstream}

    def prepare(self) -> None:
        self._section = self.context.settings.get(CallersSection)
        # Concurrent requests may share a request id, so token accounting uses an id of its own.
        self._spending_id = secrets.token_hex(8)
        self._task: asyncio.Task[None] | None = None
        self._client_gone = False
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
            self._task = asyncio.current_task()
            await self._spend(request)
            await self._respond(request, record)
            self._count(record, "ok")
        except BaobabError as error:
            self._count(record, error.code)
            await self._send_error(error)
        except StreamClosedError:
            self._count(record, "client_gone")
        except asyncio.CancelledError:
            if self._client_gone:
                self._count(record, "client_gone")
            else:
                self._end_late(record)
        finally:
            self._task = None
            await self._refund(request)
            self.context.lifecycle.end()

    async def _spend(self, request: CompletionRequest) -> None:
        await self.context.memory.reservations.spend(
            team=request.team, request_id=self._spending_id, tokens=request.prompt_tokens
        )

    async def _refund(self, request: CompletionRequest) -> None:
        await self.context.memory.reservations.refund(
            team=request.team, request_id=self._spending_id
        )

    def on_connection_close(self) -> None:
        super().on_connection_close()
        self._client_gone = True
        if self._task is not None:
            self._task.cancel()

    def _parse(self) -> CompletionRequest:
        try:
            body = _body_decoder.decode(self.whole_body)
        except DECODE_ERRORS as error:
            raise BadRequest(f"invalid request body: {error}") from error
        if body.max_tokens > self._section.max_output_tokens:
            raise BadRequest(f"max_tokens exceeds {self._section.max_output_tokens}")
        if body.model not in self.context.view.settings_state.models:
            raise UnknownModel(f"unknown model {body.model!r}")
        now = self.context.timers.now()
        prompt_tokens = estimate_tokens(body.prompt)
        time_allowed = self._time_allowed(prompt_tokens=prompt_tokens, max_tokens=body.max_tokens)
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
            deadline=now + time_allowed,
            token=self.request.headers["Authorization"].partition(" ")[2],
            forwarded=FORWARDED_HEADER in self.request.headers,
        )

    def _time_allowed(self, *, prompt_tokens: int, max_tokens: int) -> float:
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
                f"the limit of {request.team} is {limit.max_prompt_tokens}"
            )

    async def _respond(self, request: CompletionRequest, record: DecisionRecord) -> None:
        text: list[str] = []
        if request.stream:
            # Sent with the headers: the caller may need it before the first token.
            self.set_header(RESUME_HEADER, self.context.resume_tokens.make(request))
        async with contextlib.aclosing(self.context.dispatcher.run(request, record)) as events:
            async for event in events:
                if isinstance(event, TokenEvent):
                    if event.index == request.offset:
                        self._observe_first_token(request, record)
                    text += event.tokens
                    if request.stream:
                        await self._send_tokens(request, event)
                else:
                    await self._send_end(request, event, "".join(text))

    async def _send_tokens(self, request: CompletionRequest, event: TokenEvent) -> None:
        self.set_header("Content-Type", "text/event-stream")
        chunk = CompletionChunk(
            id=request.request_id,
            model=request.model,
            choices=(Choice(text="".join(event.tokens)),),
            offset=event.index + len(event.tokens),
        )
        self.write(frame_event(msgspec.json.encode(chunk)))
        await self.flush()

    async def _send_end(self, request: CompletionRequest, end: EndEvent, text: str) -> None:
        usage = {
            "prompt_tokens": end.usage.prompt_tokens,
            "completion_tokens": end.usage.completion_tokens,
            "total_tokens": end.usage.prompt_tokens + end.usage.completion_tokens,
            "cached_tokens": end.usage.cached_tokens,
        }
        last_text = "" if request.stream else text
        chunk = CompletionChunk(
            id=request.request_id,
            model=request.model,
            choices=(Choice(text=last_text, finish_reason=end.reason),),
            usage=usage,
        )
        body = msgspec.json.encode(chunk)
        if request.stream:
            await self.finish(frame_event(body) + frame_event(DONE))
        else:
            self.set_header("Content-Type", "application/json")
            await self.finish(body)

    def _end_late(self, record: DecisionRecord) -> None:
        """End a response whose deadline passed while the caller was not reading it.

        The deadline's timer interrupts whatever the task waits for, also a write to the caller.
        """
        if self._finished:
            # All of the answer has been written, and the caller may still read it.
            self._count(record, "ok")
            return
        error = DeadlineExceeded("the deadline passed while the caller was slow to read")
        self._count(record, error.code)
        # Not waited for, as the caller may never read it.
        self.finish(frame_event(msgspec.json.encode(error.document())))

    async def _send_error(self, error: BaobabError) -> None:
        if not self._headers_written:
            self.finish_with_error(error)
            return
        # The status has been sent, so the error is sent as an event; [DONE] does not follow.
        with contextlib.suppress(StreamClosedError):
            await self.finish(frame_event(msgspec.json.encode(error.document())))

    def _observe_first_token(self, request: CompletionRequest, record: DecisionRecord) -> None:
        elapsed = self.context.timers.now() - request.arrived
        self.context.metrics.first_token.labels(lane=record.lane).observe(elapsed)
        self.context.burn.count_first_token(
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
        # Errors that callers cause (status below 500) do not count against the error budget.
        error_class = errors_by_code().get(outcome)
        if error_class is None or error_class.status >= 500:
            self.context.burn.count(
                team=record.team,
                objective=FAILURES,
                good=error_class is None,
                now=self.context.timers.now(),
            )
