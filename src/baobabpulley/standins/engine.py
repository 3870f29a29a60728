"""A stand-in model engine over HTTP; see docs/PROTOCOLS.md for the protocol."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Final

import msgspec
from msgspec.structs import replace
from tornado.iostream import StreamClosedError
from tornado.web import stream_request_body

from baobabpulley.adapters.events import DONE
from baobabpulley.adapters.events import KEEPALIVE_COMMENT
from baobabpulley.adapters.events import frame_event
from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch
from baobabpulley.errors import BaobabError
from baobabpulley.model.requests import EndEvent
from baobabpulley.model.requests import TokenEvent
from baobabpulley.model.requests import Usage
from baobabpulley.model.upstreams import LoadReport
from baobabpulley.ports.engine import CacheEvent
from baobabpulley.ports.engine import ChunkRef
from baobabpulley.ports.engine import EngineCall
from baobabpulley.ports.engine import EngineState
from baobabpulley.ports.engine import LoadEvent
from baobabpulley.ports.engine import Order
from baobabpulley.ports.engine import PrefillCall
from baobabpulley.standins.engine_core import REPORT_PERIOD_SECONDS
from baobabpulley.standins.engine_core import EngineCore
from baobabpulley.standins.engine_core import EngineProfile
from baobabpulley.standins.engine_core import Job
from baobabpulley.standins.faults import Refusal
from baobabpulley.standins.web import Standin
from baobabpulley.standins.web import StandinHandler
from baobabpulley.standins.web import call_route
from baobabpulley.standins.web import wait_for
from baobabpulley.timers import TimerService

KEEPALIVE_PERIOD_SECONDS: Final = 1.0
SWEEP_PERIOD_SECONDS: Final = 0.1
BODY_TIMEOUT_SECONDS: Final = 3.0
COMPLETIONS_PATH: Final = "/v1/completions"
IMPORT_TIMEOUT_SECONDS: Final = 2.0

BeginJob = Callable[["EngineStandin", bytes], Awaitable[tuple[Job, int]]]


class EngineStandin(Standin):
    """A model engine that computes its output instead of running a model."""

    __slots__ = ("_client", "_orders", "_state", "core")

    def __init__(
        self,
        *,
        id: str,
        address: str,
        models: tuple[str, ...],
        profile: EngineProfile,
        timers: TimerService,
    ) -> None:
        super().__init__(address=address, timers=timers)
        self._state = EngineState(
            upstream=id,
            incarnation=secrets.token_hex(4),
            state="live",
            fence=0,
            models=dict.fromkeys(models, "1"),
            adapters={},
        )
        self._orders: set[str] = set()
        self.core = EngineCore(profile=profile, timers=timers)
        self._client = HttpClient()

    @property
    def state(self) -> EngineState:
        """The engine's state: incarnation, loaded models and fencing number."""
        return replace(self._state, state="leaving" if self.faults.leaving else "live")

    def start(self) -> None:
        """Start listening and running steps; the event loop must run."""
        self.serve(*_ROUTES)
        self.core.report(self.state)
        self.timers.every(
            REPORT_PERIOD_SECONDS, lambda: self.core.report(self.state), name="report"
        )
        self.timers.every(SWEEP_PERIOD_SECONDS, self.core.sweep, name="sweep")
        self.timers.after(0.0, self.core.run, name="engine")

    async def stop(self) -> None:
        """Close all connections and stop running steps."""
        await super().stop()
        self.timers.cancel_all()

    def lagged_report(self) -> LoadReport:
        """Return the newest load report that is at least as old as the report lag."""
        return self.core.lagged_report()

    def describe(self) -> dict[str, Any]:
        """Return the reserved memory in tokens and the journal, oldest line first."""
        return {"held": self.core.memory_held, "lines": tuple(self.journal)}

    def record(self, kind: str, id: str, outcome: str, **detail: object) -> None:
        """Append a line to the journal."""
        line = {"at": self.timers.now(), "kind": kind, "id": id, "outcome": outcome, **detail}
        self.journal.append(line)

    async def admit(self, call: EngineCall) -> Job:
        """Start a completion, or the prefill of a chunk if the call requests no tokens.

        Raise `Refusal` if the call can't run here.
        """
        kind = "completion" if call.max_tokens else "part"
        try:
            self._check_available(call.model)
            digest = await self.import_chunks(call.imports)
            context = sum(chunk.tokens for chunk in call.imports) if call.max_tokens else 0
            job = self.core.start(call, seed_digest=digest, context=context)
        except Refusal as refusal:
            self.record(kind, call.attempt, refusal.code, request=call.request_id)
            raise
        self.record(kind, call.attempt, "started", request=call.request_id, cached=job.cached)
        return job

    def export(self, chunk: str) -> dict[str, int]:
        """Return a chunk's size in tokens and the digest of the text up to its end.

        Other engines fetch it to import the chunk. Raise `Refusal` if the chunk is not complete.
        """
        job = self.core.find(chunk)
        if job is None or not job.is_prefill or job.remaining > 0 or job.failed:
            raise Refusal(
                "not_found",
                f"chunk {chunk} is not known here or not complete; prefill it again",
                status=404,
            )
        return {"tokens": job.prompt_tokens, "digest": job.digest}

    async def import_chunks(self, imports: tuple[ChunkRef, ...]) -> int:
        """Fetch the chunks from other engines; return the digest of the text up to their end.

        Raise `Refusal` if a chunk can't be fetched.
        """
        digest, timeout = 0, self.timers.to_real_seconds(IMPORT_TIMEOUT_SECONDS)
        for chunk in imports:
            call = {"address": chunk.address, "method": "GET", "path": f"/v1/kv/{chunk.part}"}
            try:
                status, body = await fetch(self._client, **call, timeout=timeout)
            except BaobabError as error:
                raise Refusal("import_failed", str(error), status=409) from error
            if status != 200:
                raise Refusal(
                    "import_failed",
                    f"chunk {chunk.part} is not available at {chunk.address}: HTTP status {status}",
                    status=409,
                )
            digest = msgspec.json.decode(body)["digest"]
        return digest

    async def complete(self, body: bytes) -> tuple[Job, int]:
        """Start a completion; return its job and the index of its first token."""
        call = msgspec.json.decode(body, type=EngineCall)
        return await self.admit(call), call.offset

    async def resume(self, body: bytes) -> tuple[Job, int]:
        """Return a known job and the index from which its stream resumes."""
        request = msgspec.json.decode(body)
        job = self.core.find(request["attempt"])
        if job is None or job.failed or request["offset"] < job.call.offset:
            raise Refusal(
                "unknown_attempt",
                "the attempt is unknown, has failed or starts after the offset; start it again",
                status=404,
            )
        self.record("resume", job.call.attempt, "started")
        return job, request["offset"]

    async def prefill(self, body: bytes) -> tuple[Job, int]:
        """Start the prefill of a chunk; it generates no tokens."""
        prefill_call = msgspec.structs.asdict(msgspec.json.decode(body, type=PrefillCall))
        renamed = {
            "attempt": prefill_call.pop("part"),
            "prompt": prefill_call.pop("text"),
            "max_tokens": 0,
            "seed": 0,
        }
        return await self.admit(EngineCall(**renamed, **prefill_call)), 0

    def check_sender(self, authorization: str) -> None:
        """Raise `Refusal` for an order without the engine's credential, if it has one."""
        credential = self.core.profile.credential
        if credential and authorization != f"Bearer {credential}":
            raise Refusal(
                "unauthorized", "the order does not carry this engine's credential", status=401
            )

    def execute_order(self, order: Order) -> None:
        """Execute an order at most once.

        Raise `Refusal` for a stale fencing number if this engine checks them.
        """
        if self.core.profile.checks_fencing and order.fence < self._state.fence:
            self.record("order", order.id, "stale_fence", fence=order.fence, model=order.model)
            message = f"fencing number {order.fence} is below the current {self._state.fence}"
            raise Refusal("stale_fence", message, status=409)
        self._state = replace(self._state, fence=order.fence)
        already_executed = order.id in self._orders
        self.record("order", order.id, "known" if already_executed else "taken", fence=order.fence)
        if already_executed:
            return
        self._orders.add(order.id)
        if order.kind == "unload":
            self._state.models.pop(order.model, None)
            self._state.adapters.pop(order.model, None)
        elif order.kind == "load" and not self._has_loaded(order):
            self._set_loading({*self._state.loading, order.model})
            self.timers.after(
                self.core.profile.load_seconds,
                lambda: self._finish_load(order),
                name=f"load {order.model}",
            )

    def _has_loaded(self, order: Order) -> bool:
        adapters = self._state.adapters.get(order.model, ())
        return (self._state.models.get(order.model), adapters) == (order.version, order.adapters)

    def _check_available(self, model: str) -> None:
        if self.faults.leaving:
            raise Refusal("leaving", f"{self._state.upstream} is draining and accepts no new work")
        if seconds := self.faults.busy_seconds:
            message = f"{self._state.upstream} accepts no new work for {seconds:.2f} s"
            raise Refusal("overloaded", message, retry_after=seconds)
        if model not in self._state.models:
            message = f"{self._state.upstream} has not loaded {model}"
            raise Refusal("unknown_model", message, status=404)

    def _set_loading(self, models: set[str]) -> None:
        self._state = replace(self._state, loading=tuple(sorted(models)))

    def _finish_load(self, order: Order) -> None:
        self._set_loading({*self._state.loading} - {order.model})
        self._state.models[order.model] = order.version
        self._state.adapters[order.model] = order.adapters
        self.record("loaded", order.id, order.model, fence=order.fence)


