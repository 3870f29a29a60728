"""Dialects: how to keep each kind of engine from prefilling a long prompt in one go."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import final

from baobabpulley.registry import Registry


class Dialect(ABC):
    """How long prompts are sent to a kind of engine so that short prompts can run in between."""

    @abstractmethod
    def warmup_prefixes(self, prompt: str, *, tokens: int, segment: int) -> tuple[str, ...]:
        """Return the prefixes to prefill into the prefix cache before the prompt, shortest first.

        ``tokens`` is the estimated length of ``prompt``; each prefix is ``segment`` tokens longer
        than the one before it.
        """


dialects: Registry[Dialect] = Registry("dialect")


@final
class ChunkedDialect(Dialect):
    """For engines with chunked prefill, which serve their queue between chunks by themselves."""

    __slots__ = ()

    def warmup_prefixes(self, prompt: str, *, tokens: int, segment: int) -> tuple[str, ...]:
        del prompt, tokens, segment
        return ()


@final
class WholeDialect(Dialect):
    """For engines that cannot interrupt a prefill: long prompts are sent in growing prefixes.

    >>> WholeDialect().warmup_prefixes("abcdefgh", tokens=8, segment=3)
    ('abc', 'abcdef')
    """

    __slots__ = ()

    def warmup_prefixes(self, prompt: str, *, tokens: int, segment: int) -> tuple[str, ...]:
        size = max(1, segment * len(prompt) // tokens)
        return tuple(prompt[:end] for end in range(size, len(prompt), size))


dialects.register("chunked")(ChunkedDialect())
dialects.register("whole")(WholeDialect())
