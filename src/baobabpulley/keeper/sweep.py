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
from baobabpulley.policy.holders import Holders
from baobabpulley.policy.memory_ledger import ReservationsSection
from baobabpulley.policy.rendezvous import ranked
from baobabpulley.ports.engine import Hold

# A hold is freed the second time in a row that nobody is seen to keep it.
READS_BEFORE_RELEASE: Final = 2
# Two keepers look after an engine, so that a pause of one delays nothing.
SWEEPERS_PER_ENGINE: Final = 2
AUDIT_PERIOD_SECONDS: Final = 300.0
# Ticks that come later than this many periods after the last show a pause of this process.
PAUSE_PERIODS: Final = 2.0


@keeper_parts.register("sweep")
@final
class Sweep(KeeperPart):
    """Read the holds of engines after a holder was lost, until none of a lost holder is left.

    A hold is kept by its holder's renewals at the engine, or by the holder being heard here. With
    all holders live an engine is read once in `AUDIT_PERIOD_SECONDS`.
    """

    __slots__ = (
        "_clean_since",
        "_context",
        "_lost_reads",
        "_reading",
        "_section",
        "_started",
        "_ticked_at",
    )

    def __init__(self, context: KeeperContext) -> None:
        self._context = context
        self._section = context.settings.get(ReservationsSection)
        self._lost_reads: dict[str, dict[str, int]] = {}
        self._clean_since: dict[str, float] = {}
        self._reading: set[str] = set()
        self._started = self._ticked_at = context.timers.now()

    @property
    def _holders(self) -> Holders:
        part = self._context.parts["reservations"]
        assert isinstance(part, ReservationKeeper)
        return part.holders

    async def start(self) -> None:
        self._started = self._ticked_at = self._context.timers.now()
        period = self._section.sweep
        self._context.timers.every(period, self._sweep_all, jitter=0.2, name="sweep")

    async def _sweep_all(self) -> None:
        self._allow_for_own_pause()
        now = self._context.timers.now()
        if now - self._started < self._section.expiry:
            # A live holder may not have been heard yet.
            return
        upstreams = self._context.view.upstreams
        self._clean_since = {id: at for id, at in self._clean_since.items() if id in upstreams}
        self._lost_reads = {id: looks for id, looks in self._lost_reads.items() if id in upstreams}
        # What was read before the last holder was lost has to be read again.
        since = max(self._holders.last_expiry(now=now), now - AUDIT_PERIOD_SECONDS)
        for upstream in tuple(upstreams.values()):
            is_due = self._clean_since.get(upstream.id, float("-inf")) <= since
            if is_due and self._is_sweeper(upstream.id):
                self._schedule_read(upstream)

    def _allow_for_own_pause(self) -> None:
        now = self._context.timers.now()
        pause = now - self._ticked_at - PAUSE_PERIODS * self._section.sweep
        self._ticked_at = now
        if pause > 0:
            self._holders.allow_for_pause(pause, now=now)

    def _is_sweeper(self, id: str) -> bool:
        # It does no harm if more believe so: a hold that is kept is kept for all.
        live = [vm.id for vm in self._context.view.live_keepers]
        return (
            self._context.node.vm
            in ranked(id, live or [self._context.node.vm])[:SWEEPERS_PER_ENGINE]
        )

    def _schedule_read(self, upstream: Upstream) -> None:
        """Read in a task of its own, so that an engine that does not answer delays no other."""
        if upstream.id in self._reading:
            return
        self._reading.add(upstream.id)

        async def read() -> None:
            try:
                with contextlib.suppress(BaobabError):
                    await self._sweep(upstream)
            finally:
                self._reading.discard(upstream.id)

        self._context.timers.after(0.0, read, name=f"sweep {upstream.id}")

    async def _sweep(self, upstream: Upstream) -> None:
        began = self._context.timers.now()
        holds = await self._context.engine.holds(upstream)
        now = self._context.timers.now()
        lost = [hold for hold in holds if not self._holders.is_live(hold.holder, now=now)]
        if not lost:
            self._clean_since[upstream.id] = began
        ids = self._due_for_release(upstream.id, [hold for hold in lost if hold.lapses_in <= 0])
        if ids:
            await self._context.engine.release(upstream, ids=ids)
            self._context.metrics.swept.inc(len(ids))

    def _due_for_release(self, id: str, loose: list[Hold]) -> tuple[str, ...]:
        before = self._lost_reads.get(id, {})
        looks = {hold.id: before.get(hold.id, 0) + 1 for hold in loose}
        self._lost_reads[id] = looks
        return tuple(hold for hold, count in looks.items() if count >= READS_BEFORE_RELEASE)
