"""Engine wrapper that reserves memory for each long attempt before it is sent."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from typing import Final
from typing import final

from baobabpulley.entry.hold_renewal import HoldRenewal
from baobabpulley.entry.reservations import EntryReservations
from baobabpulley.errors import Overloaded
from baobabpulley.errors import PeerUnavailable
from baobabpulley.errors import UpstreamReserved
from baobabpulley.model.requests import CompletionEvent
from baobabpulley.model.requests import estimate_tokens
from baobabpulley.model.reservations import MemoryClaim
from baobabpulley.model.reservations import Reservation
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.memory_ledger import RETRY_AFTER_SECONDS
from baobabpulley.ports.engine import Engine
from baobabpulley.ports.engine import EngineCall
from baobabpulley.ports.wrapped_engine import WrappedEngine
from baobabpulley.timers import TimerService

# How long an attempt waits for memory on its upstream, in model seconds: a release may still be on
# its way to the owner.
RESERVE_TIMEOUT_SECONDS: Final = 1.0


@final
class ReservingEngine(WrappedEngine):
    """Delegate to an engine, but reserve memory first for attempts above the short lane.

    Raise `UpstreamReserved` if the memory cannot be reserved. While no keeper responds, attempts
    are sent without a reservation, and only the engine itself limits its memory.
    """

    __slots__ = ("_holds", "_reservations", "_short_tokens", "_timers")

    def __init__(
        self,
        *,
        engine: Engine,
        reservations: EntryReservations,
        holds: HoldRenewal,
        short_tokens: int,
        timers: TimerService,
    ) -> None:
        super().__init__(engine=engine)
        self._reservations = reservations
        self._holds = holds
        self._short_tokens = short_tokens
        self._timers = timers

    async def complete(
        self, upstream: Upstream, call: EngineCall
    ) -> AsyncIterator[CompletionEvent]:
        tokens = estimate_tokens(call.prompt)
        reservation = None
        if tokens > self._short_tokens:
            reservation = await self._reserve(upstream, call, tokens + call.max_tokens)
        self._holds.track(upstream, call.attempt)
        events = self._engine.complete(upstream, call)
        try:
            async with contextlib.aclosing(events):  # type: ignore[type-var]
                async for event in events:
                    yield event
        finally:
            self._holds.untrack(upstream, call.attempt)
            if reservation is not None:
                await self._reservations.release(reservation)

    async def _reserve(
        self, upstream: Upstream, call: EngineCall, tokens: int
    ) -> Reservation | None:
        give_up_at = self._timers.now() + min(RESERVE_TIMEOUT_SECONDS, call.deadline)
        claims = (MemoryClaim(upstream=upstream.id, tokens=tokens),)
        while True:
            try:
                return await self._reservations.reserve(request_id=call.attempt, claims=claims)
            except PeerUnavailable:
                return None
            except Overloaded as error:
                if self._timers.now() >= give_up_at:
                    raise UpstreamReserved(error.message) from error
            await self._timers.sleep(RETRY_AFTER_SECONDS)
