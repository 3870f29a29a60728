"""Choose an upstream for a request, or let the request wait in its lane until one has room."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import final

import msgspec

from baobabpulley.entry.load_estimates import LoadEstimates
from baobabpulley.entry.outstanding import DispatchedAttempt
from baobabpulley.entry.outstanding import UpstreamEstimate
from baobabpulley.entry.short_lane_rate import ShortLaneRate
from baobabpulley.errors import DeadlineBeforeStart
from baobabpulley.errors import NoUpstream
from baobabpulley.model.blocks import chained_block_hashes
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.messages import CacheDelta
from baobabpulley.model.requests import CompletionRequest
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.admission import AdmissionSection
from baobabpulley.policy.admission import check_wait
from baobabpulley.policy.admission import short_wait
from baobabpulley.policy.fairness import DeficitQueue
from baobabpulley.policy.lanes import SHORT
from baobabpulley.policy.lanes import LanesSection
from baobabpulley.policy.lanes import response_ratio
from baobabpulley.policy.routing import RoutingPolicy
from baobabpulley.policy.routing import RoutingSection
from baobabpulley.policy.routing import routing_policies
from baobabpulley.ports.engine import PRIORITY_LONG
from baobabpulley.ports.engine import PRIORITY_SHORT
from baobabpulley.timers import Subscription
from baobabpulley.timers import TimerService

SERVE_PERIOD_SECONDS: Final = 0.1


@final
class Placement:
    """An attempt's upstream, what it counts as there, and what its cache was thought to hold.

    ``since`` is when the request came to its lane.
    """

    __slots__ = ("attempt", "blocks", "cached_tokens", "since", "upstream")

    def __init__(
        self,
        *,
        upstream: Upstream,
        attempt: DispatchedAttempt,
        blocks: tuple[int, ...],
        cached_tokens: float,
        since: float,
    ) -> None:
        self.upstream = upstream
        self.attempt = attempt
        self.blocks = blocks
        self.cached_tokens = cached_tokens
        self.since = since

    @property
    def waited(self) -> float:
        """How long the request was in its lane."""
        return self.attempt.sent_at - self.since


class _Waiter:
    """A request that waits, and the future that gets its placement."""

    __slots__ = ("blocks", "excluded", "future", "ideal", "lane", "request", "since")

    def __init__(
        self,
        *,
        request: CompletionRequest,
        lane: str,
        excluded: frozenset[str],
        blocks: tuple[int, ...],
        ideal: float,
        since: float,
    ) -> None:
        self.request = request
        self.lane = lane
        self.excluded = excluded
        self.blocks = blocks
        self.ideal = ideal
        self.since = since
        self.future: asyncio.Future[Placement] = asyncio.get_running_loop().create_future()


@final
class Placer:
    """The waiting requests of one entry, and what it knows of the upstreams' load."""

    __slots__ = (
        "_admission",
        "_estimates",
        "_lanes",
        "_longs",
        "_policy",
        "_routing",
        "_short_rate",
        "_shorts",
        "_ticker",
        "_timers",
        "_view",
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
        self._lanes = lanes
        self._admission = admission
        self._timers = timers
        self._short_rate = ShortLaneRate()
        self._ticker: Subscription | None = None
        self._shorts: DeficitQueue[_Waiter] = DeficitQueue(
            quantum=lanes.short_quantum, cost=_cost, weight=self._weight
        )
        self._longs: DeficitQueue[_Waiter] = DeficitQueue(
            quantum=lanes.long_quantum, cost=_cost, rank=self._rank, weight=self._weight
        )

    @property
    def waiting(self) -> int:
        """Requests that wait for an upstream."""
        return len(self._shorts) + len(self._longs)

    async def place(
        self,
        request: CompletionRequest,
        *,
        lane: str,
        excluded: frozenset[str],
        since: float | None = None,
    ) -> Placement:
        """Return an upstream with room, counted as sent from now on.

        ``since`` is when the request came to its lane, if it has been there before: it was admitted
        then, and only its deadline bounds its wait.
        Raises `NoUpstream` if none is fit, `Overloaded` if the wait cannot end in time, and
        `DeadlineBeforeStart` once the deadline can no longer be met.
        """
        waiter = self._waiter(request, lane, excluded, since)
        fit = self._fit(waiter)
        queue = self._queue(lane)
        room = [] if len(queue) else self._room(waiter, fit)
        if since is None:
            self._check_admission(waiter, fit, waits=not room)
        return self._send(waiter, room) if room else await self._wait(waiter, queue)

    def record_first_token(self, placement: Placement) -> None:
        """Note that the prefill of an attempt is done."""
        if placement.attempt.prefilled_at is None:
            placement.attempt.prefilled_at = self._timers.now()
            self._estimates.prefixes.add(placement.upstream.id, placement.blocks)
            self._serve()

    def record_end(self, placement: Placement) -> None:
        """Note that an attempt has ended, well or not."""
        placement.attempt.ended_at = self._timers.now()
        self._serve()

    def record_usage(self, placement: Placement, *, cached_tokens: int) -> None:
        """Compare the reported cache hit with the estimate."""
        self._estimates.prefixes.check_usage(
            placement.upstream.id, expected=placement.cached_tokens, cached_tokens=cached_tokens
        )

    def receive(self, message: msgspec.Struct, sender: str) -> None:
        """Take over cache news that the keeper publishes."""
        del sender
        if isinstance(message, CacheDelta):
            self._estimates.prefixes.apply(message)

    def suspect(self, upstream: str, *, seconds: float) -> None:
        """Give an upstream no work until it reports anew, or for ``seconds`` and longer."""
        self._estimates.suspect(upstream, seconds=seconds)

    def pause_long_requests(self, upstream: str) -> None:
        """Give an upstream no longs for a moment: its memory is reserved for others."""
        self._estimates.pause_long_requests(upstream)

    def _waiter(
        self,
        request: CompletionRequest,
        lane: str,
        excluded: frozenset[str],
        since: float | None,
    ) -> _Waiter:
        blocks = chained_block_hashes(request.prompt.encode()) if self._routing.prefix_aware else ()
        return _Waiter(
            request=request,
            lane=lane,
            excluded=excluded,
            blocks=blocks,
            ideal=request.prompt_tokens / self._routing.prefill_rate,
            since=self._timers.now() if since is None else since,
        )

    def _queue(self, lane: str) -> DeficitQueue[_Waiter]:
        return self._shorts if lane == SHORT else self._longs

    async def _wait(self, waiter: _Waiter, queue: DeficitQueue[_Waiter]) -> Placement:
        request = waiter.request
        queue.push(request.team, waiter)
        self._start_ticker()
        given = False
        try:
            async with self._timers.limit(request.deadline - waiter.ideal - self._timers.now()):
                placement = await waiter.future
            given = True
            return placement
        except TimeoutError:
            raise DeadlineBeforeStart(
                f"no engine had room within {self._timers.now() - waiter.since:.1f} s, "
                "and the rest of the time is too short for the prompt"
            ) from None
        finally:
            queue.remove(request.team, waiter)
            if not given:
                self._undo(waiter.future)

    def _undo(self, future: asyncio.Future[Placement]) -> None:
        """Give a placement back that came too late for its waiter."""
        if not future.done():
            future.cancel()
        elif not future.cancelled() and future.exception() is None:
            self.record_end(future.result())

    def _start_ticker(self) -> None:
        if self._ticker is None or not self._ticker.active:
            self._ticker = self._timers.every(SERVE_PERIOD_SECONDS, self._tick, name="lanes")

    def _tick(self) -> None:
        if self.waiting:
            self._serve()
        elif self._ticker is not None:
            self._ticker.cancel()

    def _serve(self) -> None:
        """Place whatever has room: shorts first, then longs."""
        while (waiter := self._shorts.head()) is not None and self._give(self._shorts, waiter):
            pass
        while (waiter := self._next_long()) is not None and self._give(self._longs, waiter):
            pass

    def _next_long(self) -> _Waiter | None:
        oldest = min(self._longs, key=lambda waiter: waiter.since, default=None)
        if oldest is None:
            return None
        overdue = self._timers.now() - oldest.since > self._lanes.long_wait_bound
        return oldest if overdue else self._longs.head()

    def _give(self, queue: DeficitQueue[_Waiter], waiter: _Waiter) -> bool:
        if waiter.future.done():
            queue.remove(waiter.request.team, waiter)
            return True
        try:
            fit = self._fit(waiter)
        except NoUpstream as error:
            queue.remove(waiter.request.team, waiter)
            waiter.future.set_exception(error)
            return True
        room = self._room(waiter, fit)
        if not room:
            return False
        queue.charge(waiter.request.team, waiter)
        waiter.future.set_result(self._send(waiter, room))
        return True

    def _fit(self, waiter: _Waiter) -> list[Upstream]:
        return self._estimates.eligible(waiter.request, excluded=waiter.excluded)

    def _room(
        self, waiter: _Waiter, fit: list[Upstream]
    ) -> list[tuple[Upstream, UpstreamEstimate]]:
        """Return the upstreams that may get the request now, and what is estimated of them."""
        estimates = self._estimates
        found = [(upstream, estimates.estimate(upstream.id, lane=waiter.lane)) for upstream in fit]
        return [
            (upstream, estimate)
            for upstream, estimate in found
            if estimates.has_room(upstream, waiter.request, lane=waiter.lane, estimate=estimate)
        ]

    def _send(self, waiter: _Waiter, room: list[tuple[Upstream, UpstreamEstimate]]) -> Placement:
        """Choose among the upstreams with room and count the request as sent."""
        request = waiter.request
        candidates = [
            self._estimates.candidate(upstream, request, blocks=waiter.blocks, estimate=estimate)
            for upstream, estimate in room
        ]
        chosen = self._policy.choose(candidates, prompt_tokens=request.prompt_tokens)
        sent = self._estimates.record_dispatch(chosen, request, lane=waiter.lane)
        if waiter.lane == SHORT:
            self._short_rate.add(request.team, sent.tokens, at=sent.sent_at)
        return Placement(
            upstream=chosen.upstream,
            attempt=sent,
            blocks=waiter.blocks,
            cached_tokens=chosen.cached_tokens,
            since=waiter.since,
        )

    def _check_admission(self, waiter: _Waiter, fit: list[Upstream], *, waits: bool) -> None:
        """Raise `Overloaded` unless the request fits the bounds; entries share evenly."""
        entries = max(1, len(self._view.keepers))
        rate = sum(self._estimates.rate(upstream.id) for upstream in fit) / entries
        if waiter.lane == SHORT:
            wait, service = self._short_wait(waiter, rate) + self._backlog(fit), waiter.ideal
            bound = self._admission.max_short_wait
        else:
            share = self._long_share(rate)
            total = sum(_cost(item) for item in self._longs) + _cost(waiter)
            running = sum(
                self._estimates.ahead_tokens(upstream.id, PRIORITY_LONG) for upstream in fit
            )
            wait = (total + running / entries) / (rate * share)
            service = waiter.ideal / share
            bound = float("inf")
        check_wait(
            wait=wait if waits else 0.0,
            service=service,
            remaining=waiter.request.deadline - self._timers.now(),
            bound=bound,
        )

    def _short_wait(self, waiter: _Waiter, rate: float) -> float:
        team = waiter.request.team
        own = self._shorts.of_team(team)
        return short_wait(
            own_tokens=sum(_cost(item) for item in own) + _cost(waiter),
            total_tokens=sum(_cost(item) for item in self._shorts) + _cost(waiter),
            teams=self._shorts.teams + (0 if own else 1),
            rate=rate,
            others_rate=self._short_rate.rate_of_others(team, now=self._timers.now()),
        )

    def _backlog(self, fit: list[Upstream]) -> float:
        """Return the model seconds that a short waits at the best engine itself."""
        estimates = self._estimates
        return min(
            estimates.ahead_tokens(upstream.id, PRIORITY_SHORT) / estimates.rate(upstream.id)
            for upstream in fit
        )

    def _long_share(self, rate: float) -> float:
        """Return the share of this entry's part of the prefill that shorts have left over."""
        left = 1.0 - self._short_rate.rate(now=self._timers.now()) / rate
        return max(self._admission.least_long_share, left)

    def _rank(self, waiter: _Waiter) -> float:
        waited = self._timers.now() - waiter.since
        if self._lanes.long_order == "arrival":
            return waited
        return response_ratio(waited=waited, ideal=waiter.ideal)

    def _weight(self, team: str) -> float:
        return self._view.settings_state.access(team).weight


def _cost(waiter: _Waiter) -> int:
    return waiter.request.prompt_tokens


def make_placer(
    *,
    vm: str,
    view: FleetView,
    routing: RoutingSection,
    lanes: LanesSection,
    admission: AdmissionSection,
    timers: TimerService,
) -> Placer:
    """Return the placer that the settings ask for; ``vm`` is the id of this entry's VM."""
    estimates = LoadEstimates(vm=vm, view=view, routing=routing, lanes=lanes, timers=timers)
    return Placer(
        view=view,
        estimates=estimates,
        policy=routing_policies.lookup(routing.policy)(),
        routing=routing,
        lanes=lanes,
        admission=admission,
        timers=timers,
    )
