"""Calls to the upstreams of plain services: idempotent ones, and ones that run at most once."""

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
    """Limits of calls to plain services (bytes, model seconds).

    ``answer_timeout`` is the timeout of one attempt of an idempotent call, ``deadline`` that of all
    its attempts. After ``once_timeout`` the outcome of an at-most-once call counts as unknown.
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
        self._round_robin = 0
        self._suspect_until: dict[str, float] = {}
        self._budgets: dict[str, RetryBudget] = defaultdict(self._new_budget)

    async def run_idempotent(self, call: PlainCall) -> ServiceResponse:
        """Return the response to an idempotent call, with retries within budget and deadline."""
        budget = self._budgets[call.service]
        budget.earn()
        deadline_at = self._timers.now() + self._section.deadline
        tried: set[str] = set()
        retry = 0
        while True:
            upstream = self._choose(call.service, tried)
            try:
                return await self._send(
                    upstream,
                    call,
                    timeout=min(self._section.answer_timeout, deadline_at - self._now()),
                )
            except (UpstreamUnreachable, UpstreamRefused, UpstreamLost) as error:
                tried.add(upstream.id)
                self._mark_suspect(upstream, error)
                pause = full_jitter(self._random, pause=self._retries.pause, retry=retry)
                retry += 1
                exhausted = retry >= self._retries.max_attempts or not budget.spend()
                if exhausted or self._now() + pause >= deadline_at:
                    raise _final_error(call, error) from error
                await self._timers.sleep(pause)

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
                self._mark_suspect(upstream, error)
            except UpstreamLost as error:
                self._mark_suspect(upstream, error)
                raise OutcomeUnknown(
                    f"{call.service} may have run the call but sent no response: {error.message}"
                ) from error

    def _now(self) -> float:
        return self._timers.now()

    def _new_budget(self) -> RetryBudget:
        return RetryBudget(share=self._retries.share, burst=self._retries.burst)

    def _choose(self, service: str, tried: set[str], *, reuse_tried: bool = True) -> Upstream:
        live = self._view.live_upstreams(service)
        candidates = [upstream for upstream in live if upstream.id not in tried]
        if not candidates and reuse_tried:
            candidates = list(live)
        if not candidates:
            raise NoUpstream(f"no upstream of {service} accepted the call", retry_after=1.0)
        now = self._now()
        healthy = [
            upstream for upstream in candidates if self._suspect_until.get(upstream.id, 0.0) <= now
        ]
        self._round_robin += 1
        eligible = healthy or candidates
        return eligible[self._round_robin % len(eligible)]

    def _mark_suspect(self, upstream: Upstream, error: BaobabError) -> None:
        if isinstance(error, UpstreamLeaving):
            self._view.mark_leaving(upstream.id)
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
        return response


def _final_error(call: PlainCall, error: BaobabError) -> BaobabError:
    if error.ran is False:
        return NoUpstream(f"no upstream of {call.service} accepted the call", retry_after=1.0)
    return DeadlineExceeded(f"{call.service} did not respond: {error.message}")
