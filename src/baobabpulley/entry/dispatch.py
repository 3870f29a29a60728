"""From an admitted request to its whole answer: choice of upstream, attempts, continuation."""

from __future__ import annotations

import contextlib
import random
import secrets
from collections.abc import AsyncIterator
from typing import Final
from typing import final

from baobabpulley.adapters.metrics import EntryMetrics
from baobabpulley.entry.delivery import AnswerProgress
from baobabpulley.entry.pacing import Pacer
from baobabpulley.entry.passing import EntryPasser
from baobabpulley.entry.placer import Placement
from baobabpulley.entry.placer import Placer
from baobabpulley.errors import BaobabError
from baobabpulley.errors import DeadlineBeforeStart
from baobabpulley.errors import DeadlineExceeded
from baobabpulley.errors import NoUpstream
from baobabpulley.errors import Overloaded
from baobabpulley.errors import UnknownModel
from baobabpulley.errors import UpstreamLeaving
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamOutOfMemory
from baobabpulley.errors import UpstreamOverloaded
from baobabpulley.errors import UpstreamRefused
from baobabpulley.errors import UpstreamReserved
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

RETRY_AFTER: Final = 1.0
# How many times `suspect` a request waits for an upstream that lost it, and how often it looks.
SUSPECTS_WAITED_FOR: Final = 2.0
SUSPECTS_PERIOD: Final = 0.1


class _History:
    """The failed attempts of one request, and whether one of them may have run."""

    __slots__ = ("failures", "lost", "may_have_run", "overloads", "refused", "since")

    def __init__(self) -> None:
        # When the request came to its lane, once it has to go back there.
        self.since: float | None = None
        self.refused: set[str] = set()
        self.lost: set[str] = set()
        self.failures = 0
        self.overloads = 0
        self.may_have_run = False

    @property
    def excluded(self) -> frozenset[str]:
        """Upstreams that have failed the request."""
        return frozenset(self.refused | self.lost)

    def add(self, upstream: str, error: BaobabError, *, started: bool) -> None:
        """Count a failed attempt."""
        (self.refused if isinstance(error, UpstreamRefused) else self.lost).add(upstream)
        self.failures += 1
        self.overloads += isinstance(error, UpstreamOverloaded | UpstreamOutOfMemory)
        self.may_have_run = self.may_have_run or started or error.ran is not False

    def honest(self, error: BaobabError) -> BaobabError:
        """Return the error, or one that does not say "not run" if an attempt may have run."""
        if error.ran is not False or not self.may_have_run:
            return error
        if isinstance(error, DeadlineExceeded):
            return DeadlineExceeded(error.message)
        return UpstreamLost(f"an attempt was lost, and it cannot be repeated: {error.message}")


