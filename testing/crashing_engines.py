"""Engines that crash when they begin the answer to a prompt with a certain part."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any
from typing import final

import platform_upstream as upstreams
from gateway_builders import KITCHEN
from gateway_builders import Reply
from gateway_builders import World
from gateway_builders import send
from platform_upstream import Call
from platform_upstream import UpstreamStandin

from baobabpulley.gateway.daemon import Gateway
from baobabpulley.platform import names

BAD_PART = "bad"
PREFILL_SECONDS = 0.02

_numbers = itertools.count(1)


@final
class CrashingEngines:
    """Engines that break all their connections as they begin a bad prompt, and stay down.

    ``crashes`` counts the crashes, ``bad_requests`` the bad prompts that reached an engine.
    """

    def __init__(self) -> None:
        self.crashes = 0
        self.bad_requests = 0
        self._running: dict[str, set[Call]] = {}

    @classmethod
    async def start(cls, world: World, *, count: int) -> CrashingEngines:
        """Start engines and register them in the store."""
        engines = cls()
        for number in range(count):
            engine = await world.add_upstream(f"i-{number}", service=KITCHEN)
            engine.behaviour = engines.answer
        return engines

    async def answer(self, upstream: UpstreamStandin, call: Call) -> None:
        """Stream an answer, or crash as it begins."""
        running = self._running.setdefault(upstream.name, set())
        running.add(call)
        is_bad = f"{BAD_PART}:" in call.headers.get(names.PROMPT_PREFIX.lower(), "")
        self.bad_requests += is_bad
        try:
            await asyncio.sleep(PREFILL_SECONDS)
            if is_bad:
                await self._crash(upstream)
                return
            await upstreams.stream(events=4)(upstream, call)
        finally:
            running.discard(call)

    async def send_bad(self, gateway: Gateway) -> Reply:
        """Send a prompt with the bad part; no two are alike."""
        return await self._send(gateway, f"shared:40,{BAD_PART}:95")

    async def send_sound(self, gateway: Gateway) -> Reply:
        """Send a prompt with the first part of the bad ones and the same account."""
        return await self._send(gateway, "shared:40")

    async def _crash(self, upstream: UpstreamStandin) -> None:
        self.crashes += 1
        for call in tuple(self._running[upstream.name]):
            call.reset()
        await upstream.stop()

    async def _send(self, gateway: Gateway, prefix: str) -> Reply:
        headers: dict[str, Any] = {names.PROMPT_PREFIX: f"{prefix},own-{next(_numbers)}:900"}
        return await send(gateway, "/draft/7", **headers)
