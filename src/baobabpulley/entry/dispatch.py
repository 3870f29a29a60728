"""Run completion requests: placement on an engine, retries, resumption and forwarding."""

from __future__ import annotations

import contextlib
import random
import secrets
from collections.abc import AsyncIterator
from typing import Final
from typing import final

from baobabpulley.adapters.metrics import EntryMetrics
from baobabpulley.entry.attempt_history import AttemptHistory
from baobabpulley.entry.backpressure import asked_pause
from baobabpulley.entry.delivery import CompletionProgress
from baobabpulley.entry.forwarding import RequestForwarder
from baobabpulley.entry.pacing import Pacer
from baobabpulley.entry.placements import Placement
from baobabpulley.entry.placer import Placer
from baobabpulley.errors import BaobabError
from baobabpulley.errors import DeadlineBeforeStart
from baobabpulley.errors import DeadlineExceeded
from baobabpulley.errors import NoUpstream
from baobabpulley.errors import Overloaded
from baobabpulley.errors import UnknownModel
from baobabpulley.errors import UpstreamBackpressure
from baobabpulley.errors import UpstreamLeaving
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamRefused
from baobabpulley.errors import UpstreamReserved
from baobabpulley.errors import UpstreamSkipped
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.model.decisions import DecisionRecord
from baobabpulley.model.decisions import Detail
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.requests import CompletionEvent
from baobabpulley.model.requests import CompletionRequest
from baobabpulley.model.requests import EndEvent
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.lanes import GANG
from baobabpulley.policy.lanes import LONG
from baobabpulley.policy.lanes import SHORT
from baobabpulley.policy.lanes import LanesSection
from baobabpulley.policy.lanes import lane_of
from baobabpulley.policy.retries import RetriesSection
from baobabpulley.policy.retries import RetryBudget
from baobabpulley.policy.retries import full_jitter
from baobabpulley.ports.engine import Engine
from baobabpulley.ports.engine import EngineCall
from baobabpulley.ports.gangs import GangRunner
from baobabpulley.timers import TimerService

RETRY_AFTER_SECONDS: Final = 1.0
# A request waits for an upstream that lost it for up to this multiple of `retries.suspect`.
SUSPECT_WAIT_RATIO: Final = 2.0
SUSPECT_POLL_SECONDS: Final = 0.1


