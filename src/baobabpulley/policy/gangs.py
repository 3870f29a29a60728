"""Split a long prompt into chunks, and choose the engines that process them as a gang."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence
from itertools import pairwise
from typing import Final
from typing import final

from baobabpulley.errors import TooFewEngines
from baobabpulley.model.blocks import BLOCK_BYTES
from baobabpulley.model.blocks import BLOCK_TOKENS
from baobabpulley.model.fleet_view import TimedLoad
from baobabpulley.model.requests import BYTES_PER_TOKEN
from baobabpulley.model.upstreams import Upstream

UTF8: Final = "utf-8"
# Decodes any bytes, even a chunk that begins within a multi-byte character.
BYTEWISE: Final = "latin-1"


@final
class GangCandidate:
    """An engine that may become a member of a gang.

    ``memory`` and ``free_tokens`` are in tokens, from the engine's load report. ``free_tokens`` is
    0 if the report is not ``fresh``. ``queued`` counts the waiting and
    running prefill tokens, ``prefill_rate`` is in tokens per model second.
    """

    __slots__ = ("free_tokens", "memory", "prefill_rate", "queued", "upstream")

    def __init__(self, *, upstream: Upstream, load: TimedLoad, fresh: bool = True) -> None:
        self.upstream = upstream
        self.memory = load.report.memory_total
        self.free_tokens = load.report.memory_total - load.report.memory_held if fresh else 0
        self.queued = load.report.queued
        self.prefill_rate = load.report.prefill_rate


@final
class SplitPrompt:
    """The chunks of a prompt, in order; encoding one with ``encoding`` gives its bytes."""

    __slots__ = ("chunks", "encoding")

    def __init__(self, *, chunks: tuple[str, ...], encoding: str) -> None:
        self.chunks = chunks
        self.encoding = encoding

    def tokens(self, index: int) -> int:
        """Return the number of tokens in one chunk, at least 1."""
        return max(1, -(-len(self.chunks[index].encode(self.encoding)) // BYTES_PER_TOKEN))


def members_needed(*, tokens: int, share: float, candidates: Sequence[GangCandidate]) -> int:
    """Return the number of engines that a prompt and its output need.

    Up to the fraction ``share`` of each engine's memory is used. With too few candidates for that,
    return 1 if ``tokens`` fit into the whole memory of one engine. Raise `TooFewEngines` otherwise.
    """
    memory = min((candidate.memory for candidate in candidates), default=0)
    usable = max(0, int(share * memory) - BLOCK_TOKENS)
    needed = -(-tokens // usable) if usable else 0
    if needed > len(candidates) and tokens <= max(candidate.memory for candidate in candidates):
        return 1
    if not usable or needed > len(candidates):
        raise TooFewEngines(
            f"the prompt and its output need {tokens} tokens of memory; the {len(candidates)} "
            f"engines of this failure domain can give {usable * len(candidates)}"
        )
    return max(2, needed)


def split_prompt(prompt: str, count: int) -> SplitPrompt:
    """Split a prompt at block boundaries into chunks of about equal size.

    >>> [len(chunk) for chunk in split_prompt("x" * 10_000, 2).chunks]
    [6144, 3856]
    """
    data = prompt.encode()
    blocks = -(-len(data) // BLOCK_BYTES)
    bounds = [-(-blocks * index // count) * BLOCK_BYTES for index in range(count)] + [len(data)]
    pieces = [data[start:end] for start, end in pairwise(bounds)]
    encoding = UTF8 if prompt.isascii() else BYTEWISE
    return SplitPrompt(chunks=tuple(piece.decode(encoding) for piece in pieces), encoding=encoding)


def choose_next_member(
    candidates: Sequence[GangCandidate],
    *,
    missing: int,
    after: str,
    tokens: int,
    refused: Collection[str],
) -> Upstream | None:
    """Return the engine to reserve next, or ``None`` if fewer than ``missing`` candidates remain.

    Engines are reserved in ascending order of id, beginning past ``after``, so that two gangs
    cannot deadlock. The ``missing`` members are chosen by preference: engines that have not
    refused, then those with enough free memory now, then those with the shortest queue.
    """
    remaining = [candidate for candidate in candidates if candidate.upstream.id > after]
    if len(remaining) < missing:
        return None
    remaining.sort(key=lambda candidate: _preference(candidate, tokens, refused))
    return min(
        (candidate.upstream for candidate in remaining[:missing]),
        key=lambda upstream: upstream.id,
    )


def _preference(
    candidate: GangCandidate, tokens: int, refused: Collection[str]
) -> tuple[bool, bool, int, str]:
    return (
        candidate.upstream.id in refused,
        candidate.free_tokens < tokens,
        candidate.queued,
        candidate.upstream.id,
    )
