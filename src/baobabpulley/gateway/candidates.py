"""The upstreams of a service that may get a request now, with their loads."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from typing import Final
from typing import final

from baobabpulley.gateway.following import FleetBook
from baobabpulley.gateway.upstream_record import UpstreamRecord
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.fleet_load import LoadTracker
from baobabpulley.policy.memory_placement import Candidate
from baobabpulley.policy.subset import upstream_subset
from baobabpulley.timers import TimerService

# Seconds that count against an upstream of another failure domain.
CROSS_DOMAIN_PENALTY_SECONDS: Final = 0.003


@final
class CandidateList:
    """Candidates of each service; upstreams that are leaving never are."""

    __slots__ = (
        "_book",
        "_by_service",
        "_domain",
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
        book: FleetBook,
        loads: LoadTracker,
        record: UpstreamRecord,
        timers: TimerService,
    ) -> None:
        self._node = node
        self._domain = failure_domain
        self._book = book
        self._loads = loads
        self._record = record
        self._timers = timers
        self._by_service: dict[str, list[ListedUpstream]] | None = None
        self._subsets: dict[str, Sequence[ListedUpstream]] = {}
        book.listen(self._invalidate)

    def in_subset(self, service: str, *, excluded: frozenset[str]) -> list[Candidate]:
        """Return those of this gateway's subset of a service."""
        if service not in self._subsets:
            self._subsets[service] = upstream_subset(
                self._node, self._all(service), failure_domain=self._domain
            )
        return self._candidates(self._subsets[service], excluded)

    def all(self, service: str, *, excluded: frozenset[str]) -> list[Candidate]:
        """Return those of the whole service."""
        return self._candidates(self._all(service), excluded)

    def has_any(self, service: str, *, excluded: frozenset[str]) -> bool:
        """Whether a service has an upstream that is not excluded."""
        return any(one.id not in excluded for one in self._all(service))

    def exceeds_subset(self, service: str) -> bool:
        """Whether a service has upstreams beyond this gateway's subset."""
        return len(self._all(service)) > len(self._subsets.get(service, ()))

    def _all(self, service: str) -> list[ListedUpstream]:
        if self._by_service is None:
            self._by_service = defaultdict(list)
            for upstream in self._book.upstreams.values():
                if not upstream.leaving:
                    self._by_service[upstream.service].append(upstream)
        return self._by_service.get(service, [])

    def _invalidate(self) -> None:
        self._by_service = None
        self._subsets.clear()

    def _candidates(
        self, upstreams: Sequence[ListedUpstream], excluded: frozenset[str]
    ) -> list[Candidate]:
        now = self._timers.now()
        found = [one for one in upstreams if one.id not in excluded] if excluded else upstreams
        well = self._record.usable(found)
        penalties = self._record.penalties
        return [
            Candidate(
                upstream=one,
                load=self._loads.load(one.id, now=now),
                penalty=penalties.get(one.id, 0.0)
                + (0.0 if one.failure_domain == self._domain else CROSS_DOMAIN_PENALTY_SECONDS),
            )
            for one in (well or found)
        ]
