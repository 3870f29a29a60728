"""A model engine over HTTP; see docs/PROTOCOLS.md."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from collections import deque
from typing import Any
from typing import Final
from typing import final

import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application
from tornado.web import RequestHandler
from tornado.web import stream_request_body

from baobabpulley.adapters.addresses import split_address
from baobabpulley.adapters.events import DONE
from baobabpulley.adapters.events import SIGN_OF_LIFE
from baobabpulley.adapters.events import frame_event
from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch
from baobabpulley.errors import BaobabError
from baobabpulley.model.requests import EndEvent
from baobabpulley.model.requests import TokenEvent
from baobabpulley.model.requests import Usage
from baobabpulley.model.upstreams import LoadReport
from baobabpulley.ports.engine import EngineCall
from baobabpulley.ports.engine import EngineState
from baobabpulley.ports.engine import LoadEvent
from baobabpulley.ports.engine import Order
from baobabpulley.ports.engine import PartCall
from baobabpulley.ports.engine import PartRef
from baobabpulley.standins.engine_core import REPORT_PERIOD
from baobabpulley.standins.engine_core import EngineCore
from baobabpulley.standins.engine_core import EngineProfile
from baobabpulley.standins.engine_core import Job
from baobabpulley.standins.engine_core import Refusal
from baobabpulley.standins.faults import Faults
from baobabpulley.standins.faults import FaultsHandler
from baobabpulley.timers import TimerService

MAX_BODY_BYTES: Final = 64 * 1024 * 1024
JOURNAL_CAPACITY: Final = 200_000
LIFE_PERIOD: Final = 1.0
SWEEP_PERIOD: Final = 0.1
BODY_TIMEOUT: Final = 3.0


class KvAnswer(msgspec.Struct):
    """What an engine exports of a part: its size and the digest of the text up to its end."""

    tokens: int
    digest: int


@final
class EngineStandin:
    """One engine process."""

    __slots__ = (
        "_adapters",
        "_address",
        "_checks_fencing",
        "_client",
        "_core",
        "_fence",
        "_id",
        "_incarnation",
        "_journal",
        "_loading",
        "_models",
        "_orders",
        "_server",
        "_timers",
        "faults",
    )

    def __init__(
        self,
        *,
        id: str,
        address: str,
        models: tuple[str, ...],
        profile: EngineProfile,
        timers: TimerService,
        checks_fencing: bool = True,
        seed: int = 0,
    ) -> None:
        self._id = id
        self._address = address
        self._timers = timers
        self._checks_fencing = checks_fencing
        self._incarnation = secrets.token_hex(4)
        self._models = dict.fromkeys(models, "1")
        self._loading: set[str] = set()
        self._adapters: dict[str, tuple[str, ...]] = {}
        self._orders: set[str] = set()
        self._fence = 0
        self._core = EngineCore(profile=profile, timers=timers, seed=seed)
        self._client = HttpClient()
        self._journal: deque[dict[str, Any]] = deque(maxlen=JOURNAL_CAPACITY)
        self._server: HTTPServer | None = None
        self.faults = Faults(timers)

    @property
    def core(self) -> EngineCore:
        """The scheduler."""
        return self._core

    @property
    def timers(self) -> TimerService:
        """The engine's clock."""
        return self._timers

    @property
    def journal(self) -> tuple[dict[str, Any], ...]:
        """Everything that reached this engine, oldest first."""
        return tuple(self._journal)

    @property
    def state(self) -> EngineState:
        """What is loaded."""
        return EngineState(
            upstream=self._id,
            incarnation=self._incarnation,
            state="leaving" if self.faults.leaving else "live",
            fence=self._fence,
            models=dict(self._models),
            loading=tuple(sorted(self._loading)),
            adapters=dict(self._adapters),
        )

    def start(self) -> None:
        """Listen and begin to step; the event loop must run."""
        application = Application(_routes(self))
        self._server = HTTPServer(application, max_body_size=MAX_BODY_BYTES)
        host, port = split_address(self._address)
        self._server.listen(port, host)
        self._timers.every(REPORT_PERIOD, self._report, name="report")
        self._timers.every(SWEEP_PERIOD, self._core.sweep, name="sweep")
        self._report()
        asyncio.get_running_loop().create_task(self._core.run(), name="engine")

    def note(self, kind: str, id: str, outcome: str, **detail: object) -> None:
        """Write a line of the journal."""
        line = {"at": self._timers.now(), "kind": kind, "id": id, "outcome": outcome, **detail}
        self._journal.append(line)

    def check_fit(self, model: str) -> None:
        """Raise `Refusal` if new work for a model cannot be taken at all."""
        if self.faults.leaving:
            raise Refusal("leaving", f"{self._id} is leaving")
        if model not in self._models:
            raise Refusal("unknown_model", f"{self._id} has not loaded {model}", status=404)

    async def import_parts(self, imports: tuple[PartRef, ...]) -> int:
        """Fetch the parts' exports; return the digest of the text up to their end."""
        digest = 0
        for part in imports:
            try:
                status, body = await fetch(
                    self._client,
                    address=part.address,
                    method="GET",
                    path=f"/v1/kv/{part.part}",
                    timeout=self._timers.real(2.0),
                )
            except BaobabError as error:
                raise Refusal("import_failed", str(error), status=409) from error
            if status != 200:
                raise Refusal("import_failed", f"part {part.part} is not there", status=409)
            digest = msgspec.json.decode(body, type=KvAnswer).digest
        return digest

    async def take_order(self, order: Order) -> None:
        """Carry out an order once; refuse one with an old fencing number if this engine checks."""
        if self._checks_fencing and order.fence < self._fence:
            self.note("order", order.id, "stale_fence", fence=order.fence, model=order.model)
            raise Refusal("stale_fence", f"fence {order.fence} is below {self._fence}", status=409)
        self._fence = max(self._fence, order.fence) if self._checks_fencing else order.fence
        known = order.id in self._orders
        self.note("order", order.id, "known" if known else "taken", fence=order.fence)
        if known:
            return
        self._orders.add(order.id)
        if order.kind == "unload":
            self._models.pop(order.model, None)
            self._adapters.pop(order.model, None)
        elif order.kind == "load" and not self._has(order):
            self._loading.add(order.model)
            self._timers.after(
                self._core.profile.load_seconds,
                lambda: self._finish_load(order),
                name=f"load {order.model}",
            )

    def _has(self, order: Order) -> bool:
        adapters = self._adapters.get(order.model, ())
        return (self._models.get(order.model), adapters) == (order.version, order.adapters)

    def _finish_load(self, order: Order) -> None:
        self._loading.discard(order.model)
        self._models[order.model] = order.version
        self._adapters[order.model] = order.adapters
        self.note("loaded", order.id, order.model, fence=order.fence)

    def _report(self) -> None:
        self._core.report(
            upstream=self._id,
            incarnation=self._incarnation,
            models=tuple(sorted(self._models)),
            state="leaving" if self.faults.leaving else "live",
        )


