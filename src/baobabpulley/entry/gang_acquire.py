"""Acquire the members of a gang: all or none, in ascending order of ids, one gang at a time."""

from __future__ import annotations

import random
from typing import Final
from typing import final

from baobabpulley.entry.backpressure import EntryBackpressure
from baobabpulley.entry.reservations import EntryReservations
from baobabpulley.errors import DeadlineBeforeStart
from baobabpulley.errors import NoUpstream
from baobabpulley.errors import PeerUnavailable
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.reservations import MemoryClaim
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.gangs import GangCandidate
from baobabpulley.policy.gangs import choose_next_member
from baobabpulley.timers import TimerService

POLL_SECONDS: Final = 0.25
# A gang that is blocked for longer releases its members, so that running gangs can use them as
# replacements.
ACQUIRE_TIMEOUT_SECONDS: Final = 12.0
# How long an engine that failed a gang is excluded from it.
FAILED_EXCLUSION_SECONDS: Final = 6.0


@final
class GangPlan:
    """Requirements of a gang: memory in tokens for each chunk, and times in model seconds.

    ``ideal`` is the duration of the whole prefill on idle engines, ``arrived`` when the request
    arrived, and ``give_up_at`` the latest time at which all members must be acquired.
    """

    __slots__ = (
        "arrived",
        "excluded_until",
        "give_up_at",
        "ideal",
        "model",
        "needs",
        "reservation",
        "service",
    )

    def __init__(
        self,
        *,
        reservation: str,
        service: str,
        model: str,
        needs: tuple[int, ...],
        ideal: float,
        arrived: float,
        give_up_at: float,
    ) -> None:
        self.reservation = reservation
        self.service = service
        self.model = model
        self.needs = needs
        self.ideal = ideal
        self.arrived = arrived
        self.give_up_at = give_up_at
        # Engines that failed this gang, and until when they are excluded from it.
        self.excluded_until: dict[str, float] = {}


