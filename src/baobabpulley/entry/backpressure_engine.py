"""Engine wrapper that sends nothing new to engines that asked for no requests."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from typing import final

from baobabpulley.entry.backpressure import EntryBackpressure
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamRefused
from baobabpulley.model.requests import CompletionEvent
from baobabpulley.model.upstreams import Upstream
from baobabpulley.ports.engine import ChunkRef
from baobabpulley.ports.engine import Engine
from baobabpulley.ports.engine import EngineCall
from baobabpulley.ports.engine import PrefillCall
from baobabpulley.ports.wrapped_engine import WrappedEngine


@final
class BackpressureEngine(WrappedEngine):
    """Delegate to an engine, and record when an upstream asks for no requests.

    Raise `UpstreamSkipped` for completions and chunks that would begin there meanwhile. What
    already runs there goes on, with its holds.
    """

    __slots__ = ("_backpressure",)

    def __init__(self, *, engine: Engine, backpressure: EntryBackpressure) -> None:
        super().__init__(engine=engine)
        self._backpressure = backpressure

    async def complete(
        self, upstream: Upstream, call: EngineCall
    ) -> AsyncIterator[CompletionEvent]:
        self._backpressure.check_accepting(upstream)
        events = self._engine.complete(upstream, call)
        try:
            async with contextlib.aclosing(events):  # type: ignore[type-var]
                async for event in events:
                    yield event
        except (UpstreamRefused, UpstreamLost) as error:
            self._backpressure.record(upstream, error)
            raise

    async def prefill_chunk(self, upstream: Upstream, call: PrefillCall) -> ChunkRef:
        self._backpressure.check_accepting(upstream)
        try:
            return await self._engine.prefill_chunk(upstream, call)
        except (UpstreamRefused, UpstreamLost) as error:
            self._backpressure.record(upstream, error)
            raise