class _Handler(RequestHandler):
    """Common parts of all handlers: faults, refusals, streaming."""

    def initialize(self, engine: EngineStandin) -> None:
        self._engine = engine
        self._opened = engine.timers.now()

    async def prepare(self) -> None:
        faults = self._engine.faults
        if faults.delay:
            await self._engine.timers.sleep(faults.delay)
        if faults.down or faults.take("lose_request"):
            self._drop()

    def refuse(self, refusal: Refusal) -> None:
        """Answer that the call did not run."""
        self.set_status(refusal.status)
        error = {"code": refusal.code, "message": str(refusal), "ran": False}
        self.finish({"error": error})

    async def send(self, data: bytes) -> None:
        """Write and flush, unless this connection has gone silent."""
        if self._engine.faults.silences(self._opened):
            await asyncio.Event().wait()
        self.write(data)
        await self.flush()

    def _drop(self) -> None:
        self._finished = True
        connection = self.request.connection
        if connection is not None:
            connection.stream.close()  # type: ignore[attr-defined]

    def on_finish(self) -> None:
        """Leave nothing open."""


class _CompletionHandler(_Handler):
    async def post(self) -> None:
        call = msgspec.json.decode(self.request.body, type=EngineCall)
        engine = self._engine
        try:
            engine.check_fit(call.model)
            digest = await engine.import_parts(call.imports)
            context = sum(part.tokens for part in call.imports)
            job = engine.core.start_completion(call, seed_digest=digest, context=context)
        except Refusal as refusal:
            engine.note("completion", call.attempt, refusal.code, request=call.request_id)
            self.refuse(refusal)
            return
        engine.note(
            "completion", call.attempt, "started", request=call.request_id, cached=job.cached
        )
        if engine.faults.take("lose_answer"):
            self._drop()
            engine.core.detach(job)
            return
        await self.stream(job, call.offset)

    async def stream(self, job: Job, offset: int) -> None:
        """Send the tokens of a job from an index on, then its usage."""
        self.set_header("Content-Type", "text/event-stream")
        faults = self._engine.faults
        attempt = f"not-{job.id}" if faults.take("cross") else job.id
        job.attached = True
        try:
            await self.send(SIGN_OF_LIFE)
            while True:
                ready = job.tokens[offset - job.offset :]
                if ready:
                    event = TokenEvent(attempt=attempt, index=offset, tokens=tuple(ready))
                    data = frame_event(msgspec.json.encode(event))
                    await self.send(data * (2 if faults.take("repeat") else 1))
                    offset += len(ready)
                elif job.failed:
                    self._drop()
                    return
                elif job.ended:
                    break
                else:
                    await self._wait(job)
            usage = Usage(
                prompt_tokens=job.prompt_tokens,
                completion_tokens=job.next_index,
                cached_tokens=job.cached,
            )
            end = EndEvent(attempt=attempt, reason="length", usage=usage)
            await self.send(frame_event(msgspec.json.encode(end)) + frame_event(DONE))
            await self.finish()
        except StreamClosedError:
            pass
        finally:
            if not job.ended:
                self._engine.core.detach(job)

    async def _wait(self, job: Job) -> None:
        job.wake.clear()
        try:
            async with self._engine.timers.limit(LIFE_PERIOD):
                await job.wake.wait()
        except TimeoutError:
            await self.send(SIGN_OF_LIFE)

    def on_connection_close(self) -> None:
        self._opened = float("-inf")


