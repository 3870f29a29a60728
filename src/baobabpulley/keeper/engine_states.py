"""Cache of the engines' loaded models, read again only where they may have changed.

The state of an engine is read when the engine is new, has restarted, reports other models, was
sent an order or is loading a model, and when an audit is due.
"""

from __future__ import annotations

import asyncio
from typing import Final
from typing import final

from baobabpulley.errors import BaobabError
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.upstreams import Upstream
from baobabpulley.ports.engine import Engine
from baobabpulley.ports.engine import EngineState
from baobabpulley.timers import TimerService

AUDIT_PERIOD_SECONDS: Final = 60.0
# With many engines each is audited less often, to bound the control traffic.
AUDITS_PER_SECOND: Final = 2.0
STATE_BYTES: Final = 500
# An engine that is slow to reply must not be treated as dead: its models would be loaded elsewhere.
UNANSWERED_RETENTION_SECONDS: Final = 6.0
MAX_CONCURRENT_READS: Final = 16


@final
class CachedState:
    """An engine state and when it was read; ``is_current`` is false if it may have changed."""

    __slots__ = ("checked_at", "is_current", "read_at", "state", "upstream")

    def __init__(self, *, upstream: Upstream, state: EngineState, now: float) -> None:
        self.upstream = upstream
        self.state = state
        self.read_at = now
        self.checked_at = now
        self.is_current = not state.loading


@final
class EngineStates:
    """Cached states of the engines of one failure domain."""

    __slots__ = ("_audited_at", "_cached", "_engine", "_timers", "_view")

    def __init__(self, *, view: FleetView, engine: Engine, timers: TimerService) -> None:
        self._view = view
        self._engine = engine
        self._timers = timers
        self._cached: dict[str, CachedState] = {}
        self._audited_at = timers.now()

    @property
    def bytes_per_second(self) -> float:
        """Control traffic for audits."""
        return min(AUDITS_PER_SECOND, len(self._cached) / AUDIT_PERIOD_SECONDS) * STATE_BYTES

    async def refresh(self, upstreams: list[Upstream]) -> None:
        """Read the states that may have changed, and those that are due for an audit.

        An engine that does not reply is dropped after ``UNANSWERED_RETENTION_SECONDS``.
        """
        known = {upstream.id: upstream for upstream in upstreams}
        self._cached = {
            id: cached for id, cached in self._cached.items() if known.get(id) == cached.upstream
        }
        uncertain = [upstream for upstream in upstreams if self._needs_read(upstream)]
        uncertain += self._due_for_audit(known, {upstream.id for upstream in uncertain})
        for start in range(0, len(uncertain), MAX_CONCURRENT_READS):
            batch = uncertain[start : start + MAX_CONCURRENT_READS]
            await asyncio.gather(*(self._read(upstream) for upstream in batch))
        for cached in self._cached.values():
            if cached.is_current:
                cached.checked_at = self._timers.now()

    def by_service(self) -> dict[str, list[EngineState]]:
        """Return the cached states by service."""
        states: dict[str, list[EngineState]] = {}
        for cached in self._cached.values():
            states.setdefault(cached.upstream.service, []).append(cached.state)
        return states

    def get(self, upstream: str) -> EngineState:
        """Return the cached state of an engine."""
        return self._cached[upstream].state

    def find(self, upstream: str) -> EngineState | None:
        """Return the cached state of an engine, ``None`` if there is none."""
        cached = self._cached.get(upstream)
        return cached.state if cached is not None else None

    def age(self, upstream: str) -> float:
        """Return the model seconds since a state was last known to be current."""
        cached = self._cached.get(upstream)
        return self._timers.now() - cached.checked_at if cached is not None else float("inf")

    def invalidate(self, upstream: str) -> None:
        """Mark an engine's state as out of date, so that the next refresh reads it."""
        cached = self._cached.get(upstream)
        if cached is not None:
            cached.is_current = False

    def clear(self) -> None:
        """Discard all states, so that the next refresh reads them."""
        self._cached.clear()

    def _due_for_audit(self, known: dict[str, Upstream], uncertain: set[str]) -> list[Upstream]:
        """Return the overdue engines, oldest first, within the audit rate since the last call."""
        now = self._timers.now()
        quota = int(AUDITS_PER_SECOND * min(AUDIT_PERIOD_SECONDS, now - self._audited_at))
        if not quota:
            return []
        self._audited_at = now
        overdue = sorted(
            (cached.read_at, id)
            for id, cached in self._cached.items()
            if now - cached.read_at > AUDIT_PERIOD_SECONDS and id not in uncertain
        )
        return [known[id] for _, id in overdue[:quota]]

    def _needs_read(self, upstream: Upstream) -> bool:
        cached = self._cached.get(upstream.id)
        if cached is None or not cached.is_current:
            return True
        load = self._view.loads.get(upstream.id)
        if load is None:
            return False
        report = load.report
        if report.incarnation != cached.state.incarnation:
            return True
        newer = load.measured_at > cached.read_at
        return newer and set(report.models) != set(cached.state.models)

    async def _read(self, upstream: Upstream) -> None:
        try:
            state = await self._engine.state(upstream)
        except BaobabError:
            cached = self._cached.get(upstream.id)
            if cached is not None:
                cached.is_current = False
                if self._timers.now() - cached.read_at > UNANSWERED_RETENTION_SECONDS:
                    del self._cached[upstream.id]
            return
        self._cached[upstream.id] = CachedState(
            upstream=upstream, state=state, now=self._timers.now()
        )
