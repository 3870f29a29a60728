"""A stand-in engine that only publishes load, for the control-plane benchmark.

Every report differs significantly from the previous one, so that a keeper must relay each.
"""

from __future__ import annotations

import itertools
import random
from typing import Final
from typing import final

from baobabpulley.model.upstreams import LoadReport
from baobabpulley.ports.engine import CacheEvent
from baobabpulley.standins.engine import MONITORING_ROUTES
from baobabpulley.standins.engine import EngineStandin
from baobabpulley.standins.engine_core import EngineProfile
from baobabpulley.timers import TimerService

MAX_QUEUED_TOKENS: Final = 400_000
BLOCKS_PER_EVENT: Final = 6


@final
class PublisherStandin(EngineStandin):
    """An engine that generates reports and cache events from a seed and runs no calls."""

    __slots__ = ("_event_period", "_event_sequences", "_random", "_report_sequences")

    def __init__(
        self,
        *,
        id: str,
        address: str,
        model: str,
        event_period: float,
        seed: int,
        timers: TimerService,
    ) -> None:
        profile = EngineProfile(memory_tokens=MAX_QUEUED_TOKENS)
        super().__init__(id=id, address=address, models=(model,), profile=profile, timers=timers)
        self._event_period = event_period
        self._random = random.Random(seed)
        self._report_sequences, self._event_sequences = itertools.count(1), itertools.count(1)

    def start(self) -> None:
        """Start listening and publishing; the event loop must run."""
        self.serve(*MONITORING_ROUTES)
        if self._event_period:
            self.timers.every(self._event_period, self._publish_cache_event, name="news")

    def lagged_report(self) -> LoadReport:
        """Return a newly generated report."""
        queued = self._random.randrange(MAX_QUEUED_TOKENS)
        return LoadReport(
            upstream=self._state.upstream,
            incarnation=self._state.incarnation,
            sequence=next(self._report_sequences),
            queued=queued,
            queued_high=queued // 10,
            running=self._random.randrange(40),
            long_prefills=self._random.randrange(2),
            memory_total=MAX_QUEUED_TOKENS,
            memory_held=queued,
            prefill_rate=self.core.profile.prefill_rate,
            models=tuple(self._state.models),
        )

    def _publish_cache_event(self) -> None:
        blocks = tuple(self._random.getrandbits(64) for _ in range(BLOCKS_PER_EVENT))
        event = CacheEvent(sequence=next(self._event_sequences), stored=blocks)
        for queue in self.core.subscribers:
            queue.put_nowait(event)
