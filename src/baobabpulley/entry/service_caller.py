"""Send calls of plain services to their upstreams, idempotent ones and once-only ones."""

from __future__ import annotations

import random
import secrets
from collections import defaultdict
from typing import final

import msgspec

from baobabpulley.adapters.metrics import EntryMetrics
from baobabpulley.errors import BaobabError
from baobabpulley.errors import DeadlineExceeded
from baobabpulley.errors import NoUpstream
from baobabpulley.errors import OutcomeUnknown
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


@section("services", "entry")
class ServicesSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds of calls to plain services (bytes, model seconds).

    ``answer_timeout`` is how long an idempotent attempt may take; ``once_timeout`` how long a
    once-only call is waited for before its outcome counts as unknown.
    """

    max_body_bytes: Count = 262_144
    body_timeout: Seconds = 30.0
    answer_timeout: Seconds = 2.0
    deadline: Seconds = 10.0
    once_timeout: Seconds = 10.0


@final
class ServiceCaller:
    """Send calls to the upstreams of plain services in this failure domain."""

    __slots__ = (
        "_budgets",
        "_metrics",
        "_random",
        "_retries",
        "_section",
        "_services",
        "_suspects",
        "_timers",
        "_turn",
        "_view",
    )

    def __init__(
        self,
        *,
        services: PlainService,
        view: FleetView,
        section: ServicesSection,
        retries: RetriesSection,
        metrics: EntryMetrics,
        timers: TimerService,
        seed: int | None = None,
    ) -> None:
        self._services = services
        self._view = view
        self._section = section
        self._retries = retries
        self._metrics = metrics
        self._timers = timers
        self._random = random.Random(seed)
        self._turn = 0
        self._suspects: dict[str, float] = {}
        self._budgets: dict[str, RetryBudget] = defaultdict(self._new_budget)

    async def run_idempotent(self, call: PlainCall) -> ServiceResponse:
        """Return the answer of an idempotent call, retried within the budget and the deadline."""
        budget = self._budgets[call.service]
        budget.earn()
        ends = self._timers.now() + self._section.deadline
        tried: set[str] = set()
        retry = 0
        while True:
            upstream = self._choose(call.service, tried)
            try:
                return await self._send(
                    upstream, call, timeout=min(self._section.answer_timeout, ends - self._now())
                )
            except (UpstreamUnreachable, UpstreamRefused, UpstreamLost) as error:
                tried.add(upstream.id)
                self._suspect(upstream, error)
                pause = full_jitter(self._random, pause=self._retries.pause, retry=retry)
                retry += 1
                spent = retry >= self._retries.max_attempts or not budget.spend()
                if spent or self._now() + pause >= ends:
                    raise _give_up(call, error) from error
                await self._timers.sleep(pause)

    async def run_once(self, call: PlainCall) -> ServiceResponse:
        """Send a once-only call at most once, and return its answer.

        Goes to another upstream only while no byte of the call can have run. Raises
        `OutcomeUnknown` once a byte may have left and no answer came.
        """
        tried: set[str] = set()
        while True:
            upstream = self._choose(call.service, tried, again=False)
            try:
                return await self._send(upstream, call, timeout=self._section.once_timeout)
            except (UpstreamUnreachable, UpstreamRefused) as error:
                tried.add(upstream.id)
                self._suspect(upstream, error)
            except UpstreamLost as error:
                self._suspect(upstream, error)
                raise OutcomeUnknown(
                    f"{call.service} got the call and its answer never came: {error.message}"
                ) from error

    def _now(self) -> float:
        return self._timers.now()

    def _new_budget(self) -> RetryBudget:
        return RetryBudget(share=self._retries.share, burst=self._retries.burst)

    def _choose(self, service: str, tried: set[str], *, again: bool = True) -> Upstream:
        live = self._view.live_upstreams(service)
        fresh = [upstream for upstream in live if upstream.id not in tried]
        if not fresh and again:
            fresh = list(live)
        if not fresh:
            raise NoUpstream(f"no upstream of {service} took the call", retry_after=1.0)
        now = self._now()
        well = [one for one in fresh if self._suspects.get(one.id, 0.0) <= now]
        self._turn += 1
        chosen = well or fresh
        return chosen[self._turn % len(chosen)]

    def _suspect(self, upstream: Upstream, error: BaobabError) -> None:
        if isinstance(error, UpstreamLeaving):
            self._view.mark_leaving(upstream.id)
        self._suspects[upstream.id] = self._now() + self._retries.suspect

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
        answer = await self._services.call(upstream, attempt)
        self._suspects.pop(upstream.id, None)
        return answer


def _give_up(call: PlainCall, error: BaobabError) -> BaobabError:
    if error.ran is False:
        return NoUpstream(f"no upstream of {call.service} took the call", retry_after=1.0)
    return DeadlineExceeded(f"{call.service} did not answer: {error.message}")
