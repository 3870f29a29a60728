"""Progress of one completion: the tokens delivered, and which tokens of an event are new."""

from __future__ import annotations

from typing import final

from baobabpulley.errors import UpstreamLost
from baobabpulley.model.requests import CompletionEvent
from baobabpulley.model.requests import EndEvent
from baobabpulley.model.requests import TokenEvent
from baobabpulley.model.requests import Usage


@final
class CompletionProgress:
    """The tokens delivered to the caller so far, each once, whichever attempt they come from.

    A caller that resumes a completion already has its first ``offset`` tokens, ``delivered``.
    """

    __slots__ = ("_max_tokens", "_offset", "_texts")

    def __init__(self, *, max_tokens: int, offset: int = 0, delivered: str = "") -> None:
        self._max_tokens = max_tokens
        self._offset = offset
        self._texts = [delivered]

    @property
    def offset(self) -> int:
        """Index of the next token to deliver."""
        return self._offset

    @property
    def started(self) -> bool:
        """Whether any token has been delivered."""
        return self._offset > 0

    @property
    def text(self) -> str:
        """The text of all delivered tokens."""
        return "".join(self._texts)

    def accept(self, event: CompletionEvent) -> CompletionEvent | None:
        """Return the new part of an event, or ``None`` if it has none.

        Raises `UpstreamLost` if tokens are missing, or more arrive than were requested.
        """
        if isinstance(event, EndEvent):
            return self._accept_end(event)
        if event.index > self.offset:
            raise UpstreamLost(f"tokens {self.offset} to {event.index - 1} are missing")
        index = self.offset
        new_tokens = event.tokens[index - event.index :]
        if not new_tokens:
            return None
        if index + len(new_tokens) > self._max_tokens:
            raise UpstreamLost(f"the engine sent more than the {self._max_tokens} tokens requested")
        self._texts += new_tokens
        self._offset += len(new_tokens)
        return TokenEvent(attempt=event.attempt, index=index, tokens=new_tokens)

    def _accept_end(self, event: EndEvent) -> EndEvent:
        if event.usage.completion_tokens != self.offset:
            raise UpstreamLost(
                f"the engine reported {event.usage.completion_tokens} tokens, "
                f"but {self.offset} arrived"
            )
        usage = Usage(
            prompt_tokens=event.usage.prompt_tokens,
            completion_tokens=self.offset,
            cached_tokens=event.usage.cached_tokens,
        )
        return EndEvent(attempt=event.attempt, reason=event.reason, usage=usage)
