"""Choose an upstream for a request, or let the request wait in its lane until one has room."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final
from typing import final

from baobabpulley.entry.outstanding import Outstanding
from baobabpulley.entry.outstanding import Sent
from baobabpulley.entry.prefix_index import PrefixIndex
from baobabpulley.errors import DeadlineBeforeStart
from baobabpulley.errors import NoUpstream
from baobabpulley.errors import UnknownModel
from baobabpulley.model.blocks import chain_blocks
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.requests import CompletionRequest
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.admission import AdmissionSection
from baobabpulley.policy.admission import check_wait
from baobabpulley.policy.admission import team_wait_tokens
from baobabpulley.policy.fairness import DeficitQueue
from baobabpulley.policy.lanes import SHORT
from baobabpulley.policy.lanes import LanesSection
from baobabpulley.policy.lanes import response_ratio
from baobabpulley.policy.routing import Candidate
from baobabpulley.policy.routing import RoutingPolicy
from baobabpulley.policy.routing import RoutingSection
from baobabpulley.ports.engine import PRIORITY_LONG
from baobabpulley.ports.engine import PRIORITY_SHORT
from baobabpulley.timers import Subscription
from baobabpulley.timers import TimerService

SERVE_PERIOD: Final = 0.1
SHORTS_WINDOW: Final = 10.0


@final
class Placement:
    """An attempt's upstream, what it counts as there, and what its cache was thought to hold."""

    __slots__ = ("blocks", "cached_tokens", "priority", "sent", "upstream", "waited")

    def __init__(
        self,
        *,
        upstream: Upstream,
        priority: int,
        sent: Sent,
        blocks: tuple[int, ...],
        cached_tokens: float,
        waited: float,
    ) -> None:
        self.upstream = upstream
        self.priority = priority
        self.sent = sent
        self.blocks = blocks
        self.cached_tokens = cached_tokens
        self.waited = waited


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
        "_lanes",
        "_longs",
        "_outstanding",
        "_policy",
        "_prefixes",
        "_routing",
        "_short_sends",
        "_shorts",
        "_suspects",
        "_ticker",
        "_timers",
        "_view",
        "_vm",
    )

    def __init__(
        self,
        *,
        vm: str,
        view: FleetView,
        policy: RoutingPolicy,
        routing: RoutingSection,
        lanes: LanesSection,
        admission: AdmissionSection,
        timers: TimerService,
    ) -> None:
        self._vm = vm
        self._view = view
        self._policy = policy
        self._routing = routing
        self._lanes = lanes
        self._admission = admission
        self._timers = timers
        self._outstanding = Outstanding(corrected=routing.corrected)
        self._prefixes = PrefixIndex()
        self._suspects: dict[str, tuple[float, float]] = {}
        self._short_sends: deque[tuple[float, int]] = deque()
        self._ticker: Subscription | None = None
        self._shorts: DeficitQueue[_Waiter] = DeficitQueue(
            quantum=lanes.short_quantum, cost=_cost, weight=self._weight
        )
        self._longs: DeficitQueue[_Waiter] = DeficitQueue(
            quantum=lanes.long_quantum, cost=_cost, rank=self._rank, weight=self._weight
        )

    @property
    def prefixes(self) -> PrefixIndex:
        """What the engines' caches are thought to hold; fed by cache events too."""
        return self._prefixes

    @property
    def waiting(self) -> int:
        """Requests that wait for an upstream."""
        return len(self._shorts) + len(self._longs)

    async def place(
        self, request: CompletionRequest, *, lane: str, excluded: frozenset[str]
    ) -> Placement:
        """Return an upstream with room, counted as sent from now on.

        Raises `NoUpstream` if none is fit, `Overloaded` if the wait cannot end in time, and
        `DeadlineBeforeStart` once the deadline can no longer be met.
        """
        waiter = self._waiter(request, lane, excluded)
        fit = self._fit(waiter)
        if not fit:
            raise NoUpstream(
                f"no upstream in {self._view.failure_domain} can take {request.model} now"
            )
        self._check_memory(waiter, fit)
        queue = self._queue(lane)
        placement = None if len(queue) else self._try_place(waiter)
        if placement is not None:
            return placement
        self._check_admission(waiter, fit)
        return await self._wait(waiter, queue)

    def first_token(self, placement: Placement) -> None:
        """Note that the prefill of an attempt is done."""
        if placement.sent.prefilled is None:
            placement.sent.prefilled = self._timers.now()
            self._prefixes.add(placement.upstream.id, placement.blocks)
            self._serve()

    def end(self, placement: Placement) -> None:
        """Note that an attempt has ended, well or not."""
        placement.sent.ended = self._timers.now()
        self._serve()

    def usage(self, placement: Placement, *, cached_tokens: int) -> None:
        """Compare the reported cache hit with the estimate."""
        self._prefixes.correct(
            placement.upstream.id, expected=placement.cached_tokens, cached_tokens=cached_tokens
        )

    def suspect(self, upstream: str, *, seconds: float) -> None:
        """Give an upstream no work until it reports anew, at most for ``seconds``."""
        now = self._timers.now()
        self._suspects[upstream] = (now, now + seconds)

    def _waiter(self, request: CompletionRequest, lane: str, excluded: frozenset[str]) -> _Waiter:
        blocks = chain_blocks(request.prompt.encode()) if self._routing.prefix_aware else ()
        return _Waiter(
            request=request,
            lane=lane,
            excluded=excluded,
            blocks=blocks,
            ideal=request.prompt_tokens / self._routing.prefill_rate,
            since=self._timers.now(),
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
            self.end(future.result())

    def _start_ticker(self) -> None:
        if self._ticker is None or not self._ticker.active:
            self._ticker = self._timers.every(SERVE_PERIOD, self._tick, name="lanes")

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
        if not self._fit(waiter):
            queue.remove(waiter.request.team, waiter)
            waiter.future.set_exception(NoUpstream("the last fit upstream went while waiting"))
            return True
        placement = self._try_place(waiter)
        if placement is None:
            return False
        queue.charge(waiter.request.team, waiter)
        waiter.future.set_result(placement)
        return True

    def _try_place(self, waiter: _Waiter) -> Placement | None:
        priority = self._priority(waiter.lane)
        candidates = [
            self._candidate(upstream, waiter, priority)
            for upstream in self._fit(waiter)
            if self._has_room(upstream, waiter)
        ]
        if not candidates:
            return None
        chosen = self._policy.choose(candidates, prompt_tokens=waiter.request.prompt_tokens)
        return self._send(chosen, waiter, priority)

    def _send(self, chosen: Candidate, waiter: _Waiter, priority: int) -> Placement:
        request = waiter.request
        now = self._timers.now()
        tokens = max(1, request.prompt_tokens - int(chosen.cached_tokens))
        sent = Sent(tokens=tokens, memory=request.total_tokens, priority=priority, at=now)
        self._outstanding.begin(chosen.upstream.id, sent)
        if waiter.lane == SHORT:
            self._short_sends.append((now, tokens))
        return Placement(
            upstream=chosen.upstream,
            priority=priority,
            sent=sent,
            blocks=waiter.blocks,
            cached_tokens=chosen.cached_tokens,
            waited=now - waiter.since,
        )

    def _priority(self, lane: str) -> int:
        first = lane == SHORT or not self._lanes.short_priority
        return PRIORITY_SHORT if first else PRIORITY_LONG

    def _fit(self, waiter: _Waiter) -> list[Upstream]:
        """Return the upstreams that serve the model and are not suspected or excluded."""
        document = self._view.book.models.get(waiter.request.model)
        if document is None:
            raise UnknownModel(f"no model is called {waiter.request.model!r}")
        live = self._view.live(document.service)
        if waiter.lane != SHORT:
            live = live[int(self._lanes.shorts_only_share * len(live)) :]
        return [
            upstream
            for upstream in live
            if upstream.id not in waiter.excluded
            and self._has_model(upstream.id, waiter.request.model)
            and not self._is_suspect(upstream.id)
        ]

    def _has_model(self, upstream: str, model: str) -> bool:
        load = self._view.loads.get(upstream)
        return load is None or model in load.report.models

    def _is_suspect(self, upstream: str) -> bool:
        found = self._suspects.get(upstream)
        if found is None:
            return False
        since, until = found
        load = self._view.loads.get(upstream)
        reported = load is not None and load.taken > since
        if reported or self._timers.now() > until:
            del self._suspects[upstream]
            return False
        return True

    def _has_room(self, upstream: Upstream, waiter: _Waiter) -> bool:
        load = self._view.loads.get(upstream.id)
        if self._outstanding.memory_free(upstream.id, load) < waiter.request.total_tokens:
            return False
        now = self._timers.now()
        if waiter.lane == SHORT:
            rate = self._rate(upstream.id)
            ahead = self._ahead(upstream.id, self._priority(SHORT))
            return ahead <= rate * self._lanes.engine_backlog
        if not self._lanes.single_long:
            return True
        return self._outstanding.long_prefills(upstream.id, load, now=now) == 0

    def _candidate(self, upstream: Upstream, waiter: _Waiter, priority: int) -> Candidate:
        cached = self._prefixes.cached_tokens(upstream.id, waiter.blocks)
        in_flight = self._outstanding.in_flight(upstream.id)
        return Candidate(
            upstream=upstream,
            prefill_rate=self._rate(upstream.id),
            in_flight=in_flight,
            ahead_tokens=self._ahead(upstream.id, priority)
            + self._handicap(upstream.id, in_flight),
            cached_tokens=min(cached, waiter.request.prompt_tokens),
        )

    def _handicap(self, upstream: str, in_flight: int) -> float:
        """Return the tokens that stand for a running step and for other entries' unseen sends."""
        load = self._view.loads.get(upstream)
        longs = self._outstanding.long_prefills(upstream, load, now=self._timers.now())
        step = self._routing.step_tokens / 2 if in_flight or longs else 0.0
        return step + (0.0 if self._is_own(upstream) else self._routing.foreign_tokens)

    def _is_own(self, upstream: str) -> bool:
        """Whether an engine is dealt to this entry's VM, by the order of ids."""
        vms = [vm.id for vm in self._view.keepers]
        if self._vm not in vms or upstream not in self._view.upstreams:
            return True
        rank = sorted(self._view.upstreams).index(upstream)
        return rank % len(vms) == vms.index(self._vm)

    def _rate(self, upstream: str) -> float:
        load = self._view.loads.get(upstream)
        return float(self._routing.prefill_rate) if load is None else load.report.prefill_rate

    def _ahead(self, upstream: str, priority: int) -> float:
        return self._outstanding.ahead(
            upstream,
            self._view.loads.get(upstream),
            priority=priority,
            now=self._timers.now(),
            rate=self._rate(upstream),
        )

    def _check_memory(self, waiter: _Waiter, fit: list[Upstream]) -> None:
        loads = [self._view.loads.get(upstream.id) for upstream in fit]
        known = [load.report.memory_total for load in loads if load is not None]
        need = waiter.request.total_tokens
        if len(known) == len(fit) and max(known) < need:
            raise NoUpstream(
                f"the request needs {need} tokens of memory; the largest engine has {max(known)}"
            )

    def _check_admission(self, waiter: _Waiter, fit: list[Upstream]) -> None:
        """Raise `Overloaded` unless the wait fits the bounds; entries share evenly."""
        entries = max(1, len(self._view.keepers))
        rate = sum(self._rate(upstream.id) for upstream in fit)
        if waiter.lane == SHORT:
            ahead = self._tokens_before(waiter) * entries
            bound = self._admission.max_short_wait
        else:
            rate *= self._long_share(rate, entries)
            ahead = self._tokens_before(waiter) * entries
            ahead += int(sum(self._ahead(upstream.id, PRIORITY_LONG) for upstream in fit))
            bound = float("inf")
        check_wait(
            wait=ahead / rate,
            service=waiter.ideal,
            remaining=waiter.request.deadline - self._timers.now(),
            bound=bound,
        )

    def _tokens_before(self, waiter: _Waiter) -> int:
        queue = self._queue(waiter.lane)
        team = waiter.request.team
        own = sum(_cost(item) for item in queue.of_team(team)) + _cost(waiter)
        total = sum(_cost(item) for item in queue) + _cost(waiter)
        teams = queue.teams + (0 if queue.of_team(team) else 1)
        return team_wait_tokens(own_tokens=own, total_tokens=total, teams=teams)

    def _long_share(self, rate: float, entries: int) -> float:
        """Return the share of the engines' prefill that shorts have lately left over."""
        horizon = self._timers.now() - SHORTS_WINDOW
        while self._short_sends and self._short_sends[0][0] < horizon:
            self._short_sends.popleft()
        used = sum(tokens for _, tokens in self._short_sends) * entries
        left = 1.0 - used / (rate * SHORTS_WINDOW)
        return max(self._admission.least_long_share, left)

    def _rank(self, waiter: _Waiter) -> float:
        waited = self._timers.now() - waiter.since
        if self._lanes.long_order == "arrival":
            return waited
        return response_ratio(waited=waited, ideal=waiter.ideal)

    def _weight(self, team: str) -> float:
        return self._view.book.access(team).weight


def _cost(waiter: _Waiter) -> int:
    return waiter.request.prompt_tokens
