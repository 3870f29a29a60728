"""Base class for engines that extend another engine."""

from __future__ import annotations

from collections.abc import AsyncIterator

from baobabpulley.model.requests import CompletionEvent
from baobabpulley.model.upstreams import LoadReport
from baobabpulley.model.upstreams import Upstream
from baobabpulley.ports.engine import ChunkRef
from baobabpulley.ports.engine import Engine
from baobabpulley.ports.engine import EngineCall
from baobabpulley.ports.engine import EngineEvent
from baobabpulley.ports.engine import EngineState
from baobabpulley.ports.engine import Hold
from baobabpulley.ports.engine import Order
from baobabpulley.ports.engine import PrefillCall
from baobabpulley.ports.engine import SendGuard


class WrappedEngine(Engine):
    """Delegate every call to another engine."""

    __slots__ = ("_engine",)

    def __init__(self, *, engine: Engine) -> None:
        self._engine = engine

    def complete(self, upstream: Upstream, call: EngineCall) -> AsyncIterator[CompletionEvent]:
        return self._engine.complete(upstream, call)

    def resume(
        self, upstream: Upstream, *, attempt: str, offset: int
    ) -> AsyncIterator[CompletionEvent]:
        return self._engine.resume(upstream, attempt=attempt, offset=offset)

    async def cancel(self, upstream: Upstream, *, attempt: str) -> None:
        await self._engine.cancel(upstream, attempt=attempt)

    async def prefill_chunk(self, upstream: Upstream, call: PrefillCall) -> ChunkRef:
        return await self._engine.prefill_chunk(upstream, call)

    async def resume_chunk(self, upstream: Upstream, *, part: str) -> ChunkRef:
        return await self._engine.resume_chunk(upstream, part=part)

    async def holds(self, upstream: Upstream) -> tuple[Hold, ...]:
        return await self._engine.holds(upstream)

    async def renew(self, upstream: Upstream, *, holder: str, ids: tuple[str, ...]) -> None:
        await self._engine.renew(upstream, holder=holder, ids=ids)

    async def release(self, upstream: Upstream, *, ids: tuple[str, ...]) -> None:
        await self._engine.release(upstream, ids=ids)

    async def load(self, upstream: Upstream) -> LoadReport:
        return await self._engine.load(upstream)

    def events(self, upstream: Upstream) -> AsyncIterator[EngineEvent]:
        return self._engine.events(upstream)

    async def order(
        self,
        upstream: Upstream,
        order: Order,
        *,
        guard: SendGuard | None = None,
        window: float | None = None,
        credential: str = "",
    ) -> None:
        await self._engine.order(upstream, order, guard=guard, window=window, credential=credential)

    async def state(self, upstream: Upstream) -> EngineState:
        return await self._engine.state(upstream)
