"""Which engine gets a prompt, and which others read parts of it.

Load pattern: a prompt of 133,000 tokens takes an engine two seconds to read, and every answer that
it writes meanwhile stands still. Short prompts therefore gather on few engines, and long ones are
read by those that write for nobody. Where these are too few, a long prompt is cut by time over all
engines, so that each pass stays short enough for the answers in it. Prompts past one engine's
memory are kept in tickets on several.
"""

from __future__ import annotations

import math
from typing import Final

import msgspec

from baobabpulley.model.routes import EngineFigures
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.fleet_load import Load
from baobabpulley.policy.memory_seats import Candidate
from baobabpulley.policy.memory_seats import memory_need
from baobabpulley.policy.memory_seats import seats_among

# Seconds of reading that a pass takes without harm to the answers written in it.
PART_SECONDS: Final = 0.11
# Past this no pass is short enough: few engines are cleared of other work and read long parts.
LONG_PART_SECONDS: Final = 0.16
# Share of the time to the objective that one long part may take, and share of the engines that
# one such prompt may hold up.
LONG_PART_SHARE: Final = 0.4
LONG_ENGINES: Final = 0.6
# Share of the time to the objective that a part may take at engines that write for nobody.
QUIET_PART_SHARE: Final = 0.3
# Requests that gather on one engine before the next is used, and the backlog past which it is not.
GATHERED_REQUESTS: Final = 5
GATHERING_BACKLOG: Final = 0.06
# The platform's bound on helpers of one request.
MAX_HELPERS: Final = 16
# Part of a pass that an engine that writes still has before it when a prompt arrives.
PASS_UNDER_WAY: Final = 0.5
# Engines whose backlog is below this take a part without two of them meeting in one pass.
MEETING_SECONDS: Final = 0.04


class Plan(msgspec.Struct, frozen=True):
    """Where a prompt goes.

    ``part_seconds`` is the reading at each engine; ``ticket_tokens`` the memory to reserve at
    each of the first ``tickets`` helpers, ``backlog`` the seconds that some engine still reads
    other prompts, ``pass_seconds`` what the first engine takes to write an event. ``heavy`` says
    that the parts are too long for the answers written beside them.
    """

    first: ListedUpstream
    helpers: tuple[ListedUpstream, ...]
    part_seconds: float
    tickets: int
    ticket_tokens: int
    first_tokens: int
    backlog: float
    pass_seconds: float
    heavy: bool

    @property
    def meets(self) -> bool:
        """Whether a part would be read in one pass with another prompt."""
        return bool(self.helpers) and self.backlog > MEETING_SECONDS

    @property
    def read_seconds(self) -> float:
        """Seconds until the prompt is expected to have been read."""
        return self.backlog + self.part_seconds

    @property
    def first_event_seconds(self) -> float:
        """Seconds until the first event of the answer is expected."""
        return self.read_seconds + self.pass_seconds

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
    figures: EngineFigures,
    prompt_tokens: int,
    answer_tokens: int,
    objective: float,
    first_id: str | None = None,
    hurried: bool = False,
) -> Plan | None:
    """Return where to read a prompt, or ``None`` while slots or memory for it are taken.

    ``objective`` is the seconds in which the first event of its answer is wanted. ``first_id``
    names the engine that has to write it, if one was tried before. A ``hurried`` prompt is read
    by as many engines as make it soonest, whatever that costs the answers written there.
    """
    total = figures.read_seconds(prompt_tokens)
    need = memory_need(
        prompt_tokens=prompt_tokens, answer_tokens=answer_tokens, memory=figures.memory_tokens
    )
    if is_short(prompt_tokens, figures):
        chosen = _gather([one for one in candidates if one.has_memory(need.first_tokens, figures)])
    elif hurried:
        chosen = _earliest(candidates, total, need.holders)
    else:
        chosen = _quiet(candidates, total, need.holders, objective) or _spread(
            candidates, total, need.holders, objective
        )
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
        heavy=part > LONG_PART_SECONDS,
        backlog=max(one.load.backlog for one in engines),
        pass_seconds=_pass_seconds(seats.first.load, figures, prompt_tokens),
    )


def is_short(prompt_tokens: int, figures: EngineFigures) -> bool:
    """Whether one engine reads a prompt without harm to the answers that it writes."""
    return figures.read_seconds(prompt_tokens) <= PART_SECONDS


def _pass_seconds(load: Load, figures: EngineFigures, prompt_tokens: int) -> float:
    """Return the seconds of an answer's first pass, and of what is left of the one under way."""
    whole = figures.pass_seconds(
        writers=load.writing + 1, context_tokens=load.memory_tokens + prompt_tokens
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


def _quiet(
    candidates: list[Candidate], total: float, holders: int, objective: float
) -> list[Candidate]:
    """Return engines that write for nobody, if they are enough for a long prompt."""
    quiet = [one for one in candidates if not one.load.in_flight]
    chosen = _earliest(quiet, total, holders)
    if len(chosen) < holders or not chosen:
        return []
    return chosen if total / len(chosen) <= QUIET_PART_SHARE * objective else []


def _earliest(engines: list[Candidate], total: float, holders: int) -> list[Candidate]:
    """Return the engines that are done first with a prompt, and no more than it needs.

    An engine that still reads helps only if it ends before the others would without it: parts
    that an engine has at the same time slow each other down.
    """
    ranked = sorted(engines, key=lambda one: one.cost)[: MAX_HELPERS + 1]
    best, best_end = ranked, math.inf
    for count in range(max(1, holders), len(ranked) + 1):
        end = ranked[count - 1].load.backlog + total / count
        if end < best_end:
            best, best_end = ranked[:count], end
        if total / count <= PART_SECONDS:
            break
    return best


def _spread(
    candidates: list[Candidate], total: float, holders: int, objective: float
) -> list[Candidate]:
    """Return the engines for a long prompt among those that write for others."""
    count = len(candidates)
    parts = max(_parts(total, count, objective), min(holders, count))
    if total / max(1, parts) > LONG_PART_SECONDS:
        # Whoever writes at an engine that reads a long part is late.
        return sorted(candidates, key=lambda one: (one.load.writing, one.cost))[:parts]
    return sorted(candidates, key=lambda one: one.cost)[:parts]


def _parts(total: float, engines: int, objective: float) -> int:
    """Return over how many engines ``total`` seconds of reading are cut.

    >>> _parts(0.05, 16, 3.0), _parts(2.0, 16, 3.0), _parts(4.0, 16, 3.0), _parts(20.0, 16, 3.0)
    (1, 16, 4, 10)
    """
    most = min(engines, MAX_HELPERS + 1)
    parts = min(most, max(1, math.ceil(total / PART_SECONDS)))
    if total / parts > LONG_PART_SECONDS:
        parts = math.ceil(total / (LONG_PART_SHARE * objective))
        return max(1, min(most, parts, round(LONG_ENGINES * engines)))
    return parts
