"""Choose the upstreams of a request that can be placed at once."""

from __future__ import annotations

import random
from typing import Final
from typing import final

from baobabpulley.errors import BaobabError
from baobabpulley.errors import NoUpstream
from baobabpulley.errors import Overloaded
from baobabpulley.gateway.placement.candidates import CandidateList
from baobabpulley.gateway.placement.placement import Placement
from baobabpulley.gateway.placement.planning import PlacementRequest
from baobabpulley.gateway.placement.planning import PromptPlanner
from baobabpulley.gateway.placement.upstream_record import UpstreamRecord
from baobabpulley.gateway.placement.warm_up import WarmUp
from baobabpulley.model.routes import EnginePerformance
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.fleet_load import Dispatch
from baobabpulley.policy.fleet_load import LoadTracker
from baobabpulley.policy.memory_placement import Candidate
from baobabpulley.policy.prompt_placement import Plan
from baobabpulley.policy.upstream_silence import is_explained
from baobabpulley.timers import TimerService

NO_EXCLUSIONS: Final[frozenset[str]] = frozenset()


@final
class UpstreamChooser:
    """Place requests where there is room, preferably at upstreams that are neither silent nor cold.

    ``planner`` places prompts, ``warm_up`` knows the cold upstreams.
    """

    __slots__ = (
        "_candidates",
        "_loads",
        "_planner",
        "_random",
        "_record",
        "_timers",
        "_warm_up",
    )

    def __init__(
        self,
        *,
        candidates: CandidateList,
        loads: LoadTracker,
        record: UpstreamRecord,
        planner: PromptPlanner,
        warm_up: WarmUp,
        timers: TimerService,
        source: random.Random,
    ) -> None:
        self._candidates = candidates
        self._loads = loads
        self._record = record
        self._planner = planner
        self._warm_up = warm_up
        self._timers = timers
        self._random = source

    def can_place(self, request: PlacementRequest) -> bool:
        """Whether there is room for a prompt at once; nothing is placed."""
        candidates = self._candidates.all(request.service.name, excluded=request.excluded)
        if request.engine is None or not candidates:
            return False
        try:
            return self._plan(candidates, request, request.engine) is not None
        except (NoUpstream, Overloaded):
            return False

    def silent_upstreams(self) -> frozenset[str]:
        """Return the ids of silent upstreams, without those whose known prefills explain it."""
        silent = self._record.silent_upstreams()
        if not silent:
            return silent
        now = self._timers.now()
        return frozenset(
            id for id in silent if not is_explained(backlog=self._loads.load(id, now=now).backlog)
        )

    def place(self, request: PlacementRequest) -> Placement | None:
        """Place a request if there is room; return ``None`` if there is none.

        Upstreams that are silent or asked for a pause get it only if no other has room.
        """
        avoided = self._avoided(request)
        placement = self._try_preferred(avoided, request)
        if placement is not None or not avoided:
            return placement or self._try_outside(NO_EXCLUSIONS, request)
        try:
            placement = self._try_outside(avoided, request)
        except BaobabError:
            placement = None
        if placement is None:
            return self._try_outside(NO_EXCLUSIONS, request)
        placement.avoided = len(avoided)
        return placement

    def _try_preferred(
        self, avoided: frozenset[str], request: PlacementRequest
    ) -> Placement | None:
        """Place a short request at a cold upstream if other upstreams are no better."""
        preferred = self._warm_up.preferred(request, avoided=avoided)
        if not preferred:
            return None
        try:
            return self._try_among(preferred, request)
        except BaobabError:
            return None

    def _avoided(self, request: PlacementRequest) -> frozenset[str]:
        """Return the ids of the upstreams that get a request only if no other has room for it."""
        hinted = self._record.hinted_upstreams() | self._warm_up.avoided(request)
        return hinted | self.silent_upstreams()

    def _try_outside(self, avoided: frozenset[str], request: PlacementRequest) -> Placement | None:
        """Place a request in this gateway's subset, or elsewhere if the subset has no room."""
        service, excluded = request.service.name, request.excluded
        subset = _without(self._candidates.in_subset(service, excluded=excluded), avoided)
        if not self._candidates.exceeds_subset(service):
            return self._try_among(subset, request)
        try:
            placement = self._try_among(subset, request)
        except BaobabError:
            placement = None
        if placement is not None:
            return placement
        candidates = self._candidates.all(service, excluded=excluded)
        return self._try_among(_without(candidates, avoided), request)

    def _try_among(
        self, candidates: list[Candidate], request: PlacementRequest
    ) -> Placement | None:
        performance = request.engine
        if performance is None:
            return self._try_call(candidates)
        plan = self._plan(candidates, request, performance)
        return None if plan is None else self._begin_plan(plan)

    def _plan(
        self, candidates: list[Candidate], request: PlacementRequest, performance: EnginePerformance
    ) -> Plan | None:
        now = self._timers.now()
        unheard = self._loads.expected_unheard(now=now)
        held_back = self._candidates.held_back(request.service.name, excluded=request.excluded)
        return self._planner.plan(
            request,
            candidates,
            performance,
            now=now,
            unheard=unheard,
            held_back=len(held_back),
        )

    def _try_call(self, candidates: list[Candidate]) -> Placement | None:
        free = [candidate for candidate in candidates if candidate.has_slot]
        if not free:
            return None
        chosen = min(
            free,
            key=lambda candidate: (
                candidate.load.in_flight + candidate.penalty,
                self._random.random(),
            ),
        )
        dispatch = self._loads.begin(
            chosen.upstream.id, prefill_seconds=0.0, memory_tokens=0, now=self._timers.now()
        )
        return self._begin(chosen.upstream, [dispatch])

    def _begin_plan(self, plan: Plan) -> Placement:
        now = self._timers.now()
        dispatches = [
            self._loads.begin(
                engine.id,
                prefill_seconds=plan.part_seconds,
                memory_tokens=tokens,
                now=now,
                to_helper=engine is not plan.first,
            )
            for engine, tokens in zip(plan.engines, plan.memory_tokens, strict=True)
        ]
        return self._begin(plan.first, dispatches, plan=plan)

    def _begin(
        self,
        upstream: ListedUpstream,
        dispatches: list[Dispatch],
        *,
        plan: Plan | None = None,
    ) -> Placement:
        self._record.record_attempt(upstream)
        self._warm_up.record_begun((upstream,) if plan is None else plan.engines)
        started = self._timers.now()
        return Placement(
            upstream=upstream,
            plan=plan,
            dispatches=dispatches,
            started=started,
            load_age=self._loads.oldest_share_age(upstream.id, now=started),
        )


def _without(candidates: list[Candidate], avoided: frozenset[str]) -> list[Candidate]:
    if not avoided:
        return candidates
    return [candidate for candidate in candidates if candidate.upstream.id not in avoided]
