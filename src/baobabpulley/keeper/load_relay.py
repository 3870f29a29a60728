"""What a keeper passes on to the peers of its failure domain: changed loads and cache news.

A load goes out when it has changed notably since that peer got it, the largest change first,
within a budget of bytes. Cache news that does not fit is dropped, and the next news of the
same upstream then carries the mark of a gap.
"""

from __future__ import annotations

from collections import deque
from typing import Final
from typing import final

import msgspec

from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.messages import CacheDelta
from baobabpulley.model.messages import CompactLoad
from baobabpulley.model.messages import LoadDelta
from baobabpulley.model.upstreams import LoadReport
from baobabpulley.ports.engine import CacheEvent
from baobabpulley.ports.peers import Peers
from baobabpulley.timers import TimerService

LOAD_BYTES: Final = 72
LOAD_DELTA_BYTES: Final = 34
CACHE_DELTA_BYTES: Final = 40
BLOCK_HASH_BYTES: Final = 9
# Model seconds of prefill work by which a load must differ to be passed on before it is stale.
MIN_PREFILL_CHANGE_SECONDS: Final = 0.1
MIN_MEMORY_CHANGE_RATIO: Final = 0.02
STALE_AFTER_SECONDS: Final = 5.0
MAX_QUEUED_CACHE_DELTAS: Final = 500
URGENT: Final = float("inf")


@final
class SentLoad:
    """The load that a peer was last told, and when."""

    __slots__ = ("report", "sent_at")

    def __init__(self, *, report: LoadReport, sent_at: float) -> None:
        self.report = report
        self.sent_at = sent_at


class Batch(msgspec.Struct, frozen=True):
    """What goes to one peer: whole loads, changes to loads it has, and cache news."""

    loads: tuple[CompactLoad, ...] = ()
    changes: tuple[LoadDelta, ...] = ()
    news: tuple[CacheDelta, ...] = ()


@final
class Outbox:
    """What one peer has been told, and the news that waits for it."""

    __slots__ = ("cache_deltas", "gaps", "sent")

    def __init__(self) -> None:
        self.sent: dict[str, SentLoad] = {}
        self.cache_deltas: deque[CacheDelta] = deque()
        self.gaps: set[str] = set()


@final
class LoadRelay:
    """Hand out batches for peers, and take theirs in."""

    __slots__ = ("_collected", "_dropped", "_outboxes", "_peers", "_timers", "_view")

    def __init__(self, *, view: FleetView, timers: TimerService, peers: Peers) -> None:
        self._view = view
        self._timers = timers
        self._peers = peers
        self._collected: set[str] = set()
        self._outboxes: dict[str, Outbox] = {}
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Pieces of cache news that did not fit the budget."""
        return self._dropped

    def set_collected(self, upstreams: set[str]) -> None:
        """Name the upstreams that this keeper collects from."""
        self._collected = upstreams

    def add_cache_delta(
        self, upstream: str, incarnation: str, event: CacheEvent, *, gap: bool
    ) -> None:
        """Publish a cache event to entries here and queue it for the peers."""
        news = CacheDelta(
            upstream=upstream,
            incarnation=incarnation,
            sequence=event.sequence,
            stored=event.stored,
            evicted=event.evicted,
            gap=gap,
        )
        self._peers.publish(news)
        for outbox in self._outboxes.values():
            outbox.cache_deltas.append(news)
            while len(outbox.cache_deltas) > MAX_QUEUED_CACHE_DELTAS:
                self._drop(outbox, outbox.cache_deltas.popleft())

    def batch(self, peer: str, *, max_bytes: int) -> Batch:
        """Return what a peer should get now, together near ``max_bytes`` and at least one load."""
        outbox = self._outboxes.setdefault(peer, Outbox())
        now = self._timers.now()
        loads: list[CompactLoad] = []
        changes: list[LoadDelta] = []
        left = max_bytes
        for weight, upstream in self._due(outbox, now):
            size = LOAD_BYTES if weight == URGENT else LOAD_DELTA_BYTES
            if size > left and (loads or changes):
                break
            left -= size
            view = self._view.loads[upstream]
            outbox.sent[upstream] = SentLoad(report=view.report, sent_at=now)
            if weight == URGENT:
                loads.append(compact_load(view.report, age=now - view.measured_at))
            else:
                changes.append(load_delta(view.report, age=now - view.measured_at))
        news = self._take_cache_deltas(outbox, max_bytes=left)
        return Batch(loads=tuple(loads), changes=tuple(changes), news=news)

    def reset_peer(self, peer: str) -> None:
        """Forget what a peer was told: the exchange failed, or the peer began anew."""
        outbox = self._outboxes.get(peer)
        if outbox is None:
            return
        outbox.sent.clear()
        outbox.gaps |= self._collected
        outbox.cache_deltas.clear()

    def apply(self, batch: Batch) -> None:
        """Take over what a peer has collected, and publish its news to entries here."""
        now = self._timers.now()
        for load in batch.loads:
            report = expand_load(load)
            self._view.set_load(report, measured_at=now - report.age)
        for change in batch.changes:
            held = self._view.loads.get(change.upstream)
            if held is not None:
                report = apply_load_delta(held.report, change)
                self._view.set_load(report, measured_at=now - report.age)
        for item in batch.news:
            self._peers.publish(item)

    def _due(self, outbox: Outbox, now: float) -> list[tuple[float, str]]:
        """Return the upstreams of which a peer's picture is off, the worst first."""
        due: list[tuple[float, str]] = []
        for upstream in self._collected:
            weight = self._weight(upstream, outbox.sent.get(upstream), now)
            if weight > 0:
                due.append((weight, upstream))
        due.sort(reverse=True)
        return due

    def _weight(self, upstream: str, sent: SentLoad | None, now: float) -> float:
        """Return how much a peer's picture of an upstream is off, 0 if it will do."""
        view = self._view.loads.get(upstream)
        if view is None:
            return 0.0
        report = view.report
        if sent is None or _identity(sent.report) != _identity(report):
            return URGENT
        if sent.report.sequence == report.sequence:
            return 0.0
        seconds = abs(report.queued - sent.report.queued) / max(1.0, report.prefill_rate)
        memory = abs(report.memory_held - sent.report.memory_held) / max(1, report.memory_total)
        stale = now - sent.sent_at > STALE_AFTER_SECONDS
        if seconds < MIN_PREFILL_CHANGE_SECONDS and memory < MIN_MEMORY_CHANGE_RATIO and not stale:
            return 0.0
        return seconds + memory + (now - sent.sent_at) / STALE_AFTER_SECONDS

    def _take_cache_deltas(self, outbox: Outbox, *, max_bytes: int) -> tuple[CacheDelta, ...]:
        chosen: list[CacheDelta] = []
        left = max_bytes
        # The newest news is worth most: a cached prefix is asked for again soon or never.
        while outbox.cache_deltas:
            item = outbox.cache_deltas.pop()
            size = CACHE_DELTA_BYTES + BLOCK_HASH_BYTES * (len(item.stored) + len(item.evicted))
            if size > left:
                self._drop(outbox, item)
                break
            left -= size
            chosen.append(item)
        while outbox.cache_deltas:
            self._drop(outbox, outbox.cache_deltas.popleft())
        chosen.reverse()
        return tuple(_with_gap(item, outbox.gaps) for item in chosen)

    def _drop(self, outbox: Outbox, item: CacheDelta) -> None:
        self._dropped += 1
        outbox.gaps.add(item.upstream)


