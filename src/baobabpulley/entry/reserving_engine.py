"""An engine port that reserves memory for each long attempt before it is sent."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from typing import Final
from typing import final

from baobabpulley.entry.hold_renewal import HoldRenewal
from baobabpulley.entry.reservations import EntryReservations
from baobabpulley.errors import Overloaded
from baobabpulley.errors import PeerUnavailable
from baobabpulley.errors import UpstreamOutOfMemory
from baobabpulley.model.requests import AnswerEvent
from baobabpulley.model.requests import estimate_tokens
from baobabpulley.model.reservations import MemoryClaim
from baobabpulley.model.reservations import Reservation
from baobabpulley.model.upstreams import LoadReport
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.reservation_book import ASK_AGAIN
from baobabpulley.ports.engine import Engine
from baobabpulley.ports.engine import EngineCall
from baobabpulley.ports.engine import EngineEvent
from baobabpulley.ports.engine import EngineState
from baobabpulley.ports.engine import Hold
from baobabpulley.ports.engine import Order
from baobabpulley.ports.engine import PartCall
from baobabpulley.ports.engine import PartRef
from baobabpulley.timers import TimerService

# Model seconds that a long attempt waits for memory on the upstream chosen for it.
PATIENCE: Final = 5.0


@final
class ReservingEngine(Engine):
    """Pass everything on; an attempt above the short lane first gets its reservation.

    Without one it raises `UpstreamOutOfMemory`, as the engine itself does. While no keeper
    answers, attempts go unreserved and the engine's own refusal is the bound.
    """

    __slots__ = ("_engine", "_holds", "_reservations", "_short_tokens", "_timers")

    def __init__(
        self,
        *,
        engine: Engine,
        reservations: EntryReservations,
        holds: HoldRenewal,
        short_tokens: int,
        timers: TimerService,
    ) -> None:
        self._engine = engine
        self._reservations = reservations
        self._holds = holds
        self._short_tokens = short_tokens
        self._timers = timers

    async def complete(self, upstream: Upstream, call: EngineCall) -> AsyncIterator[AnswerEvent]:
        tokens = estimate_tokens(call.prompt)
        reservation = None
        if tokens > self._short_tokens:
            reservation = await self._reserve(upstream, call, tokens + call.max_tokens)
        self._holds.keep(upstream, call.attempt)
        events = self._engine.complete(upstream, call)
        try:
            async with contextlib.aclosing(events):  # type: ignore[type-var]
                async for event in events:
                    yield event
        finally:
            self._holds.drop(upstream, call.attempt)
            if reservation is not None:
                await self._reservations.release(reservation)

    async def _reserve(
        self, upstream: Upstream, call: EngineCall, tokens: int
    ) -> Reservation | None:
        give_up = self._timers.now() + min(PATIENCE, call.deadline)
        claims = (MemoryClaim(upstream=upstream.id, tokens=tokens),)
        while True:
            try:
                return await self._reservations.reserve(
                    request_id=call.attempt, claims=claims, waited=0.0, ideal=0.0
                )
            except PeerUnavailable:
                return None
            except Overloaded as error:
                if self._timers.now() >= give_up:
                    raise UpstreamOutOfMemory(error.message) from error
            await self._timers.sleep(ASK_AGAIN)

    async def resume(
        self, upstream: Upstream, *, attempt: str, offset: int
    ) -> AsyncIterator[AnswerEvent]:
        async for event in self._engine.resume(upstream, attempt=attempt, offset=offset):
            yield event

    async def cancel(self, upstream: Upstream, *, attempt: str) -> None:
        await self._engine.cancel(upstream, attempt=attempt)

    async def prefill_part(self, upstream: Upstream, call: PartCall) -> PartRef:
        return await self._engine.prefill_part(upstream, call)

    async def holds(self, upstream: Upstream) -> tuple[Hold, ...]:
        return await self._engine.holds(upstream)

    async def renew(self, upstream: Upstream, *, holder: str, ids: tuple[str, ...]) -> None:
        await self._engine.renew(upstream, holder=holder, ids=ids)

    async def release(self, upstream: Upstream, *, ids: tuple[str, ...]) -> None:
        await self._engine.release(upstream, ids=ids)

    async def load(self, upstream: Upstream) -> LoadReport:
        return await self._engine.load(upstream)

    async def events(self, upstream: Upstream) -> AsyncIterator[EngineEvent]:
        async for event in self._engine.events(upstream):
            yield event

    async def order(self, upstream: Upstream, order: Order) -> None:
        await self._engine.order(upstream, order)

    async def state(self, upstream: Upstream) -> EngineState:
        return await self._engine.state(upstream)
