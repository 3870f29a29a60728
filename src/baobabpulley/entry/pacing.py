"""Send long prompts in growing prefixes to engines that cannot interrupt a prefill."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from typing import final

import msgspec

from baobabpulley.errors import BaobabError
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamRefused
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.requests import CompletionEvent
from baobabpulley.model.requests import EndEvent
from baobabpulley.model.requests import estimate_tokens
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.dialects import dialects
from baobabpulley.policy.lanes import LanesSection
from baobabpulley.ports.engine import PRIORITY_SHORT
from baobabpulley.ports.engine import Engine
from baobabpulley.ports.engine import EngineCall
from baobabpulley.timers import TimerService


@final
class Pacer:
    """Run attempts as the dialect of the upstream's service needs it."""

    __slots__ = ("_engine", "_lanes", "_timers", "_view")

    def __init__(
        self, *, engine: Engine, view: FleetView, lanes: LanesSection, timers: TimerService
    ) -> None:
        self._engine = engine
        self._view = view
        self._lanes = lanes
        self._timers = timers

    async def complete(
        self, upstream: Upstream, call: EngineCall
    ) -> AsyncIterator[CompletionEvent]:
        """Yield a call's answer, after the prefixes that go into the engine's cache first.

        Raises as `Engine.complete` does, but `UpstreamLost` for a refusal after a prefix has run.
        """
        ends = self._timers.now() + call.deadline
        ran = False
        try:
            for number, prompt in enumerate(self._warm_ups(upstream, call)):
                await self._warm_up(upstream, call, prompt=prompt, number=number, ends=ends)
                ran = True
            async with contextlib.aclosing(self._engine.complete(upstream, call)) as events:
                async for event in events:
                    yield event
        except UpstreamRefused as error:
            if ran:
                raise UpstreamLost(f"refused after a part had run: {error.message}") from error
            raise

    def _warm_ups(self, upstream: Upstream, call: EngineCall) -> tuple[str, ...]:
        service = self._view.settings_state.services.get(upstream.service)
        if service is None or call.priority <= PRIORITY_SHORT:
            return ()
        return dialects.lookup(service.dialect).warmup_prefixes(
            call.prompt,
            tokens=estimate_tokens(call.prompt),
            segment=self._lanes.segment_tokens,
        )

    async def _warm_up(
        self, upstream: Upstream, call: EngineCall, *, prompt: str, number: int, ends: float
    ) -> None:
        part = msgspec.structs.replace(
            call,
            attempt=f"{call.attempt}.{number}",
            prompt=prompt,
            max_tokens=1,
            offset=0,
            delivered="",
            deadline=ends - self._timers.now(),
        )
        ended = False
        try:
            async with contextlib.aclosing(self._engine.complete(upstream, part)) as events:
                async for event in events:
                    ended = isinstance(event, EndEvent)
        finally:
            if not ended:
                self._cancel_soon(upstream, part.attempt)

    def _cancel_soon(self, upstream: Upstream, attempt: str) -> None:
        async def cancel() -> None:
            with contextlib.suppress(BaobabError):
                await self._engine.cancel(upstream, attempt=attempt)

        self._timers.after(0.0, cancel, name="cancel")
