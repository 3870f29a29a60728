"""Send long prompts as growing prefixes to engines that cannot interrupt a prefill."""

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
    """Run attempts, with the warm-up prefixes that the dialect of the service requires."""

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
        """Yield a call's events, after sending prefixes of the prompt to warm the engine's cache.

        Raises as `Engine.complete` does, but `UpstreamLost` for a refusal after a prefix has run.
        """
        deadline_at = self._timers.now() + call.deadline
        prefilled = False
        try:
            for number, prompt in enumerate(self._warmup_prefixes(upstream, call)):
                await self._prefill_prefix(
                    upstream, call, prompt=prompt, number=number, deadline_at=deadline_at
                )
                prefilled = True
            async with contextlib.aclosing(self._engine.complete(upstream, call)) as events:
                async for event in events:
                    yield event
        except UpstreamRefused as error:
            if prefilled:
                raise UpstreamLost(
                    f"refused after a prefix had been prefilled: {error.message}",
                    asked_pause=error.asked_pause,
                ) from error
            raise

    def _warmup_prefixes(self, upstream: Upstream, call: EngineCall) -> tuple[str, ...]:
        service = self._view.settings_state.services.get(upstream.service)
        if service is None or call.priority <= PRIORITY_SHORT:
            return ()
        return dialects.lookup(service.dialect).warmup_prefixes(
            call.prompt,
            tokens=estimate_tokens(call.prompt),
            segment=self._lanes.segment_tokens,
        )

    async def _prefill_prefix(
        self, upstream: Upstream, call: EngineCall, *, prompt: str, number: int, deadline_at: float
    ) -> None:
        prefix_call = msgspec.structs.replace(
            call,
            attempt=f"{call.attempt}.{number}",
            prompt=prompt,
            max_tokens=1,
            offset=0,
            delivered="",
            deadline=deadline_at - self._timers.now(),
        )
        ended = False
        try:
            async with contextlib.aclosing(self._engine.complete(upstream, prefix_call)) as events:
                async for event in events:
                    ended = isinstance(event, EndEvent)
        finally:
            if not ended:
                self._cancel_soon(upstream, prefix_call.attempt)

    def _cancel_soon(self, upstream: Upstream, attempt: str) -> None:
        async def cancel() -> None:
            with contextlib.suppress(BaobabError):
                await self._engine.cancel(upstream, attempt=attempt)

        self._timers.after(0.0, cancel, name="cancel")
