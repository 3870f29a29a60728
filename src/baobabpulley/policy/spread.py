"""Which engine gets a prompt, and which others read parts of it.

Load pattern: a prompt of 133,000 tokens takes an engine two seconds to read, and every answer that
it writes meanwhile stands still. Short prompts gather on few engines. A long one is cut by time
over all engines, so that each part is over before a pause is felt; as an engine reads a part before
what it had before, two long prompts delay each other least where the parts are short. One too long
for that takes engines that write few answers: the more of them, the sooner it is read, but the
more answers stand still.
"""

from __future__ import annotations

import math
from typing import Final

import msgspec

from baobabpulley.model.routes import EnginePerformance
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.fleet_load import Load
from baobabpulley.policy.memory_seats import Candidate
from baobabpulley.policy.memory_seats import memory_need
from baobabpulley.policy.memory_seats import seats_among

# Seconds of reading that a pass takes without harm to the answers written in it.
PART_SECONDS: Final = 0.08
# Past this the answers written at an engine pause for longer than their callers bear.
LONG_PART_SECONDS: Final = 0.16
# How many answers may stand still to spare a long prompt a part as long as its objective.
ANSWERS_FOR_ONE_PROMPT: Final = 10.0
# Requests that gather on one engine before the next is used, and the backlog past which it is not.
GATHERED_REQUESTS: Final = 5
GATHERING_BACKLOG: Final = 0.06
# The platform's bound on helpers of one request.
MAX_HELPERS: Final = 16
# Part of a pass that an engine that writes still has before it when a prompt arrives.
PASS_UNDER_WAY: Final = 0.5


class Plan(msgspec.Struct, frozen=True):
    """Where a prompt goes.

    ``part_seconds`` is the reading at each engine; ``ticket_tokens`` the memory to reserve at
    each of the first ``tickets`` helpers, ``backlog`` the seconds that some engine still reads
    other prompts, ``pass_seconds`` what the first engine takes to write an event.
    """

    first: ListedUpstream
    helpers: tuple[ListedUpstream, ...]
    part_seconds: float
    tickets: int
    ticket_tokens: int
    first_tokens: int
    backlog: float
    pass_seconds: float

    @property
    def prefill_seconds(self) -> float:
        """Seconds until the prompt is expected to have been read."""
        # Engines read parts before what came earlier, whole prompts after it.
        return self.part_seconds if self.helpers else self.backlog + self.part_seconds

    @property
    def first_event_seconds(self) -> float:
        """Seconds until the first event of the answer is expected."""
        return self.prefill_seconds + self.pass_seconds

    @property
    def engines(self) -> tuple[ListedUpstream, ...]:
        """All engines that read a part."""
        return (self.first, *self.helpers)

    @property
    def memory_tokens(self) -> tuple[int, ...]:
        """What the prompt and its answer take at each of the engines."""
        others = len(self.helpers) - self.tickets
        return (self.first_tokens, *(self.ticket_tokens,) * self.tickets, *(0,) * others)


def plan_prompt(
    candidates: list[Candidate],
    *,
    figures: EnginePerformance,
    prompt_tokens: int,
    answer_tokens: int,
    objective: float,
    first_id: str | None = None,
    hurried: bool = False,
) -> Plan | None:
    """Return where to read a prompt, or ``None`` while slots or memory for it are taken.

    ``objective`` is the seconds in which the first event of its answer is wanted. ``first_id``
    names the engine that has to write it, if one was tried before. A ``hurried`` prompt is read
    by all engines, whatever that costs the answers written there.
    """
    total = figures.prefill_seconds(prompt_tokens)
    need = memory_need(
        prompt_tokens=prompt_tokens, answer_tokens=answer_tokens, memory=figures.memory_tokens
    )
    if is_short(prompt_tokens, figures):
        chosen = _gather([one for one in candidates if one.has_memory(need.first_tokens, figures)])
    else:
        patience = 0.0 if hurried else objective
        chosen = _spread(candidates, total, need.holders, patience)
    seats = seats_among(chosen, candidates, figures=figures, need=need, first_id=first_id)
    if seats is None:
        return None
    engines = (seats.first, *seats.helpers)
    part = total / len(engines)
    return Plan(
        first=seats.first.upstream,
        helpers=tuple(one.upstream for one in seats.helpers),
        part_seconds=part,
        tickets=need.tickets,
        ticket_tokens=need.ticket_tokens,
        first_tokens=need.first_tokens,
        backlog=max(one.load.backlog for one in engines),
        pass_seconds=_pass_seconds(seats.first.load, figures, prompt_tokens),
    )


def is_short(prompt_tokens: int, figures: EnginePerformance) -> bool:
    """Whether one engine reads a prompt without harm to the answers that it writes."""
    return figures.prefill_seconds(prompt_tokens) <= PART_SECONDS


def _pass_seconds(load: Load, figures: EnginePerformance, prompt_tokens: int) -> float:
    """Return the seconds of an answer's first pass, and of what is left of the one under way."""
    whole = figures.pass_seconds(
        decoding_requests=load.writing + 1, context_tokens=load.memory_tokens + prompt_tokens
    )
    return whole * (1.0 + PASS_UNDER_WAY) if load.writing else whole


def _gather(candidates: list[Candidate]) -> list[Candidate]:
    """Return the engine for a short prompt: one that writes for others already, if one has room."""
    free = [one for one in candidates if one.has_slot]
    shared = [
        one
        for one in free
        if 0 < one.load.in_flight < GATHERED_REQUESTS
        and one.load.backlog + one.penalty <= GATHERING_BACKLOG
    ]
    if shared:
        return [min(shared, key=lambda one: (-one.load.in_flight, one.cost))]
    return sorted(free, key=lambda one: one.cost)[:1]


def _spread(
    candidates: list[Candidate], total: float, holders: int, objective: float
) -> list[Candidate]:
    """Return the engines for ``total`` seconds of reading, ``holders`` at least.

    With an objective of 0 the prompt is read as soon as may be.
    """
    most = min(len(candidates), MAX_HELPERS + 1)
    if objective and total / max(1, most) > LONG_PART_SECONDS:
        return _sparing(candidates, total, holders, objective)
    parts = max(holders, math.ceil(total / PART_SECONDS))
    return sorted(candidates, key=lambda one: one.cost)[: min(parts, MAX_HELPERS + 1)]


def _sparing(
    candidates: list[Candidate], total: float, holders: int, objective: float
) -> list[Candidate]:
    """Return engines for long parts, so many that it pays for the answers they hold up."""
    ranked = sorted(candidates, key=lambda one: (one.load.writing, one.cost))[: MAX_HELPERS + 1]
    best, least, held_up = len(ranked), math.inf, 0
    for count, engine in enumerate(ranked, start=1):
        held_up += engine.load.writing
        cost = held_up + ANSWERS_FOR_ONE_PROMPT * (total / count / objective) ** 2
        if count >= holders and cost < least:
            best, least = count, cost
    return ranked[:best]
