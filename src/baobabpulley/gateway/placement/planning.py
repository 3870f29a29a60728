"""Plan the prefill of a prompt: choose its engines, let it wait, or refuse it."""

from __future__ import annotations

import random
from typing import Final
from typing import final

import msgspec

from baobabpulley.errors import Overloaded
from baobabpulley.errors import TooFewEngines
from baobabpulley.model.exchanges import RequestParameters
from baobabpulley.model.routes import EnginePerformance
from baobabpulley.model.routes import Service
from baobabpulley.policy.deadlines import RequestTimes
from baobabpulley.policy.deadlines import first_event_deadline
from baobabpulley.policy.deadlines import retry_after_seconds
from baobabpulley.policy.memory_placement import Candidate
from baobabpulley.policy.memory_placement import fits_in_memory
from baobabpulley.policy.prompt_placement import Plan
from baobabpulley.policy.prompt_placement import is_short
from baobabpulley.policy.prompt_placement import plan_prompt

# The answer to a prompt is assumed to need at most an engine's memory divided by this.
ANSWER_MEMORY_DIVISOR: Final = 8
# Retry-after delay if there is no estimate of when capacity will be available.
DEFAULT_RETRY_AFTER_SECONDS: Final = 0.5


class PlacementRequest(msgspec.Struct, frozen=True):
    """Requirements of one attempt.

    ``needs`` are the parameters that the caller sent. ``excluded`` are the ids of upstreams that
    failed earlier attempts. ``account`` is the name of the client account, ``None`` without one.
    """

    service: Service
    needs: RequestParameters
    times: RequestTimes
    excluded: frozenset[str]
    account: str | None = None

    @property
    def engine(self) -> EnginePerformance | None:
        """Performance of the engines; ``None`` for plain services or without a prompt."""
        return self.service.engine if self.needs.prompt_tokens else None

    @property
    def is_short(self) -> bool:
        """Whether it is a plain call, or one engine prefills its prompt without a stall."""
        return self.engine is None or is_short(self.needs.prompt_tokens, self.engine)

    @property
    def accepts_any_slot(self) -> bool:
        """Whether any upstream with a free slot will do.

        This holds for plain calls and short prompts without an excluded upstream.
        """
        return not self.excluded and self.is_short

    @property
    def decode_seconds(self) -> float:
        """Expected seconds to generate a typical answer; 0 if there is no estimate."""
        if self.engine is None:
            return 0.0
        parameters = self.needs
        return self.engine.decode_seconds(
            prompt_tokens=parameters.prompt_tokens, max_output_tokens=parameters.max_output_tokens
        )

    def engine_seconds(self, *, call_seconds: float) -> float:
        """Expected seconds of engine work; ``call_seconds`` is that of the service's usual call."""
        if self.engine is None:
            return call_seconds
        return self.engine.prefill_seconds(self.needs.prompt_tokens) + self.decode_seconds


@final
class PromptPlanner:
    """Plan prompts; each refusal is final for the attempt and says that it did not run."""

    __slots__ = ("_random",)

    def __init__(self, *, source: random.Random) -> None:
        self._random = source

    def plan(
        self,
        request: PlacementRequest,
        candidates: list[Candidate],
        performance: EnginePerformance,
        *,
        now: float,
        unheard: float = 0.0,
        held_back: int = 0,
    ) -> Plan | None:
        """Return the engines for a prompt, or ``None`` if it has to wait.

        ``held_back`` is the number of further engines that will be candidates soon. ``unheard`` is
        the expected number of requests of other gateways that aren't in the loads of the candidates
        yet. Raise `TooFewEngines` if all engines together cannot hold it, `Overloaded` if even the
        fastest plan leaves too little time for the answer.
        """
        self.check_size(request, len(candidates) + held_back, performance, now)
        plan = self._plan(request, candidates, performance, unheard=unheard)
        if plan is not None and not self._in_time(request, plan, now):
            plan = self._plan(request, candidates, performance, fastest=True, unheard=unheard)
            self._check_time(request, plan, now)
        return plan

    def check_size(
        self, request: PlacementRequest, engines: int, performance: EnginePerformance, now: float
    ) -> None:
        """Raise `TooFewEngines` if so many engines cannot hold a prompt."""
        tokens = request.needs.prompt_tokens
        if not fits_in_memory(engines, performance=performance, tokens=tokens):
            raise TooFewEngines(
                f"{engines} engines have too little memory for {tokens} tokens",
                retry_after=self.retry_after(request.times, now=now),
            )

    def retry_after(
        self, times: RequestTimes, *, now: float, expected: float = DEFAULT_RETRY_AFTER_SECONDS
    ) -> float:
        """Return after how many seconds a refused caller should retry."""
        return retry_after_seconds(self._random, expected=expected, left=max(0.0, times.end - now))

    def _plan(
        self,
        request: PlacementRequest,
        candidates: list[Candidate],
        performance: EnginePerformance,
        *,
        fastest: bool = False,
        unheard: float = 0.0,
    ) -> Plan | None:
        parameters, times = request.needs, request.times
        max_answer_tokens = performance.memory_tokens // ANSWER_MEMORY_DIVISOR
        return plan_prompt(
            candidates,
            performance=performance,
            prompt_tokens=parameters.prompt_tokens,
            answer_tokens=min(parameters.max_output_tokens, max_answer_tokens),
            objective=times.objective - times.arrived,
            fastest=fastest,
            unheard=unheard,
            source=self._random,
        )

    def _in_time(self, request: PlacementRequest, plan: Plan, now: float) -> bool:
        deadline = first_event_deadline(request.times, answer=request.decode_seconds)
        return now + plan.prefill_seconds <= deadline

    def _check_time(self, request: PlacementRequest, plan: Plan | None, now: float) -> None:
        """Raise `Overloaded` if the fastest plan leaves too little time for an answer."""
        if plan is None or self._in_time(request, plan, now):
            return
        left = max(0.0, request.times.end - now)
        raise Overloaded(
            f"prefill takes about {plan.prefill_seconds:.2f} s of the {left:.2f} s left",
            retry_after=self.retry_after(request.times, now=now, expected=plan.backlog),
        )
