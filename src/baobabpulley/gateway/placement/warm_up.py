"""Which requests cold upstreams get: short ones first, and only when this gateway may send."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final
from typing import final

from baobabpulley.gateway.placement.candidates import CROSS_DOMAIN_PENALTY_SECONDS
from baobabpulley.gateway.placement.candidates import CandidateList
from baobabpulley.gateway.placement.cold_record import ColdRecord
from baobabpulley.gateway.placement.planning import PlacementRequest
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.fleet_load import LoadTracker
from baobabpulley.policy.memory_placement import Candidate
from baobabpulley.timers import TimerService

_NONE: Final[frozenset[str]] = frozenset()


@final
class WarmUp:
    """Prefer or avoid cold upstreams by the kind of a request."""

    __slots__ = ("_candidates", "_cold", "_loads", "_timers")

    def __init__(
        self,
        *,
        candidates: CandidateList,
        cold: ColdRecord,
        loads: LoadTracker,
        timers: TimerService,
    ) -> None:
        self._candidates = candidates
        self._cold = cold
        self._loads = loads
        self._timers = timers

    def avoided(self, request: PlacementRequest) -> frozenset[str]:
        """Return the ids of the upstreams that are too cold for a long prompt and its chunks."""
        return _NONE if request.is_short else self._cold.cold_upstreams()

    def preferred(self, request: PlacementRequest, *, avoided: frozenset[str]) -> list[Candidate]:
        """Return the cold upstream that is to get a short request, if there is one.

        It is one with a permit, and no more loaded than the others: packing short prompts on
        engines in use would never warm it up.
        """
        cold = self._cold.cold_upstreams()
        if not cold or not request.is_short:
            return []
        blocked = request.excluded | avoided
        candidates = self._candidates.all(request.service.name, excluded=blocked)
        free = [candidate for candidate in candidates if candidate.has_slot]
        best = min(
            (candidate for candidate in free if candidate.upstream.id in cold),
            key=lambda candidate: candidate.cost,
            default=None,
        )
        if best is None:
            return []
        lowest = min(candidate.cost for candidate in free)
        return [best] if best.cost <= lowest + CROSS_DOMAIN_PENALTY_SECONDS else []

    def permit_wait(self, request: PlacementRequest, *, ahead: int) -> float:
        """Return how long a request waits for a permit behind ``ahead`` others; 0 if for none."""
        service = request.service.name
        upstreams = self._candidates.allowed(service, excluded=request.excluded)
        return self._cold.permit_wait(upstreams, service=service, ahead=ahead)

    def record_begun(self, engines: Sequence[ListedUpstream]) -> None:
        """Use the permits for a placement, and count it if the lack of one changed it."""
        first = engines[0]
        now = self._timers.now()
        # Its own request is in the load of the chosen upstream already.
        in_flight = self._loads.load(first.id, now=now).in_flight - 1
        held_back = self._candidates.held_back(first.service)
        if any(self._loads.load(id, now=now).in_flight <= in_flight for id in held_back):
            self._cold.count_missing(first.service)
        self._cold.record_sent(engines)
