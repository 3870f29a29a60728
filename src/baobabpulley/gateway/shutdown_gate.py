"""Refuse requests for which a shutdown leaves no time, before an upstream gets them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from typing import final

from baobabpulley.errors import NotReady
from baobabpulley.gateway.exchanges.exchange_state import SHUTDOWN_RETRY_AFTER_SECONDS
from baobabpulley.gateway.exchanges.exchange_state import Exchange
from baobabpulley.gateway.exchanges.exchange_state import error_for_caller
from baobabpulley.policy.shutdown_admission import LongestAnswers
from baobabpulley.policy.shutdown_admission import ShutdownAdmission
from baobabpulley.policy.shutdown_admission import expected_seconds
from baobabpulley.timers import TimerService


@final
class ShutdownGate:
    """Check requests against the time that a shutdown leaves, when they arrive and in the queue.

    One that may have run is let through: an answer may still come of it, a refusal would be wrong.
    """

    __slots__ = ("_admission", "_longest", "_timers", "_waiting")

    def __init__(self, *, timers: TimerService) -> None:
        self._admission = ShutdownAdmission()
        self._longest = LongestAnswers()
        self._timers = timers
        self._waiting: dict[asyncio.Task[object], Exchange] = {}

    def begin(self, *, seconds: float, lenient_seconds: float) -> None:
        """Begin a shutdown that ends what is running in so many seconds.

        For ``lenient_seconds``, requests are admitted by their expected time.
        """
        now = self._timers.now()
        self._admission.begin(ends_at=now + seconds, lenient_until=now + lenient_seconds)

    def record_end(self, exchange: Exchange) -> None:
        """Record how long a request took that was sent to an upstream."""
        now = self._timers.now()
        if exchange.upstreams:
            seconds = now - exchange.times.arrived
            self._longest.record(exchange.route.name, seconds=seconds, now=now)

    def check(self, exchange: Exchange) -> None:
        """Raise `NotReady` if the shutdown leaves no time for a request that hasn't run."""
        if exchange.may_have_run or self._has_time(exchange):
            return
        left = self._admission.seconds_left(now=self._timers.now()) or 0.0
        error = NotReady(
            f"the gateway is shutting down, and {max(0.0, left):.2f} s left may be too short",
            remedy="Send the request again at once on a new connection; another gateway serves it.",
            retry_after=SHUTDOWN_RETRY_AFTER_SECONDS,
        )
        raise error_for_caller(exchange, error)

    @contextlib.contextmanager
    def waiting(self, exchange: Exchange) -> Iterator[None]:
        """Let `refuse_late` cancel the current task while it waits for an upstream."""
        task = asyncio.current_task()
        assert task is not None
        self._waiting[task] = exchange
        try:
            yield
        finally:
            del self._waiting[task]

    def refuse_late(self) -> None:
        """Cancel the requests in the queue for which no time is left any more."""
        for task, exchange in tuple(self._waiting.items()):
            if not exchange.may_have_run and not self._has_time(exchange):
                task.cancel()

    def _has_time(self, exchange: Exchange) -> bool:
        now = self._timers.now()
        needs = exchange.parameters
        expected = expected_seconds(
            exchange.service.engine,
            prompt_tokens=needs.prompt_tokens,
            max_output_tokens=needs.max_output_tokens,
            objective=exchange.route.objective,
            longest=self._longest.longest(exchange.route.name, now=now),
        )
        return self._admission.has_time(deadline=exchange.times.end, expected=expected, now=now)
