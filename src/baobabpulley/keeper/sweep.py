"""Release what engines hold for holders that no longer exist."""

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

# A hold is released once this many successive reads have found that nobody renews it.
READS_BEFORE_RELEASE: Final = 2
# More than one, so that a pause of one keeper delays nothing.
SWEEPERS_PER_ENGINE: Final = 2
AUDIT_PERIOD_SECONDS: Final = 300.0
# If the time since the last sweep exceeds this many periods, this process was paused.
PAUSE_PERIODS: Final = 2.0


@keeper_parts.register("sweep")
@final
class Sweep(KeeperPart):
    """Read the holds of engines after a holder was lost, until no hold of a lost holder remains.

    A hold is kept while its holder renews it at the engine, or while this keeper receives the
    holder's messages. If all holders are live, an engine is read once in `AUDIT_PERIOD_SECONDS`.
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
            # No message of a live holder may have arrived yet.
            return
        upstreams = self._context.view.upstreams
        self._clean_since = {id: at for id, at in self._clean_since.items() if id in upstreams}
        self._lost_reads = {id: reads for id, reads in self._lost_reads.items() if id in upstreams}
        # Engines that were read before the last holder was lost have to be read again.
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
        # More sweepers do no harm, since each of them sees whether a hold is renewed.
        live = [vm.id for vm in self._context.view.live_keepers]
        return (
            self._context.node.vm
            in ranked(id, live or [self._context.node.vm])[:SWEEPERS_PER_ENGINE]
        )

    def _schedule_read(self, upstream: Upstream) -> None:
        """Read in a separate task, so that an engine that does not reply delays no other."""
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
        ids = self._due_for_release(upstream.id, [hold for hold in lost if hold.expires_in <= 0])
        if ids:
            await self._context.engine.release(upstream, ids=ids)
            self._context.metrics.swept_holds.inc(len(ids))

    def _due_for_release(self, id: str, expired: list[Hold]) -> tuple[str, ...]:
        before = self._lost_reads.get(id, {})
        reads = {hold.id: before.get(hold.id, 0) + 1 for hold in expired}
        self._lost_reads[id] = reads
        return tuple(hold for hold, count in reads.items() if count >= READS_BEFORE_RELEASE)