class _ResumeHandler(_CompletionHandler):
    async def post(self) -> None:
        body = msgspec.json.decode(self.request.body, type=dict[str, Any])
        job = self._engine.core.find(body["attempt"])
        if job is None or job.failed or body["offset"] < job.offset:
            self.refuse(Refusal("unknown_attempt", "nothing to resume", status=404))
            return
        self._engine.note("resume", job.id, "started")
        await self.stream(job, body["offset"])


class _PartHandler(_Handler):
    async def post(self) -> None:
        call = msgspec.json.decode(self.request.body, type=PartCall)
        engine = self._engine
        try:
            engine.check_fit(call.model)
            digest = await engine.import_parts(call.imports)
            job = engine.core.start_part(call, seed_digest=digest)
        except Refusal as refusal:
            engine.note("part", call.part, refusal.code, request=call.request_id)
            self.refuse(refusal)
            return
        engine.note("part", call.part, "started", request=call.request_id)
        with contextlib.suppress(StreamClosedError):
            await self._answer(job)
        engine.core.detach(job)

    async def _answer(self, job: Job) -> None:
        await self.send(SIGN_OF_LIFE)
        while not job.ended:
            job.wake.clear()
            try:
                async with self._engine.timers.limit(LIFE_PERIOD):
                    await job.wake.wait()
            except TimeoutError:
                await self.send(SIGN_OF_LIFE)
        if job.failed:
            self._drop()
            return
        address = self._engine._address
        ref = PartRef(part=job.id, address=address, tokens=job.prompt_tokens)
        await self.send(frame_event(msgspec.json.encode(ref)))
        await self.finish()