def compact_load(report: LoadReport, *, age: float) -> CompactLoad:
    """Return a report in its compact form; ``age`` is in model seconds."""
    return CompactLoad(
        upstream=report.upstream,
        incarnation=report.incarnation,
        sequence=report.sequence,
        queued=report.queued,
        queued_high=report.queued_high,
        running=report.running,
        long_prefills=report.long_prefills,
        memory_total=report.memory_total,
        memory_held=report.memory_held,
        prefill_rate=round(report.prefill_rate),
        models=report.models,
        state=report.state,
        age=round(age * 1000),
    )


def load_delta(report: LoadReport, *, age: float) -> LoadDelta:
    """Return what may differ between two reports of one engine; ``age`` is in model seconds."""
    return LoadDelta(
        upstream=report.upstream,
        sequence=report.sequence,
        queued=report.queued,
        queued_high=report.queued_high,
        running=report.running,
        long_prefills=report.long_prefills,
        memory_held=report.memory_held,
        age=round(age * 1000),
    )


def apply_load_delta(held: LoadReport, change: LoadDelta) -> LoadReport:
    """Return a report with a change applied."""
    return msgspec.structs.replace(
        held,
        sequence=change.sequence,
        queued=change.queued,
        queued_high=change.queued_high,
        running=change.running,
        long_prefills=change.long_prefills,
        memory_held=change.memory_held,
        age=change.age / 1000,
    )


def expand_load(load: CompactLoad) -> LoadReport:
    """Return the report that a compact form stands for."""
    return LoadReport(
        upstream=load.upstream,
        incarnation=load.incarnation,
        sequence=load.sequence,
        queued=load.queued,
        queued_high=load.queued_high,
        running=load.running,
        long_prefills=load.long_prefills,
        memory_total=load.memory_total,
        memory_held=load.memory_held,
        prefill_rate=float(load.prefill_rate),
        models=load.models,
        state=load.state,
        age=load.age / 1000,
    )


def _identity(report: LoadReport) -> tuple[str, str, tuple[str, ...]]:
    return report.incarnation, report.state, report.models


def _with_gap(item: CacheDelta, gaps: set[str]) -> CacheDelta:
    if item.upstream not in gaps:
        return item
    gaps.discard(item.upstream)
    return msgspec.structs.replace(item, gap=True)
