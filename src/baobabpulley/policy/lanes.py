"""Queueing lanes: prompts are classified by how much of an engine they need.

A lane is ``short``, ``long`` or, for requests too large for one engine's memory, ``gang``.
"""

from __future__ import annotations

from typing import Annotated
from typing import Final

import msgspec

from baobabpulley.model.requests import CompletionRequest
from baobabpulley.settings import Count
from baobabpulley.settings import Seconds
from baobabpulley.settings import Share
from baobabpulley.settings import section

SHORT: Final = "short"
LONG: Final = "long"
GANG: Final = "gang"


@section("lanes", "entry")
class LanesSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds of the lanes and the protection of short prompts.

    ``short_tokens`` is the length of the longest short prompt. A request goes to a gang of
    engines if its prompt and output need more than ``engine_share`` of the largest engine's
    memory. ``short_priority`` sends short prompts at the engines' higher priority.
    ``single_long`` limits an engine to one long prefill at a time. ``long_order`` is
    ``response_ratio`` or ``arrival``; a long prompt that has waited ``long_wait_bound`` model
    seconds is served before all others. An engine gets no further short prompt while its prefill
    backlog at the priority of short prompts exceeds ``engine_backlog`` model seconds. In each
    round of its lane, a team is credited ``short_quantum`` or ``long_quantum`` tokens times its
    weight. ``segment_tokens`` is the length of the segments in which long prompts are prefilled
    at engines that cannot interrupt a prefill.
    """

    short_tokens: Count = 8_000
    engine_share: Share = 0.9
    short_priority: bool = True
    single_long: bool = True
    long_order: Annotated[str, msgspec.Meta(pattern="^(response_ratio|arrival)$")] = (
        "response_ratio"
    )
    long_wait_bound: Seconds = 60.0
    engine_backlog: Seconds = 0.5
    segment_tokens: Count = 8_192
    short_quantum: Count = 8_000
    long_quantum: Count = 100_000


def lane_of(request: CompletionRequest, *, section: LanesSection, engine_memory: int) -> str:
    """Return the lane of a request.

    ``engine_memory`` is the memory of the largest engine in tokens, 0 if unknown.
    """
    if request.prompt_tokens <= section.short_tokens:
        return SHORT
    if engine_memory and request.total_tokens > section.engine_share * engine_memory:
        return GANG
    return LONG


def response_ratio(*, waited: float, ideal: float) -> float:
    """Return the ratio of a request's total to its ideal duration if it starts now.

    Highest response ratio next scheduling serves the request with the largest ratio first.

    >>> response_ratio(waited=5.0, ideal=5.0)
    2.0
    """
    return (waited + ideal) / ideal
