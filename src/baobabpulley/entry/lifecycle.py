"""Start, readiness and graceful shutdown of an entry."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import msgspec

from baobabpulley.settings import Seconds
from baobabpulley.settings import section
from baobabpulley.timers import TimerService


@section("shutdown", "entry")
class ShutdownSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Times of a graceful shutdown (model seconds).

    ``balancer_lag`` is how long the balancer may still send after readiness went off; what comes
    within it is served. ``linger`` is how long the listener stays open afterwards, to refuse.
    """

    balancer_lag: Seconds = 2.0
    linger: Seconds = 0.5
    poll: Seconds = 0.05


@final
class Lifecycle:
    """Whether new requests are taken, and how many are in flight."""

    __slots__ = ("_background", "_draining", "_in_flight", "_refusing", "_section", "_timers")

    def __init__(self, *, section: ShutdownSection, timers: TimerService) -> None:
        self._section = section
        self._timers = timers
        self._draining = False
        self._refusing = False
        self._in_flight = 0
        self._background: list[Callable[[], int]] = []

    @property
    def draining(self) -> bool:
        """Whether shutdown has begun."""
        return self._draining

    @property
    def refusing(self) -> bool:
        """Whether new requests are refused, as the balancer knows by now of the shutdown."""
        return self._refusing

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

    def add_background_work(self, running: Callable[[], int]) -> None:
        """Have shutdown wait also for work whose caller may have gone away."""
        self._background.append(running)

    async def drain(self) -> None:
        """Turn readiness off, serve through the balancer's lag, then wait for the rest."""
        self._draining = True
        await self._timers.sleep(self._section.balancer_lag)
        self._refusing = True
        await self._timers.sleep(self._section.linger)
        while self._in_flight > 0 or any(running() for running in self._background):
            await self._timers.sleep(self._section.poll)
