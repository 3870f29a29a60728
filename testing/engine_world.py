"""A placer before engines that only keep time: recorded arrivals are replayed without a clock."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from typing import Final
from typing import final

from baobabpulley.emulator.usual_engine import USUAL_ENGINE
from baobabpulley.errors import BaobabError
from baobabpulley.gateway.candidates import CandidateList
from baobabpulley.gateway.following import FleetBook
from baobabpulley.gateway.placer import Placement
from baobabpulley.gateway.placer import Placer
from baobabpulley.gateway.planning import PlacementRequest
from baobabpulley.gateway.upstream_record import UpstreamRecord
from baobabpulley.model.exchanges import Needs
from baobabpulley.model.routes import STREAM
from baobabpulley.model.routes import Route
from baobabpulley.model.routes import Service
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.platform.documents import PlatformDocuments
from baobabpulley.policy.fleet_load import LoadBook
from baobabpulley.policy.waiting import times_of
from baobabpulley.timers import ManualTimers

STEP: Final = 0.025
# Reads closer than this are one pause for the answers written beside them.
MERGED_SECONDS: Final = 0.02
# Seconds that an engine takes for an answer when it reads nothing meanwhile.
ANSWER_SECONDS: Final = 1.33
SHORT_ROUTE: Final = Route("draft", "h", "/", STREAM, 10.0, 0.3, 1, (), 2, False, True, 0.25)
LONG_ROUTE: Final = Route("archive", "h", "/", STREAM, 15.0, 3.0, 1, (), 2, False, True, 1.0)
SERVICE: Final = Service(name="kitchen", max_connections=424, engine=USUAL_ENGINE)


@final
class Arrival:
    """A request to come: ``account`` only labels it, ``again`` says that it ignores refusals."""

    __slots__ = ("account", "again", "at", "priority", "tokens")

    def __init__(
        self,
        at: float,
        tokens: int,
        *,
        account: str = "",
        again: bool = False,
        priority: int | None = None,
    ) -> None:
        self.at = at
        self.tokens = tokens
        self.account = account
        self.again = again
        self.priority = priority


@final
class Served:
    """How an arrival fared: seconds to its first event or, if it was refused, to the refusal.

    ``pause`` is for how long at most its answer stood still.
    """

    __slots__ = ("arrival", "code", "pause", "retry_after", "seconds")

    def __init__(self, arrival: Arrival, *, code: str, seconds: float, retry_after: float) -> None:
        self.arrival = arrival
        self.code = code
        self.seconds = seconds
        self.retry_after = retry_after
        self.pause = 0.0


@final
class EngineWorld:
    """Engines that read one part after the other; what they write stands still meanwhile."""

    def __init__(self, engines: int) -> None:
        self.timers = ManualTimers(start=100.0)
        self.loads = LoadBook()
        self.book = FleetBook(PlatformDocuments())
        for number in range(engines):
            name = f"i-{number}"
            address = f"10.0.{number // 250}.{number % 250}:80"
            slots = USUAL_ENGINE.slots
            self.book.upstreams[name] = ListedUpstream(
                name, SERVICE.name, address, "fes", slots, False
            )
        record = UpstreamRecord(
            failure_domain="fes",
            book=self.book,
            last_heard=lambda domain: None,
            timers=self.timers,
        )
        self.candidates = CandidateList(
            node="front-0",
            failure_domain="fes",
            book=self.book,
            loads=self.loads,
            record=record,
            timers=self.timers,
        )
        self.placer = Placer(
            candidates=self.candidates,
            book=self.book,
            loads=self.loads,
            record=record,
            timers=self.timers,
            max_waiting=2000,
        )
        self.served: list[Served] = []
        self._reads: dict[str, list[tuple[float, float]]] = defaultdict(list)

    def request(
        self, tokens: int, *, remaining: float = 15.0, priority: int | None = None
    ) -> PlacementRequest:
        """Return a request for a prompt that arrives now."""
        route = LONG_ROUTE if tokens > 20_000 else SHORT_ROUTE
        return PlacementRequest(
            service=SERVICE,
            needs=Needs(attempt="a", prompt_tokens=tokens, max_output_tokens=1300),
            times=times_of(
                route, arrived=self.timers.now(), remaining=remaining, priority=priority
            ),
            excluded=frozenset(),
        )

    async def replay(self, arrivals: Iterable[Arrival], *, seconds: float) -> list[Served]:
        """Play arrivals for some seconds and return how those fared that ended by then."""
        running = [asyncio.create_task(self._play(arrival)) for arrival in arrivals]
        for _ in range(round(seconds / STEP)):
            await self.timers.advance(STEP)
            self.placer.serve()
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        return self.served

    async def _play(self, arrival: Arrival) -> None:
        await self.timers.sleep(arrival.at)
        while True:
            refused = await self._serve(arrival)
            if refused is None or not arrival.again:
                return
            await self.timers.sleep(STEP)

    async def _serve(self, arrival: Arrival) -> BaobabError | None:
        began = self.timers.now()
        try:
            placement = await self.placer.place(
                self.request(arrival.tokens, priority=arrival.priority)
            )
        except BaobabError as error:
            self._note(arrival, began, code=error.code, retry_after=error.retry_after or 0.0)
            return error
        await self.placer.clear(placement)
        await self._read(placement)
        self.placer.read(placement)
        served = self._note(arrival, began, code="", retry_after=0.0)
        served.pause = await self._write(placement.upstream.id)
        self.placer.end(placement)
        return None

    async def _read(self, placement: Placement) -> None:
        plan, now = placement.plan, self.timers.now()
        assert plan is not None
        ends = now
        for engine in plan.engines:
            reads = self._reads[engine.id]
            begins = max(now, reads[-1][1]) if reads else now
            reads.append((begins, begins + plan.part_seconds))
            ends = max(ends, reads[-1][1])
        await self.timers.sleep(ends - now + plan.pass_seconds)

    async def _write(self, engine: str) -> float:
        """Write an answer between the engine's reads; return the longest time it stood still."""
        begin, stood_still = self.timers.now(), [0.0]
        end = begin + ANSWER_SECONDS
        while self.timers.now() < end:
            await self.timers.sleep(end - self.timers.now())
            stood_still = self._overlaps(engine, begin, self.timers.now())
            end = begin + ANSWER_SECONDS + sum(stood_still)
        return max(stood_still)

    def _overlaps(self, engine: str, begin: float, end: float) -> list[float]:
        """Return how long each stretch of reading lasted within an interval."""
        found, last = [0.0], -1.0
        for reads, until in self._reads[engine]:
            length = min(end, until) - max(begin, reads)
            if length <= 0:
                continue
            if reads - last < MERGED_SECONDS:
                found[-1] += length
            else:
                found.append(length)
            last = until
        return found

    def _note(self, arrival: Arrival, began: float, *, code: str, retry_after: float) -> Served:
        seconds = self.timers.now() - began
        served = Served(arrival, code=code, seconds=seconds, retry_after=retry_after)
        self.served.append(served)
        return served
