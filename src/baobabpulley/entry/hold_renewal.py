"""Renew the streams and chunks that engines hold for this entry."""

from __future__ import annotations

import asyncio
import contextlib
from collections import defaultdict
from typing import Final
from typing import final

from baobabpulley.errors import BaobabError
from baobabpulley.model.upstreams import Upstream
from baobabpulley.ports.engine import Engine
from baobabpulley.timers import TimerService

PERIOD_SECONDS: Final = 1.0


@final
class HoldRenewal:
    """Renew streams and prompt chunks at their engines once a second."""

    __slots__ = ("_engine", "_holder", "_ids", "_timers", "_upstreams")

    def __init__(self, *, holder: str, engine: Engine, timers: TimerService) -> None:
        self._holder = holder
        self._engine = engine
        self._timers = timers
        self._upstreams: dict[str, Upstream] = {}
        self._ids: dict[str, set[str]] = defaultdict(set)

    def start(self) -> None:
        """Start the periodic renewals."""
        self._timers.every(PERIOD_SECONDS, self._renew, jitter=0.1, name="holds")

    def track(self, upstream: Upstream, id: str) -> None:
        """Start to renew a stream or chunk."""
        self._upstreams[upstream.id] = upstream
        self._ids[upstream.id].add(id)

    def untrack(self, upstream: Upstream, id: str) -> None:
        """Stop renewing a stream or chunk; idempotent."""
        self._ids[upstream.id].discard(id)

    def release(self, upstream: Upstream, id: str) -> None:
        """Stop renewing a stream or chunk, and free it in the background; idempotent."""
        self.untrack(upstream, id)

        async def release_at_engine() -> None:
            # If this fails, the hold expires at the engine.
            with contextlib.suppress(BaobabError):
                await self._engine.release(upstream, ids=(id,))

        self._timers.after(0.0, release_at_engine, name="free")

    async def _renew(self) -> None:
        await asyncio.gather(
            *(
                self._renew_at(upstream_id, tuple(ids))
                for upstream_id, ids in self._ids.items()
                if ids
            )
        )

    async def _renew_at(self, upstream_id: str, ids: tuple[str, ...]) -> None:
        with contextlib.suppress(BaobabError):
            await self._engine.renew(self._upstreams[upstream_id], holder=self._holder, ids=ids)
