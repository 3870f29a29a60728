"""Calls to the upstreams of plain services: idempotent ones, and ones that run at most once."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections import defaultdict
from typing import Final
from typing import final

import msgspec

from baobabpulley.adapters.metrics import EntryMetrics
from baobabpulley.entry.backpressure import EntryBackpressure
from baobabpulley.errors import BaobabError
from baobabpulley.errors import DeadlineExceeded
from baobabpulley.errors import NoUpstream
from baobabpulley.errors import OutcomeUnknown
from baobabpulley.errors import UpstreamBackpressure
from baobabpulley.errors import UpstreamLeaving
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamRefused
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.model.calls import PlainCall
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.retries import RetriesSection
from baobabpulley.policy.retries import RetryBudget
from baobabpulley.policy.retries import full_jitter
from baobabpulley.ports.plain_service import PlainService
from baobabpulley.ports.plain_service import ServiceCall
from baobabpulley.ports.plain_service import ServiceResponse
from baobabpulley.settings import Count
from baobabpulley.settings import Seconds
from baobabpulley.settings import section
from baobabpulley.timers import TimerService

DEFAULT_RETRY_AFTER_SECONDS: Final = 1.0
# While a silent attempt can't be replaced, budget and upstreams are checked this often.
REPLACEMENT_PERIOD_SECONDS: Final = 0.25


@section("services", "entry")
class ServicesSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of calls to plain services (bytes, model seconds).

    An attempt of an idempotent call that has no response after ``answer_timeout`` is silent, and
    another one may be started beside it; ``deadline`` is the timeout of all its attempts. After
    ``once_timeout`` the outcome of an at-most-once call counts as unknown.
    """

    max_body_bytes: Count = 262_144
    body_timeout: Seconds = 30.0
    answer_timeout: Seconds = 2.0
    deadline: Seconds = 10.0
    once_timeout: Seconds = 10.0


class _IdempotentRun:
    """The attempts of one idempotent call.

    ``started`` is their number so far, ``tried`` the ids of upstreams that failed or were silent,
    ``check_at`` when silence is looked at next, and ``may_have_run`` whether a failed attempt may
    have run. Times are in model seconds.
    """

    __slots__ = (
        "attempts",
        "call",
        "check_at",
        "deadline_at",
        "may_have_run",
        "started",
        "tried",
    )

    def __init__(self, call: PlainCall, *, deadline_at: float) -> None:
        self.call = call
        self.deadline_at = deadline_at
        self.check_at = deadline_at
        self.may_have_run = False
        self.started = 0
        self.tried: set[str] = set()
        self.attempts: dict[asyncio.Task[ServiceResponse], Upstream] = {}

    async def cancel(self) -> None:
        """Cancel the attempts that are still running and wait for their end."""
        for attempt in self.attempts:
            attempt.cancel()
        await asyncio.gather(*self.attempts, return_exceptions=True)


