"""Relay changed loads and cache deltas to the peer keepers of the failure domain.

A load is sent to a peer when it differs enough from the load last sent to that peer, the largest
difference first, within a budget of bytes. Cache deltas that do not fit are dropped, and the next
cache delta of the same upstream is marked with a gap.
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
# A load that is not stale is sent only if its prefill work differs by this many model seconds, or
# its held memory by the ratio below.
MIN_PREFILL_CHANGE_SECONDS: Final = 0.1
MIN_MEMORY_CHANGE_RATIO: Final = 0.02
STALE_AFTER_SECONDS: Final = 5.0
MAX_QUEUED_CACHE_DELTAS: Final = 500
URGENT: Final = float("inf")


@final
class SentLoad:
    """The load last sent to a peer, and the model time at which it was sent."""

    __slots__ = ("report", "sent_at")

    def __init__(self, *, report: LoadReport, sent_at: float) -> None:
        self.report = report
        self.sent_at = sent_at


class Batch(msgspec.Struct, frozen=True):
    """Contents of a heartbeat to one peer.

    ``loads`` are complete loads, ``changes`` are deltas to loads that the peer has, and ``news``
    are cache deltas.
    """

    loads: tuple[CompactLoad, ...] = ()
    changes: tuple[LoadDelta, ...] = ()
    news: tuple[CacheDelta, ...] = ()


@final
class Outbox:
    """Loads sent to one peer, cache deltas queued for it, and upstreams with dropped deltas."""

    __slots__ = ("cache_deltas", "gaps", "sent")

    def __init__(self) -> None:
        self.sent: dict[str, SentLoad] = {}
        self.cache_deltas: deque[CacheDelta] = deque()
        self.gaps: set[str] = set()


@final
class LoadRelay:
    """Build batches for peers, and apply the batches received from them."""

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
        """Number of cache deltas dropped because they did not fit the budget."""
        return self._dropped

    def set_collected(self, upstreams: set[str]) -> None:
        """Set the upstreams that this keeper collects from."""
        self._collected = upstreams

    def add_cache_delta(
        self, upstream: str, incarnation: str, event: CacheEvent, *, gap: bool
    ) -> None:
        """Publish a cache event to this keeper's entries and queue it for the peers."""
        delta = CacheDelta(
            upstream=upstream,
            incarnation=incarnation,
            sequence=event.sequence,
            stored=event.stored,
            evicted=event.evicted,
            gap=gap,
        )
        self._peers.publish(delta)
        for outbox in self._outboxes.values():
            outbox.cache_deltas.append(delta)
            while len(outbox.cache_deltas) > MAX_QUEUED_CACHE_DELTAS:
                self._drop(outbox, outbox.cache_deltas.popleft())

    def batch(self, peer: str, *, max_bytes: int) -> Batch:
        """Return the next batch for a peer and record it as sent.

        The batch has about ``max_bytes`` at most, but at least one load if any is due.
        """
        outbox = self._outboxes.setdefault(peer, Outbox())
        now = self._timers.now()
        loads: list[CompactLoad] = []
        changes: list[LoadDelta] = []
        remaining = max_bytes
        for weight, upstream in self._due(outbox, now):
            size = LOAD_BYTES if weight == URGENT else LOAD_DELTA_BYTES
            if size > remaining and (loads or changes):
                break
            remaining -= size
            load = self._view.loads[upstream]
            outbox.sent[upstream] = SentLoad(report=load.report, sent_at=now)
            if weight == URGENT:
                loads.append(compact_load(load.report, age=now - load.measured_at))
            else:
                changes.append(load_delta(load.report, age=now - load.measured_at))
        deltas = self._take_cache_deltas(outbox, max_bytes=remaining)
        return Batch(loads=tuple(loads), changes=tuple(changes), news=deltas)

    def reset_peer(self, peer: str) -> None:
        """Discard the state of a peer, after a failed exchange or a restart of the peer."""
        outbox = self._outboxes.get(peer)
        if outbox is None:
            return
        outbox.sent.clear()
        outbox.gaps |= self._collected
        outbox.cache_deltas.clear()

    def apply(self, batch: Batch) -> None:
        """Apply the loads that a peer has collected, and publish its cache deltas to entries."""
        now = self._timers.now()
        for load in batch.loads:
            report = expand_load(load)
            self._view.set_load(report, measured_at=now - report.age)
        for change in batch.changes:
            known = self._view.loads.get(change.upstream)
            if known is not None:
                report = apply_load_delta(known.report, change)
                self._view.set_load(report, measured_at=now - report.age)
        for delta in batch.news:
            self._peers.publish(delta)

    def _due(self, outbox: Outbox, now: float) -> list[tuple[float, str]]:
        """Return the weights and ids of the upstreams whose load is due for a peer, descending."""
        due: list[tuple[float, str]] = []
        for upstream in self._collected:
            weight = self._weight(upstream, outbox.sent.get(upstream), now)
            if weight > 0:
                due.append((weight, upstream))
        due.sort(reverse=True)
        return due

    def _weight(self, upstream: str, sent: SentLoad | None, now: float) -> float:
        """Return how urgently a peer needs the load of an upstream, 0 if it need not be sent."""
        load = self._view.loads.get(upstream)
        if load is None:
            return 0.0
        report = load.report
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
        remaining = max_bytes
        # Newest first: a cached prefix is requested again soon or not at all.
        while outbox.cache_deltas:
            delta = outbox.cache_deltas.pop()
            size = CACHE_DELTA_BYTES + BLOCK_HASH_BYTES * (len(delta.stored) + len(delta.evicted))
            if size > remaining:
                self._drop(outbox, delta)
                break
            remaining -= size
            chosen.append(delta)
        while outbox.cache_deltas:
            self._drop(outbox, outbox.cache_deltas.popleft())
        chosen.reverse()
        return tuple(_with_gap(delta, outbox.gaps) for delta in chosen)

    def _drop(self, outbox: Outbox, delta: CacheDelta) -> None:
        self._dropped += 1
        outbox.gaps.add(delta.upstream)


def compact_load(report: LoadReport, *, age: float) -> CompactLoad:
    """Return a report in its wire format; ``age`` is in model seconds."""
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
    """Return the fields of a report that change between reports; ``age`` is in model seconds."""
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


def apply_load_delta(base: LoadReport, change: LoadDelta) -> LoadReport:
    """Return a report with a delta applied."""
    return msgspec.structs.replace(
        base,
        sequence=change.sequence,
        queued=change.queued,
        queued_high=change.queued_high,
        running=change.running,
        long_prefills=change.long_prefills,
        memory_held=change.memory_held,
        age=change.age / 1000,
    )


def expand_load(load: CompactLoad) -> LoadReport:
    """Return the report of a load in its wire format."""
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


def _with_gap(delta: CacheDelta, gaps: set[str]) -> CacheDelta:
    if delta.upstream not in gaps:
        return delta
    gaps.discard(delta.upstream)
    return msgspec.structs.replace(delta, gap=True)