class _KvHandler(_Handler):
    def get(self, part: str) -> None:
        job = self._engine.core.find(part)
        if job is None or not job.is_part or job.remaining > 0 or job.failed:
            self.refuse(Refusal("not_found", f"part {part} is not here", status=404))
            return
        self.finish(msgspec.json.encode(KvAnswer(tokens=job.prompt_tokens, digest=job.digest)))


class _HoldsHandler(_Handler):
    def get(self) -> None:
        self.finish(msgspec.json.encode(self._engine.core.holds()))

    def post(self, verb: str) -> None:
        ids = tuple(msgspec.json.decode(self.request.body, type=dict[str, Any])["ids"])
        if verb == "renew":
            self._engine.core.renew(ids)
        else:
            for id in ids:
                self._engine.core.free(id)
        self.finish({})


class _LoadHandler(_Handler):
    def get(self) -> None:
        self.finish(msgspec.json.encode(self._engine.core.lagged_report()))


class _EventsHandler(_Handler):
    async def get(self) -> None:
        self.set_header("Content-Type", "text/event-stream")
        core = self._engine.core
        queue = core.subscribe()
        every = float(self.get_query_argument("every", "0"))
        timers = self._engine.timers
        sent: LoadReport | None = None
        sent_at = written_at = float("-inf")
        try:
            while not self.request.connection.stream.closed():  # type: ignore[union-attr]
                report = core.lagged_report()
                now = timers.now()
                if report is not None and _is_due(report, sent, age=now - sent_at, every=every):
                    sent, sent_at, written_at = report, now, now
                    await self.send(frame_event(msgspec.json.encode(LoadEvent(report=report))))
                elif now - written_at >= LIFE_PERIOD:
                    written_at = now
                    await self.send(SIGN_OF_LIFE)
                with contextlib.suppress(TimeoutError):
                    async with timers.limit(REPORT_PERIOD):
                        event = await queue.get()
                        await self.send(frame_event(msgspec.json.encode(event)))
        except StreamClosedError:
            pass
        finally:
            core.unsubscribe(queue)


def _is_due(report: LoadReport, sent: LoadReport | None, *, age: float, every: float) -> bool:
    if sent is None or (report.state, report.models) != (sent.state, sent.models):
        return True
    return report.sequence != sent.sequence and age >= every


@stream_request_body
class _OrdersHandler(_Handler):
    """Orders; as HTTP servers do, close a connection whose body does not come in time."""

    async def prepare(self) -> None:
        self._body = b""
        connection = self.request.connection
        connection.set_body_timeout(self._engine.timers.real(BODY_TIMEOUT))  # type: ignore[union-attr]
        await super().prepare()

    def data_received(self, chunk: bytes) -> None:
        self._body += chunk

    async def post(self) -> None:
        order = msgspec.json.decode(self._body, type=Order)
        try:
            await self._engine.take_order(order)
        except Refusal as refusal:
            self.refuse(refusal)
            return
        if self._engine.faults.take("lose_answer"):
            self._drop()
            return
        self.finish({})


class _StateHandler(_Handler):
    def get(self) -> None:
        self.finish(msgspec.json.encode(self._engine.state))


class _JournalHandler(_Handler):
    async def prepare(self) -> None:
        """The journal is for tests and has no faults."""

    def get(self) -> None:
        journal = {"held": self._engine.core.memory_held, "lines": self._engine.journal}
        self.finish(msgspec.json.encode(journal))


def _routes(engine: EngineStandin) -> list[Any]:
    own = {"engine": engine}
    return [
        (r"/v1/completions", _CompletionHandler, own),
        (r"/v1/resume", _ResumeHandler, own),
        (r"/v1/parts", _PartHandler, own),
        (r"/v1/kv/([^/]+)", _KvHandler, own),
        (r"/v1/holds", _HoldsHandler, own),
        (r"/v1/holds/(renew|release)", _HoldsHandler, own),
        (r"/v1/load", _LoadHandler, own),
        (r"/v1/events", _EventsHandler, own),
        (r"/v1/orders", _OrdersHandler, own),
        (r"/v1/state", _StateHandler, own),
        (r"/journal", _JournalHandler, own),
        (r"/faults", FaultsHandler, {"faults": engine.faults}),
    ]
