"""Free what engines hold for holders that are gone."""

from __future__ import annotations

import contextlib
from typing import Final
from typing import final

from baobabpulley.errors import BaobabError
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.context import KeeperPart
from baobabpulley.keeper.context import keeper_parts
from baobabpulley.keeper.reservations import ReservationKeeper
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.reservation_book import ReservationsSection
from baobabpulley.ports.engine import Hold

# A hold is freed the second time in a row that nobody is seen to keep it.
LOOKS: Final = 2


@keeper_parts.register("sweep")
@final
class Sweep(KeeperPart):
    """Look through the holds of each engine that this keeper is the home of.

    A hold is kept by its holder's renewals at the engine, or by the holder being heard here.
    """

    __slots__ = ("_context", "_looks")

    def __init__(self, context: KeeperContext) -> None:
        self._context = context
        self._looks: dict[tuple[str, str], int] = {}

    async def start(self) -> None:
        period = self._context.settings.get(ReservationsSection).sweep
        self._context.timers.every(period, self._sweep_all, jitter=0.2, name="sweep")

    async def _sweep_all(self) -> None:
        part = self._context.parts["reservations"]
        assert isinstance(part, ReservationKeeper)
        for upstream in tuple(self._context.view.upstreams.values()):
            load = self._context.view.loads.get(upstream.id)
            if load is not None and load.report.memory_held and part.may_sweep(upstream.id):
                with contextlib.suppress(BaobabError):
                    await self._sweep(upstream, part)

    async def _sweep(self, upstream: Upstream, part: ReservationKeeper) -> None:
        holds = await self._context.engine.holds(upstream)
        loose = [hold for hold in holds if _is_loose(hold, part)]
        looks = {
            (upstream.id, hold.id): self._looks.get((upstream.id, hold.id), 0) + 1 for hold in loose
        }
        for key in [key for key in self._looks if key[0] == upstream.id]:
            del self._looks[key]
        self._looks.update(looks)
        ids = tuple(hold.id for hold in loose if looks[upstream.id, hold.id] >= LOOKS)
        if ids:
            await self._context.engine.release(upstream, ids=ids)
            self._context.metrics.swept.inc(len(ids))


def _is_loose(hold: Hold, part: ReservationKeeper) -> bool:
    return hold.lapses_in <= 0 and not part.is_live(hold.holder)
