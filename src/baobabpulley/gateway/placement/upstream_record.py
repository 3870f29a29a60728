"""Record what responses and failures show of upstreams: health, leaving, back-pressure."""

from __future__ import annotations

import math
from collections.abc import Callable
from collections.abc import Sequence
from typing import final

from loguru import logger

from baobabpulley.errors import UpstreamEvacuated
from baobabpulley.errors import UpstreamSkipped
from baobabpulley.gateway.peers.upstream_reports import UpstreamReports
from baobabpulley.gateway.placement.cold_record import ColdRecord
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.domain_circuit_breaker import DomainCircuitBreaker
from baobabpulley.policy.upstream_backpressure import BackpressureWindows
from baobabpulley.policy.upstream_backpressure import backpressure_seconds
from baobabpulley.policy.upstream_health import UpstreamHealth
from baobabpulley.policy.upstream_silence import EngineStreams
from baobabpulley.policy.upstream_silence import SilentEngines
from baobabpulley.ports.exchange_wire import ResponseHead
from baobabpulley.timers import TimerService

# Returns when gossip from a gateway of a failure domain was last received, in monotonic seconds, or
# ``None`` if it never was.
LastSeen = Callable[[str], float | None]


@final
class UpstreamRecord:
    """Health of upstreams and reachability of failure domains, from this gateway's attempts.

    The head of each response is recorded as soon as it arrives, whatever becomes of its attempt.
    """

    __slots__ = (
        "_backpressure",
        "_breaker",
        "_cold",
        "_fleet_state",
        "_health",
        "_last_seen",
        "_reports",
        "_silent",
        "_timers",
    )

    def __init__(
        self,
        *,
        failure_domain: str,
        fleet_state: FleetState,
        last_seen: LastSeen,
        reports: UpstreamReports,
        timers: TimerService,
        silent_engines: SilentEngines | None = None,
        cold: ColdRecord | None = None,
    ) -> None:
        self._fleet_state = fleet_state
        self._reports = reports
        self._last_seen = last_seen
        self._timers = timers
        self._backpressure = BackpressureWindows()
        self._health = UpstreamHealth()
        self._silent = silent_engines or SilentEngines()
        self._breaker = DomainCircuitBreaker(own_domain=failure_domain)
        self._cold = cold or ColdRecord(node="", fleet_state=fleet_state, timers=timers)

    @property
    def cold(self) -> ColdRecord:
        """The cold upstreams, and this gateway's turns at them."""
        return self._cold

    @property
    def penalties(self) -> dict[str, float]:
        """Cost in seconds for failures, by upstream id; upstreams that are absent have none."""
        return self._health.penalties

    def usable(self, upstreams: Sequence[ListedUpstream]) -> list[ListedUpstream]:
        """Return the upstreams that may get requests now, by health and circuit breaker."""
        now = self._timers.now()
        domains = {upstream.failure_domain for upstream in upstreams}
        reachable = {
            domain
            for domain in domains
            if self._breaker.allows(domain, last_seen=self._last_seen(domain), now=now)
        }
        paused = self._health.paused_upstreams(now=now)
        return [
            upstream
            for upstream in upstreams
            if upstream.failure_domain in reachable and upstream.id not in paused
        ]

    def check_accepting(self, upstream: ListedUpstream) -> None:
        """Raise `UpstreamSkipped` if an upstream may get no requests any more since it was chosen.

        It asked for none, or its failure domain is evacuated. Reports of other gateways refuse
        nothing that has been placed.
        """
        self.check_not_evacuated(upstream)
        listed = self._fleet_state.upstreams.get(upstream.id)
        only_reported = self._fleet_state.is_only_reported_leaving(upstream.id)
        if listed is not None and listed.leaving and not only_reported:
            raise UpstreamSkipped(f"{upstream.id} is leaving by now", at_fault=upstream.id)
        seconds = self.backpressure_seconds_left(upstream)
        if seconds:
            raise UpstreamSkipped(
                f"{upstream.id} asked for no requests for {seconds:.2f} s more",
                at_fault=upstream.id,
            )

    def check_not_evacuated(self, upstream: ListedUpstream) -> None:
        """Raise `UpstreamEvacuated` if an upstream's failure domain is evacuated by now."""
        if not self._fleet_state.evacuations.accepts(upstream):
            raise UpstreamEvacuated(
                f"{upstream.failure_domain}, the failure domain of {upstream.id}, is evacuated",
                at_fault=upstream.id,
            )

    def backpressured_upstreams(self) -> frozenset[str]:
        """Return the ids of the upstreams that asked for no requests now."""
        return self._backpressure.upstreams(now=self._timers.now())

    def hinted_upstreams(self) -> frozenset[str]:
        """Return the ids of the upstreams that asked other gateways for no requests now."""
        return self._reports.hinted_upstreams()

    def backpressure_seconds_left(self, upstream: ListedUpstream) -> float:
        """Return for how many seconds an upstream still wants no requests; 0 if it gets some."""
        return self._backpressure.seconds_left(upstream.id, now=self._timers.now())

    def silent_upstreams(self) -> frozenset[str]:
        """Return the ids of the upstreams whose running streams are all silent now.

        Those of other gateways count where this one runs none.
        """
        return self._silent.silent(now=self._timers.now())

    def running_streams(self, upstream: ListedUpstream) -> EngineStreams:
        """Return the record of an upstream's running streams; nobody sees that of a removed one."""
        if upstream.id not in self._fleet_state.upstreams:
            return EngineStreams()
        return self._silent.streams(upstream.id)

    def record_head(self, upstream: ListedUpstream, head: ResponseHead) -> None:
        """Record what the head of a response says of the upstream."""
        if head.leaving:
            for instance in self._responding_instances(upstream, head):
                self._reports.record_leaving(instance)
        if head.retry_after is not None:
            self._record_backpressure(upstream, head.retry_after)
        if head.cold_seconds is not None and not head.misdirected:
            self._cold.record_response(upstream, head.cold_seconds)

    def _record_backpressure(self, upstream: ListedUpstream, asked: float) -> None:
        if upstream.id not in self._fleet_state.upstreams:
            return
        seconds = backpressure_seconds(asked)
        if self._backpressure.record(upstream.id, seconds=seconds, now=self._timers.now()):
            logger.bind(
                event="upstream_backpressure",
                upstream=upstream.id,
                service=upstream.service,
                asked=asked if math.isfinite(asked) else None,
                seconds=seconds,
            ).info("upstream asked for no requests")
        left = self.backpressure_seconds_left(upstream)
        self._reports.record_backpressure(upstream.id, seconds=left)

    def _responding_instances(
        self, upstream: ListedUpstream, head: ResponseHead
    ) -> tuple[ListedUpstream, ...]:
        """Return the upstream, or all that are listed at its address if another one responded."""
        if not head.misdirected:
            return (upstream,)
        listed = self._fleet_state.upstreams.values()
        return tuple(other for other in listed if other.address == upstream.address)

    def record_attempt(self, upstream: ListedUpstream) -> None:
        """Record the start of an attempt."""
        self._health.record_attempt(upstream.id)
        self._breaker.record_attempt(upstream.failure_domain, now=self._timers.now())

    def record_response(self, upstream: ListedUpstream, *, succeeded: bool) -> None:
        """Record a response; ``succeeded`` is false if the upstream itself failed."""
        self._health.record_response(upstream.id, succeeded=succeeded)
        self._breaker.record_response(upstream.failure_domain)

    def record_failure(self, upstream: ListedUpstream) -> None:
        """Record that an upstream was unreachable or stopped responding."""
        now = self._timers.now()
        domain = upstream.failure_domain
        self._health.record_failure(upstream.id, now=now)
        self._breaker.record_failure(
            domain, upstream.id, last_seen=self._last_seen(domain), now=now
        )

    def record_reachable(self, upstream: ListedUpstream) -> None:
        """Record a response that shows no more than that the upstream can be reached."""
        self._health.cancel_probe(upstream.id)
        self._breaker.record_response(upstream.failure_domain)

    def record_inconclusive(self, upstream: ListedUpstream) -> None:
        """Record that an attempt ended without showing whether its upstream is healthy."""
        self._health.cancel_probe(upstream.id)

    def forget(self, upstream: ListedUpstream) -> None:
        """Drop the records of an upstream that was removed."""
        self._backpressure.forget(upstream.id)
        self._cold.forget(upstream.id)
        self._reports.forget(upstream.id)
        self._health.forget(upstream.id)
        self._silent.forget(upstream.id)

    def forget_failures(self) -> None:
        """Drop what failures showed of all upstreams: this gateway's own links were the cause."""
        self._health = UpstreamHealth()
        self._breaker.reset()

    def has_no_record(self, upstream: str) -> bool:
        """Whether no failure of the upstream is on record."""
        return not self._health.has_record(upstream)

    def find_by_address(self, address: str) -> ListedUpstream | None:
        """Return the upstream with the given id or address: a refusal may name either."""
        upstream = self._fleet_state.upstreams.get(address)
        if upstream is not None:
            return upstream
        return next(
            (
                listed
                for listed in self._fleet_state.upstreams.values()
                if listed.address == address
            ),
            None,
        )
