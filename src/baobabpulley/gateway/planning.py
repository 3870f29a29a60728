"""Whether, when and where one prompt is read, put together from the policies."""

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

# Part of an engine's memory that the answer to one prompt is taken to need at most.
ANSWER_MEMORY_DIVISOR: Final = 8
# Seconds after which a caller comes back if nothing says when there is room.
DEFAULT_RETRY_AFTER_SECONDS: Final = 0.5


class PlacementRequest(msgspec.Struct, frozen=True):
    """What one attempt needs.

    ``excluded`` are ids of upstreams that failed it; ``first`` is the engine that has to write the
    answer, if one was tried before.
    """

    service: Service
    needs: RequestParameters
    times: RequestTimes
    excluded: frozenset[str]
    first: str | None = None

    @property
    def engine(self) -> EnginePerformance | None:
        """Figures of the engines that read the prompt, ``None`` if there is nothing to read."""
        return self.service.engine if self.needs.prompt_tokens else None

    @property
    def accepts_any_slot(self) -> bool:
        """Whether any upstream with a free slot would do: calls and short prompts."""
        if self.excluded:
            return False
        return self.engine is None or is_short(self.needs.prompt_tokens, self.engine)

    @property
    def decode_seconds(self) -> float:
        """How long a usual answer to the prompt takes, 0 if nothing is known of it."""
        if self.engine is None:
            return 0.0
        needs = self.needs
        return self.engine.decode_seconds(
            prompt_tokens=needs.prompt_tokens, max_output_tokens=needs.max_output_tokens
        )


@final
class PromptPlanner:
    """Plan prompts; every refusal here is final for the attempt and says "not run"."""

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
    ) -> Plan | None:
        """Return where a prompt is read, or ``None`` if it has to wait.

        Raises `TooFewEngines` or `Overloaded` if it cannot be answered in its time.
        """
        self._check_size(request, candidates, performance, now)
        plan = self._plan(request, candidates, performance)
        if plan is not None and not self._in_time(request, plan, now):
            plan = self._plan(request, candidates, performance, fastest=True)
            self._check_time(request, plan, now)
        return plan

    def retry_after(
        self, times: RequestTimes, *, now: float, expected: float = DEFAULT_RETRY_AFTER_SECONDS
    ) -> float:
        """Return the seconds after which a refused caller should come back."""
        return retry_after_seconds(self._random, expected=expected, left=max(0.0, times.end - now))

    def _plan(
        self,
        request: PlacementRequest,
        candidates: list[Candidate],
        performance: EnginePerformance,
        *,
        fastest: bool = False,
    ) -> Plan | None:
        needs, times = request.needs, request.times
        most = performance.memory_tokens // ANSWER_MEMORY_DIVISOR
        return plan_prompt(
            candidates,
            figures=performance,
            prompt_tokens=needs.prompt_tokens,
            answer_tokens=min(needs.max_output_tokens, most),
            objective=times.objective - times.arrived,
            first_id=request.first,
            fastest=fastest,
        )

    def _in_time(self, request: PlacementRequest, plan: Plan, now: float) -> bool:
        last = first_event_deadline(request.times, answer=request.decode_seconds)
        return now + plan.prefill_seconds <= last

    def _check_time(self, request: PlacementRequest, plan: Plan | None, now: float) -> None:
        """Raise `Overloaded` if the soonest plan leaves no time for an answer."""
        if plan is None or self._in_time(request, plan, now):
            return
        left = max(0.0, request.times.end - now)
        raise Overloaded(
            f"reading takes about {plan.prefill_seconds:.2f} s of the {left:.2f} s left",
            retry_after=self.retry_after(request.times, now=now, expected=plan.backlog),
        )

    def _check_size(
        self,
        request: PlacementRequest,
        candidates: list[Candidate],
        performance: EnginePerformance,
        now: float,
    ) -> None:
        tokens = request.needs.prompt_tokens
        if not fits_in_memory(candidates, figures=performance, tokens=tokens):
            raise TooFewEngines(
                f"{len(candidates)} engines are too few for {tokens} tokens",
                retry_after=self.retry_after(request.times, now=now),
            )
