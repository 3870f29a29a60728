"""Readiness and graceful shutdown of an entry."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import msgspec

from baobabpulley.settings import Seconds
from baobabpulley.settings import section
from baobabpulley.timers import TimerService


@section("shutdown", "entry")
class ShutdownSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timing of a graceful shutdown (model seconds).

    ``balancer_lag`` is how long the load balancer may still send requests after readiness turned
    off; they are served. ``linger`` is how long the listener then stays open to refuse requests.
    """

    balancer_lag: Seconds = 2.0
    linger: Seconds = 0.5
    poll: Seconds = 0.05


@final
class Lifecycle:
    """Whether new requests are accepted, and how many are in flight."""

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
        """Whether new requests are refused, as the balancer had time to notice the shutdown."""
        return self._refusing

    @property
    def in_flight(self) -> int:
        """Number of requests in progress."""
        return self._in_flight

    def begin(self) -> None:
        """Count the start of a request."""
        self._in_flight += 1

    def end(self) -> None:
        """Count the end of a request."""
        self._in_flight -= 1

    def add_background_work(self, running: Callable[[], int]) -> None:
        """Make shutdown wait until ``running()`` is 0, for work that outlives its request."""
        self._background.append(running)

    async def drain(self) -> None:
        """Turn readiness off, serve during the load balancer's lag, then await all requests."""
        self._draining = True
        await self._timers.sleep(self._section.balancer_lag)
        self._refusing = True
        await self._timers.sleep(self._section.linger)
        while self._in_flight > 0 or any(running() for running in self._background):
            await self._timers.sleep(self._section.poll)
