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
from tornado.iostream import StreamClosedError
from tornado.web import stream_request_body

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
from baobabpulley.ports.engine import CacheEvent
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
from baobabpulley.standins.faults import Faults
from baobabpulley.standins.faults import Refusal
from baobabpulley.standins.web import Standin
from baobabpulley.standins.web import StandinHandler
from baobabpulley.standins.web import call_route
from baobabpulley.standins.web import wait_for
from baobabpulley.timers import TimerService

JOURNAL_CAPACITY: Final = 200_000
LIFE_PERIOD: Final = 1.0
SWEEP_PERIOD: Final = 0.1
BODY_TIMEOUT: Final = 3.0


class KvAnswer(msgspec.Struct):
    """What an engine exports of a part: its size and the digest of the text up to its end."""

    tokens: int
    digest: int


@final
class EngineStandin(Standin):
    """One engine process."""

    __slots__ = (
        "_adapters",
        "_address",
        "_checks_fencing",
        "_client",
        "_credential",
        "_fence",
        "_id",
        "_incarnation",
        "_journal",
        "_loading",
        "_models",
        "_orders",
        "_timers",
        "core",
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
        credential: str = "",
        seed: int = 0,
    ) -> None:
        self._id = id
        self._address = address
        self._timers = timers
        self._checks_fencing = checks_fencing
        self._credential = credential
        self._incarnation = secrets.token_hex(4)
        self._models = dict.fromkeys(models, "1")
        self._loading: set[str] = set()
        self._adapters: dict[str, tuple[str, ...]] = {}
        self._orders: set[str] = set()
        self._fence = 0
        self.core = EngineCore(profile=profile, timers=timers, seed=seed)
        self._client = HttpClient()
        self._journal: deque[dict[str, Any]] = deque(maxlen=JOURNAL_CAPACITY)
        self.faults = Faults(timers)

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
        self.serve(self._address, *_ROUTES)
        self._timers.every(REPORT_PERIOD, self._report, name="report")
        self._timers.every(SWEEP_PERIOD, self.core.sweep, name="sweep")
        self._report()
        self._timers.after(0.0, self.core.run, name="engine")

    async def stop(self) -> None:
        """Close all connections and stop stepping."""
        await super().stop()
        self._timers.cancel_all()

    def describe(self) -> dict[str, Any]:
        """Return the memory held and everything that reached this engine, oldest first."""
        return {"held": self.core.memory_held, "lines": tuple(self._journal)}

    def note(self, kind: str, id: str, outcome: str, **detail: object) -> None:
        """Write a line of the journal."""
        line = {"at": self._timers.now(), "kind": kind, "id": id, "outcome": outcome, **detail}
        self._journal.append(line)

    async def admit(self, call: EngineCall) -> Job:
        """Start a completion, or a part if it asks for no tokens; may raise `Refusal`."""
        kind = "completion" if call.max_tokens else "part"
        try:
            self._check_fit(call.model)
            digest = await self.import_parts(call.imports)
            context = sum(part.tokens for part in call.imports) if call.max_tokens else 0
            job = self.core.start(call, seed_digest=digest, context=context)
        except Refusal as refusal:
            self.note(kind, call.attempt, refusal.code, request=call.request_id)
            raise
        self.note(kind, call.attempt, "started", request=call.request_id, cached=job.cached)
        return job

    def export(self, part: str) -> KvAnswer:
        """Return what other engines import of a part; raise `Refusal` if it is not here."""
        job = self.core.find(part)
        if job is None or not job.is_part or job.remaining > 0 or job.failed:
            raise Refusal("not_found", f"part {part} is not here", status=404)
        return KvAnswer(tokens=job.prompt_tokens, digest=job.digest)

    def part_of(self, job: Job) -> PartRef:
        """Return the reference by which other engines import a part."""
        return PartRef(part=job.call.attempt, address=self._address, tokens=job.prompt_tokens)

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

    def check_sender(self, authorization: str) -> None:
        """Refuse an order that does not carry the credential, if this engine has one."""
        if self._credential and authorization != f"Bearer {self._credential}":
            raise Refusal("unauthorized", "the order does not carry the credential", status=401)

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
                self.core.profile.load_seconds,
                lambda: self._finish_load(order),
                name=f"load {order.model}",
            )

    def _has(self, order: Order) -> bool:
        adapters = self._adapters.get(order.model, ())
        return (self._models.get(order.model), adapters) == (order.version, order.adapters)

    def _check_fit(self, model: str) -> None:
        if self.faults.leaving:
            raise Refusal("leaving", f"{self._id} is leaving")
        if model not in self._models:
            raise Refusal("unknown_model", f"{self._id} has not loaded {model}", status=404)

    def _finish_load(self, order: Order) -> None:
        self._loading.discard(order.model)
        self._models[order.model] = order.version
        self._adapters[order.model] = order.adapters
        self.note("loaded", order.id, order.model, fence=order.fence)

    def _report(self) -> None:
        self.core.report(self.state)


