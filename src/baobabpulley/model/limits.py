"""Limits of a team; a limit is never lowered once it has been raised."""

from __future__ import annotations

from typing import Annotated

import msgspec

Tokens = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]


class Limit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Maximum length of one prompt of a team, and of all its tokens in flight."""

    max_prompt_tokens: Tokens = 0
    max_tokens_in_flight: Tokens = 0

    def merged(self, other: Limit) -> Limit:
        """Return a limit with the larger value of each field.

        >>> Limit(5, 10).merged(Limit(7, 8))
        Limit(max_prompt_tokens=7, max_tokens_in_flight=10)
        """
        return Limit(
            max(self.max_prompt_tokens, other.max_prompt_tokens),
            max(self.max_tokens_in_flight, other.max_tokens_in_flight),
        )

    def covers(self, other: Limit) -> bool:
        """Whether no field of ``other`` is larger.

        >>> Limit(5, 10).covers(Limit(7, 8))
        False
        """
        return self.merged(other) == self
