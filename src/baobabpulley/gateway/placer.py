"""Who waits for which upstream: the book of loads, the plans and the queue put together."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from typing import Final
from typing import final

from sortedcontainers import SortedKeyList

from baobabpulley.errors import NoUpstream
from baobabpulley.errors import Overloaded
from baobabpulley.errors import TooFewEngines
from baobabpulley.gateway.following import FleetBook
from baobabpulley.gateway.upstream_record import UpstreamRecord
from baobabpulley.model.exchanges import Needs
from baobabpulley.model.routes import EngineFigures
from baobabpulley.model.routes import Service
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.clearing import Clearing
from baobabpulley.policy.clearing import clearing_of
from baobabpulley.policy.fleet_load import LoadBook
from baobabpulley.policy.fleet_load import Send
from baobabpulley.policy.spread import Candidate
from baobabpulley.policy.spread import Plan
from baobabpulley.policy.spread import fits
from baobabpulley.policy.spread import plan_prompt
from baobabpulley.policy.waiting import Times
from baobabpulley.policy.waiting import can_be_answered
from baobabpulley.policy.waiting import time_to_return
from baobabpulley.timers import TimerService

SERVE_PERIOD: Final = 0.025
# Seconds that count against an upstream of another failure domain.
DISTANCE_SECONDS: Final = 0.003
# Share of the time to the objective that a long prompt may wait for engines that read nothing.
MEETING_SHARE: Final = 0.4
# Seconds that one call of a plain service is taken to last before any was seen.
USUAL_CALL: Final = 0.1


@final
class Placement:
    """Where one attempt goes; its sends count until `Placer.end`."""

    __slots__ = ("clearing", "plan", "sends", "started", "upstream")

    def __init__(
        self,
        *,
        upstream: ListedUpstream,
        plan: Plan | None,
        sends: list[Send],
        started: float,
        clearing: Clearing | None,
    ) -> None:
        self.upstream = upstream
        self.plan = plan
        self.sends = sends
        self.started = started
        self.clearing = clearing


class _Waiter:
    __slots__ = ("excluded", "first", "future", "needs", "service", "times")

    def __init__(
        self,
        *,
        service: Service,
        needs: Needs,
        times: Times,
        excluded: frozenset[str],
        first: str | None,
    ) -> None:
        self.first = first
        self.service = service
        self.needs = needs
        self.times = times
        self.excluded = excluded
        self.future: asyncio.Future[Placement] = asyncio.get_running_loop().create_future()


@final
class Placer:
    """Place requests on the upstreams of their service, in their turn."""

    __slots__ = (
        "_book",
        "_call_seconds",
        "_domain",
        "_loads",
        "_max_waiting",
        "_queues",
        "_random",
        "_record",
        "_timers",
    )

    def __init__(
        self,
        *,
        failure_domain: str,
        book: FleetBook,
        loads: LoadBook,
        record: UpstreamRecord,
        timers: TimerService,
        max_waiting: int,
    ) -> None:
        self._domain = failure_domain
        self._book = book
        self._loads = loads
        self._record = record
        self._timers = timers
        self._max_waiting = max_waiting
        self._random = random.Random()
        self._call_seconds: dict[str, float] = defaultdict(lambda: USUAL_CALL)
        self._queues: dict[str, SortedKeyList] = defaultdict(
            lambda: SortedKeyList(key=lambda waiter: waiter.times.turn)
        )
        book.listen(self.serve)

    @property
    def waiting(self) -> int:
        """Requests that wait for an upstream."""
        return sum(len(queue) for queue in self._queues.values())

    def start(self) -> None:
        """Look at what waits again and again, as loads of other gateways change unseen."""
        self._timers.every(SERVE_PERIOD, self.serve, name="waiting requests")

    async def place(
        self,
        service: Service,
        needs: Needs,
        times: Times,
        *,
        excluded: frozenset[str],
        first: str | None = None,
    ) -> Placement:
        """Return where an attempt goes; raise `NoUpstream` or `Overloaded`.

        ``first`` names the engine that has to write the answer, if one was tried before.
        """
        waiter = _Waiter(service=service, needs=needs, times=times, excluded=excluded, first=first)
        if not self._candidates(waiter):
            raise NoUpstream(
                f"no upstream of {service.name} takes the request", retry_after=self._pause(times)
            )
        queue = self._queues[service.name]
        if not queue or needs.prompt_tokens:
            placement = self._try(waiter)
            if placement is not None:
                return placement
        return await self._wait(waiter, queue)

    async def clear(self, placement: Placement) -> None:
        """Wait until the engines of a heavy plan are clear, as others now avoid them."""
        plan, clearing = placement.plan, placement.clearing
        if plan is None or clearing is None:
            return
        while not clearing.is_over(
            now=self._timers.now(), writing=self._writing(plan), reading=self._reading(plan)
        ):
            await self._timers.sleep(SERVE_PERIOD)
        now = self._timers.now()
        for send in placement.sends:
            self._loads.start(send, now=now)

    def expects_silence(self, upstream: ListedUpstream) -> bool:
        """Whether an engine's answers stand still for a long prompt that it reads."""
        return self._loads.expects_silence(upstream.id, now=self._timers.now())

    def _writing(self, plan: Plan) -> bool:
        now = self._timers.now()
        return any(self._loads.load(engine.id, now=now).writing for engine in plan.engines)

    def _reading(self, plan: Plan) -> float:
        """Return the seconds of other prompts at a plan's engines."""
        now = self._timers.now()
        longest = max(self._loads.load(engine.id, now=now).backlog for engine in plan.engines)
        return longest - plan.part_seconds

    def read(self, placement: Placement) -> None:
        """Note that the prompt of an attempt has been read."""
        now = self._timers.now()
        for send in placement.sends:
            self._loads.read(send, now=now)

    def end(self, placement: Placement) -> None:
        """Note that an attempt is over."""
        now = self._timers.now()
        for send in placement.sends:
            self._loads.end(send, now=now)
        placement.sends.clear()
        service = placement.upstream.service
        took = now - placement.started
        self._call_seconds[service] += 0.1 * (took - self._call_seconds[service])
        self.serve()

    def serve(self) -> None:
        """Place whatever of the waiting requests has room now."""
        for queue in self._queues.values():
            for waiter in tuple(queue):
                if waiter.future.done():
                    queue.remove(waiter)
                    continue
                try:
                    placement = self._try(waiter)
                except (NoUpstream, Overloaded) as error:
                    queue.remove(waiter)
                    waiter.future.set_exception(error)
                    continue
                if placement is not None:
                    queue.remove(waiter)
                    waiter.future.set_result(placement)
                elif not waiter.needs.prompt_tokens:
                    break

    async def _wait(self, waiter: _Waiter, queue: SortedKeyList) -> Placement:
        times = waiter.times
        expected = self._expected_wait(waiter, queue)
        now = self._timers.now()
        if len(queue) >= self._max_waiting or now + expected > times.wait_until:
            raise Overloaded(
                f"about {expected:.2f} s until an upstream of {waiter.service.name} has room",
                retry_after=time_to_return(self._random, expected=expected, left=times.end - now),
            )
        queue.add(waiter)
        try:
            await asyncio.wait({waiter.future}, timeout=self._timers.real(times.wait_until - now))
        except asyncio.CancelledError:
            # The caller left at the moment at which room was found.
            if waiter.future.done() and waiter.future.exception() is None:
                self.end(waiter.future.result())
            raise
        finally:
            if waiter in queue:
                queue.remove(waiter)
        if waiter.future.done():
            return waiter.future.result()
        waiter.future.cancel()
        raise Overloaded(
            f"no upstream of {waiter.service.name} had room in time",
            retry_after=self._pause(times),
        )

    def _expected_wait(self, waiter: _Waiter, queue: SortedKeyList) -> float:
        slots = sum(one.upstream.slots for one in self._candidates(waiter))
        ahead = queue.bisect_key_right(waiter.times.turn)
        return (ahead + 1) * self._call_seconds[waiter.service.name] / max(1, slots)

    def _pause(self, times: Times) -> float:
        left = times.end - self._timers.now()
        return time_to_return(self._random, expected=0.5, left=left)

    def _candidates(self, waiter: _Waiter) -> list[Candidate]:
        now = self._timers.now()
        found = [
            one
            for one in self._book.upstreams.values()
            if one.service == waiter.service.name
            and not one.leaving
            and one.id not in waiter.excluded
        ]
        well = [one for one in found if self._record.usable(one)]
        return [
            Candidate(
                upstream=one,
                load=self._loads.load(one.id, now=now),
                penalty=self._record.penalty(one)
                + (0.0 if one.failure_domain == self._domain else DISTANCE_SECONDS),
            )
            for one in (well or found)
        ]

    def _try(self, waiter: _Waiter) -> Placement | None:
        candidates = self._candidates(waiter)
        figures = waiter.service.engine
        if figures is not None and waiter.needs.prompt_tokens:
            self._check_size(waiter, candidates, figures)
            return self._try_engines(waiter, candidates, figures)
        free = [one for one in candidates if one.load.in_flight < one.upstream.slots]
        if not free:
            return None
        chosen = min(
            free, key=lambda one: (one.load.in_flight + one.penalty, self._random.random())
        )
        return self._begin(chosen.upstream)

    def _check_size(
        self, waiter: _Waiter, candidates: list[Candidate], figures: EngineFigures
    ) -> None:
        needs = waiter.needs
        if not fits(candidates, figures=figures, tokens=needs.prompt_tokens):
            raise TooFewEngines(
                f"{len(candidates)} engines are too few for {needs.prompt_tokens} tokens",
                retry_after=self._pause(waiter.times),
            )

    def _try_engines(
        self, waiter: _Waiter, candidates: list[Candidate], figures: EngineFigures
    ) -> Placement | None:
        plan = self._plan(waiter, candidates, figures)
        if plan is not None and not self._in_time(waiter, plan, figures):
            plan = self._plan(waiter, candidates, figures, hurried=True)
            self._check_time(waiter, plan, figures)
        if plan is None:
            return None
        times = waiter.times
        patient_until = times.arrived + MEETING_SHARE * (times.objective - times.arrived)
        if plan.meets and not plan.heavy and self._timers.now() < patient_until - plan.part_seconds:
            return None
        return self._begin(
            plan.first,
            plan=plan,
            clearing=clearing_of(plan, times, now=self._timers.now()),
            read_seconds=plan.part_seconds,
            memory_tokens=plan.first_tokens,
        )

    def _plan(
        self,
        waiter: _Waiter,
        candidates: list[Candidate],
        figures: EngineFigures,
        *,
        hurried: bool = False,
    ) -> Plan | None:
        needs, times = waiter.needs, waiter.times
        return plan_prompt(
            candidates,
            figures=figures,
            prompt_tokens=needs.prompt_tokens,
            answer_tokens=min(needs.max_output_tokens, figures.memory_tokens // 8),
            objective=times.objective - times.arrived,
            first_id=waiter.first,
            hurried=hurried,
        )

    def _in_time(self, waiter: _Waiter, plan: Plan, figures: EngineFigures) -> bool:
        return can_be_answered(
            waiter.times,
            now=self._timers.now(),
            read=plan.read_seconds,
            answer=figures.answer_seconds,
        )

    def _check_time(self, waiter: _Waiter, plan: Plan | None, figures: EngineFigures) -> None:
        """Raise `Overloaded` if the soonest plan leaves no time for an answer."""
        if plan is None or self._in_time(waiter, plan, figures):
            return
        left = max(0.0, waiter.times.end - self._timers.now())
        raise Overloaded(
            f"reading takes about {plan.read_seconds:.2f} s of the {left:.2f} s left",
            retry_after=time_to_return(self._random, expected=plan.backlog, left=left),
        )

    def _begin(
        self,
        upstream: ListedUpstream,
        *,
        plan: Plan | None = None,
        clearing: Clearing | None = None,
        read_seconds: float = 0.0,
        memory_tokens: int = 0,
    ) -> Placement:
        now = self._timers.now()
        sends = [
            self._loads.begin(
                upstream.id,
                read_seconds=read_seconds,
                memory_tokens=memory_tokens,
                now=now,
                announced=clearing is not None,
            )
        ]
        for index, helper in enumerate(plan.helpers if plan is not None else ()):
            assert plan is not None
            held = plan.ticket_tokens if index < plan.tickets else 0
            sends.append(
                self._loads.begin(
                    helper.id,
                    read_seconds=read_seconds,
                    memory_tokens=held,
                    now=now,
                    helps=True,
                    announced=clearing is not None,
                )
            )
        self._record.sent(upstream)
        return Placement(upstream=upstream, plan=plan, sends=sends, started=now, clearing=clearing)
