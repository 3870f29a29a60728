"""Choose the engines whose KV cache memory holds a prompt and its answer.

The first engine generates the answer. A prompt too large for it also reserves memory on other
engines, under a ticket on each. Planning memory in advance avoids wasted prefill: if two long
prompts reach an engine within a second and it has memory for one, the later prompt is prefilled,
finds no memory, waits for the earlier answer to end, and is prefilled again.
"""

from __future__ import annotations

import math
from typing import Final

import msgspec

from baobabpulley.model.routes import EnginePerformance
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.fleet_load import Load

# Fraction of an engine's memory that one request may use without tickets.
UNTICKETED_MEMORY_RATIO: Final = 0.8
# Fraction of an engine's memory that each engine provides if a request needs tickets.
TICKET_MEMORY_RATIO: Final = 0.45
# Cost of each request in flight when engines are compared.
COST_PER_REQUEST_SECONDS: Final = 0.006
# Cost of each token in an engine's memory: small, so that it only decides between engines that are
# otherwise equal and they fill evenly.
COST_PER_TOKEN_SECONDS: Final = 1e-7


class Candidate(msgspec.Struct, frozen=True):
    """An engine that may take a request.

    ``penalty`` is the cost in seconds added for recent failures and for being in another failure
    domain.
    """

    upstream: ListedUpstream
    load: Load
    penalty: float = 0.0

    @property
    def has_slot(self) -> bool:
        """Whether the engine can start another request without queueing it."""
        return self.load.in_flight < self.upstream.slots

    @property
    def cost(self) -> float:
        """Cost of choosing the engine, in seconds; only differences between engines matter."""
        load = self.load
        return (
            load.backlog
            + COST_PER_REQUEST_SECONDS * load.in_flight
            + COST_PER_TOKEN_SECONDS * load.memory_tokens
            + self.penalty
        )

    def has_memory(self, tokens: int, performance: EnginePerformance) -> bool:
        """Whether the engine has memory for ``tokens`` more tokens."""
        return performance.memory_tokens - self.load.memory_tokens >= tokens


class MemoryNeed(msgspec.Struct, frozen=True):
    """Memory that a request needs.

    It uses ``first_tokens`` on the first engine and ``ticket_tokens`` on each of ``tickets`` other
    engines.
    """

    first_tokens: int
    tickets: int
    ticket_tokens: int

    @property
    def holder_count(self) -> int:
        """Number of engines that hold a chunk of the prompt, the first engine included."""
        return 1 + self.tickets


class EngineAssignment(msgspec.Struct, frozen=True):
    """The engines of one prompt.

    ``first`` generates the answer, ``holders`` reserve memory under tickets, and ``readers`` only
    prefill chunks of the prompt.
    """

    first: Candidate
    holders: tuple[Candidate, ...]
    readers: tuple[Candidate, ...]

    @property
    def helpers(self) -> tuple[Candidate, ...]:
        """All engines but the first, ticket holders before the others."""
        return (*self.holders, *self.readers)


def memory_need(*, prompt_tokens: int, answer_tokens: int, memory: int) -> MemoryNeed:
    """Return how a request's memory is split over engines with ``memory`` tokens of memory each.

    >>> memory_need(prompt_tokens=90, answer_tokens=10, memory=1000).tickets
    0
    >>> memory_need(prompt_tokens=890, answer_tokens=10, memory=1000)
    MemoryNeed(first_tokens=455, tickets=1, ticket_tokens=445)
    """
    need = prompt_tokens + answer_tokens
    if need <= UNTICKETED_MEMORY_RATIO * memory:
        return MemoryNeed(need, 0, 0)
    holders = math.ceil(need / (TICKET_MEMORY_RATIO * memory))
    ticket_tokens = math.ceil(prompt_tokens / holders)
    return MemoryNeed(need - (holders - 1) * ticket_tokens, holders - 1, ticket_tokens)


def fits_in_memory(engines: int, *, performance: EnginePerformance, tokens: int) -> bool:
    """Whether so many engines could hold a prompt of ``tokens`` tokens if they were idle."""
    need = memory_need(prompt_tokens=tokens, answer_tokens=0, memory=performance.memory_tokens)
    return need.holder_count <= engines


def assign_engines(
    chosen: list[Candidate],
    candidates: list[Candidate],
    *,
    performance: EnginePerformance,
    need: MemoryNeed,
) -> EngineAssignment | None:
    """Assign roles to the chosen engines; return ``None`` if too few have free memory and slots.

    A chosen engine that lacks memory for its role is replaced by another candidate.
    """
    first = _pick_first(chosen, performance, need) or _pick_first(
        _unchosen(candidates, chosen), performance, need
    )
    if first is None:
        return None
    holders = _pick_holders([engine for engine in chosen if engine is not first], performance, need)
    if len(holders) < need.tickets:
        others = [engine for engine in _unchosen(candidates, chosen) if engine is not first]
        holders += _pick_holders(others, performance, need)[: need.tickets - len(holders)]
    if len(holders) < need.tickets:
        return None
    assigned = {engine.upstream.id for engine in (first, *holders)}
    readers = [engine for engine in chosen if engine.upstream.id not in assigned]
    return EngineAssignment(
        first, tuple(holders), tuple(readers[: max(0, len(chosen) - len(assigned))])
    )


def _unchosen(candidates: list[Candidate], chosen: list[Candidate]) -> list[Candidate]:
    """Return the candidates that were not chosen, cheapest first."""
    chosen_ids = {engine.upstream.id for engine in chosen}
    unchosen = (engine for engine in candidates if engine.upstream.id not in chosen_ids)
    return sorted(unchosen, key=lambda engine: engine.cost)


def _pick_first(
    engines: list[Candidate], performance: EnginePerformance, need: MemoryNeed
) -> Candidate | None:
    """Return the engine with the fewest tokens in memory that can take the prompt and answer."""
    with_memory = [
        engine
        for engine in engines
        if engine.has_slot and engine.has_memory(need.first_tokens, performance)
    ]
    return min(
        with_memory,
        key=lambda engine: (engine.load.memory_tokens, engine.load.in_flight),
        default=None,
    )


def _pick_holders(
    engines: list[Candidate], performance: EnginePerformance, need: MemoryNeed
) -> list[Candidate]:
    """Return engines with memory for a ticket, at most ``need.tickets`` of them."""
    with_memory = [
        engine for engine in engines if engine.has_memory(need.ticket_tokens, performance)
    ]
    return sorted(with_memory, key=lambda engine: engine.load.memory_tokens)[: need.tickets]
