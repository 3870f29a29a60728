"""How engines of different kinds are kept from prefilling a long prompt in one go."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import final

from baobabpulley.registry import Registry


class Dialect(ABC):
    """What an engine needs so that short prompts get their turn beside a long one."""

    @abstractmethod
    def warmup_prefixes(self, prompt: str, *, tokens: int, segment: int) -> tuple[str, ...]:
        """Return the prefixes to prefill first, shortest first, each into the prefix cache.

        ``tokens`` is the estimated length of ``prompt``, ``segment`` the tokens by which each
        prefix is longer than the one before it.
        """


dialects: Registry[Dialect] = Registry("dialect")


@final
class ChunkedDialect(Dialect):
    """The engine looks at its queue between chunks by itself."""

    __slots__ = ()

    def warmup_prefixes(self, prompt: str, *, tokens: int, segment: int) -> tuple[str, ...]:
        del prompt, tokens, segment
        return ()


@final
class WholeDialect(Dialect):
    """The engine finishes a prefill once begun, so a long one is sent in growing prefixes.

    >>> WholeDialect().warmup_prefixes("abcdefgh", tokens=8, segment=3)
    ('abc', 'abcdef')
    """

    __slots__ = ()

    def warmup_prefixes(self, prompt: str, *, tokens: int, segment: int) -> tuple[str, ...]:
        size = max(1, segment * len(prompt) // tokens)
        return tuple(prompt[:end] for end in range(size, len(prompt), size))


dialects.register("chunked")(ChunkedDialect())
dialects.register("whole")(WholeDialect())