class _StreamHandler(StandinHandler):
    """Stream a job's tokens until it ends or the client disconnects.

    ``begin`` finds or starts the job.
    """

    def initialize(self, standin: EngineStandin, begin: BeginJob) -> None:
        super().initialize(standin)
        self._begin = begin

    async def post(self) -> None:
        job, offset = await self._begin(self._standin, self.request.body)
        if self.request.path == COMPLETIONS_PATH and self.faults.consume("lose_answer"):
            self.drop()
            return
        self.set_header("Content-Type", "text/event-stream")
        with contextlib.suppress(StreamClosedError), self._standin.core.reading(job):
            await self.send(KEEPALIVE_COMMENT)
            await self._send_tokens(job, offset)

    async def _send_tokens(self, job: Job, offset: int) -> None:
        attempt = job.call.attempt
        crossed = self.faults.consume("cross")
        if crossed:
            attempt = f"not-{attempt}"
        while not job.failed:
            ready = job.tokens[offset - job.call.offset :]
            if ready:
                if crossed:
                    ready = [token[::-1] for token in ready]
                event = TokenEvent(attempt=attempt, index=offset, tokens=tuple(ready))
                data = frame_event(msgspec.json.encode(event))
                await self.send(data * (2 if self.faults.consume("repeat") else 1))
                offset += len(ready)
            elif job.ended:
                await self.send(self._final_events(job, attempt), last=True)
                return
            else:
                job.wake.clear()
                if not await wait_for(
                    job.wake, KEEPALIVE_PERIOD_SECONDS, timers=self.faults.timers
                ):
                    await self.send(KEEPALIVE_COMMENT)
        self.drop()

    def _final_events(self, job: Job, attempt: str) -> bytes:
        if job.is_prefill:
            chunk = ChunkRef(part=attempt, address=self._standin.address, tokens=job.prompt_tokens)
            return frame_event(msgspec.json.encode(chunk))
        usage = Usage(
            prompt_tokens=job.prompt_tokens,
            completion_tokens=job.next_index,
            cached_tokens=job.cached,
        )
        end = EndEvent(attempt=attempt, reason="length", usage=usage)
        return frame_event(msgspec.json.encode(end)) + frame_event(DONE)


