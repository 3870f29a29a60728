"""Completion requests and the events of their responses."""

from __future__ import annotations

from typing import Final
from typing import final

import msgspec

BYTES_PER_TOKEN: Final = 4


class TokenEvent(msgspec.Struct, frozen=True, tag="token"):
    """Tokens of a completion; ``index`` is the position of the first one."""

    attempt: str
    index: int
    tokens: tuple[str, ...]


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a finished completion."""

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int = 0


class EndEvent(msgspec.Struct, frozen=True, tag="end"):
    """The end of a complete response; ``reason`` is ``length`` or ``stop``."""

    attempt: str
    reason: str
    usage: Usage


CompletionEvent = TokenEvent | EndEvent


@final
class CompletionRequest:
    """An authenticated completion request of one caller.

    ``arrived`` and ``deadline`` are model seconds on the clock of this process's timer service.
    ``token`` is the caller's credential, needed to forward the request to another failure domain;
    ``forwarded`` says that the request came from one. In a resumed request ``delivered`` is the
    text of the first ``offset`` tokens, which the caller already has.
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
        """Maximum number of tokens of KV cache memory that the request needs."""
        return self.prompt_tokens + self.max_tokens


def estimate_tokens(text: str) -> int:
    """Estimate the number of tokens of a text from its length in UTF-8.

    >>> estimate_tokens("merguez!")
    2
    """
    size = len(text) if text.isascii() else len(text.encode())
    return max(1, -(-size // BYTES_PER_TOKEN))
