"""Estimate how long a request would wait for an upstream, and refuse it if that is too long."""

from __future__ import annotations

from typing import final

from baobabpulley.entry.lane_queues import LaneQueues
from baobabpulley.entry.load_estimates import LoadEstimates
from baobabpulley.entry.placements import Waiter
from baobabpulley.entry.placements import prompt_tokens
from baobabpulley.entry.short_lane_rate import ShortLaneRate
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.admission import AdmissionSection
from baobabpulley.policy.admission import check_wait
from baobabpulley.policy.admission import short_wait
from baobabpulley.policy.lanes import SHORT
from baobabpulley.ports.engine import PRIORITY_LONG
from baobabpulley.ports.engine import PRIORITY_SHORT
from baobabpulley.timers import TimerService


@final
class WaitCheck:
    """Check requests against the admission bounds.

    The engines' prefill rate is assumed to be divided evenly among the entries.
    """

    __slots__ = ("_admission", "_estimates", "_queues", "_short_rate", "_timers", "_view")

    def __init__(
        self,
        *,
        admission: AdmissionSection,
        estimates: LoadEstimates,
        queues: LaneQueues,
        short_rate: ShortLaneRate,
        view: FleetView,
        timers: TimerService,
    ) -> None:
        self._admission = admission
        self._estimates = estimates
        self._queues = queues
        self._short_rate = short_rate
        self._view = view
        self._timers = timers

    def check(self, waiter: Waiter, eligible: list[Upstream], *, waits: bool) -> None:
        """Raise `Overloaded` if the estimated wait, 0 without ``waits``, exceeds the bounds."""
        if waiter.lane == SHORT:
            wait = self._short_wait(waiter, eligible)
            service = waiter.ideal
            bound = self._admission.max_short_wait
        else:
            share = self._long_share(self._rate(eligible))
            wait = self._long_wait(waiter, eligible) / share
            service = waiter.ideal / share
            bound = float("inf")
        check_wait(
            wait=wait if waits else 0.0,
            service=service,
            remaining=waiter.request.deadline - self._timers.now(),
            bound=bound,
        )

    def _rate(self, eligible: list[Upstream]) -> float:
        """Return this entry's part of the prefill rate, in tokens per model second."""
        return sum(self._estimates.rate(upstream.id) for upstream in eligible) / self._entries()

    def _entries(self) -> int:
        return max(1, len(self._view.keepers))

    def _short_wait(self, waiter: Waiter, eligible: list[Upstream]) -> float:
        team = waiter.request.team
        queue = self._queues.short
        own_waiters = queue.of_team(team)
        queued_here = short_wait(
            own_tokens=sum(map(prompt_tokens, own_waiters)) + prompt_tokens(waiter),
            total_tokens=sum(map(prompt_tokens, queue)) + prompt_tokens(waiter),
            teams=queue.teams + (0 if own_waiters else 1),
            rate=self._rate(eligible),
            others_rate=self._short_rate.rate_of_others(team, now=self._timers.now()),
        )
        return queued_here + self._engine_wait(eligible)

    def _engine_wait(self, eligible: list[Upstream]) -> float:
        """Return the shortest queueing time of a short request at an engine, in model seconds."""
        estimates = self._estimates
        return min(
            estimates.ahead_tokens(upstream.id, PRIORITY_SHORT) / estimates.rate(upstream.id)
            for upstream in eligible
        )

    def _long_wait(self, waiter: Waiter, eligible: list[Upstream]) -> float:
        """Return the queueing time of a long request if no short ones were sent."""
        queued = sum(map(prompt_tokens, self._queues.long)) + prompt_tokens(waiter)
        running = sum(
            self._estimates.ahead_tokens(upstream.id, PRIORITY_LONG) for upstream in eligible
        )
        return (queued + running / self._entries()) / self._rate(eligible)

    def _long_share(self, rate: float) -> float:
        """Return the ratio of this entry's prefill rate that short requests leave unused."""
        unused_ratio = 1.0 - self._short_rate.rate(now=self._timers.now()) / rate
        return max(self._admission.least_long_share, unused_ratio)
