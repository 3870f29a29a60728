"""Lanes: prompts are told apart by how much of an engine they need."""

from __future__ import annotations

from typing import Final

import msgspec

from baobabpulley.model.requests import CompletionRequest
from baobabpulley.settings import Count
from baobabpulley.settings import Share
from baobabpulley.settings import section

SHORT: Final = "short"
LONG: Final = "long"
GANG: Final = "gang"


@section("lanes", "entry")
class LanesSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``short_tokens`` is the longest short prompt.

    A request goes to a gang of engines if its prompt and output need more than
    ``engine_share`` of the largest engine's memory.
    """

    short_tokens: Count = 8_000
    engine_share: Share = 0.9


def lane_of(request: CompletionRequest, *, section: LanesSection, engine_memory: int) -> str:
    """Return the lane of a request; ``engine_memory`` is in tokens, 0 if it is not known."""
    if request.prompt_tokens <= section.short_tokens:
        return SHORT
    if engine_memory and request.total_tokens > section.engine_share * engine_memory:
        return GANG
    return LONG
