"""Start, readiness and graceful shutdown of an entry."""

from __future__ import annotations

from typing import final

import msgspec

from baobabpulley.settings import Seconds
from baobabpulley.settings import section
from baobabpulley.timers import TimerService


@section("shutdown", "entry")
class ShutdownSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``balancer_lag`` is how long the balancer may still send after readiness went off."""

    balancer_lag: Seconds = 2.0
    poll: Seconds = 0.05


@final
class Lifecycle:
    """Whether new requests are taken, and how many are in flight."""

    __slots__ = ("_draining", "_in_flight", "_section", "_timers")

    def __init__(self, *, section: ShutdownSection, timers: TimerService) -> None:
        self._section = section
        self._timers = timers
        self._draining = False
        self._in_flight = 0

    @property
    def draining(self) -> bool:
        """Whether shutdown has begun."""
        return self._draining

    @property
    def in_flight(self) -> int:
        """Requests that have begun and not ended."""
        return self._in_flight

    def begin(self) -> None:
        """Count a request in."""
        self._in_flight += 1

    def end(self) -> None:
        """Count a request out."""
        self._in_flight -= 1

    async def drain(self) -> None:
        """Turn readiness off, serve through the balancer's lag, and wait for the rest."""
        self._draining = True
        await self._timers.sleep(self._section.balancer_lag)
        while self._in_flight > 0:
            await self._timers.sleep(self._section.poll)
