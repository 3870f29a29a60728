"""Admission queue for upstreams: place requests by load and plan, or queue or refuse them."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from typing import Final
from typing import final

from baobabpulley.errors import NoUpstream
from baobabpulley.errors import Overloaded
from baobabpulley.gateway.placement.candidates import CandidateList
from baobabpulley.gateway.placement.evacuation_refusal import evacuation_error
from baobabpulley.gateway.placement.placement import Placement
from baobabpulley.gateway.placement.planning import PlacementRequest
from baobabpulley.gateway.placement.planning import PromptPlanner
from baobabpulley.gateway.placement.upstream_chooser import NO_EXCLUSIONS
from baobabpulley.gateway.placement.upstream_chooser import UpstreamChooser
from baobabpulley.gateway.placement.upstream_record import UpstreamRecord
from baobabpulley.gateway.placement.waiting_requests import WaitingRequest
from baobabpulley.gateway.placement.waiting_requests import WaitingRequests
from baobabpulley.gateway.placement.warm_up import WarmUp
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.account_use import AccountUse
from baobabpulley.policy.fleet_load import LoadTracker
from baobabpulley.timers import TimerService

SERVE_PERIOD_SECONDS: Final = 0.025
# Assumed duration of a service's calls before any has been observed.
INITIAL_CALL_SECONDS: Final = 0.1
# Weight of the latest call in the moving average of a service's call duration.
CALL_EWMA_WEIGHT: Final = 0.1


@final
class Placer:
    """Place requests on the upstreams of their service, or queue them until one has capacity."""

    __slots__ = (
        "_call_seconds",
        "_candidates",
        "_chooser",
        "_evacuated",
        "_fleet_state",
        "_loads",
        "_planner",
        "_random",
        "_record",
        "_timers",
        "_waiting",
        "_warm_up",
    )

    def __init__(
        self,
        *,
        candidates: CandidateList,
        fleet_state: FleetState,
        loads: LoadTracker,
        record: UpstreamRecord,
        timers: TimerService,
        max_waiting: int,
        source: random.Random | None = None,
        use: AccountUse | None = None,
    ) -> None:
        self._candidates = candidates
        self._loads = loads
        self._record = record
        self._timers = timers
        self._random = source or random.Random()
        self._planner = PromptPlanner(source=self._random)
        self._warm_up = WarmUp(candidates=candidates, cold=record.cold, loads=loads, timers=timers)
        self._call_seconds: dict[str, float] = defaultdict(lambda: INITIAL_CALL_SECONDS)
        self._chooser = UpstreamChooser(
            candidates=candidates,
            loads=loads,
            record=record,
            planner=self._planner,
            warm_up=self._warm_up,
            timers=timers,
            source=self._random,
        )
        self._waiting = WaitingRequests(
            fleet_state=fleet_state,
            use=use or AccountUse(),
            timers=timers,
            max_waiting=max_waiting,
            call_seconds=lambda service: self._call_seconds[service],
        )
        self._fleet_state = fleet_state
        self._evacuated = fleet_state.evacuations.domains
        fleet_state.listen(self._follow_fleet)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for an upstream."""
        return len(self._waiting)

    @property
    def waiting_accounts(self) -> int:
        """Number of client accounts with requests that wait."""
        return self._waiting.accounts

    def start(self) -> None:
        """Serve the queues periodically, as other gateways' loads change without an event here."""
        self._timers.every(SERVE_PERIOD_SECONDS, self.serve_queues, name="waiting requests")

    async def place(self, request: PlacementRequest) -> Placement:
        """Return where an attempt goes, once there is room; raise `NoUpstream` or `Overloaded`."""
        self._check_available(request)
        if not self._waiting.must_join(request):
            placement = self._chooser.place(request)
            if placement is not None:
                self._waiting.record_served(request)
                return placement
            return await self._wait(request, offer=False)
        return await self._wait(request, offer=self._waiting.is_fair)

    def place_now(self, request: PlacementRequest) -> Placement | None:
        """Return where an attempt goes if there is room at once, or else ``None``."""
        service = request.service.name
        if not self._candidates.has_any(service, excluded=request.excluded):
            return None
        try:
            return self._chooser.place(request)
        except (NoUpstream, Overloaded):
            return None

    def can_place(self, request: PlacementRequest) -> bool:
        """Whether there is room for a prompt at once; nothing is placed."""
        return self._chooser.can_place(request)

    def backpressure_error(self, request: PlacementRequest) -> Overloaded | None:
        """Return the error to report if all upstreams of the service asked for no requests."""
        service = request.service.name
        seconds = self._candidates.backpressure_seconds(service)
        if seconds is None:
            return None
        return Overloaded(
            f"all upstreams of {service} asked for no requests, the first for {seconds:.2f} s more",
            retry_after=self._planner.retry_after(
                request.times, now=self._timers.now(), expected=seconds
            ),
        )

    def end_prefill(self, placement: Placement) -> None:
        """Record that the prompt of an attempt has been prefilled."""
        now = self._timers.now()
        for dispatch in placement.dispatches:
            self._loads.end_prefill(dispatch, now=now)

    def end(self, placement: Placement) -> None:
        """Record that an attempt is over, and serve the queues."""
        now = self._timers.now()
        for dispatch in placement.dispatches:
            self._loads.end(dispatch, now=now)
        placement.dispatches.clear()
        service = placement.upstream.service
        elapsed = now - placement.started
        self._call_seconds[service] += CALL_EWMA_WEIGHT * (elapsed - self._call_seconds[service])
        self.serve_queues()

    def is_beyond_slots(self, upstream: ListedUpstream) -> bool:
        """Whether more requests are at an upstream than it runs at once, so that some wait there.

        Gateways that don't know of each other's latest placements may meet on one upstream.
        """
        load = self._loads.load(upstream.id, now=self._timers.now())
        return load.in_flight > upstream.slots

    def silent_upstreams(self) -> frozenset[str]:
        """Return the ids of silent upstreams, without those whose known prefills explain it."""
        return self._chooser.silent_upstreams()

    def _follow_fleet(self) -> None:
        """Refuse what can't be placed any more as an evacuation has begun, and serve the others."""
        evacuated = self._fleet_state.evacuations.domains
        if evacuated != self._evacuated:
            self._evacuated = evacuated
            for waiter in self._waiting.requests():
                self._refuse_unless_placeable(waiter)
        self.serve_queues()

    def _refuse_unless_placeable(self, waiter: WaitingRequest) -> None:
        if waiter.future.done():
            return
        try:
            self._check_available(waiter.request)
            self._check_size(waiter.request)
        except (NoUpstream, Overloaded) as error:
            self._waiting.record_refused(waiter)
            waiter.future.set_exception(error)

    def serve_queues(self) -> None:
        """Place the queued requests that have room now; refuse those that waited too long."""
        for service in self._waiting.services:
            for expired in self._waiting.take_expired(service):
                self._refuse_expired(expired)
            if self._may_have_room(service):
                self._waiting.serve(service, self._try_waiting)

    def _refuse_expired(self, waiter: WaitingRequest) -> None:
        request = waiter.request
        error = Overloaded(
            f"no upstream of {request.service.name} had capacity in time",
            retry_after=self._retry_after(request),
        )
        waiter.future.set_exception(error)

    def _try_waiting(self, waiter: WaitingRequest) -> bool:
        """Place a queued request or refuse it; return whether it is done with."""
        if waiter.future.done():
            return True
        try:
            self._check_available(waiter.request)
            placement = self._chooser.place(waiter.request)
        except (NoUpstream, Overloaded) as error:
            self._waiting.record_refused(waiter)
            waiter.future.set_exception(error)
            return True
        if placement is None:
            return False
        self._waiting.record_served(waiter.request)
        waiter.future.set_result(placement)
        return True

    def _check_available(self, request: PlacementRequest) -> None:
        """Raise `NoUpstream` or `Overloaded` if no upstream may get the request for now."""
        service = request.service.name
        if self._candidates.has_any(service, excluded=request.excluded):
            return
        evacuated = self._candidates.evacuated_domains(service)
        raise (
            self.backpressure_error(request)
            or evacuation_error(service, evacuated, source=self._random)
            or NoUpstream(
                f"service {service} has no upstream left for the request",
                retry_after=self._retry_after(request),
            )
        )

    def _may_have_room(self, service: str) -> bool:
        """Whether to try the queued requests: not if all slots are taken."""
        subset = self._candidates.in_subset(service, excluded=NO_EXCLUSIONS)
        return (
            self._candidates.exceeds_subset(service)
            or not subset
            or any(candidate.has_slot for candidate in subset)
        )

    async def _wait(self, request: PlacementRequest, *, offer: bool) -> Placement:
        waiter = self._waiting.add(request)
        try:
            if offer:
                self._serve_arrival(waiter)
            if not waiter.future.done():
                self._check_wait(waiter)
            return await waiter.future
        except asyncio.CancelledError:
            # The caller disconnected while the placement was being handed over.
            if waiter.future.done() and not waiter.future.cancelled():
                self._end_unused(waiter.future)
            raise
        finally:
            self._waiting.discard(waiter)

    def _serve_arrival(self, waiter: WaitingRequest) -> None:
        """Offer an arriving request, and those before it, to what had room in the last pass."""
        service = waiter.request.service.name
        self._check_size(waiter.request)
        if self._may_have_room(service):
            self._waiting.serve(service, self._try_waiting, only_unblocked=True)

    def _check_size(self, request: PlacementRequest) -> None:
        """Raise `TooFewEngines` if all engines together cannot hold a prompt."""
        if request.engine is None or request.accepts_any_slot:
            return
        service, excluded = request.service.name, request.excluded
        candidates = self._candidates.all(service, excluded=excluded)
        engines = len(candidates) + len(self._candidates.held_back(service, excluded=excluded))
        self._planner.check_size(request, engines, request.engine, self._timers.now())

    def _check_wait(self, waiter: WaitingRequest) -> None:
        """Raise `Overloaded` if a request is not expected to be placed in time."""
        request, times = waiter.request, waiter.request.times
        service = request.service.name
        candidates = self._candidates.all(service, excluded=request.excluded)
        slots = sum(candidate.upstream.slots for candidate in candidates)
        ahead = self._waiting.position(waiter)
        expected = (ahead + 1) * self._call_seconds[service] / max(1, slots)
        expected = max(expected, self._warm_up.permit_wait(request, ahead=ahead))
        now = self._timers.now()
        if self._waiting.is_full(service) or now + expected > times.wait_until:
            self._waiting.record_refused(waiter, expected=expected)
            raise Overloaded(
                f"about {expected:.2f} s until an upstream of {service} has capacity",
                retry_after=self._planner.retry_after(times, now=now, expected=expected),
            )

    def _end_unused(self, future: asyncio.Future[Placement]) -> None:
        if future.exception() is None:
            placement = future.result()
            self.end(placement)
            self._record.record_inconclusive(placement.upstream)

    def _retry_after(self, request: PlacementRequest) -> float:
        return self._planner.retry_after(request.times, now=self._timers.now())
