"""Limits of a team. Once raised, a limit is never lowered."""

from __future__ import annotations

from typing import Annotated

import msgspec

Tokens = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]


class Limit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How long one prompt of a team may be, and how many of its tokens may be in flight."""

    max_prompt_tokens: Tokens = 0
    max_tokens_in_flight: Tokens = 0

    def merged(self, other: Limit) -> Limit:
        """Return the larger of both, figure by figure.

        >>> Limit(5, 10).merged(Limit(7, 8))
        Limit(max_prompt_tokens=7, max_tokens_in_flight=10)
        """
        return Limit(
            max(self.max_prompt_tokens, other.max_prompt_tokens),
            max(self.max_tokens_in_flight, other.max_tokens_in_flight),
        )

    def covers(self, other: Limit) -> bool:
        """Whether neither figure of ``other`` is larger.

        >>> Limit(5, 10).covers(Limit(7, 8))
        False
        """
        return self.merged(other) == self
