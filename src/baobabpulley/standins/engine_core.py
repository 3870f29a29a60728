"""A model engine's scheduler: continuous batching, KV memory, prefix cache, holds.

It is honest about time and memory and makes its text by `token_at`. Times are model seconds.
"""

from __future__ import annotations

import asyncio
import random
from collections import OrderedDict
from collections import deque
from typing import Final
from typing import final

import msgspec

from baobabpulley.model.blocks import BLOCK_TOKENS
from baobabpulley.model.blocks import chain_blocks
from baobabpulley.model.blocks import text_digest
from baobabpulley.model.requests import BYTES_PER_TOKEN
from baobabpulley.model.requests import estimate_tokens
from baobabpulley.model.upstreams import LoadReport
from baobabpulley.ports.engine import PRIORITY_SHORT
from baobabpulley.ports.engine import CacheEvent
from baobabpulley.ports.engine import EngineCall
from baobabpulley.ports.engine import Hold
from baobabpulley.ports.engine import PartCall
from baobabpulley.standins.text import token_at
from baobabpulley.timers import TimerService

HOLD_LIFETIME: Final = 5.0
FINISHED_KEPT: Final = 10.0
REPORT_PERIOD: Final = 0.25


class Refusal(Exception):
    """The engine did not run a call; ``code`` and ``status`` go into the answer."""

    def __init__(self, code: str, message: str, *, status: int = 503) -> None:
        super().__init__(message)
        self.code = code
        self.status = status


@final
class EngineProfile:
    """Rates in tokens a model second, memory in tokens, lags in model seconds."""

    __slots__ = (
        "chunk_tokens",
        "decode_rate",
        "event_gap_share",
        "event_lag",
        "load_lag",
        "load_seconds",
        "max_waiting",
        "memory_tokens",
        "prefill_rate",
    )

    def __init__(
        self,
        *,
        prefill_rate: float = 20_000.0,
        decode_rate: float = 50.0,
        memory_tokens: int = 400_000,
        chunk_tokens: int = 512,
        load_lag: float = 0.5,
        event_lag: float = 0.5,
        event_gap_share: float = 0.02,
        load_seconds: float = 3.0,
        max_waiting: int = 2_000,
    ) -> None:
        self.prefill_rate = prefill_rate
        self.decode_rate = decode_rate
        self.memory_tokens = memory_tokens
        self.chunk_tokens = chunk_tokens
        self.load_lag = load_lag
        self.event_lag = event_lag
        self.event_gap_share = event_gap_share
        self.load_seconds = load_seconds
        self.max_waiting = max_waiting


@final
class Job:
    """A running completion or a part; holds memory until it is freed."""

    __slots__ = (
        "attached",
        "blocks",
        "cached",
        "digest",
        "ended",
        "expires",
        "failed",
        "holder",
        "id",
        "is_part",
        "lapses",
        "max_tokens",
        "memory",
        "offset",
        "priority",
        "prompt_tokens",
        "remaining",
        "seed",
        "seed_digest",
        "tokens",
        "wake",
    )

    def __init__(self, *, id: str, holder: str, priority: int, expires: float) -> None:
        self.id = id
        self.holder = holder
        self.priority = priority
        self.expires = expires
        self.attached = True
        self.blocks: tuple[int, ...] = ()
        self.cached = 0
        self.digest = 0
        self.seed_digest = 0
        self.ended = False
        self.failed = ""
        self.is_part = False
        self.lapses = 0.0
        self.max_tokens = 0
        self.memory = 0
        self.offset = 0
        self.prompt_tokens = 0
        self.remaining = 0
        self.seed = 0
        self.tokens: list[str] = []
        self.wake = asyncio.Event()

    @property
    def next_index(self) -> int:
        """Index of the token that is made next."""
        return self.offset + len(self.tokens)