class _StreamHandler(StandinHandler):
    _standin: EngineStandin

    async def follow(self, job: Job, offset: int) -> None:
        """Send what a job makes from an index on; its reader may go at any time."""
        self.set_header("Content-Type", "text/event-stream")
        with contextlib.suppress(StreamClosedError), self._standin.core.reading(job):
            await self.send(SIGN_OF_LIFE)
            await self._send_tokens(job, offset)

    async def _send_tokens(self, job: Job, offset: int) -> None:
        attempt = job.call.attempt
        if self.faults.take("cross"):
            attempt = f"not-{attempt}"
        while not job.failed:
            ready = job.tokens[offset - job.call.offset :]
            if ready:
                event = TokenEvent(attempt=attempt, index=offset, tokens=tuple(ready))
                data = frame_event(msgspec.json.encode(event))
                await self.send(data * (2 if self.faults.take("repeat") else 1))
                offset += len(ready)
            elif job.ended:
                await self._send_end(job, attempt)
                return
            else:
                job.wake.clear()
                if not await wait_for(job.wake, LIFE_PERIOD, timers=self.faults.timers):
                    await self.send(SIGN_OF_LIFE)
        self.drop()

    async def _send_end(self, job: Job, attempt: str) -> None:
        if job.is_part:
            data = frame_event(msgspec.json.encode(self._standin.part_of(job)))
        else:
            usage = Usage(
                prompt_tokens=job.prompt_tokens,
                completion_tokens=job.next_index,
                cached_tokens=job.cached,
            )
            end = EndEvent(attempt=attempt, reason="length", usage=usage)
            data = frame_event(msgspec.json.encode(end)) + frame_event(DONE)
        await self.send(data, last=True)


class _CompletionHandler(_StreamHandler):
    async def post(self) -> None:
        call = self.json(EngineCall)
        job = await self._standin.admit(call)
        if self.faults.take("lose_answer"):
            self.drop()
            return
        await self.follow(job, call.offset)


class _ResumeHandler(_StreamHandler):
    async def post(self) -> None:
        body = self.json()
        job = self._standin.core.find(body["attempt"])
        if job is None or job.failed or body["offset"] < job.call.offset:
            raise Refusal("unknown_attempt", "nothing to resume", status=404)
        self._standin.note("resume", job.call.attempt, "started")
        await self.follow(job, body["offset"])


class _PartHandler(_StreamHandler):
    async def post(self) -> None:
        part = msgspec.structs.asdict(self.json(PartCall))
        own = {"attempt": part.pop("part"), "prompt": part.pop("text"), "max_tokens": 0, "seed": 0}
        call = EngineCall(**own, **part)
        await self.follow(await self._standin.admit(call), 0)


class _EventsHandler(StandinHandler):
    async def get(self) -> None:
        self.set_header("Content-Type", "text/event-stream")
        every = float(self.get_query_argument("every", "0"))
        core, timers = self._standin.core, self.faults.timers
        queue: asyncio.Queue[CacheEvent] = asyncio.Queue()
        core.subscribers.add(queue)
        sent: LoadReport | None = None
        sent_at = written_at = float("-inf")
        with contextlib.suppress(StreamClosedError):
            while not self.stream.closed():
                report, now = core.lagged_report(), timers.now()
                if _is_due(report, sent, age=now - sent_at, every=every):
                    sent, sent_at, written_at = report, now, now
                    await self.send(frame_event(msgspec.json.encode(LoadEvent(report=report))))
                elif now - written_at >= LIFE_PERIOD:
                    written_at = now
                    await self.send(SIGN_OF_LIFE)
                await timers.sleep(REPORT_PERIOD)
                while not queue.empty():
                    await self.send(frame_event(msgspec.json.encode(queue.get_nowait())))
        core.subscribers.discard(queue)


def _is_due(report: LoadReport, sent: LoadReport | None, *, age: float, every: float) -> bool:
    if sent is None or (report.state, report.models) != (sent.state, sent.models):
        return True
    return report.sequence != sent.sequence and age >= every


@stream_request_body
class _OrdersHandler(StandinHandler):
    """Orders; as HTTP servers do, close a connection whose body does not come in time."""

    async def prepare(self) -> None:
        self._body = b""
        connection: Any = self.request.connection
        connection.set_body_timeout(self.faults.timers.real(BODY_TIMEOUT))
        await super().prepare()

    def data_received(self, chunk: bytes) -> None:
        self._body += chunk

    async def post(self) -> None:
        self._standin.check_sender(self.request.headers.get("Authorization", ""))
        await self._standin.take_order(msgspec.json.decode(self._body, type=Order))
        await self.answer({}, loses=True)


_ROUTES: Final = (
    (r"/v1/completions", _CompletionHandler, {}),
    (r"/v1/resume", _ResumeHandler, {}),
    (r"/v1/parts", _PartHandler, {}),
    (r"/v1/events", _EventsHandler, {}),
    (r"/v1/orders", _OrdersHandler, {}),
    call_route(r"/v1/kv/([^/]+)", lambda own, _, part: own.export(part)),
    call_route(r"/v1/holds", lambda own, _: own.core.holds()),
    call_route(r"/v1/holds/renew", lambda own, body: own.core.renew(body["ids"]) or {}),
    call_route(r"/v1/holds/release", lambda own, body: own.core.release(body["ids"]) or {}),
    call_route(r"/v1/load", lambda own, _: own.core.lagged_report()),
    call_route(r"/v1/state", lambda own, _: own.state),
    call_route(r"/journal", lambda own, _: own.describe(), False),
)
