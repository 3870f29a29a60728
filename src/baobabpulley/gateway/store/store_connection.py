"""Whether the store answers, and how long removals are delayed after an outage."""

from __future__ import annotations

import math
from typing import Final
from typing import final

from loguru import logger

from baobabpulley.timers import TimerService

# After a longer outage, leases of live upstreams may have expired, so removals are delayed.
OUTAGE_SECONDS: Final = 0.5
# Shorter than upstreams serve on after their registration was removed.
SERVES_ON_SECONDS: Final = 1.6


@final
class StoreConnection:
    """State of the connection to the store, directly or through the gateway that is followed.

    Registrations may expire while the store is away for all; their upstreams register again within
    ``returned_within`` seconds. That the store fails one gateway, or the one that is followed,
    doesn't mean that it is away: then others confirm what it holds, within ``confirmed_within``
    seconds. A call without news takes ``call_wait`` seconds.
    """

    __slots__ = (
        "_answered_within",
        "_confirmed_within",
        "_disconnected_at",
        "_failed_at",
        "_removal_delay_until",
        "_returned_within",
        "_timers",
    )

    def __init__(
        self,
        *,
        returned_within: float,
        confirmed_within: float,
        call_wait: float,
        timers: TimerService,
    ) -> None:
        self._returned_within = returned_within
        self._confirmed_within = confirmed_within
        self._answered_within = call_wait + OUTAGE_SECONDS
        self._timers = timers
        # All in monotonic seconds.
        self._disconnected_at: float | None = None
        # Since when own calls to the store have failed.
        self._failed_at: float | None = None
        self._removal_delay_until = 0.0

    @property
    def connected(self) -> bool:
        """Whether the store answers."""
        return self._disconnected_at is None

    @property
    def removal_delay(self) -> float:
        """Seconds by which removals are delayed."""
        return max(0.0, self._removal_delay_until - self._timers.now())

    def fail(self, reason: str) -> None:
        """Record that the store doesn't answer a call of this gateway."""
        if self._failed_at is None:
            self._failed_at = self._timers.now()
        self.lose(reason)

    def lose(self, reason: str) -> None:
        """Record that the store doesn't answer this gateway, or the one that is followed."""
        if self._disconnected_at is None:
            self._disconnected_at = self._timers.now()
            logger.bind(event="store_lost").warning("lost connection to the store: {}", reason)

    def answer(self, *, unconfirmed: float, silent: float) -> None:
        """Record that the store answers a call of this gateway.

        ``unconfirmed`` is for how many seconds nobody has confirmed what the store holds, and
        ``silent`` for how many an own call was pending. Removals are delayed if own calls failed
        in that time, as the store may have been away for all.
        """
        away = silent if silent > self._answered_within else 0.0
        if self._failed_at is not None:
            away = max(away, self._timers.now() - self._failed_at)
        # If others confirmed it since then, what counts is the time after that; up to
        # ``_answered_within`` seconds are usual. If the first own call fails, the store also
        # failed the gateway that was followed before.
        longest = OUTAGE_SECONDS if away <= unconfirmed else self._answered_within
        was_away = min(away, unconfirmed) > longest
        was_away |= away > 0.0 and self._answered_within < unconfirmed < math.inf
        if was_away or self._is_long(unconfirmed):
            self._begin_delay(away=away, unconfirmed=unconfirmed)
        self._failed_at = None
        self._reconnect()

    def take_over(self, *, unconfirmed: float) -> None:
        """Delay removals, as the store failed another gateway and answers this one.

        It may have been away for all, or for the other alone. No upstream that has been removed
        since the last confirmation is kept longer than it serves on.
        """
        delay = min(self._returned_within, SERVES_ON_SECONDS - unconfirmed)
        if delay > 0.0:
            self.delay_removals(delay)

    def receive_delay(self, seconds: float, *, unconfirmed: float) -> None:
        """Delay removals as the gateway that is followed does.

        While others confirmed what the store holds, that gateway alone was cut off from it.
        """
        if not self.connected or unconfirmed > self._answered_within:
            self.delay_removals(seconds)

    def regain(self, *, unconfirmed: float) -> None:
        """Record that the store answers this gateway, or the one that is followed.

        Removals are delayed if nobody has confirmed for long what the store holds.
        """
        if self._is_long(unconfirmed):
            self._begin_delay(away=0.0, unconfirmed=unconfirmed)
        self._reconnect()

    def _is_long(self, unconfirmed: float) -> bool:
        # Before the first confirmation, nothing is known that could have expired.
        return self._confirmed_within < unconfirmed < math.inf

    def _reconnect(self) -> None:
        if self._disconnected_at is None:
            return
        outage = self._timers.now() - self._disconnected_at
        logger.bind(event="store_regained", away=round(outage, 2)).info("store reachable again")
        self._disconnected_at = None

    def _begin_delay(self, *, away: float, unconfirmed: float) -> None:
        logger.bind(
            event="removals_delayed", away=round(away, 2), unconfirmed=round(unconfirmed, 2)
        ).info("removals are delayed, as entries may have expired while the store was away")
        self.delay_removals()

    def delay_removals(self, seconds: float | None = None) -> None:
        """Delay removals by some seconds at least; without them, by those after an outage."""
        delay = self._returned_within if seconds is None else seconds
        self._removal_delay_until = max(self._removal_delay_until, self._timers.now() + delay)