@final
class EngineCore:
    """All jobs of one engine and the loop that steps them."""

    __slots__ = (
        "_cache",
        "_event_sequence",
        "_events",
        "_held",
        "_jobs",
        "_profile",
        "_random",
        "_reports",
        "_sequence",
        "_step_end",
        "_subscribers",
        "_timers",
        "_work",
    )

    def __init__(self, *, profile: EngineProfile, timers: TimerService, seed: int = 0) -> None:
        self._profile = profile
        self._timers = timers
        self._random = random.Random(seed)
        self._jobs: OrderedDict[str, Job] = OrderedDict()
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._held = 0
        self._step_end = 0.0
        self._work = asyncio.Event()
        self._reports: deque[tuple[float, LoadReport]] = deque(maxlen=64)
        self._events: deque[tuple[float, CacheEvent]] = deque()
        self._subscribers: set[asyncio.Queue[CacheEvent]] = set()
        self._sequence = 0
        self._event_sequence = 0

    @property
    def profile(self) -> EngineProfile:
        """Rates and sizes."""
        return self._profile

    @property
    def memory_held(self) -> int:
        """Tokens of KV memory held by jobs; the prefix cache uses only what is left."""
        return self._held

    @property
    def idle(self) -> bool:
        """Whether nothing waits or runs."""
        return all(job.ended for job in self._jobs.values())

    def start_completion(self, call: EngineCall, *, seed_digest: int, context: int) -> Job:
        """Admit a completion whose imported parts hold ``context`` tokens elsewhere."""
        data = call.prompt.encode(call.encoding)
        job = Job(
            id=call.attempt,
            holder=call.holder,
            priority=call.priority,
            expires=self._timers.now() + call.deadline,
        )
        job.blocks = chain_blocks(data, seed=seed_digest)
        job.digest = text_digest(data, job.blocks, seed=seed_digest)
        job.seed = call.seed
        job.max_tokens = call.max_tokens
        job.offset = call.offset
        own = -(-len(data) // BYTES_PER_TOKEN)
        job.prompt_tokens = own + context
        delivered = estimate_tokens(call.delivered) if call.delivered else 0
        job.cached = self._cached_tokens(job.blocks)
        job.remaining = max(1, own + delivered - job.cached)
        self._admit(job, own + max(call.max_tokens, delivered))
        return job

    def start_part(self, call: PartCall, *, seed_digest: int) -> Job:
        """Admit a part of a prompt; its memory stays held until it is released or lapses."""
        data = call.text.encode(call.encoding)
        job = Job(
            id=call.part,
            holder=call.holder,
            priority=call.priority,
            expires=self._timers.now() + call.deadline,
        )
        job.is_part = True
        job.seed_digest = seed_digest
        job.blocks = chain_blocks(data, seed=seed_digest)
        job.digest = job.blocks[-1] if job.blocks else seed_digest
        job.prompt_tokens = max(1, -(-len(data) // BYTES_PER_TOKEN))
        job.remaining = job.prompt_tokens
        self._admit(job, job.prompt_tokens)
        return job

    def find(self, id: str) -> Job | None:
        """Return a job that runs, is held or ended a short while ago."""
        return self._jobs.get(id)

    def free(self, id: str) -> None:
        """End a job and give its memory back; idempotent."""
        job = self._jobs.pop(id, None)
        if job is not None:
            job.failed = job.failed or ("" if job.ended else "cancelled")
            self._end(job)
            job.wake.set()

    def renew(self, ids: tuple[str, ...]) -> None:
        """Keep held jobs from lapsing."""
        for id in ids:
            job = self._jobs.get(id)
            if job is not None:
                job.lapses = self._timers.now() + HOLD_LIFETIME

    def holds(self) -> tuple[Hold, ...]:
        """Return everything that holds memory."""
        now = self._timers.now()
        return tuple(
            Hold(
                id=job.id,
                holder=job.holder,
                kind="part" if job.is_part else "stream",
                tokens=job.memory,
                lapses_in=max(0.0, job.lapses - now),
            )
            for job in self._jobs.values()
            if job.memory
        )

    def report(
        self, *, upstream: str, incarnation: str, models: tuple[str, ...], state: str
    ) -> None:
        """Take a load report; it is served once the lag has passed."""
        waiting = [job for job in self._jobs.values() if job.remaining > 0 and not job.ended]
        self._sequence += 1
        report = LoadReport(
            upstream=upstream,
            incarnation=incarnation,
            sequence=self._sequence,
            queued=sum(job.remaining for job in waiting),
            queued_high=sum(job.remaining for job in waiting if job.priority <= PRIORITY_SHORT),
            running=sum(1 for job in self._jobs.values() if not job.ended),
            long_prefills=sum(1 for job in waiting if job.priority > PRIORITY_SHORT),
            memory_total=self._profile.memory_tokens,
            memory_held=self._held,
            prefill_rate=self._profile.prefill_rate,
            models=models,
            state=state,
        )
        self._reports.append((self._timers.now(), report))

    def lagged_report(self) -> LoadReport | None:
        """Return the newest report that is at least as old as the lag, with its age."""
        now = self._timers.now()
        found = None
        for taken, report in self._reports:
            if now - taken >= self._profile.load_lag or found is None:
                found = (taken, report)
        if found is None:
            return None
        taken, report = found
        return _aged(report, now - taken)

    def subscribe(self) -> asyncio.Queue[CacheEvent]:
        """Return a queue that gets cache events, late and with gaps."""
        queue: asyncio.Queue[CacheEvent] = asyncio.Queue()
        self._subscribers.add(queue)
        return queue

    def unsubscribe(self, queue: asyncio.Queue[CacheEvent]) -> None:
        """Stop sending events to a queue."""
        self._subscribers.discard(queue)

    async def run(self) -> None:
        """Step all jobs for ever."""
        while True:
            if self.idle:
                self._work.clear()
                await self._work.wait()
                self._step_end = self._timers.now()
            duration = self._step()
            self._step_end = max(self._step_end, self._timers.now() - 0.05) + duration
            await self._timers.sleep(self._step_end - self._timers.now())
            self._finish_step()

    def sweep(self) -> None:
        """Free what lapsed and deliver late events; called some times a second."""
        now = self._timers.now()
        for job in tuple(self._jobs.values()):
            lapsed = not job.attached and now > job.lapses
            expired = now > job.expires and not job.ended
            if lapsed or expired:
                job.failed = job.failed or ("deadline" if expired else "")
                self.free(job.id)
        while self._events and now - self._events[0][0] >= self._profile.event_lag:
            _, event = self._events.popleft()
            for queue in self._subscribers:
                queue.put_nowait(event)

    def detach(self, job: Job) -> None:
        """Note that nobody reads a job's stream; it is freed unless renewed or resumed."""
        job.attached = False
        job.lapses = max(job.lapses, self._timers.now() + HOLD_LIFETIME)

    def _admit(self, job: Job, memory: int) -> None:
        if job.id in self._jobs:
            raise Refusal("duplicate_attempt", f"{job.id} is known already", status=409)
        if memory > self._profile.memory_tokens - self._held:
            raise Refusal(
                "out_of_memory",
                f"{memory} tokens do not fit into {self._profile.memory_tokens - self._held}",
            )
        if len(self._jobs) >= self._profile.max_waiting:
            raise Refusal("overloaded", f"{len(self._jobs)} jobs are here already")
        job.memory = memory
        self._held += memory
        self._jobs[job.id] = job
        self._evict()
        self._work.set()

    def _step(self) -> float:
        """Spend one step's chunk on waiting prefills; return the step's length."""
        budget = self._profile.chunk_tokens
        waiting = [job for job in self._jobs.values() if job.remaining > 0 and not job.ended]
        waiting.sort(key=lambda job: job.priority)
        spent = 0
        for job in waiting:
            if spent >= budget:
                break
            share = min(job.remaining, budget - spent)
            job.remaining -= share
            spent += share
            if job.remaining == 0:
                self._remember(job)
        decoding = any(
            job.remaining == 0 and not job.ended and not job.is_part for job in self._jobs.values()
        )
        step = spent / self._profile.prefill_rate
        return max(step, 1.0 / self._profile.decode_rate if decoding else 0.0, 0.001)

    def _finish_step(self) -> None:
        for job in tuple(self._jobs.values()):
            if job.ended or job.remaining > 0:
                continue
            if not job.is_part:
                job.tokens.append(token_at(job.digest, job.seed, job.next_index))
            if job.is_part or job.next_index >= job.max_tokens:
                job.ended = True
                if not job.is_part:
                    self._end(job)
                    job.lapses = self._timers.now() + FINISHED_KEPT
                    job.attached = False
            job.wake.set()

    def _end(self, job: Job) -> None:
        self._held -= job.memory
        job.memory = 0
        job.ended = True

    def _cached_tokens(self, blocks: tuple[int, ...]) -> int:
        count = 0
        for block in blocks:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            count += 1
        return count * BLOCK_TOKENS

    def _remember(self, job: Job) -> None:
        stored = tuple(block for block in job.blocks if block not in self._cache)
        for block in stored:
            self._cache[block] = None
        if stored:
            self._emit(stored=stored)
        self._evict()

    def _evict(self) -> None:
        room = (self._profile.memory_tokens - self._held) // BLOCK_TOKENS
        evicted = []
        while len(self._cache) > room:
            evicted.append(self._cache.popitem(last=False)[0])
        if evicted:
            self._emit(evicted=tuple(evicted))

    def _emit(self, *, stored: tuple[int, ...] = (), evicted: tuple[int, ...] = ()) -> None:
        self._event_sequence += 1
        if self._random.random() < self._profile.event_gap_share:
            return
        event = CacheEvent(sequence=self._event_sequence, stored=stored, evicted=evicted)
        self._events.append((self._timers.now(), event))


def _aged(report: LoadReport, age: float) -> LoadReport:
    return msgspec.structs.replace(report, age=age)
