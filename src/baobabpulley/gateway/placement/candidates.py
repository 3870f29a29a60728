"""The upstreams of a service that are eligible for a request, with their loads."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from typing import Final
from typing import final

from baobabpulley.gateway.placement.upstream_record import UpstreamRecord
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.fleet_load import LoadTracker
from baobabpulley.policy.memory_placement import Candidate
from baobabpulley.policy.subset import upstream_subset
from baobabpulley.timers import TimerService

# Cost of an upstream in another failure domain when upstreams are compared.
CROSS_DOMAIN_PENALTY_SECONDS: Final = 0.003


@final
class CandidateList:
    """Candidates of each service, without upstreams that are leaving or asked for no requests.

    Upstreams of evacuated failure domains are never candidates, nor are cold upstreams that this
    gateway may not send to now, whatever their health. Each gateway prefers a subset of the
    upstreams. If none of the others is usable according to its health record, all of them are
    candidates.
    """

    __slots__ = (
        "_by_service",
        "_domain",
        "_fleet_state",
        "_loads",
        "_node",
        "_record",
        "_subsets",
        "_timers",
    )

    def __init__(
        self,
        *,
        node: str,
        failure_domain: str,
        fleet_state: FleetState,
        loads: LoadTracker,
        record: UpstreamRecord,
        timers: TimerService,
    ) -> None:
        self._node = node
        self._domain = failure_domain
        self._fleet_state = fleet_state
        self._loads = loads
        self._record = record
        self._timers = timers
        self._by_service: dict[str, list[ListedUpstream]] | None = None
        self._subsets: dict[str, Sequence[ListedUpstream]] = {}
        fleet_state.listen(self._invalidate)

    def in_subset(self, service: str, *, excluded: frozenset[str]) -> list[Candidate]:
        """Return the candidates in this gateway's subset of a service."""
        if service not in self._subsets:
            self._subsets[service] = upstream_subset(
                self._node, self._all(service), failure_domain=self._domain
            )
        return self._candidates(self._subsets[service], excluded, service=service)

    def all(self, service: str, *, excluded: frozenset[str]) -> list[Candidate]:
        """Return all candidates of a service."""
        return self._candidates(self._all(service), excluded, service=service)

    def has_any(self, service: str, *, excluded: frozenset[str]) -> bool:
        """Whether a service has a candidate, or a cold upstream that may become one."""
        blocked = excluded | self._record.backpressured_upstreams()
        return any(upstream.id not in blocked for upstream in self._all(service))

    def allowed(self, service: str, *, excluded: frozenset[str]) -> list[ListedUpstream]:
        """Return the upstreams of a service, also unhealthy ones and cold ones without a permit."""
        blocked = excluded | self._record.backpressured_upstreams()
        return [upstream for upstream in self._all(service) if upstream.id not in blocked]

    def held_back(self, service: str, *, excluded: frozenset[str] = frozenset()) -> frozenset[str]:
        """Return the ids of the cold upstreams that get nothing now for lack of a permit."""
        held_back = self._record.cold.held_back(self._all(service), service=service)
        return held_back - excluded - self._record.backpressured_upstreams()

    def backpressure_seconds(self, service: str) -> float | None:
        """Return the seconds until an upstream of a service wants requests again.

        Return ``None`` if one wants requests now, or if there is none.
        """
        left = [self._record.backpressure_seconds_left(upstream) for upstream in self._all(service)]
        return min(left, default=0.0) or None

    def evacuated_domains(self, service: str) -> frozenset[str]:
        """Return the evacuated failure domains of a service that has no upstream elsewhere."""
        if self._all(service):
            return frozenset()
        return self._fleet_state.evacuations.domains & {
            upstream.failure_domain
            for upstream in self._fleet_state.upstreams.values()
            if upstream.service == service
        }

    def exceeds_subset(self, service: str) -> bool:
        """Whether a service has upstreams beyond this gateway's subset."""
        return len(self._all(service)) > len(self._subsets.get(service, ()))

    def _all(self, service: str) -> list[ListedUpstream]:
        if self._by_service is None:
            listed: dict[str, list[ListedUpstream]] = defaultdict(list)
            evacuations = self._fleet_state.evacuations
            for upstream in self._fleet_state.upstreams.values():
                if evacuations.accepts(upstream):
                    listed[upstream.service].append(upstream)
            self._by_service = {
                name: self._fleet_state.accepting(upstreams) for name, upstreams in listed.items()
            }
        return self._by_service.get(service, [])

    def _invalidate(self) -> None:
        self._by_service = None
        self._subsets.clear()

    def _candidates(
        self, upstreams: Sequence[ListedUpstream], excluded: frozenset[str], *, service: str
    ) -> list[Candidate]:
        now = self._timers.now()
        blocked = excluded | self._record.backpressured_upstreams()
        allowed = (
            [upstream for upstream in upstreams if upstream.id not in blocked]
            if blocked
            else upstreams
        )
        # A healthy upstream that waits for a permit is better than an unhealthy one without one.
        healthy = self._record.usable(allowed) or allowed
        held_back = self._record.cold.held_back(upstreams, service=service)
        penalties = self._record.penalties
        return [
            Candidate(
                upstream=upstream,
                load=self._loads.load(upstream.id, now=now),
                penalty=penalties.get(upstream.id, 0.0)
                + (
                    0.0 if upstream.failure_domain == self._domain else CROSS_DOMAIN_PENALTY_SECONDS
                ),
            )
            for upstream in healthy
            if upstream.id not in held_back
        ]
