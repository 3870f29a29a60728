"""A model engine's scheduler: continuous batching, KV memory, prefix cache and holds.

It models time and memory use accurately and generates its text by `token_at`. Times are in model
seconds. A hold is memory that a job keeps for a holder until it is released or expires.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from collections import OrderedDict
from collections import deque
from collections.abc import Iterator
from typing import Final
from typing import final

import msgspec

from baobabpulley.model.blocks import BLOCK_TOKENS
from baobabpulley.model.blocks import chained_block_hashes
from baobabpulley.model.blocks import text_digest
from baobabpulley.model.requests import BYTES_PER_TOKEN
from baobabpulley.model.requests import estimate_tokens
from baobabpulley.model.upstreams import LoadReport
from baobabpulley.ports.engine import PRIORITY_SHORT
from baobabpulley.ports.engine import CacheEvent
from baobabpulley.ports.engine import EngineCall
from baobabpulley.ports.engine import EngineState
from baobabpulley.ports.engine import Hold
from baobabpulley.standins.faults import Refusal
from baobabpulley.standins.text import token_at
from baobabpulley.timers import TimerService

HOLD_LIFETIME_SECONDS: Final = 5.0
FINISHED_RETENTION_SECONDS: Final = 10.0
REPORT_PERIOD_SECONDS: Final = 0.25
# Steps that a busy event loop delayed are caught up by at most this time.
MAX_STEP_DEBT_SECONDS: Final = 0.05


class EngineProfile(msgspec.Struct, frozen=True):
    """Rates in tokens per model second, memory in tokens, lags in model seconds.

    ``checks_fencing`` refuses orders with old fencing numbers.
    ``credential``, if not empty, must be sent with each order.
    ``event_gap_share`` is the share of cache events that are lost; ``seed`` selects which.
    """

    prefill_rate: float = 20_000.0
    decode_rate: float = 50.0
    memory_tokens: int = 400_000
    chunk_tokens: int = 512
    load_lag: float = 0.5
    event_lag: float = 0.5
    event_gap_share: float = 0.02
    load_seconds: float = 3.0
    max_waiting: int = 2_000
    checks_fencing: bool = True
    credential: str = ""
    seed: int = 0


@final
class Job:
    """A completion or the prefill of a chunk; it holds memory until freed.

    A prefill has ``max_tokens`` 0, and its ``attempt`` is the id of the chunk.
    """

    __slots__ = (
        "blocks",
        "cached",
        "call",
        "deadline_at",
        "digest",
        "ended",
        "failed",
        "hold_expires_at",
        "memory",
        "prompt_tokens",
        "readers",
        "remaining",
        "tokens",
        "wake",
    )

    def __init__(self, *, call: EngineCall, seed_digest: int, now: float) -> None:
        data = call.prompt.encode(call.encoding)
        self.call = call
        self.blocks = chained_block_hashes(data, seed=seed_digest)
        self.digest = text_digest(data, self.blocks, seed=seed_digest)
        if self.is_prefill:
            self.digest = self.blocks[-1] if self.blocks else seed_digest
        self.prompt_tokens = -(-len(data) // BYTES_PER_TOKEN)
        self.deadline_at = now + call.deadline
        self.hold_expires_at = now + HOLD_LIFETIME_SECONDS
        self.cached = self.memory = self.readers = self.remaining = 0
        self.ended = False
        self.failed = False
        self.tokens: list[str] = []
        self.wake = asyncio.Event()

    @property
    def is_prefill(self) -> bool:
        """Whether the job only prefills a chunk."""
        return self.call.max_tokens == 0

    @property
    def next_index(self) -> int:
        """Index of the next token to generate."""
        return self.call.offset + len(self.tokens)


@final
class EngineCore:
    """All jobs of one engine and the loop that steps them.

    ``subscribers`` are queues that receive cache events with a lag and with gaps. The prefix cache
    uses only memory that no job holds.
    """

    __slots__ = (
        "_cache",
        "_event_sequence",
        "_events",
        "_jobs",
        "_random",
        "_reports",
        "_running",
        "_timers",
        "_work",
        "memory_held",
        "profile",
        "subscribers",
    )

    def __init__(self, *, profile: EngineProfile, timers: TimerService) -> None:
        self.profile = profile
        self.memory_held = 0
        self.subscribers: set[asyncio.Queue[CacheEvent]] = set()
        self._timers = timers
        self._random = random.Random(profile.seed)
        self._jobs: dict[str, Job] = {}
        self._running: dict[str, Job] = {}
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._work = asyncio.Event()
        self._reports: deque[tuple[float, LoadReport]] = deque(maxlen=64)
        self._events: deque[tuple[float, CacheEvent]] = deque()
        self._event_sequence = 0

    def start(self, call: EngineCall, *, seed_digest: int = 0, context: int = 0) -> Job:
        """Admit a call; ``context`` is the size in tokens of the chunks that it imports.

        Raise `Refusal` if the call does not fit.
        """
        job = Job(call=call, seed_digest=seed_digest, now=self._timers.now())
        delivered = estimate_tokens(call.delivered) if call.delivered else 0
        memory = job.prompt_tokens + max(call.max_tokens, delivered)
        free = self.profile.memory_tokens - self.memory_held
        if call.attempt in self._jobs:
            raise Refusal(
                "duplicate_attempt", f"attempt {call.attempt} is already known", status=409
            )
        if memory > free:
            raise Refusal(
                "out_of_memory", f"the call needs {memory} tokens of memory; {free} are free"
            )
        if len(self._running) >= self.profile.max_waiting:
            raise Refusal(
                "overloaded",
                f"{len(self._running)} jobs are running; the limit is {self.profile.max_waiting}",
            )
        job.cached = self._cached_tokens(job.blocks)
        job.remaining = max(1, job.prompt_tokens + delivered - job.cached)
        job.prompt_tokens += context
        job.memory = memory
        self.memory_held += memory
        self._jobs[call.attempt] = self._running[call.attempt] = job
        self._evict()
        self._work.set()
        return job

    def find(self, id: str) -> Job | None:
        """Return a job that runs, is held or ended at most a retention time ago."""
        return self._jobs.get(id)

    def release(self, ids: list[str]) -> None:
        """End jobs and free their memory; idempotent."""
        for job in self._existing_jobs(ids):
            del self._jobs[job.call.attempt]
            job.failed = job.failed or not job.ended
            self._stop(job)

    def renew(self, ids: list[str]) -> None:
        """Renew the holds of jobs."""
        for job in self._existing_jobs(ids):
            job.hold_expires_at = self._timers.now() + HOLD_LIFETIME_SECONDS

    def holds(self) -> tuple[Hold, ...]:
        """Return all holds."""
        now = self._timers.now()
        return tuple(
            Hold(
                id=id,
                holder=job.call.holder,
                kind="part" if job.is_prefill else "stream",
                tokens=job.memory,
                expires_in=max(0.0, job.hold_expires_at - now),
            )
            for id, job in self._jobs.items()
            if job.memory
        )

    def report(self, state: EngineState) -> None:
        """Record a load report; it is served once the lag has passed."""
        waiting = [job for job in self._running.values() if job.remaining > 0]
        high = [job for job in waiting if job.call.priority <= PRIORITY_SHORT]
        report = LoadReport(
            upstream=state.upstream,
            incarnation=state.incarnation,
            sequence=self._reports[-1][1].sequence + 1 if self._reports else 1,
            queued=sum(job.remaining for job in waiting),
            queued_high=sum(job.remaining for job in high),
            running=len(self._running),
            long_prefills=len(waiting) - len(high),
            memory_total=self.profile.memory_tokens,
            memory_held=self.memory_held,
            prefill_rate=self.profile.prefill_rate,
            models=tuple(sorted(state.models)),
            state=state.state,
        )
        self._reports.append((self._timers.now(), report))

    def lagged_report(self) -> LoadReport:
        """Return the newest report that is at least as old as the lag, with its age."""
        now = self._timers.now()
        aged = [item for item in self._reports if now - item[0] >= self.profile.load_lag]
        recorded_at, report = aged[-1] if aged else self._reports[0]
        return msgspec.structs.replace(report, age=now - recorded_at)

    async def run(self) -> None:
        """Run steps for all jobs forever."""
        end = 0.0
        while True:
            if not self._running:
                self._work.clear()
                await self._work.wait()
                end = self._timers.now()
            duration = self._step()
            end = max(end, self._timers.now() - MAX_STEP_DEBT_SECONDS) + duration
            await self._timers.sleep(end - self._timers.now())
            self._finish_step()

    def sweep(self) -> None:
        """Free expired jobs and deliver due cache events; called several times a second."""
        now = self._timers.now()
        for job in tuple(self._jobs.values()):
            hold_expired = (job.ended or not job.readers) and now > job.hold_expires_at
            deadline_passed = now > job.deadline_at and not job.ended
            if hold_expired or deadline_passed:
                self.release([job.call.attempt])
        while self._events and now - self._events[0][0] >= self.profile.event_lag:
            _, event = self._events.popleft()
            for queue in self.subscribers:
                queue.put_nowait(event)

    @contextlib.contextmanager
    def reading(self, job: Job) -> Iterator[None]:
        """Count a reader of a job's stream.

        A job without readers is freed unless its hold is renewed or the stream is resumed.
        """
        job.readers += 1
        try:
            yield
        finally:
            job.readers -= 1
            job.hold_expires_at = max(
                job.hold_expires_at, self._timers.now() + HOLD_LIFETIME_SECONDS
            )

    def _existing_jobs(self, ids: list[str]) -> list[Job]:
        return [self._jobs[id] for id in dict.fromkeys(ids) if id in self._jobs]

    def _step(self) -> float:
        """Prefill up to one chunk of waiting jobs; return the step's duration in model seconds."""
        budget = self.profile.chunk_tokens
        waiting = [job for job in self._running.values() if job.remaining > 0]
        waiting.sort(key=lambda job: job.call.priority)
        spent = 0
        for job in waiting:
            if spent >= budget:
                break
            share = min(job.remaining, budget - spent)
            job.remaining -= share
            spent += share
            if job.remaining == 0:
                self._cache_prefix(job)
        decoding = any(job.remaining == 0 and not job.is_prefill for job in self._running.values())
        step = spent / self.profile.prefill_rate
        return max(step, 1.0 / self.profile.decode_rate if decoding else 0.0, 0.001)

    def _finish_step(self) -> None:
        for job in tuple(self._running.values()):
            if job.remaining > 0:
                continue
            if job.next_index < job.call.max_tokens:
                job.tokens.append(token_at(job.digest, job.call.seed, job.next_index))
                job.wake.set()
            if job.next_index >= job.call.max_tokens:
                self._stop(job, keeps_memory=job.is_prefill)

    def _stop(self, job: Job, *, keeps_memory: bool = False) -> None:
        job.ended = True
        job.hold_expires_at = self._timers.now() + (
            HOLD_LIFETIME_SECONDS if keeps_memory else FINISHED_RETENTION_SECONDS
        )
        self._running.pop(job.call.attempt, None)
        if not keeps_memory:
            self.memory_held -= job.memory
            job.memory = 0
        job.wake.set()

    def _cached_tokens(self, blocks: tuple[int, ...]) -> int:
        hits = tuple(itertools.takewhile(self._cache.__contains__, blocks))
        self._mark_used(hits)
        return len(hits) * BLOCK_TOKENS

    def _cache_prefix(self, job: Job) -> None:
        stored = tuple(block for block in job.blocks if block not in self._cache)
        self._mark_used(job.blocks)
        if stored:
            self._emit(stored=stored)
        self._evict()

    def _mark_used(self, blocks: tuple[int, ...]) -> None:
        # Evict a prefix from its end: a block is useless without those before it.
        for block in reversed(blocks):
            self._cache[block] = None
            self._cache.move_to_end(block)

    def _evict(self) -> None:
        capacity_blocks = (self.profile.memory_tokens - self.memory_held) // BLOCK_TOKENS
        evicted = []
        while len(self._cache) > capacity_blocks:
            evicted.append(self._cache.popitem(last=False)[0])
        if evicted:
            self._emit(evicted=tuple(evicted))

    def _emit(self, *, stored: tuple[int, ...] = (), evicted: tuple[int, ...] = ()) -> None:
        self._event_sequence += 1
        if self._random.random() < self.profile.event_gap_share:
            return
        event = CacheEvent(sequence=self._event_sequence, stored=stored, evicted=evicted)
        self._events.append((self._timers.now(), event))
