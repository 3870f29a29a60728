"""Choose the engine that serves a prompt, and the helper engines that prefill chunks of it.

Prefilling a prompt of 133,000 tokens takes one engine two seconds, and every answer that the engine
is generating stalls meanwhile. Short prompts are packed on few engines: on a random one of as many
engines as other gateways may be choosing now, so that gateways that know the same loads don't all
choose the same engine. A long prompt is split over
as many engines as are needed to keep each chunk too short for a noticeable stall. Engines prefill
chunks before their earlier work, so long prompts delay each other least if the chunks are short. A
prompt that is too long even for that goes to the engines that generate the fewest answers: more
engines finish it sooner but stall more answers.
"""

from __future__ import annotations

import math
import random
from typing import Final

import msgspec

from baobabpulley.model.routes import EnginePerformance
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.fleet_load import Load
from baobabpulley.policy.memory_placement import Candidate
from baobabpulley.policy.memory_placement import assign_engines
from baobabpulley.policy.memory_placement import memory_need

# Prefill that fits in one forward pass without a noticeable stall of the answers generated in it.
CHUNK_SECONDS: Final = 0.08
# A longer chunk stalls the engine's answers for longer than callers tolerate.
LONG_CHUNK_SECONDS: Final = 0.16
# Number of stalled answers that cost as much as a chunk that takes the prompt's whole objective.
PREFILL_COST_WEIGHT: Final = 10.0
# Short prompts go to an engine already in use until it has this ratio of its slots taken, rounded
# down, or this backlog. The other slots are for requests that this gateway hasn't heard of.
MAX_PACKED_RATIO: Final = 0.65
MAX_PACKING_BACKLOG_SECONDS: Final = 0.06
# Number of engines to choose from for each request that other gateways may have placed unheard.
ENGINES_PER_UNHEARD_REQUEST: Final = 1.0
# The platform's limit on helper engines of one request.
MAX_HELPERS: Final = 16
# Expected remainder of the current forward pass when a prompt reaches an engine that generates
# answers.
REMAINING_PASS_RATIO: Final = 0.5


class Plan(msgspec.Struct, frozen=True):
    """The engines for a prompt, and the expected times.

    ``part_seconds`` is the prefill time of the chunk at each engine. ``ticket_tokens`` is the
    memory to reserve on each of the first ``tickets`` helpers, ``first_tokens`` that on the first
    engine. ``backlog`` is the longest prefill backlog of the engines in seconds, ``pass_seconds``
    the seconds from the end of the prefill to the first event, with the rest of the first
    engine's current forward pass. ``first_load`` is the known load of the first engine.
    """

    first: ListedUpstream
    helpers: tuple[ListedUpstream, ...]
    part_seconds: float
    tickets: int
    ticket_tokens: int
    first_tokens: int
    backlog: float
    pass_seconds: float
    first_load: Load

    @property
    def prefill_seconds(self) -> float:
        """Expected seconds until the prompt has been prefilled."""
        # Engines prefill chunks before their earlier work, but whole prompts after it.
        return self.part_seconds if self.helpers else self.backlog + self.part_seconds

    @property
    def first_event_seconds(self) -> float:
        """Expected seconds until the first event of the answer."""
        return self.prefill_seconds + self.pass_seconds

    @property
    def engines(self) -> tuple[ListedUpstream, ...]:
        """All engines that prefill a chunk, the first engine first."""
        return (self.first, *self.helpers)

    @property
    def memory_tokens(self) -> tuple[int, ...]:
        """Tokens of memory that the request uses at each of ``engines``, in the same order."""
        without_ticket = len(self.helpers) - self.tickets
        return (self.first_tokens, *(self.ticket_tokens,) * self.tickets, *(0,) * without_ticket)


