"""From an admitted request to its whole answer: choice of upstream, attempts, continuation."""

from __future__ import annotations

import contextlib
import secrets
from collections import defaultdict
from collections.abc import AsyncIterator
from typing import Final
from typing import final

from baobabpulley.adapters.metrics import EntryMetrics
from baobabpulley.errors import BaobabError
from baobabpulley.errors import DeadlineBeforeStart
from baobabpulley.errors import DeadlineExceeded
from baobabpulley.errors import NoUpstream
from baobabpulley.errors import UnknownModel
from baobabpulley.errors import UpstreamLeaving
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamRefused
from baobabpulley.errors import UpstreamUnreached
from baobabpulley.model.decisions import DecisionRecord
from baobabpulley.model.decisions import Step
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.requests import AnswerEvent
from baobabpulley.model.requests import CompletionRequest
from baobabpulley.model.requests import EndEvent
from baobabpulley.model.requests import TokenEvent
from baobabpulley.model.requests import Usage
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.lanes import GANG
from baobabpulley.policy.lanes import SHORT
from baobabpulley.policy.lanes import LanesSection
from baobabpulley.policy.lanes import lane_of
from baobabpulley.policy.routing import Candidate
from baobabpulley.policy.routing import RoutingPolicy
from baobabpulley.ports.engine import PRIORITY_LONG
from baobabpulley.ports.engine import PRIORITY_SHORT
from baobabpulley.ports.engine import Engine
from baobabpulley.ports.engine import EngineCall
from baobabpulley.ports.gangs import GangRunner
from baobabpulley.timers import TimerService

MAX_ATTEMPTS: Final = 4


@final
class Delivery:
    """What the caller has of an answer."""

    __slots__ = ("_before", "_offset", "started", "tokens")

    def __init__(self, request: CompletionRequest) -> None:
        self._before = request.delivered
        self._offset = request.offset
        self.tokens: list[str] = []
        self.started = request.offset > 0

    @property
    def offset(self) -> int:
        """Index of the token that the caller needs next."""
        return self._offset + len(self.tokens)

    @property
    def text(self) -> str:
        """All tokens that the caller has."""
        return self._before + "".join(self.tokens)


