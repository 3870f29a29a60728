"""A simulated model engine with continuous batching, driven without a clock.

An engine works in forward passes. A pass consists of ``stride`` steps if any response is being
decoded, else of one. It prefills up to `PREFILL_TOKENS_PER_STEP` tokens a step and decodes
``stride`` tokens of each response. The chunk of a prompt that is split over several engines is
prefilled before everything queued earlier; whole prompts follow by priority, then by arrival.
The caller checks memory: it repeats a prefill whose result does not fit beside earlier requests.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from typing import final

from baobabpulley.model.routes import EnginePerformance

PREFILL_TOKENS_PER_STEP: Final = 2048


@final
class PrefillJob:
    """A prompt, or one engine's chunk of it, whose prefill is not finished.

    ``tokens`` and ``seconds`` are what is left to compute. ``on_finished`` is called with the
    time at which the prefill finished.
    """

    __slots__ = ("is_chunk", "on_finished", "priority", "seconds", "tokens")

    def __init__(
        self,
        *,
        tokens: float,
        seconds: float,
        is_chunk: bool,
        priority: int,
        on_finished: Callable[[float], None],
    ) -> None:
        self.priority = priority
        self.tokens = tokens
        self.seconds = seconds
        self.is_chunk = is_chunk
        self.on_finished = on_finished

    def process(self, tokens: float) -> float:
        """Prefill some tokens and return the seconds that it takes."""
        share = 1.0 if tokens >= self.tokens else tokens / self.tokens
        duration = self.seconds * share
        self.seconds -= duration
        self.tokens -= tokens
        return duration


@final
class DecodeJob:
    """A response being decoded.

    ``memory_tokens`` is the memory that the request occupies on this engine. ``on_finished`` is
    called with the time of the last event. Times are in seconds.
    """

    __slots__ = ("last_event", "longest_pause", "memory_tokens", "on_finished", "remaining_tokens")

    def __init__(
        self,
        *,
        tokens: float,
        memory_tokens: int,
        started_at: float,
        on_finished: Callable[[float], None],
    ) -> None:
        self.remaining_tokens = tokens
        self.memory_tokens = memory_tokens
        self.last_event = started_at
        self.longest_pause = 0.0
        self.on_finished = on_finished

    def record_event(self, at: float, tokens: int) -> None:
        """Record an event of ``tokens`` tokens at time ``at``."""
        self.longest_pause = max(self.longest_pause, at - self.last_event)
        self.last_event = at
        self.remaining_tokens -= tokens


@final
class SimulatedEngine:
    """One engine. Times are in seconds and must not decrease from call to call."""

    __slots__ = (
        "_decoding",
        "_finished_prefills",
        "_held_tokens",
        "_pass_end",
        "_performance",
        "_prefill_queue",
    )

    def __init__(self, performance: EnginePerformance) -> None:
        self._performance = performance
        self._prefill_queue: list[PrefillJob] = []
        self._decoding: list[DecodeJob] = []
        self._finished_prefills: list[PrefillJob] = []
        self._pass_end: float | None = None
        self._held_tokens = 0

    def has_memory(self, tokens: int) -> bool:
        """Whether memory for ``tokens`` tokens is free."""
        return self._held_tokens + tokens <= self._performance.memory_tokens

    def hold(self, tokens: int) -> None:
        """Allocate memory for ``tokens`` tokens; a negative number frees it."""
        self._held_tokens += tokens

    def add_prefill(self, job: PrefillJob, *, now: float) -> None:
        """Queue a prompt by its priority, or a chunk before everything already queued."""
        if job.is_chunk:
            self._prefill_queue.insert(0, job)
        else:
            self._prefill_queue.append(job)
            self._prefill_queue.sort(key=lambda queued: (not queued.is_chunk, queued.priority))
        if self._pass_end is None:
            self._begin_pass(now)

    def add_decode(self, job: DecodeJob, *, now: float) -> None:
        """Start decoding a response."""
        self._decoding.append(job)
        if self._pass_end is None:
            self._begin_pass(now)

    def advance(self, now: float) -> None:
        """Complete all passes that end by ``now``."""
        while self._pass_end is not None and self._pass_end <= now:
            at = self._pass_end
            self._end_pass(at)
            self._begin_pass(at)

    def _begin_pass(self, at: float) -> None:
        if not self._prefill_queue and not self._decoding:
            self._pass_end = None
            return
        performance, decoding_requests = self._performance, len(self._decoding)
        steps = performance.stride if decoding_requests else 1
        context = sum(job.memory_tokens for job in self._decoding) / 1000
        step = (
            performance.step
            + performance.per_writer * decoding_requests
            + performance.per_thousand_context * context
        )
        self._pass_end = at + steps * step + self._run_prefill(steps * PREFILL_TOKENS_PER_STEP)

    def _run_prefill(self, tokens: float) -> float:
        """Prefill up to ``tokens`` tokens in this pass and return the seconds that it takes."""
        seconds = 0.0
        while tokens > 0 and self._prefill_queue:
            job = self._prefill_queue[0]
            taken = min(tokens, job.tokens)
            seconds += job.process(taken)
            tokens -= taken
            if job.tokens > 0:
                break
            self._finished_prefills.append(self._prefill_queue.pop(0))
        return seconds

    def _end_pass(self, at: float) -> None:
        finished, self._finished_prefills = self._finished_prefills, []
        for job in tuple(self._decoding):
            job.record_event(at, self._performance.stride)
            if job.remaining_tokens <= 0:
                self._decoding.remove(job)
                job.on_finished(at)
        for prefill in finished:
            prefill.on_finished(at)