def plan_prompt(
    candidates: list[Candidate],
    *,
    performance: EnginePerformance,
    prompt_tokens: int,
    answer_tokens: int,
    objective: float,
    fastest: bool = False,
    unheard: float = 0.0,
    source: random.Random | None = None,
) -> Plan | None:
    """Return the engines for a prompt, or ``None`` while too few have free slots and memory.

    ``objective`` is the target for the first event of the answer, in seconds. ``fastest`` plans
    the fastest prefill, however many answers it stalls. ``unheard`` is the number of requests that
    other gateways are expected to have placed without their loads being known here yet; ``source``
    draws the engine of a short prompt if there are any.
    """
    total = performance.prefill_seconds(prompt_tokens)
    need = memory_need(
        prompt_tokens=prompt_tokens, answer_tokens=answer_tokens, memory=performance.memory_tokens
    )
    if is_short(prompt_tokens, performance):
        chosen = _pack(
            [engine for engine in candidates if engine.has_memory(need.first_tokens, performance)],
            unheard=unheard,
            source=source or random.Random(),
        )
    else:
        target = 0.0 if fastest else objective
        chosen = _split(candidates, total, need.holder_count, target)
    assignment = assign_engines(chosen, candidates, performance=performance, need=need)
    if assignment is None:
        return None
    engines = (assignment.first, *assignment.helpers)
    chunk_seconds = total / len(engines)
    return Plan(
        first=assignment.first.upstream,
        helpers=tuple(engine.upstream for engine in assignment.helpers),
        part_seconds=chunk_seconds,
        tickets=need.tickets,
        ticket_tokens=need.ticket_tokens,
        first_tokens=need.first_tokens,
        backlog=max(engine.load.backlog for engine in engines),
        pass_seconds=_pass_seconds(assignment.first.load, performance, prompt_tokens),
        first_load=assignment.first.load,
    )


def is_short(prompt_tokens: int, performance: EnginePerformance) -> bool:
    """Whether one engine can prefill a prompt without a noticeable stall of its answers."""
    return performance.prefill_seconds(prompt_tokens) <= CHUNK_SECONDS


def _pass_seconds(load: Load, performance: EnginePerformance, prompt_tokens: int) -> float:
    """Return the seconds until an answer's first pass ends, with the rest of the current pass."""
    full_pass = performance.pass_seconds(
        decoding_requests=load.decoding + 1, context_tokens=load.memory_tokens + prompt_tokens
    )
    return full_pass * (1.0 + REMAINING_PASS_RATIO) if load.decoding else full_pass


def _pack(candidates: list[Candidate], *, unheard: float, source: random.Random) -> list[Candidate]:
    """Return the engine for a short prompt: preferably one in use that has capacity left.

    The result is empty if no engine has a free slot.
    """
    with_slot = [engine for engine in candidates if engine.has_slot]
    if not with_slot:
        return []
    ranked = sorted(with_slot, key=_packing_order)
    choices = 1 + math.floor(ENGINES_PER_UNHEARD_REQUEST * unheard)
    return [source.choice(ranked[:choices])]


def _packing_order(engine: Candidate) -> tuple[int, float]:
    """Return the sort key of an engine for a short prompt.

    Engines in use come first, the fullest of them before the others, until they are packed.
    """
    load = engine.load
    packable = (
        0 < load.in_flight < max_packed_requests(engine.upstream.slots)
        and load.backlog + engine.penalty <= MAX_PACKING_BACKLOG_SECONDS
    )
    return (-load.in_flight if packable else 0, engine.cost)


def max_packed_requests(slots: int) -> int:
    """Return up to how many requests short prompts are packed on an engine.

    >>> [max_packed_requests(slots) for slots in (1, 5, 6, 8)]
    [1, 3, 3, 5]
    """
    return max(1, math.floor(MAX_PACKED_RATIO * slots))


def _split(
    candidates: list[Candidate], total: float, holders: int, objective: float
) -> list[Candidate]:
    """Return at least ``holders`` engines for ``total`` seconds of prefill, or all if fewer exist.

    An objective of 0 selects the fastest prefill.
    """
    max_engines = min(len(candidates), MAX_HELPERS + 1)
    if objective and total / max(1, max_engines) > LONG_CHUNK_SECONDS:
        return _minimize_stalls(candidates, total, holders, objective)
    chunks = max(holders, math.ceil(total / CHUNK_SECONDS))
    return sorted(candidates, key=lambda engine: engine.cost)[: min(chunks, MAX_HELPERS + 1)]


def _minimize_stalls(
    candidates: list[Candidate], total: float, holders: int, objective: float
) -> list[Candidate]:
    """Return the engines for long chunks that minimize prefill time and stalled answers."""
    ranked = sorted(candidates, key=lambda engine: (engine.load.decoding, engine.cost))[
        : MAX_HELPERS + 1
    ]
    best_count, lowest_cost, stalled = len(ranked), math.inf, 0
    for count, engine in enumerate(ranked, start=1):
        stalled += engine.load.decoding
        cost = stalled + PREFILL_COST_WEIGHT * (total / count / objective) ** 2
        if count >= holders and cost < lowest_cost:
            best_count, lowest_cost = count, cost
    return ranked[:best_count]