@final
class Dispatcher:
    """Run completion requests against the engines of this failure domain."""

    __slots__ = (
        "_budgets",
        "_engine",
        "_forwarder",
        "_gangs",
        "_holder",
        "_lanes",
        "_metrics",
        "_pacer",
        "_placer",
        "_random",
        "_retries",
        "_timers",
        "_view",
    )

    def __init__(
        self,
        *,
        holder: str,
        engine: Engine,
        view: FleetView,
        placer: Placer,
        lanes: LanesSection,
        retries: RetriesSection,
        metrics: EntryMetrics,
        timers: TimerService,
        gangs: GangRunner | None = None,
        forwarder: RequestForwarder | None = None,
    ) -> None:
        self._holder = holder
        self._engine = engine
        self._view = view
        self._placer = placer
        self._lanes = lanes
        self._retries = retries
        self._gangs = gangs
        self._forwarder = forwarder
        self._pacer = Pacer(engine=engine, view=view, lanes=lanes, timers=timers)
        self._metrics = metrics
        self._timers = timers
        self._random = random.Random()
        self._budgets: dict[str, RetryBudget] = {}

    async def run(
        self, request: CompletionRequest, record: DecisionRecord
    ) -> AsyncIterator[CompletionEvent]:
        """Yield the events of the completion, each token once, over as many attempts as needed.

        Raises a typed error if the request is refused, its deadline passes, or no upstream is
        left to continue on. A request that no upstream of this failure domain can serve is
        forwarded to an entry of another failure domain, unless it was forwarded to this one or
        some of its tokens are delivered.
        """
        record.lane = self._lane(request)
        progress = CompletionProgress(
            max_tokens=request.max_tokens, offset=request.offset, delivered=request.delivered
        )
        history = AttemptHistory()
        runner = self._run_in_domain(request, record, progress, history)
        if record.lane == GANG and self._gangs is not None:
            runner = self._gangs.run(request, record)
        try:
            async with contextlib.aclosing(runner) as events:  # type: ignore[type-var]
                async for event in events:
                    yield event
            return
        except NoUpstream as error:
            forwarder = self._forwarder_for(request, progress)
            if forwarder is None:
                raise history.error_for_caller(error) from error
            self._add_step(request, record, "passed on", why=error.message)
            domain_error = error
        # No token was delivered and completions are idempotent, so a lost attempt is harmless.
        try:
            async with contextlib.aclosing(forwarder.run(request)) as events:
                async for event in events:
                    yield event
        except NoUpstream as error:
            # The reason found in this failure domain is more specific than the forwarder's.
            raise history.error_for_caller(domain_error) from error
        except BaobabError as error:
            raise history.error_for_caller(error) from error

    async def _run_in_domain(
        self,
        request: CompletionRequest,
        record: DecisionRecord,
        progress: CompletionProgress,
        history: AttemptHistory,
    ) -> AsyncIterator[CompletionEvent]:
        budget = self._budget(request)
        budget.earn()
        while True:
            self._check_deadline(request, history)
            placement = await self._place(request, record, progress, history)
            try:
                async with contextlib.aclosing(
                    self._attempt(request, placement, progress)
                ) as events:
                    async for event in events:
                        yield event
                return
            except UpstreamReserved as error:
                # Nothing was sent, so no retry is spent; requeue at the old position.
                self._add_step(request, record, error.code, upstream=placement.upstream.id)
                self._placer.pause_long_requests(placement.upstream.id)
                history.queued_at = placement.queued_at
                continue
            except UpstreamSkipped as error:
                # Nothing was sent here either, and the upstream gets no requests for now.
                self._add_step(request, record, error.code, upstream=placement.upstream.id)
                history.queued_at = placement.queued_at
                continue
            except (UpstreamRefused, UpstreamUnreachable, UpstreamLost) as error:
                upstream = placement.upstream
                self._add_step(request, record, error.code, upstream=upstream.id)
                history.add(upstream.id, error, started=progress.started)
                if progress.started:
                    # Already admitted and partly delivered, so only its deadline limits the wait.
                    history.queued_at = placement.queued_at
                self._mark_suspect(upstream, error)
                self._check_retry(request, history, budget, error)
            pause = full_jitter(self._random, pause=self._retries.pause, retry=history.failures - 1)
            await self._timers.sleep(pause)

    async def _place(
        self,
        request: CompletionRequest,
        record: DecisionRecord,
        progress: CompletionProgress,
        history: AttemptHistory,
    ) -> Placement:
        try:
            if history.lost and self._forwarder_for(request, progress) is None:
                placement = await self._place_including_lost(request, record, history)
            else:
                placement = await self._place_once(request, record, history)
        except NoUpstream:
            # `run` may still forward the request to another failure domain.
            raise
        except BaobabError as error:
            if history.failures and isinstance(error, Overloaded):
                # The other upstreams have no capacity for a request that already failed on one.
                raise NoUpstream(error.message, retry_after=error.retry_after) from error
            raise history.error_for_caller(error) from error
        self._add_step(
            request,
            record,
            "attempt",
            upstream=placement.upstream.id,
            waited=round(placement.waited, 4),
            cached=round(placement.cached_tokens),
        )
        return placement

    async def _place_once(
        self, request: CompletionRequest, record: DecisionRecord, history: AttemptHistory
    ) -> Placement:
        return await self._placer.place(
            request,
            lane=SHORT if record.lane == SHORT else LONG,
            excluded=history.excluded,
            queued_at=history.queued_at,
        )

    async def _place_including_lost(
        self, request: CompletionRequest, record: DecisionRecord, history: AttemptHistory
    ) -> Placement:
        """Place a request that cannot be forwarded, if need be on an upstream that lost it.

        A connection that broke or timed out does not prove that the upstream is down; a healthy
        upstream shows it by its next load report.
        """
        give_up_at = self._timers.now() + SUSPECT_WAIT_RATIO * self._retries.suspect
        while True:
            try:
                return await self._place_once(request, record, history)
            except NoUpstream:
                if self._timers.now() >= min(give_up_at, request.deadline):
                    raise
            history.lost.clear()
            await self._timers.sleep(SUSPECT_POLL_SECONDS)

    def _forwarder_for(
        self, request: CompletionRequest, progress: CompletionProgress
    ) -> RequestForwarder | None:
        """Return the forwarder, or ``None`` if the request must stay in this failure domain."""
        return None if request.forwarded or progress.started else self._forwarder

    def _budget(self, request: CompletionRequest) -> RetryBudget:
        document = self._view.settings_state.models.get(request.model)
        if document is None:
            raise UnknownModel(f"unknown model {request.model!r}")
        budget = self._budgets.get(document.service)
        if budget is None:
            budget = RetryBudget(share=self._retries.share, burst=self._retries.burst)
            self._budgets[document.service] = budget
        return budget

    def _mark_suspect(self, upstream: Upstream, error: BaobabError) -> None:
        if isinstance(error, UpstreamLeaving):
            self._view.mark_leaving(upstream.id)
        elif isinstance(error, UpstreamUnreachable | UpstreamLost) and asked_pause(error) is None:
            self._placer.suspect(upstream.id, seconds=self._retries.suspect)

    def _check_retry(
        self,
        request: CompletionRequest,
        history: AttemptHistory,
        budget: RetryBudget,
        error: BaobabError,
    ) -> None:
        """Raise the final error unless the request may be retried.

        What an upstream refused that asked for no requests costs no retry. Each upstream refuses
        so only what was sent before its first refusal arrived, and each request has few attempts.
        """
        if history.overloads > 1:
            raise history.error_for_caller(
                Overloaded(
                    f"two upstreams had no capacity: {error.message}",
                    retry_after=RETRY_AFTER_SECONDS,
                )
            ) from error
        if isinstance(error, UpstreamBackpressure):
            if history.failures >= self._retries.max_attempts:
                raise self._placer.backpressure_error(request) or history.error_for_caller(error)
            return
        if history.failures >= self._retries.max_attempts or not budget.spend():
            raise history.error_for_caller(error) from error

    def _lane(self, request: CompletionRequest) -> str:
        memory = max((load.report.memory_total for load in self._view.loads.values()), default=0)
        return lane_of(request, section=self._lanes, engine_memory=memory)

    async def _attempt(
        self, request: CompletionRequest, placement: Placement, progress: CompletionProgress
    ) -> AsyncIterator[CompletionEvent]:
        upstream = placement.upstream
        attempt = f"{request.request_id}.{secrets.token_hex(4)}"
        call = EngineCall(
            attempt=attempt,
            request_id=request.request_id,
            holder=self._holder,
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            seed=request.seed,
            priority=placement.attempt.priority,
            deadline=request.deadline - self._timers.now(),
            offset=progress.offset,
            delivered=progress.text,
        )
        self._metrics.attempts.labels(service=upstream.service).inc()
        ended = False
        try:
            async with (
                self._deadline(request, progress),
                contextlib.aclosing(self._pacer.complete(upstream, call)) as events,
            ):
                async for event in events:
                    self._placer.record_first_token(placement)
                    new_event = progress.accept(event)
                    if new_event is None:
                        continue
                    if isinstance(new_event, EndEvent):
                        ended = True
                        self._placer.record_usage(
                            placement, cached_tokens=new_event.usage.cached_tokens
                        )
                    yield new_event
        finally:
            self._placer.record_end(placement)
            if not ended:
                self._cancel_soon(upstream, attempt)

    @contextlib.asynccontextmanager
    async def _deadline(
        self, request: CompletionRequest, progress: CompletionProgress
    ) -> AsyncIterator[None]:
        try:
            async with self._timers.timeout(request.deadline - self._timers.now()):
                yield
        except TimeoutError:
            raise _deadline_error(progress) from None

    def _check_deadline(self, request: CompletionRequest, history: AttemptHistory) -> None:
        if self._timers.now() >= request.deadline:
            raise history.error_for_caller(
                DeadlineBeforeStart("the deadline passed before an engine accepted the request")
            )

    def _cancel_soon(self, upstream: Upstream, attempt: str) -> None:
        async def cancel() -> None:
            with contextlib.suppress(BaobabError):
                await self._engine.cancel(upstream, attempt=attempt)

        self._timers.after(0.0, cancel, name="cancel")

    def _add_step(
        self,
        request: CompletionRequest,
        record: DecisionRecord,
        what: str,
        **detail: Detail,
    ) -> None:
        record.add_step(what, at=self._timers.now() - request.arrived, **detail)


def _deadline_error(progress: CompletionProgress) -> DeadlineExceeded:
    return DeadlineExceeded(f"the deadline passed after {progress.offset} delivered tokens")
