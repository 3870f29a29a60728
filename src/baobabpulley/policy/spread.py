"""Which engine gets a prompt, and which others read parts of it.

Load pattern: a prompt of 133,000 tokens takes an engine two seconds to read, and every answer that
it writes meanwhile stands still. Cut by time over many engines, each pass stays short enough for
the answers in it. Prompts past one engine's memory are kept in tickets on several.
"""

from __future__ import annotations

import math
from typing import Final

import msgspec

from baobabpulley.model.routes import EngineFigures
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.fleet_load import Load

# Seconds of reading that a pass takes without harm to the answers written in it.
PART_SECONDS: Final = 0.11
# Past this no pass is short enough; fewer engines are then held up than all of them.
LONG_PART_SECONDS: Final = 0.19
LONG_SHARE: Final = 0.4
# The platform's bound on helpers of one request.
MAX_HELPERS: Final = 16
# Share of an engine's memory that one request may take without tickets.
UNTICKETED_SHARE: Final = 0.8
TICKET_SHARE: Final = 0.45
# Seconds that one more answer adds to what waits at an engine, for the choice among engines.
WRITER_SECONDS: Final = 0.006
# Engines whose backlog is below this take a part without two of them meeting in one pass.
MEETING_SECONDS: Final = 0.04


class Candidate(msgspec.Struct, frozen=True):
    """An engine that may be used; ``penalty`` is seconds for its failures and its distance."""

    upstream: ListedUpstream
    load: Load
    penalty: float = 0.0

    @property
    def cost(self) -> float:
        """Seconds by which one engine is worse than another."""
        return self.load.backlog + WRITER_SECONDS * self.load.writing + self.penalty


class Plan(msgspec.Struct, frozen=True):
    """Where a prompt goes.

    ``part_seconds`` is the reading at each engine; ``ticket_tokens`` the memory to reserve at
    each of the first ``tickets`` helpers. ``meets`` says that some engine still reads another
    prompt.
    """

    first: ListedUpstream
    helpers: tuple[ListedUpstream, ...]
    part_seconds: float
    tickets: int
    ticket_tokens: int
    first_tokens: int
    meets: bool


def plan_prompt(
    candidates: list[Candidate],
    *,
    figures: EngineFigures,
    prompt_tokens: int,
    answer_tokens: int,
) -> Plan | None:
    """Return where to read a prompt, or ``None`` while no engine has a free slot."""
    ranked = sorted(candidates, key=lambda one: one.cost)
    total = figures.read_seconds(prompt_tokens)
    need = prompt_tokens + answer_tokens
    holders = _holders(need, figures.memory_tokens)
    parts = max(_parts(total, len(ranked)), min(holders, len(ranked)))
    chosen = ranked[:parts]
    first = _first(chosen, figures, need=need // holders)
    if first is None:
        first = _first(ranked[parts:], figures, need=need // holders)
        if first is None:
            return None
        chosen = [first, *chosen[:-1]]
    helpers = _with_memory_first([one for one in chosen if one is not first], figures)
    tickets = min(holders - 1, len(helpers))
    ticket_tokens = math.ceil(prompt_tokens / holders) if tickets else 0
    return Plan(
        first=first.upstream,
        helpers=tuple(one.upstream for one in helpers),
        part_seconds=total / len(chosen),
        tickets=tickets,
        ticket_tokens=ticket_tokens,
        first_tokens=need - tickets * ticket_tokens,
        meets=len(chosen) > 1 and max(one.load.backlog for one in chosen) > MEETING_SECONDS,
    )


def _parts(total: float, engines: int) -> int:
    """Return over how many engines ``total`` seconds of reading are cut.

    >>> _parts(0.05, 16), _parts(2.0, 16), _parts(20.0, 16)
    (1, 16, 6)
    """
    most = min(engines, MAX_HELPERS + 1)
    parts = min(most, max(1, math.ceil(total / PART_SECONDS)))
    if total / parts > LONG_PART_SECONDS:
        return max(1, min(most, round(LONG_SHARE * engines)))
    return parts


def _holders(need: int, memory: int) -> int:
    """Return over how many engines a request's memory is spread.

    >>> _holders(100, 1000), _holders(900, 1000)
    (1, 2)
    """
    if need <= UNTICKETED_SHARE * memory:
        return 1
    return math.ceil(need / (TICKET_SHARE * memory))


def _first(chosen: list[Candidate], figures: EngineFigures, *, need: int) -> Candidate | None:
    free = [one for one in chosen if one.load.in_flight < one.upstream.slots]
    if len(chosen) == 1:
        return free[0] if free else None
    roomy = [one for one in free if figures.memory_tokens - one.load.memory_tokens >= need]
    return min(
        roomy or free,
        key=lambda one: (one.load.memory_tokens, one.load.in_flight),
        default=None,
    )


def _with_memory_first(helpers: list[Candidate], figures: EngineFigures) -> list[Candidate]:
    return sorted(helpers, key=lambda one: one.load.memory_tokens)