@final
class Dispatcher:
    """Run completion requests against the engines of this failure domain."""

    __slots__ = (
        "_budgets",
        "_engine",
        "_gangs",
        "_holder",
        "_lanes",
        "_metrics",
        "_pacer",
        "_passer",
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
        passer: EntryPasser | None = None,
    ) -> None:
        self._holder = holder
        self._engine = engine
        self._view = view
        self._placer = placer
        self._lanes = lanes
        self._retries = retries
        self._gangs = gangs
        self._passer = passer
        self._pacer = Pacer(engine=engine, view=view, lanes=lanes, timers=timers)
        self._metrics = metrics
        self._timers = timers
        self._random = random.Random()
        self._budgets: dict[str, RetryBudget] = {}

    async def run(
        self, request: CompletionRequest, record: DecisionRecord
    ) -> AsyncIterator[CompletionEvent]:
        """Yield the answer, each token once, whatever attempts it takes.

        Raises a typed error if the request is refused, its deadline passes, or no upstream is
        left to go on with. A request that no upstream of this failure domain fits is passed to
        an entry of another one, unless it has been passed already.
        """
        record.lane = self._lane(request)
        delivery = AnswerProgress(
            max_tokens=request.max_tokens, offset=request.offset, delivered=request.delivered
        )
        history = _History()
        runner = self._run_here(request, record, delivery, history)
        if record.lane == GANG and self._gangs is not None:
            runner = self._gangs.run(request, record)
        try:
            async with contextlib.aclosing(runner) as events:  # type: ignore[type-var]
                async for event in events:
                    yield event
            return
        except NoUpstream as error:
            passer = self._passer_for(request, delivery)
            if passer is None:
                raise history.honest(error) from error
            self._note(request, record, "passed on", why=error.message)
            refusal = error
        # Nothing was delivered and completions are idempotent, so a lost attempt does not matter.
        try:
            async with contextlib.aclosing(passer.run(request)) as events:
                async for event in events:
                    yield event
        except NoUpstream as error:
            # This failure domain's own reason says more than that the others had none either.
            raise history.honest(refusal) from error
        except BaobabError as error:
            raise history.honest(error) from error

    async def _run_here(
        self,
        request: CompletionRequest,
        record: DecisionRecord,
        delivery: AnswerProgress,
        history: _History,
    ) -> AsyncIterator[CompletionEvent]:
        budget = self._budget(request)
        budget.earn()
        while True:
            self._check_deadline(request, history)
            placement = await self._place(request, record, delivery, history)
            try:
                async with contextlib.aclosing(
                    self._attempt(request, placement, delivery)
                ) as events:
                    async for event in events:
                        yield event
                return
            except UpstreamReserved as error:
                # Nothing was sent, so this spends no retry: back to the lane, in its old place.
                self._note(request, record, error.code, upstream=placement.upstream.id)
                self._placer.pause_long_requests(placement.upstream.id)
                history.since = placement.queued_at
                continue
            except (UpstreamRefused, UpstreamUnreachable, UpstreamLost) as error:
                upstream = placement.upstream
                self._note(request, record, error.code, upstream=upstream.id)
                history.add(upstream.id, error, started=delivery.started)
                if delivery.started:
                    # Admitted once and half answered, so only its deadline bounds its wait.
                    history.since = placement.queued_at
                self._judge(upstream, error)
                self._check_retry(history, budget, error)
            pause = full_jitter(self._random, pause=self._retries.pause, retry=history.failures - 1)
            await self._timers.sleep(pause)

    async def _place(
        self,
        request: CompletionRequest,
        record: DecisionRecord,
        delivery: AnswerProgress,
        history: _History,
    ) -> Placement:
        try:
            if history.lost and self._passer_for(request, delivery) is None:
                placement = await self._place_even_where_lost(request, record, history)
            else:
                placement = await self._place_once(request, record, history)
        except NoUpstream:
            # Another failure domain may still do it; `run` knows.
            raise
        except BaobabError as error:
            if history.failures and isinstance(error, Overloaded):
                # What is left of this failure domain is too little for work that it had begun.
                raise NoUpstream(error.message, retry_after=error.retry_after) from error
            raise history.honest(error) from error
        self._note(
            request,
            record,
            "attempt",
            upstream=placement.upstream.id,
            waited=round(placement.waited, 4),
            cached=round(placement.cached_tokens),
        )
        return placement

    async def _place_once(
        self, request: CompletionRequest, record: DecisionRecord, history: _History
    ) -> Placement:
        return await self._placer.place(
            request,
            lane=SHORT if record.lane == SHORT else LONG,
            excluded=history.excluded,
            queued_at=history.since,
        )

    async def _place_even_where_lost(
        self, request: CompletionRequest, record: DecisionRecord, history: _History
    ) -> Placement:
        """Place a request that can go nowhere else; wait for an upstream that lost it if need be.

        A connection that broke or fell silent does not tell that the upstream is gone, and one
        that is well again says so by its next report.
        """
        ends = self._timers.now() + SUSPECTS_WAITED_FOR * self._retries.suspect
        while True:
            try:
                return await self._place_once(request, record, history)
            except NoUpstream:
                if self._timers.now() >= min(ends, request.deadline):
                    raise
            history.lost.clear()
            await self._timers.sleep(SUSPECTS_PERIOD)

    def _passer_for(
        self, request: CompletionRequest, delivery: AnswerProgress
    ) -> EntryPasser | None:
        """Return what passes the request to another failure domain, ``None`` if it has to stay."""
        return None if request.forwarded or delivery.started else self._passer

    def _budget(self, request: CompletionRequest) -> RetryBudget:
        document = self._view.settings_state.models.get(request.model)
        if document is None:
            raise UnknownModel(f"no model is called {request.model!r}")
        budget = self._budgets.get(document.service)
        if budget is None:
            budget = RetryBudget(share=self._retries.share, burst=self._retries.burst)
            self._budgets[document.service] = budget
        return budget

    def _judge(self, upstream: Upstream, error: BaobabError) -> None:
        if isinstance(error, UpstreamLeaving):
            self._view.mark_leaving(upstream.id)
        elif isinstance(error, UpstreamUnreachable | UpstreamLost):
            self._placer.suspect(upstream.id, seconds=self._retries.suspect)

    def _check_retry(self, history: _History, budget: RetryBudget, error: BaobabError) -> None:
        """Raise the final error unless the request may be tried again."""
        if history.overloads > 1:
            raise history.honest(
                Overloaded(
                    f"two upstreams in turn had no room: {error.message}", retry_after=RETRY_AFTER
                )
            ) from error
        if history.failures >= self._retries.max_attempts or not budget.spend():
            raise history.honest(error) from error

    def _lane(self, request: CompletionRequest) -> str:
        memory = max((load.report.memory_total for load in self._view.loads.values()), default=0)
        return lane_of(request, section=self._lanes, engine_memory=memory)

    async def _attempt(
        self, request: CompletionRequest, placement: Placement, delivery: AnswerProgress
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
            offset=delivery.offset,
            delivered=delivery.text,
        )
        self._metrics.attempts.labels(service=upstream.service).inc()
        ended = False
        try:
            async with (
                self._deadline(request, delivery),
                contextlib.aclosing(self._pacer.complete(upstream, call)) as events,
            ):
                async for event in events:
                    self._placer.record_first_token(placement)
                    checked = delivery.take(event)
                    if checked is None:
                        continue
                    if isinstance(checked, EndEvent):
                        ended = True
                        self._placer.record_usage(
                            placement, cached_tokens=checked.usage.cached_tokens
                        )
                    yield checked
        finally:
            self._placer.record_end(placement)
            if not ended:
                self._cancel_soon(upstream, attempt)

    @contextlib.asynccontextmanager
    async def _deadline(
        self, request: CompletionRequest, delivery: AnswerProgress
    ) -> AsyncIterator[None]:
        try:
            async with self._timers.timeout(request.deadline - self._timers.now()):
                yield
        except TimeoutError:
            raise _deadline_error(delivery) from None

    def _check_deadline(self, request: CompletionRequest, history: _History) -> None:
        if self._timers.now() >= request.deadline:
            raise history.honest(
                DeadlineBeforeStart("the deadline passed before an engine took the request")
            )

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
        **detail: Detail,
    ) -> None:
        record.add_step(what, at=self._timers.now() - request.arrived, **detail)


def _deadline_error(delivery: AnswerProgress) -> DeadlineExceeded:
    return DeadlineExceeded(f"the deadline passed after {delivery.offset} tokens")
