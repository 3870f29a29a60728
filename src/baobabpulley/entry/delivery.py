"""What a caller has of an answer, and what of an event is new to it."""

from __future__ import annotations

from typing import final

from baobabpulley.errors import UpstreamLost
from baobabpulley.model.requests import CompletionEvent
from baobabpulley.model.requests import EndEvent
from baobabpulley.model.requests import TokenEvent
from baobabpulley.model.requests import Usage


@final
class AnswerProgress:
    """The tokens delivered so far, each once, whatever attempts they come from.

    A caller that resumes an answer has its first ``offset`` tokens, ``delivered``, already.
    """

    __slots__ = ("_max_tokens", "_offset", "_pieces")

    def __init__(self, *, max_tokens: int, offset: int = 0, delivered: str = "") -> None:
        self._max_tokens = max_tokens
        self._offset = offset
        self._pieces = [delivered]

    @property
    def offset(self) -> int:
        """Index of the token that the caller needs next."""
        return self._offset

    @property
    def started(self) -> bool:
        """Whether the caller has any token."""
        return self._offset > 0

    @property
    def text(self) -> str:
        """All tokens delivered."""
        return "".join(self._pieces)

    def accept(self, event: CompletionEvent) -> CompletionEvent | None:
        """Return what of an event is new, or ``None``; raise `UpstreamLost` on a gap."""
        if isinstance(event, EndEvent):
            return self._take_end(event)
        if event.index > self.offset:
            raise UpstreamLost(f"tokens {self.offset} to {event.index - 1} are missing")
        index = self.offset
        fresh = event.tokens[index - event.index :]
        if not fresh:
            return None
        if index + len(fresh) > self._max_tokens:
            raise UpstreamLost(f"more than {self._max_tokens} tokens arrived")
        self._pieces += fresh
        self._offset += len(fresh)
        return TokenEvent(attempt=event.attempt, index=index, tokens=fresh)

    def _take_end(self, event: EndEvent) -> EndEvent:
        if event.usage.completion_tokens != self.offset:
            raise UpstreamLost(
                f"the answer ended at {event.usage.completion_tokens} tokens, "
                f"but {self.offset} arrived"
            )
        usage = Usage(
            prompt_tokens=event.usage.prompt_tokens,
            completion_tokens=self.offset,
            cached_tokens=event.usage.cached_tokens,
        )
        return EndEvent(attempt=event.attempt, reason=event.reason, usage=usage)
