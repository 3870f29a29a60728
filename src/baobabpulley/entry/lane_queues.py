"""Queues of the requests that wait for an upstream, one for each lane."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

from baobabpulley.entry.placements import Waiter
from baobabpulley.entry.placements import prompt_tokens
from baobabpulley.policy.fairness import DeficitQueue
from baobabpulley.policy.lanes import SHORT
from baobabpulley.policy.lanes import LanesSection
from baobabpulley.policy.lanes import response_ratio
from baobabpulley.timers import TimerService


@final
class LaneQueues:
    """The waiting requests of one entry; ``weight`` returns the share of a team."""

    __slots__ = ("_lanes", "_timers", "long", "short")

    def __init__(
        self, *, lanes: LanesSection, weight: Callable[[str], float], timers: TimerService
    ) -> None:
        self._lanes = lanes
        self._timers = timers
        self.short: DeficitQueue[Waiter] = DeficitQueue(
            quantum=lanes.short_quantum, cost=prompt_tokens, weight=weight
        )
        self.long: DeficitQueue[Waiter] = DeficitQueue(
            quantum=lanes.long_quantum, cost=prompt_tokens, rank=self._long_rank, weight=weight
        )

    def __len__(self) -> int:
        return len(self.short) + len(self.long)

    def of_lane(self, lane: str) -> DeficitQueue[Waiter]:
        """Return the queue of a lane."""
        return self.short if lane == SHORT else self.long

    def next_long(self) -> Waiter | None:
        """Return the long request to place next: the oldest one once it has waited too long."""
        oldest = min(self.long, key=lambda waiter: waiter.queued_at, default=None)
        if oldest is None:
            return None
        overdue = self._timers.now() - oldest.queued_at > self._lanes.long_wait_bound
        return oldest if overdue else self.long.head()

    def _long_rank(self, waiter: Waiter) -> float:
        waited = self._timers.now() - waiter.queued_at
        if self._lanes.long_order == "arrival":
            return waited
        return response_ratio(waited=waited, ideal=waiter.ideal)
