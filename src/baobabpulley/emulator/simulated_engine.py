"""A model engine that keeps time without a clock: it reads and writes in passes.

A pass reads up to ``chunk`` tokens a step, and writes ``stride`` tokens of each answer if there are
answers to write. A part of a cut prompt is read before everything that came earlier, whole prompts
by their priority and then in the order of their arrival. What does not fit into memory beside
earlier requests is read again once it does.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from typing import final

from baobabpulley.model.routes import EnginePerformance

PREFILL_TOKENS_PER_STEP: Final = 2048


@final
class PrefillJob:
    """A prompt, or a part of one, still to be read."""

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
        """Read some tokens and return the seconds that it takes."""
        share = 1.0 if tokens >= self.tokens else tokens / self.tokens
        taken = self.seconds * share
        self.seconds -= taken
        self.tokens -= tokens
        return taken


@final
class DecodeJob:
    """An answer being written; ``memory_tokens`` is what its prompt takes at this engine."""

    __slots__ = ("last_event", "longest_pause", "memory_tokens", "on_finished", "remaining_tokens")

    def __init__(
        self,
        *,
        tokens: float,
        memory_tokens: int,
        began: float,
        on_finished: Callable[[float], None],
    ) -> None:
        self.remaining_tokens = tokens
        self.memory_tokens = memory_tokens
        self.last_event = began
        self.longest_pause = 0.0
        self.on_finished = on_finished

    def record_event(self, at: float, tokens: int) -> None:
        """Note an event of ``tokens`` tokens."""
        self.longest_pause = max(self.longest_pause, at - self.last_event)
        self.last_event = at
        self.remaining_tokens -= tokens


@final
class SimulatedEngine:
    """One engine; times are in seconds and only grow."""

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
        """Whether so many tokens are free."""
        return self._held_tokens + tokens <= self._performance.memory_tokens

    def hold(self, tokens: int) -> None:
        """Take memory; a negative figure gives it back."""
        self._held_tokens += tokens

    def add_prefill(self, read: PrefillJob, *, now: float) -> None:
        """Take a prompt, or a part of one, which is read before all that is there."""
        if read.is_chunk:
            self._prefill_queue.insert(0, read)
        else:
            self._prefill_queue.append(read)
            self._prefill_queue.sort(key=lambda one: (not one.is_chunk, one.priority))
        if self._pass_end is None:
            self._begin_pass(now)

    def add_decode(self, write: DecodeJob, *, now: float) -> None:
        """Begin to write an answer."""
        self._decoding.append(write)
        if self._pass_end is None:
            self._begin_pass(now)

    def advance(self, now: float) -> None:
        """End all passes that end by ``now``."""
        while self._pass_end is not None and self._pass_end <= now:
            at = self._pass_end
            self._end_pass(at)
            self._begin_pass(at)

    def _begin_pass(self, at: float) -> None:
        if not self._prefill_queue and not self._decoding:
            self._pass_end = None
            return
        performance, writers = self._performance, len(self._decoding)
        steps = performance.stride if writers else 1
        context = sum(write.memory_tokens for write in self._decoding) / 1000
        step = (
            performance.step
            + performance.per_writer * writers
            + performance.per_thousand_context * context
        )
        self._pass_end = at + steps * step + self._run_prefill(steps * PREFILL_TOKENS_PER_STEP)

    def _run_prefill(self, tokens: float) -> float:
        """Read up to so many tokens in this pass and return the seconds that it takes."""
        seconds = 0.0
        while tokens > 0 and self._prefill_queue:
            read = self._prefill_queue[0]
            taken = min(tokens, read.tokens)
            seconds += read.process(taken)
            tokens -= taken
            if read.tokens > 0:
                break
            self._finished_prefills.append(self._prefill_queue.pop(0))
        return seconds

    def _end_pass(self, at: float) -> None:
        finished, self._finished_prefills = self._finished_prefills, []
        for write in tuple(self._decoding):
            write.record_event(at, self._performance.stride)
            if write.remaining_tokens <= 0:
                self._decoding.remove(write)
                write.on_finished(at)
        for read in finished:
            read.on_finished(at)
