"""Requests of callers and the events of their answers."""

from __future__ import annotations

from typing import Final
from typing import final

import msgspec

BYTES_PER_TOKEN: Final = 4


class TokenEvent(msgspec.Struct, frozen=True, tag="token"):
    """Tokens of an answer; ``index`` is the position of the first one."""

    attempt: str
    index: int
    tokens: tuple[str, ...]


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a finished answer."""

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int = 0


class EndEvent(msgspec.Struct, frozen=True, tag="end"):
    """The end of a whole answer. ``reason`` is ``length`` or ``stop``."""

    attempt: str
    reason: str
    usage: Usage


CompletionEvent = TokenEvent | EndEvent


@final
class CompletionRequest:
    """An authenticated completion request of one caller.

    ``deadline`` is in model seconds on the clock of this process's timer service. ``token`` is
    the caller's own, for passing the request to another failure domain; ``forwarded`` says that it
    came from one. A resumed request's caller already has ``delivered``, which are the first
    ``offset`` tokens.
    """

    __slots__ = (
        "arrived",
        "deadline",
        "delivered",
        "forwarded",
        "max_tokens",
        "model",
        "offset",
        "prompt",
        "prompt_tokens",
        "request_id",
        "seed",
        "stream",
        "team",
        "token",
    )

    def __init__(
        self,
        *,
        request_id: str,
        team: str,
        model: str,
        prompt: str,
        prompt_tokens: int,
        max_tokens: int,
        seed: int,
        stream: bool,
        arrived: float,
        deadline: float,
        token: str = "",
        forwarded: bool = False,
        delivered: str = "",
        offset: int = 0,
    ) -> None:
        self.request_id = request_id
        self.team = team
        self.model = model
        self.prompt = prompt
        self.prompt_tokens = prompt_tokens
        self.max_tokens = max_tokens
        self.seed = seed
        self.stream = stream
        self.arrived = arrived
        self.deadline = deadline
        self.token = token
        self.forwarded = forwarded
        self.delivered = delivered
        self.offset = offset

    @property
    def total_tokens(self) -> int:
        """Tokens of KV memory that the request needs at most."""
        return self.prompt_tokens + self.max_tokens


def estimate_tokens(text: str) -> int:
    """Estimate the tokens of a text from its length in UTF-8.

    >>> estimate_tokens("merguez!")
    2
    """
    size = len(text) if text.isascii() else len(text.encode())
    return max(1, -(-size // BYTES_PER_TOKEN))
