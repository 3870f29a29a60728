"""What this entry has sent to each upstream, to correct load reports that lag."""

from __future__ import annotations

from collections import defaultdict
from typing import Final
from typing import final

from baobabpulley.model.fleet_view import LoadView
from baobabpulley.ports.engine import PRIORITY_SHORT

# Longer than any report's age, so that no report predates what was forgotten.
HISTORY: Final = 10.0


@final
class Sent:
    """One attempt: prefill tokens not thought cached, memory in tokens, and its times."""

    __slots__ = ("at", "ended", "memory", "prefilled", "priority", "tokens")

    def __init__(self, *, tokens: int, memory: int, priority: int, at: float) -> None:
        self.tokens = tokens
        self.memory = memory
        self.priority = priority
        self.at = at
        self.prefilled: float | None = None
        self.ended: float | None = None


@final
class Outstanding:
    """Own attempts by upstream; times are model seconds."""

    __slots__ = ("_corrected", "_sent")

    def __init__(self, *, corrected: bool = True) -> None:
        self._corrected = corrected
        self._sent: dict[str, list[Sent]] = defaultdict(list)

    def begin(self, upstream: str, sent: Sent) -> None:
        """Count an attempt in."""
        horizon = sent.at - HISTORY
        kept = [item for item in self._sent[upstream] if item.ended is None or item.ended > horizon]
        kept.append(sent)
        self._sent[upstream] = kept

    def in_flight(self, upstream: str) -> int:
        """Return the number of running attempts."""
        return sum(1 for sent in self._sent[upstream] if sent.ended is None)

    def ahead(
        self, upstream: str, load: LoadView | None, *, priority: int, now: float, rate: float
    ) -> float:
        """Estimate the prefill tokens that a new attempt of ``priority`` would wait for."""
        if load is None:
            return float(self._waiting(upstream, priority, now)) if self._corrected else 0.0
        high = priority <= PRIORITY_SHORT
        reported = load.report.queued_high if high else load.report.queued
        if not self._corrected:
            return float(reported)
        others = reported - self._waiting(upstream, priority, load.taken)
        drained = rate * max(0.0, now - load.taken)
        own = self._waiting(upstream, priority, now)
        if not high:
            own = self._remaining_longs(upstream, now, rate)
        return max(0.0, others - drained) + own

    def long_prefills(self, upstream: str, load: LoadView | None, *, now: float) -> int:
        """Estimate the prefills below the priority of shorts."""
        reported = 0 if load is None else load.report.long_prefills
        if not self._corrected:
            return reported
        own = self._long_count(upstream, now)
        if load is None:
            return own
        return own + max(0, reported - self._long_count(upstream, load.taken))

    def memory_free(self, upstream: str, load: LoadView | None) -> float:
        """Estimate the free memory in tokens; infinite until the first report."""
        if load is None:
            return float("inf")
        free = load.report.memory_total - load.report.memory_held
        if not self._corrected:
            return float(free)
        for sent in self._sent[upstream]:
            if sent.at > load.taken and sent.ended is None:
                free -= sent.memory
            elif sent.at <= load.taken and sent.ended is not None and sent.ended > load.taken:
                free += sent.memory
        return float(free)

    def _waiting(self, upstream: str, priority: int, when: float) -> int:
        return sum(
            sent.tokens
            for sent in self._sent[upstream]
            if sent.priority <= priority and _prefills(sent, when)
        )

    def _remaining_longs(self, upstream: str, now: float, rate: float) -> float:
        total = 0.0
        for sent in self._sent[upstream]:
            if not _prefills(sent, now):
                continue
            done = rate * (now - sent.at) if sent.priority > PRIORITY_SHORT else 0.0
            total += max(0.0, sent.tokens - done)
        return total

    def _long_count(self, upstream: str, when: float) -> int:
        return sum(
            1
            for sent in self._sent[upstream]
            if sent.priority > PRIORITY_SHORT and _prefills(sent, when)
        )


def _prefills(sent: Sent, when: float) -> bool:
    if sent.at > when:
        return False
    if sent.prefilled is not None and sent.prefilled <= when:
        return False
    return sent.ended is None or sent.ended > when