@final
class ServiceCaller:
    """Send calls to the upstreams of plain services in this failure domain."""

    __slots__ = (
        "_backpressure",
        "_budgets",
        "_metrics",
        "_random",
        "_retries",
        "_round_robin",
        "_section",
        "_services",
        "_suspect_until",
        "_timers",
        "_view",
    )

    def __init__(
        self,
        *,
        services: PlainService,
        view: FleetView,
        section: ServicesSection,
        retries: RetriesSection,
        backpressure: EntryBackpressure,
        metrics: EntryMetrics,
        timers: TimerService,
        seed: int | None = None,
    ) -> None:
        self._services = services
        self._view = view
        self._section = section
        self._retries = retries
        self._backpressure = backpressure
        self._metrics = metrics
        self._timers = timers
        self._random = random.Random(seed)
        self._round_robin = 0
        self._suspect_until: dict[str, float] = {}
        self._budgets: dict[str, RetryBudget] = defaultdict(self._new_budget)

    async def run_idempotent(self, call: PlainCall) -> ServiceResponse:
        """Return the response to an idempotent call, with retries within budget and deadline.

        A silent attempt is not ended: once the budget and the upstreams allow it, another one is
        started beside it, and the first response is returned.
        """
        budget = self._budgets[call.service]
        budget.earn()
        run = _IdempotentRun(call, deadline_at=self._now() + self._section.deadline)
        try:
            self._start(run, self._choose(call.service, run.tried))
            while True:
                ended = await self._wait(run)
                if ended is None:
                    self._replace_silent(run, budget)
                    continue
                upstream = run.attempts.pop(ended)
                try:
                    return ended.result()
                except (UpstreamUnreachable, UpstreamRefused, UpstreamLost) as error:
                    run.tried.add(upstream.id)
                    run.may_have_run = run.may_have_run or error.ran is not False
                    self._record_failure(upstream, error)
                    if not run.attempts:
                        await self._retry(run, budget, error)
                    elif isinstance(error, UpstreamBackpressure):
                        # It was charged as it began beside the silent ones, and did not run.
                        budget.refund()
        finally:
            await run.cancel()

    async def run_once(self, call: PlainCall) -> ServiceResponse:
        """Run a call at most once, and return its response.

        Tries another upstream only while the call cannot have run. Raises `OutcomeUnknown` if the
        call may have been sent and no response arrived.
        """
        tried: set[str] = set()
        while True:
            upstream = self._choose(call.service, tried, reuse_tried=False)
            try:
                return await self._send(upstream, call, timeout=self._section.once_timeout)
            except (UpstreamUnreachable, UpstreamRefused) as error:
                tried.add(upstream.id)
                self._record_failure(upstream, error)
            except UpstreamLost as error:
                self._record_failure(upstream, error)
                raise OutcomeUnknown(
                    f"{call.service} may have run the call but sent no response: {error.message}"
                ) from error

    def _now(self) -> float:
        return self._timers.now()

    def _start(self, run: _IdempotentRun, upstream: Upstream) -> None:
        timeout = run.deadline_at - self._now()
        coroutine = self._send(upstream, run.call, timeout=timeout)
        run.attempts[asyncio.get_running_loop().create_task(coroutine)] = upstream
        run.started += 1
        run.check_at = self._now() + self._section.answer_timeout

    async def _wait(self, run: _IdempotentRun) -> asyncio.Task[ServiceResponse] | None:
        """Return an attempt that ended, or ``None`` once silence has to be looked at.

        Raise `DeadlineExceeded` at the deadline.
        """
        seconds = min(run.check_at, run.deadline_at) - self._now()
        ended, _ = await asyncio.wait(
            run.attempts,
            timeout=self._timers.to_real_seconds(max(0.0, seconds)),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if ended:
            return ended.pop()
        if self._now() >= run.deadline_at:
            raise DeadlineExceeded(
                f"{run.call.service} did not respond within {self._section.deadline:g} s"
            )
        return None

    def _replace_silent(self, run: _IdempotentRun, budget: RetryBudget) -> None:
        """Start another attempt beside silent ones, once an upstream and the budget allow it."""
        for upstream in run.attempts.values():
            run.tried.add(upstream.id)
            self._suspect(upstream)
        run.check_at = self._now() + REPLACEMENT_PERIOD_SECONDS
        if run.started >= self._retries.max_attempts:
            return
        try:
            upstream = self._choose(run.call.service, run.tried)
        except NoUpstream:
            return
        if budget.spend():
            self._start(run, upstream)

    async def _retry(self, run: _IdempotentRun, budget: RetryBudget, error: BaobabError) -> None:
        """Start another attempt after all have failed; raise the final error if none may be.

        What an upstream refused that asked for no requests costs no retry. Each upstream refuses
        so only what was sent before its first refusal arrived, and each call has few attempts.
        """
        pause = full_jitter(self._random, pause=self._retries.pause, retry=run.started - 1)
        is_free = isinstance(error, UpstreamBackpressure)
        exhausted = run.started >= self._retries.max_attempts or not (is_free or budget.spend())
        if exhausted or self._now() + pause >= run.deadline_at:
            raise self._final_error(run, error) from error
        await self._timers.sleep(pause)
        try:
            self._start(run, self._choose(run.call.service, run.tried))
        except NoUpstream as no_upstream:
            raise self._final_error(run, no_upstream) from error

    def _new_budget(self) -> RetryBudget:
        return RetryBudget(share=self._retries.share, burst=self._retries.burst)

    def _choose(self, service: str, tried: set[str], *, reuse_tried: bool = True) -> Upstream:
        live = self._backpressure.accepting(self._view.live_upstreams(service))
        candidates = [upstream for upstream in live if upstream.id not in tried]
        if not candidates and reuse_tried:
            candidates = live
        if not candidates:
            raise self._no_upstream(service)
        now = self._now()
        healthy = [
            upstream for upstream in candidates if self._suspect_until.get(upstream.id, 0.0) <= now
        ]
        self._round_robin += 1
        eligible = healthy or candidates
        return eligible[self._round_robin % len(eligible)]

    def _no_upstream(self, service: str) -> NoUpstream:
        retry_after = self._backpressure.retry_after(self._view.live_upstreams(service))
        return NoUpstream(
            f"no upstream of {service} accepted the call",
            retry_after=DEFAULT_RETRY_AFTER_SECONDS if retry_after is None else retry_after,
        )

    def _final_error(self, run: _IdempotentRun, error: BaobabError) -> BaobabError:
        """Return the error for the caller: "not run" only if no attempt can have run."""
        if not run.may_have_run:
            return self._no_upstream(run.call.service)
        return DeadlineExceeded(f"{run.call.service} did not respond: {error.message}")

    def _record_failure(self, upstream: Upstream, error: BaobabError) -> None:
        if isinstance(error, UpstreamLeaving):
            self._view.mark_leaving(upstream.id)
        # One that asked for no requests answered, and gets its full share after its pause.
        if not self._backpressure.record(upstream, error):
            self._suspect(upstream)

    def _suspect(self, upstream: Upstream) -> None:
        self._suspect_until[upstream.id] = self._now() + self._retries.suspect

    async def _send(
        self, upstream: Upstream, call: PlainCall, *, timeout: float
    ) -> ServiceResponse:
        self._metrics.attempts.labels(service=call.service).inc()
        attempt = ServiceCall(
            attempt=secrets.token_hex(8),
            method=call.method,
            path=call.path,
            body=call.body,
            content_type=call.content_type,
            deadline=timeout,
            team=call.team,
        )
        response = await self._services.call(upstream, attempt)
        self._suspect_until.pop(upstream.id, None)
        if response.asked_pause is None:
            return response
        self._backpressure.record_pause(upstream, response.asked_pause)
        # Responses are stored and passed on, and the pause was asked of this entry.
        return msgspec.structs.replace(response, asked_pause=None)