@final
class Dispatcher:
    """Run completion requests against the engines of this failure domain."""

    __slots__ = (
        "_engine",
        "_gangs",
        "_holder",
        "_in_flight",
        "_lanes",
        "_metrics",
        "_policy",
        "_timers",
        "_view",
    )

    def __init__(
        self,
        *,
        holder: str,
        engine: Engine,
        view: FleetView,
        policy: RoutingPolicy,
        lanes: LanesSection,
        metrics: EntryMetrics,
        timers: TimerService,
        gangs: GangRunner | None = None,
    ) -> None:
        self._holder = holder
        self._engine = engine
        self._view = view
        self._policy = policy
        self._lanes = lanes
        self._gangs = gangs
        self._metrics = metrics
        self._timers = timers
        self._in_flight: dict[str, int] = defaultdict(int)

    async def run(
        self, request: CompletionRequest, record: DecisionRecord
    ) -> AsyncIterator[AnswerEvent]:
        """Yield the answer, each token once, whatever attempts it takes.

        Raises a typed error if the request is refused, its deadline passes, or no upstream is
        left to go on with.
        """
        record.lane = self._lane(request)
        if record.lane == GANG and self._gangs is not None:
            async for event in self._gangs.run(request, record):
                yield event
            return
        delivery = Delivery(request)
        excluded: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            self._check_deadline(request, delivery)
            upstream = self._choose(request, excluded)
            self._note(request, record, "attempt", upstream=upstream.id, offset=delivery.offset)
            try:
                async with contextlib.aclosing(
                    self._attempt(request, upstream, delivery)
                ) as events:
                    async for event in events:
                        yield event
                return
            except (UpstreamRefused, UpstreamUnreached, UpstreamLost) as error:
                excluded.add(upstream.id)
                self._note(request, record, error.code, upstream=upstream.id)
                if isinstance(error, UpstreamLeaving):
                    self._view.mark_leaving(upstream.id)
                last: BaobabError = error
        raise last

    def _lane(self, request: CompletionRequest) -> str:
        memory = max((load.report.memory_total for load in self._view.loads.values()), default=0)
        return lane_of(request, section=self._lanes, engine_memory=memory)

    def _choose(self, request: CompletionRequest, excluded: set[str]) -> Upstream:
        document = self._view.book.models.get(request.model)
        if document is None:
            raise UnknownModel(f"no model is called {request.model!r}")
        live = self._view.live(document.service)
        fit = [upstream for upstream in live if upstream.id not in excluded]
        if not fit:
            raise NoUpstream(f"no upstream of {document.service} can take the request now")
        candidates = [self._candidate(upstream) for upstream in fit]
        return self._policy.choose(candidates, prompt_tokens=request.prompt_tokens).upstream

    def _candidate(self, upstream: Upstream) -> Candidate:
        return Candidate(
            upstream=upstream,
            load=self._view.loads.get(upstream.id),
            in_flight=self._in_flight[upstream.id],
        )

    async def _attempt(
        self, request: CompletionRequest, upstream: Upstream, delivery: Delivery
    ) -> AsyncIterator[AnswerEvent]:
        attempt = f"{request.request_id}.{secrets.token_hex(4)}"
        call = EngineCall(
            attempt=attempt,
            request_id=request.request_id,
            holder=self._holder,
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            seed=request.seed,
            priority=PRIORITY_SHORT if self._lane(request) == SHORT else PRIORITY_LONG,
            deadline=request.deadline - self._timers.now(),
            offset=delivery.offset,
            delivered=delivery.text,
        )
        self._metrics.attempts.labels(service=upstream.service).inc()
        self._in_flight[upstream.id] += 1
        ended = False
        try:
            async with (
                self._deadline(request, delivery),
                contextlib.aclosing(self._engine.complete(upstream, call)) as events,
            ):
                async for event in events:
                    checked = _check_order(event, delivery, request)
                    if checked is None:
                        continue
                    ended = isinstance(checked, EndEvent)
                    yield checked
        finally:
            self._in_flight[upstream.id] -= 1
            if not ended:
                self._cancel_soon(upstream, attempt)

    @contextlib.asynccontextmanager
    async def _deadline(
        self, request: CompletionRequest, delivery: Delivery
    ) -> AsyncIterator[None]:
        try:
            async with self._timers.limit(request.deadline - self._timers.now()):
                yield
        except TimeoutError:
            raise _deadline_error(delivery) from None

    def _check_deadline(self, request: CompletionRequest, delivery: Delivery) -> None:
        if self._timers.now() >= request.deadline:
            if delivery.started:
                raise _deadline_error(delivery)
            raise DeadlineBeforeStart("the deadline passed before an engine took the request")

    def _cancel_soon(self, upstream: Upstream, attempt: str) -> None:
        async def cancel() -> None:
            with contextlib.suppress(BaobabError):
                await self._engine.cancel(upstream, attempt=attempt)

        self._timers.after(0.0, cancel, name="cancel")

    def _note(
        self,
        request: CompletionRequest,
        record: DecisionRecord,
        what: str,
        **detail: str | int | float | bool | None,
    ) -> None:
        at = self._timers.now() - request.arrived
        record.steps.append(Step(at=round(at, 4), what=what, detail=detail))


def _deadline_error(delivery: Delivery) -> DeadlineExceeded:
    return DeadlineExceeded(f"the deadline passed after {delivery.offset} tokens")


def _check_order(
    event: AnswerEvent, delivery: Delivery, request: CompletionRequest
) -> AnswerEvent | None:
    """Return what of an event is new to the caller; raise `UpstreamLost` on a gap."""
    if isinstance(event, EndEvent):
        if delivery.offset != event.usage.completion_tokens:
            raise UpstreamLost(
                f"the answer ended at {event.usage.completion_tokens} tokens, "
                f"but {delivery.offset} arrived"
            )
        usage = Usage(
            prompt_tokens=event.usage.prompt_tokens,
            completion_tokens=delivery.offset,
            cached_tokens=event.usage.cached_tokens,
        )
        return EndEvent(attempt=event.attempt, reason=event.reason, usage=usage)
    if event.index > delivery.offset:
        raise UpstreamLost(f"tokens {delivery.offset} to {event.index - 1} are missing")
    fresh = event.tokens[delivery.offset - event.index :]
    if not fresh:
        return None
    if delivery.offset + len(fresh) > request.max_tokens:
        raise UpstreamLost(f"more than {request.max_tokens} tokens arrived")
    index = delivery.offset
    delivery.tokens += fresh
    delivery.started = True
    return TokenEvent(attempt=event.attempt, index=index, tokens=fresh)