@final
class GangAcquirer:
    """Acquire the members of one entry's gangs."""

    __slots__ = ("_backpressure", "_random", "_reservations", "_stale_seconds", "_timers", "_view")

    def __init__(
        self,
        *,
        reservations: EntryReservations,
        view: FleetView,
        backpressure: EntryBackpressure,
        timers: TimerService,
        stale_load: float,
    ) -> None:
        self._reservations = reservations
        self._view = view
        self._backpressure = backpressure
        self._timers = timers
        self._stale_seconds = stale_load
        self._random = random.Random()

    def all_candidates(self, service: str, model: str) -> list[GangCandidate]:
        """Return all engines that could become members, including unresponsive ones."""
        return [
            self._candidate(upstream)
            for upstream in self._view.live_upstreams(service)
            if upstream.id in self._view.loads
            and model in self._view.loads[upstream.id].report.models
        ]

    async def acquire(self, plan: GangPlan) -> tuple[Upstream, ...]:
        """Return one reserved member for each chunk, ascending by id.

        Raises `DeadlineBeforeStart` if they are not acquired by ``plan.give_up_at``, and
        `NoUpstream` once all candidates have asked for no requests.
        """
        members: list[Upstream] = []
        done = False
        try:
            while not done:
                self._check_time(plan)
                self._check_accepting(plan)
                if await self._has_turn(plan):
                    done = await self._acquire_in_turn(plan, members)
                else:
                    await self._timers.sleep(POLL_SECONDS)
            return tuple(members)
        finally:
            self._reservations.end_turn(plan.reservation)
            if not done:
                self._release(plan, members)

    async def replace(self, plan: GangPlan, *, tokens: int, members: set[str]) -> Upstream | None:
        """Return a reserved replacement for a failed engine; ``None`` if there is none in time."""
        give_up_at = min(
            self._timers.now() + ACQUIRE_TIMEOUT_SECONDS * (1 + self._random.random()),
            plan.give_up_at,
        )
        refused: set[str] = set()
        while self._timers.now() < give_up_at:
            candidates = self._candidates(plan, excluding=members)
            chosen = choose_next_member(
                candidates, missing=1, after="", tokens=tokens, refused=refused
            )
            if chosen is None:
                refused.clear()
                await self._timers.sleep(POLL_SECONDS)
            elif await self._claim(plan, chosen, tokens):
                self._release_refused(plan, refused)
                return chosen
            else:
                self._mark_refused(refused, chosen, candidates)
                await self._timers.sleep(POLL_SECONDS)
        self._release_refused(plan, refused)
        return None

    async def _has_turn(self, plan: GangPlan) -> bool:
        waited = self._timers.now() - plan.arrived
        try:
            return await self._reservations.request_turn(
                plan.reservation, waited=waited, ideal=plan.ideal
            )
        except PeerUnavailable:
            return False

    async def _acquire_in_turn(self, plan: GangPlan, members: list[Upstream]) -> bool:
        refused: set[str] = set()
        release_at = self._timers.now() + ACQUIRE_TIMEOUT_SECONDS
        try:
            while len(members) < len(plan.needs):
                self._check_time(plan)
                self._check_accepting(plan)
                if not await self._has_turn(plan) or self._timers.now() > release_at:
                    self._release(plan, members)
                    return False
                await self._claim_next(plan, members, refused)
            return True
        finally:
            self._release_refused(plan, refused - {member.id for member in members})

    async def _claim_next(self, plan: GangPlan, members: list[Upstream], refused: set[str]) -> None:
        candidates = self._candidates(plan, excluding=set())
        tokens = plan.needs[len(members)]
        chosen = choose_next_member(
            candidates,
            missing=len(plan.needs) - len(members),
            after=members[-1].id if members else "",
            tokens=tokens,
            refused=refused,
        )
        if chosen is None:
            # Too few candidates have ids above the last member's; start over with all candidates.
            self._release(plan, members)
            await self._timers.sleep(POLL_SECONDS)
        elif await self._claim(plan, chosen, tokens):
            members.append(chosen)
        else:
            self._mark_refused(refused, chosen, candidates)
            await self._timers.sleep(POLL_SECONDS)

    async def _claim(self, plan: GangPlan, upstream: Upstream, tokens: int) -> bool:
        claim = MemoryClaim(upstream=upstream.id, tokens=tokens)
        try:
            response = await self._reservations.claim(plan.reservation, claim, gang=True)
        except PeerUnavailable:
            return False
        return response.granted

    def _candidates(self, plan: GangPlan, *, excluding: set[str]) -> list[GangCandidate]:
        now = self._timers.now()
        paused = self._backpressure.upstreams()
        return [
            candidate
            for candidate in self.all_candidates(plan.service, plan.model)
            if candidate.upstream.id not in excluding
            and candidate.upstream.id not in paused
            and plan.excluded_until.get(candidate.upstream.id, 0.0) < now
        ]

    def _candidate(self, upstream: Upstream) -> GangCandidate:
        load = self._view.loads[upstream.id]
        # An engine without recent reports may have been removed; its owner finds out when memory on
        # it is requested.
        fresh = self._timers.now() - load.measured_at <= self._stale_seconds
        return GangCandidate(upstream=upstream, load=load, fresh=fresh)

    def _mark_refused(
        self, refused: set[str], chosen: Upstream, candidates: list[GangCandidate]
    ) -> None:
        refused.add(chosen.id)
        if all(candidate.upstream.id in refused for candidate in candidates):
            refused.clear()

    def _release(self, plan: GangPlan, members: list[Upstream]) -> None:
        self._reservations.release_claims(plan.reservation, tuple(member.id for member in members))
        members.clear()

    def _release_refused(self, plan: GangPlan, refused: set[str]) -> None:
        self._reservations.release_claims(plan.reservation, tuple(refused))

    def _check_accepting(self, plan: GangPlan) -> None:
        upstreams = [
            candidate.upstream for candidate in self.all_candidates(plan.service, plan.model)
        ]
        retry_after = self._backpressure.retry_after(upstreams)
        if retry_after is not None:
            raise NoUpstream(
                f"all engines of {plan.service} asked for no requests", retry_after=retry_after
            )

    def _check_time(self, plan: GangPlan) -> None:
        if self._timers.now() >= plan.give_up_at:
            raise DeadlineBeforeStart(
                f"the {len(plan.needs)} engines of the gang could not be acquired within "
                f"{self._timers.now() - plan.arrived:.1f} s"
            )
