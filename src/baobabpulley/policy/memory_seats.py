"""Which engines keep a prompt in their memory: the one that writes the answer, and ticket holders.

Load pattern: two long prompts come to one engine within a second, and it has memory for one. The
later one is read, finds no memory, waits until the earlier answer has ended, and is read again.
"""

from __future__ import annotations

import math
from typing import Final

import msgspec

from baobabpulley.model.routes import EnginePerformance
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.fleet_load import Load

# Share of an engine's memory that one request may take without tickets.
UNTICKETED_SHARE: Final = 0.8
TICKET_SHARE: Final = 0.45
# Seconds that one more answer adds to what waits at an engine, for the choice among engines.
WRITER_SECONDS: Final = 0.006
# Seconds that a token in an engine's memory adds, so that equal engines fill evenly.
TOKEN_SECONDS: Final = 1e-7


class Candidate(msgspec.Struct, frozen=True):
    """An engine that may be used; ``penalty`` is seconds for its failures and its distance."""

    upstream: ListedUpstream
    load: Load
    penalty: float = 0.0

    @property
    def has_slot(self) -> bool:
        """Whether it serves one more request at once."""
        return self.load.in_flight < self.upstream.slots

    @property
    def cost(self) -> float:
        """Seconds by which one engine is worse than another."""
        load = self.load
        return (
            load.backlog
            + WRITER_SECONDS * load.in_flight
            + TOKEN_SECONDS * load.memory_tokens
            + self.penalty
        )

    def has_memory(self, tokens: int, figures: EnginePerformance) -> bool:
        """Whether so many tokens are free in its memory."""
        return figures.memory_tokens - self.load.memory_tokens >= tokens


class MemoryNeed(msgspec.Struct, frozen=True):
    """Tokens that a request takes at its first engine, and at each of ``tickets`` others."""

    first_tokens: int
    tickets: int
    ticket_tokens: int

    @property
    def holders(self) -> int:
        """How many engines keep a part of the prompt."""
        return 1 + self.tickets


class Seats(msgspec.Struct, frozen=True):
    """The engines of one prompt: ``holders`` of tickets, and others that only read."""

    first: Candidate
    holders: tuple[Candidate, ...]
    readers: tuple[Candidate, ...]

    @property
    def helpers(self) -> tuple[Candidate, ...]:
        """All engines but the first, those with tickets in front."""
        return (*self.holders, *self.readers)


def memory_need(*, prompt_tokens: int, answer_tokens: int, memory: int) -> MemoryNeed:
    """Return over how many engines a request's memory is spread.

    >>> memory_need(prompt_tokens=90, answer_tokens=10, memory=1000).tickets
    0
    >>> memory_need(prompt_tokens=890, answer_tokens=10, memory=1000)
    MemoryNeed(first_tokens=455, tickets=1, ticket_tokens=445)
    """
    need = prompt_tokens + answer_tokens
    if need <= UNTICKETED_SHARE * memory:
        return MemoryNeed(need, 0, 0)
    holders = math.ceil(need / (TICKET_SHARE * memory))
    part = math.ceil(prompt_tokens / holders)
    return MemoryNeed(need - (holders - 1) * part, holders - 1, part)


def fits(candidates: list[Candidate], *, figures: EnginePerformance, tokens: int) -> bool:
    """Whether the engines have memory enough for a prompt, were they all empty."""
    need = memory_need(prompt_tokens=tokens, answer_tokens=0, memory=figures.memory_tokens)
    return need.holders <= len(candidates)


def seats_among(
    chosen: list[Candidate],
    candidates: list[Candidate],
    *,
    figures: EnginePerformance,
    need: MemoryNeed,
    first_id: str | None = None,
) -> Seats | None:
    """Give the chosen engines their parts, or ``None`` if memory or slots are taken everywhere.

    Engines that lack memory for their part give way to others of the candidates. ``first_id``
    names the engine that has to write the answer, if one was tried before.
    """
    first = _named(candidates, first_id)
    if first is None:
        first = _first(chosen, figures, need) or _first(_others(candidates, chosen), figures, need)
    if first is None:
        return None
    holders = _holders([one for one in chosen if one is not first], figures, need)
    if len(holders) < need.tickets:
        others = [one for one in _others(candidates, chosen) if one is not first]
        holders += _holders(others, figures, need)[: need.tickets - len(holders)]
    if len(holders) < need.tickets:
        return None
    seated = {one.upstream.id for one in (first, *holders)}
    readers = [one for one in chosen if one.upstream.id not in seated]
    return Seats(first, tuple(holders), tuple(readers[: max(0, len(chosen) - len(seated))]))


def _others(candidates: list[Candidate], chosen: list[Candidate]) -> list[Candidate]:
    """Return the candidates that were not chosen, the best first."""
    taken = {one.upstream.id for one in chosen}
    left = (one for one in candidates if one.upstream.id not in taken)
    return sorted(left, key=lambda one: one.cost)


def _named(candidates: list[Candidate], name: str | None) -> Candidate | None:
    return next((one for one in candidates if one.upstream.id == name), None)


def _first(
    engines: list[Candidate], figures: EnginePerformance, need: MemoryNeed
) -> Candidate | None:
    """Return the engine with the least in its memory that has room for the answer."""
    roomy = [one for one in engines if one.has_slot and one.has_memory(need.first_tokens, figures)]
    return min(roomy, key=lambda one: (one.load.memory_tokens, one.load.in_flight), default=None)


def _holders(
    engines: list[Candidate], figures: EnginePerformance, need: MemoryNeed
) -> list[Candidate]:
    """Return the engines with room for a ticket, at most as many as are needed."""
    roomy = [one for one in engines if one.has_memory(need.ticket_tokens, figures)]
    return sorted(roomy, key=lambda one: one.load.memory_tokens)[: need.tickets]
