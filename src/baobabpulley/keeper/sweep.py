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
from baobabpulley.policy.rendezvous import home_of
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

    __slots__ = ("_context", "_last", "_looks", "_not_before", "_section")

    def __init__(self, context: KeeperContext) -> None:
        self._context = context
        self._section = context.settings.get(ReservationsSection)
        self._looks: dict[tuple[str, str], int] = {}
        self._last = float("-inf")
        self._not_before = 0.0

    async def start(self) -> None:
        period = self._section.sweep
        self._context.timers.every(period, self._sweep_all, jitter=0.2, name="sweep")

    async def _sweep_all(self) -> None:
        part = self._context.parts["reservations"]
        assert isinstance(part, ReservationKeeper)
        if not self._knows_holders():
            return
        for upstream in tuple(self._context.view.upstreams.values()):
            load = self._context.view.loads.get(upstream.id)
            if load is not None and load.report.memory_held and self._is_home(upstream.id):
                with contextlib.suppress(BaobabError):
                    await self._sweep(upstream, part)

    def _knows_holders(self) -> bool:
        """Whether each live holder has been heard since this process started or was paused."""
        now = self._context.timers.now()
        if now - self._last > self._section.expiry:
            self._not_before = now + self._section.expiry
        self._last = now
        return now >= self._not_before

    def _is_home(self, upstream: str) -> bool:
        # Two keepers that both think so do no harm: a kept hold is kept for both.
        live = [vm.id for vm in self._context.view.live_keepers]
        return home_of(upstream, live or [self._context.node.vm]) == self._context.node.vm

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
