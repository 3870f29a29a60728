"""What the engines have loaded, read only where it may have changed.

An engine is asked when it is new, has restarted, reports other models, was sent an order, is
loading, or was last read long ago.
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
# Many engines are read anew more seldom, so that this costs a bounded share of control.
AUDITS_PER_SECOND: Final = 2.0
STATE_BYTES: Final = 500
# A slow answer must not look like a dead engine: its models would be loaded elsewhere.
UNANSWERED_RETENTION_SECONDS: Final = 6.0
MAX_CONCURRENT_READS: Final = 16


@final
class CachedState:
    """A state and when it was read; ``is_current`` is off when it may have changed since."""

    __slots__ = ("checked_at", "is_current", "read_at", "state", "upstream")

    def __init__(self, *, upstream: Upstream, state: EngineState, now: float) -> None:
        self.upstream = upstream
        self.state = state
        self.read_at = now
        self.checked_at = now
        self.is_current = not state.loading


@final
class EngineStates:
    """States of the engines of one failure domain."""

    __slots__ = ("_audited_at", "_cached", "_engine", "_timers", "_view")

    def __init__(self, *, view: FleetView, engine: Engine, timers: TimerService) -> None:
        self._view = view
        self._engine = engine
        self._timers = timers
        self._cached: dict[str, CachedState] = {}
        self._audited_at = timers.now()

    @property
    def bytes_per_second(self) -> float:
        """What reading states anew takes."""
        return min(AUDITS_PER_SECOND, len(self._cached) / AUDIT_PERIOD_SECONDS) * STATE_BYTES

    async def refresh(self, upstreams: list[Upstream]) -> None:
        """Read what may have changed; an engine that does not answer is dropped after a while."""
        known = {upstream.id: upstream for upstream in upstreams}
        self._cached = {
            id: held for id, held in self._cached.items() if known.get(id) == held.upstream
        }
        doubtful = [upstream for upstream in upstreams if self._needs_read(upstream)]
        doubtful += self._due_for_audit(known, {upstream.id for upstream in doubtful})
        for start in range(0, len(doubtful), MAX_CONCURRENT_READS):
            batch = doubtful[start : start + MAX_CONCURRENT_READS]
            await asyncio.gather(*(self._read(upstream) for upstream in batch))
        for held in self._cached.values():
            if held.is_current:
                held.checked_at = self._timers.now()

    def by_service(self) -> dict[str, list[EngineState]]:
        """Return the states held, by service."""
        found: dict[str, list[EngineState]] = {}
        for held in self._cached.values():
            found.setdefault(held.upstream.service, []).append(held.state)
        return found

    def get(self, upstream: str) -> EngineState:
        """Return the state held of an engine."""
        return self._cached[upstream].state

    def find(self, upstream: str) -> EngineState | None:
        """Return the state held of an engine, if any."""
        held = self._cached.get(upstream)
        return held.state if held is not None else None

    def age(self, upstream: str) -> float:
        """Return the model seconds since a state was read or known not to have changed."""
        held = self._cached.get(upstream)
        return self._timers.now() - held.checked_at if held is not None else float("inf")

    def invalidate(self, upstream: str) -> None:
        """Have an engine's state read before it is used again."""
        held = self._cached.get(upstream)
        if held is not None:
            held.is_current = False

    def clear(self) -> None:
        """Have all states read anew."""
        self._cached.clear()

    def _due_for_audit(self, known: dict[str, Upstream], doubtful: set[str]) -> list[Upstream]:
        """Return those read longest ago, no more than are due since the last call."""
        now = self._timers.now()
        room = int(AUDITS_PER_SECOND * min(AUDIT_PERIOD_SECONDS, now - self._audited_at))
        if not room:
            return []
        self._audited_at = now
        overdue = sorted(
            (held.read_at, id)
            for id, held in self._cached.items()
            if now - held.read_at > AUDIT_PERIOD_SECONDS and id not in doubtful
        )
        return [known[id] for _, id in overdue[:room]]

    def _needs_read(self, upstream: Upstream) -> bool:
        held = self._cached.get(upstream.id)
        if held is None or not held.is_current:
            return True
        load = self._view.loads.get(upstream.id)
        if load is None:
            return False
        report = load.report
        if report.incarnation != held.state.incarnation:
            return True
        newer = load.measured_at > held.read_at
        return newer and set(report.models) != set(held.state.models)

    async def _read(self, upstream: Upstream) -> None:
        try:
            state = await self._engine.state(upstream)
        except BaobabError:
            held = self._cached.get(upstream.id)
            if held is not None:
                held.is_current = False
                if self._timers.now() - held.read_at > UNANSWERED_RETENTION_SECONDS:
                    del self._cached[upstream.id]
            return
        self._cached[upstream.id] = CachedState(
            upstream=upstream, state=state, now=self._timers.now()
        )
