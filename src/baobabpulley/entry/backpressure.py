"""Upstreams that asked this entry for no requests, whatever the requests were."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from typing import final

from loguru import logger

from baobabpulley.errors import BaobabError
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamRefused
from baobabpulley.errors import UpstreamSkipped
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.deadlines import retry_after_seconds
from baobabpulley.policy.upstream_backpressure import BackpressureWindows
from baobabpulley.policy.upstream_backpressure import backpressure_seconds
from baobabpulley.timers import TimerService


@final
class EntryBackpressure:
    """Record the errors that ask for no requests, and tell which upstreams get none now."""

    __slots__ = ("_random", "_timers", "_windows")

    def __init__(self, *, timers: TimerService) -> None:
        self._timers = timers
        self._windows = BackpressureWindows()
        self._random = random.Random()

    def record(self, upstream: Upstream, error: BaobabError) -> bool:
        """Record the error of an attempt; return whether the upstream asked for no requests."""
        asked = asked_pause(error)
        if asked is not None:
            self.record_pause(upstream, asked)
        return asked is not None

    def record_pause(self, upstream: Upstream, asked: float) -> None:
        """Record that an upstream asked for no requests for ``asked`` seconds."""
        seconds = backpressure_seconds(asked)
        if self._windows.record(upstream.id, seconds=seconds, now=self._timers.now()):
            logger.bind(
                event="upstream_backpressure",
                upstream=upstream.id,
                service=upstream.service,
                asked=asked if math.isfinite(asked) else None,
                seconds=seconds,
            ).info("upstream {} asked for no requests for {:.2f} s", upstream.id, seconds)

    def upstreams(self) -> frozenset[str]:
        """Return the ids of the upstreams that get no requests now."""
        return self._windows.upstreams(now=self._timers.now())

    def accepting(self, upstreams: Sequence[Upstream]) -> list[Upstream]:
        """Return the upstreams that get requests now."""
        blocked = self.upstreams()
        return [upstream for upstream in upstreams if upstream.id not in blocked]

    def check_accepting(self, upstream: Upstream) -> None:
        """Raise `UpstreamSkipped` if an upstream has asked for no requests since it was chosen."""
        seconds = self._seconds_left(upstream)
        if seconds:
            raise UpstreamSkipped(
                f"{upstream.id} asked for no requests for {seconds:.2f} s more",
                asked_pause=seconds,
            )

    def retry_after(self, upstreams: Sequence[Upstream]) -> float | None:
        """Return after how many seconds to retry if all upstreams asked for no requests.

        It is the earliest end of their pauses, spread: before it there is no use in a retry,
        however soon the caller gives up. Return ``None`` if one of them gets requests, or if there
        is none.
        """
        expected = min(map(self._seconds_left, upstreams), default=0.0)
        if not expected:
            return None
        return retry_after_seconds(self._random, expected=expected, left=math.inf)

    def _seconds_left(self, upstream: Upstream) -> float:
        return self._windows.seconds_left(upstream.id, now=self._timers.now())


def asked_pause(error: BaobabError) -> float | None:
    """Return for how many seconds the upstream of a failed attempt asked for no requests.

    >>> asked_pause(UpstreamLost("503", asked_pause=2.0)), asked_pause(UpstreamRefused("no"))
    (2.0, None)
    """
    if isinstance(error, UpstreamRefused | UpstreamLost):
        return error.asked_pause
    return None