class _EventsHandler(StandinHandler):
    async def get(self) -> None:
        self.set_header("Content-Type", "text/event-stream")
        period = float(self.get_query_argument("every", "0"))
        queue: asyncio.Queue[CacheEvent] = asyncio.Queue()
        self._standin.core.subscribers.add(queue)
        with contextlib.suppress(StreamClosedError):
            await self._stream_events(queue, period)
        self._standin.core.subscribers.discard(queue)

    async def _stream_events(self, queue: asyncio.Queue[CacheEvent], period: float) -> None:
        timers = self.faults.timers
        sent: LoadReport | None = None
        sent_at = written_at = float("-inf")
        while not self.stream.closed():
            now, report = timers.now(), self._standin.lagged_report()
            data = b""
            if _is_due(report, sent, age=now - sent_at, period=period):
                sent, sent_at = report, now
                data = frame_event(msgspec.json.encode(LoadEvent(report=report)))
            while not queue.empty():
                data += frame_event(msgspec.json.encode(queue.get_nowait()))
            if data or now - written_at >= KEEPALIVE_PERIOD_SECONDS:
                written_at = now
                await self.send(data or KEEPALIVE_COMMENT)
            until_due = sent_at + period - timers.now()
            await timers.sleep(
                until_due if 0.0 < until_due < REPORT_PERIOD_SECONDS else REPORT_PERIOD_SECONDS
            )


