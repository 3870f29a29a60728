"""Choose an upstream for each request, or queue the request in its lane until one has room."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import final

import msgspec

from baobabpulley.entry.backpressure import EntryBackpressure
from baobabpulley.entry.lane_queues import LaneQueues
from baobabpulley.entry.load_estimates import LoadEstimates
from baobabpulley.entry.outstanding import UpstreamEstimate
from baobabpulley.entry.placements import Placement
from baobabpulley.entry.placements import Waiter
from baobabpulley.entry.short_lane_rate import ShortLaneRate
from baobabpulley.entry.wait_check import WaitCheck
from baobabpulley.errors import DeadlineBeforeStart
from baobabpulley.errors import NoUpstream
from baobabpulley.model.blocks import chained_block_hashes
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.messages import CacheDelta
from baobabpulley.model.requests import CompletionRequest
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.admission import AdmissionSection
from baobabpulley.policy.fairness import DeficitQueue
from baobabpulley.policy.lanes import SHORT
from baobabpulley.policy.lanes import LanesSection
from baobabpulley.policy.routing import RoutingPolicy
from baobabpulley.policy.routing import RoutingSection
from baobabpulley.policy.routing import routing_policies
from baobabpulley.timers import TimerHandle
from baobabpulley.timers import TimerService

SERVE_PERIOD_SECONDS: Final = 0.1


@final
class Placer:
    """Admit the requests of one entry, queue them by lane, and assign them to upstreams."""

    __slots__ = (
        "_estimates",
        "_policy",
        "_queues",
        "_routing",
        "_short_rate",
        "_ticker",
        "_timers",
        "_view",
        "_wait_check",
    )

    def __init__(
        self,
        *,
        view: FleetView,
        estimates: LoadEstimates,
        policy: RoutingPolicy,
        routing: RoutingSection,
        lanes: LanesSection,
        admission: AdmissionSection,
        timers: TimerService,
    ) -> None:
        self._view = view
        self._estimates = estimates
        self._policy = policy
        self._routing = routing
        self._timers = timers
        self._short_rate = ShortLaneRate()
        self._ticker: TimerHandle | None = None
        self._queues = LaneQueues(lanes=lanes, weight=self._team_weight, timers=timers)
        self._wait_check = WaitCheck(
            admission=admission,
            estimates=estimates,
            queues=self._queues,
            short_rate=self._short_rate,
            view=view,
            timers=timers,
        )

    @property
    def waiting(self) -> int:
        """Number of requests that are queued."""
        return len(self._queues)

    async def place(
        self,
        request: CompletionRequest,
        *,
        lane: str,
        excluded: frozenset[str],
        queued_at: float | None = None,
    ) -> Placement:
        """Wait for an upstream with room, and count the request as dispatched to it.

        ``queued_at`` is the time at which a request that was placed before entered its lane: it was
        admitted then, and only its deadline bounds its wait.
        Raises `NoUpstream` if no upstream is eligible, `Overloaded` if the estimated wait exceeds
        the admission bounds, and `DeadlineBeforeStart` once the deadline cannot be met any more.
        """
        waiter = self._make_waiter(request, lane, excluded, queued_at)
        eligible = self._eligible(waiter)
        queue = self._queues.of_lane(lane)
        room = [] if len(queue) else self._with_room(waiter, eligible)
        if queued_at is None:
            self._wait_check.check(waiter, eligible, waits=not room)
        return self._dispatch(waiter, room) if room else await self._wait(waiter, queue)

    def record_first_token(self, placement: Placement) -> None:
        """Record that the prefill of an attempt has completed."""
        if placement.attempt.prefilled_at is None:
            placement.attempt.prefilled_at = self._timers.now()
            self._estimates.prefixes.add(placement.upstream.id, placement.blocks)
            self._serve()

    def record_end(self, placement: Placement) -> None:
        """Record that an attempt has ended, whether it succeeded or failed."""
        placement.attempt.ended_at = self._timers.now()
        self._serve()

    def record_usage(self, placement: Placement, *, cached_tokens: int) -> None:
        """Compare the cache hit that an engine reports with the estimate."""
        self._estimates.prefixes.check_usage(
            placement.upstream.id, expected=placement.cached_tokens, cached_tokens=cached_tokens
        )

    def receive(self, message: msgspec.Struct, sender: str) -> None:
        """Apply the cache deltas that the keeper publishes; ignore other messages."""
        del sender
        if isinstance(message, CacheDelta):
            self._estimates.prefixes.apply(message)

    def suspect(self, upstream: str, *, seconds: float) -> None:
        """Exclude an upstream until its next load report, or else for at least ``seconds``."""
        self._estimates.suspect(upstream, seconds=seconds)

    def backpressure_error(self, request: CompletionRequest) -> NoUpstream | None:
        """Return the error to report if all upstreams of a request asked for no requests."""
        return self._estimates.backpressure_error(request)

    def pause_long_requests(self, upstream: str) -> None:
        """Send an upstream no long requests for a short time: others have reserved its memory."""
        self._estimates.pause_long_requests(upstream)

    def _make_waiter(
        self,
        request: CompletionRequest,
        lane: str,
        excluded: frozenset[str],
        queued_at: float | None,
    ) -> Waiter:
        blocks = chained_block_hashes(request.prompt.encode()) if self._routing.prefix_aware else ()
        return Waiter(
            request=request,
            lane=lane,
            excluded=excluded,
            blocks=blocks,
            ideal=request.prompt_tokens / self._routing.prefill_rate,
            queued_at=self._timers.now() if queued_at is None else queued_at,
        )

    async def _wait(self, waiter: Waiter, queue: DeficitQueue[Waiter]) -> Placement:
        request = waiter.request
        queue.push(request.team, waiter)
        self._start_ticker()
        delivered = False
        try:
            async with self._timers.timeout(request.deadline - waiter.ideal - self._timers.now()):
                placement = await waiter.future
            delivered = True
            return placement
        except TimeoutError:
            raise DeadlineBeforeStart(
                f"no engine had room within {self._timers.now() - waiter.queued_at:.1f} s, "
                "and the prompt cannot be prefilled in the time that remains before the deadline"
            ) from None
        finally:
            queue.remove(request.team, waiter)
            if not delivered:
                self._cancel_placement(waiter.future)

    def _cancel_placement(self, future: asyncio.Future[Placement]) -> None:
        """Cancel a placement, or record its end if it came after the waiter had given up."""
        if not future.done():
            future.cancel()
        elif not future.cancelled() and future.exception() is None:
            self.record_end(future.result())

    def _start_ticker(self) -> None:
        if self._ticker is None or not self._ticker.active:
            self._ticker = self._timers.every(SERVE_PERIOD_SECONDS, self._on_tick, name="lanes")

    def _on_tick(self) -> None:
        if self.waiting:
            self._serve()
        elif self._ticker is not None:
            self._ticker.cancel()

    def _serve(self) -> None:
        """Place the queued requests that have room: the short lane first, then the long one."""
        while (waiter := self._queues.short.head()) is not None and self._try_place(
            self._queues.short, waiter
        ):
            pass
        while (waiter := self._queues.next_long()) is not None and self._try_place(
            self._queues.long, waiter
        ):
            pass

    def _try_place(self, queue: DeficitQueue[Waiter], waiter: Waiter) -> bool:
        if waiter.future.done():
            queue.remove(waiter.request.team, waiter)
            return True
        try:
            eligible = self._eligible(waiter)
        except NoUpstream as error:
            queue.remove(waiter.request.team, waiter)
            waiter.future.set_exception(error)
            return True
        room = self._with_room(waiter, eligible)
        if not room:
            return False
        queue.charge(waiter.request.team, waiter)
        waiter.future.set_result(self._dispatch(waiter, room))
        return True

    def _eligible(self, waiter: Waiter) -> list[Upstream]:
        return self._estimates.eligible(waiter.request, excluded=waiter.excluded)

    def _with_room(
        self, waiter: Waiter, eligible: list[Upstream]
    ) -> list[tuple[Upstream, UpstreamEstimate]]:
        """Return the upstreams that have room for the request now, and their load estimates."""
        estimates = self._estimates
        estimated = [
            (upstream, estimates.estimate(upstream.id, lane=waiter.lane)) for upstream in eligible
        ]
        return [
            (upstream, estimate)
            for upstream, estimate in estimated
            if estimates.has_room(upstream, waiter.request, lane=waiter.lane, estimate=estimate)
        ]

    def _dispatch(self, waiter: Waiter, room: list[tuple[Upstream, UpstreamEstimate]]) -> Placement:
        """Choose among the upstreams with room and count the request as dispatched."""
        request = waiter.request
        candidates = [
            self._estimates.candidate(upstream, request, blocks=waiter.blocks, estimate=estimate)
            for upstream, estimate in room
        ]
        chosen = self._policy.choose(candidates, prompt_tokens=request.prompt_tokens)
        attempt = self._estimates.record_dispatch(chosen, request, lane=waiter.lane)
        if waiter.lane == SHORT:
            self._short_rate.add(request.team, attempt.tokens, at=attempt.sent_at)
        return Placement(
            upstream=chosen.upstream,
            attempt=attempt,
            blocks=waiter.blocks,
            cached_tokens=chosen.cached_tokens,
            queued_at=waiter.queued_at,
        )

    def _team_weight(self, team: str) -> float:
        return self._view.settings_state.access(team).weight


def make_placer(
    *,
    vm: str,
    view: FleetView,
    routing: RoutingSection,
    lanes: LanesSection,
    admission: AdmissionSection,
    backpressure: EntryBackpressure,
    timers: TimerService,
) -> Placer:
    """Return a placer with the configured policy; ``vm`` is the id of this entry's VM."""
    estimates = LoadEstimates(
        vm=vm, view=view, routing=routing, lanes=lanes, backpressure=backpressure, timers=timers
    )
    return Placer(
        view=view,
        estimates=estimates,
        policy=routing_policies.lookup(routing.policy)(),
        routing=routing,
        lanes=lanes,
        admission=admission,
        timers=timers,
    )