def _is_due(report: LoadReport, sent: LoadReport | None, *, age: float, period: float) -> bool:
    if sent is None or (report.state, report.models) != (sent.state, sent.models):
        return True
    return report.sequence != sent.sequence and age >= period


@stream_request_body
class _OrdersHandler(StandinHandler):
    """Accept orders.

    Like common HTTP servers, close a connection whose body does not arrive within the time limit.
    """

    async def prepare(self) -> None:
        self._body = b""
        connection: Any = self.request.connection
        connection.set_body_timeout(self.faults.timers.to_real_seconds(BODY_TIMEOUT_SECONDS))
        await super().prepare()

    def data_received(self, chunk: bytes) -> None:
        self._body += chunk

    async def post(self) -> None:
        self._standin.check_sender(self.request.headers.get("Authorization", ""))
        self._standin.execute_order(msgspec.json.decode(self._body, type=Order))
        await self.respond({}, can_lose_response=True)


# The endpoints that keepers use to monitor an engine.
MONITORING_ROUTES: Final = (
    (r"/v1/events", _EventsHandler, {}),
    call_route(r"/v1/load", lambda standin, _: standin.lagged_report()),
    call_route(r"/v1/state", lambda standin, _: standin.state),
    call_route(r"/v1/holds", lambda standin, _: standin.core.holds()),
)

_ROUTES: Final = (
    *MONITORING_ROUTES,
    (COMPLETIONS_PATH, _StreamHandler, {"begin": EngineStandin.complete}),
    (r"/v1/resume", _StreamHandler, {"begin": EngineStandin.resume}),
    (r"/v1/parts", _StreamHandler, {"begin": EngineStandin.prefill}),
    (r"/v1/orders", _OrdersHandler, {}),
    call_route(r"/v1/kv/([^/]+)", lambda standin, _, chunk: standin.export(chunk)),
    call_route(r"/v1/holds/renew", lambda standin, body: standin.core.renew(body["ids"]) or {}),
    call_route(r"/v1/holds/release", lambda standin, body: standin.core.release(body["ids"]) or {}),
    call_route(r"/journal", lambda standin, _: standin.describe(), False),
)
