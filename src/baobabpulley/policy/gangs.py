"""How a prompt is cut into parts, and which engines form its gang."""

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
# Any bytes are a text in this encoding, also a part that begins inside a character.
BYTEWISE: Final = "latin-1"


@final
class GangCandidate:
    """An engine that may become a member.

    ``room`` is in tokens, as its report says, and 0 if the report is not ``fresh``.
    """

    __slots__ = ("memory", "queued", "rate", "room", "upstream")

    def __init__(self, *, upstream: Upstream, load: TimedLoad, fresh: bool = True) -> None:
        self.upstream = upstream
        self.memory = load.report.memory_total
        self.room = load.report.memory_total - load.report.memory_held if fresh else 0
        self.queued = load.report.queued
        self.rate = load.report.prefill_rate


@final
class Cut:
    """The parts of a prompt, in order; ``encoding`` turns each back into its bytes."""

    __slots__ = ("encoding", "parts")

    def __init__(self, *, parts: tuple[str, ...], encoding: str) -> None:
        self.parts = parts
        self.encoding = encoding

    def tokens(self, index: int) -> int:
        """Return the tokens of one part."""
        return max(1, -(-len(self.parts[index].encode(self.encoding)) // BYTES_PER_TOKEN))


def members_needed(*, tokens: int, share: float, candidates: Sequence[GangCandidate]) -> int:
    """Return how many engines a prompt and its output need, each filled up to ``share``.

    With too few of them, one engine whose whole memory is enough will do. Raises `TooFewEngines`
    if there is none.
    """
    memory = min((candidate.memory for candidate in candidates), default=0)
    usable = max(0, int(share * memory) - BLOCK_TOKENS)
    needed = -(-tokens // usable) if usable else 0
    if needed > len(candidates) and tokens <= max(item.memory for item in candidates):
        return 1
    if not usable or needed > len(candidates):
        raise TooFewEngines(
            f"the prompt and its output need {tokens} tokens of memory; the {len(candidates)} "
            f"engines of this failure domain can give {usable * len(candidates)}"
        )
    return max(2, needed)


def cut_prompt(prompt: str, count: int) -> Cut:
    """Cut a prompt at block boundaries into parts of like size.

    >>> [len(part) for part in cut_prompt("x" * 10_000, 2).parts]
    [6144, 3856]
    """
    data = prompt.encode()
    blocks = -(-len(data) // BLOCK_BYTES)
    bounds = [-(-blocks * index // count) * BLOCK_BYTES for index in range(count)] + [len(data)]
    pieces = [data[start:end] for start, end in pairwise(bounds)]
    encoding = UTF8 if prompt.isascii() else BYTEWISE
    return Cut(parts=tuple(piece.decode(encoding) for piece in pieces), encoding=encoding)


def choose_next(
    candidates: Sequence[GangCandidate],
    *,
    missing: int,
    after: str,
    tokens: int,
    refused: Collection[str],
) -> Upstream | None:
    """Return the engine to reserve next, or ``None`` if too few are left.

    Members are taken in ascending id, past ``after``, so that two gangs never wait for each
    other. Among the rest those with room now are preferred, then those with the least queued.
    """
    left = [candidate for candidate in candidates if candidate.upstream.id > after]
    if len(left) < missing:
        return None
    left.sort(key=lambda item: _preference(item, tokens, refused))
    return min((item.upstream for item in left[:missing]), key=lambda upstream: upstream.id)


def _preference(
    item: GangCandidate, tokens: int, refused: Collection[str]
) -> tuple[bool, bool, int, str]:
    return item.upstream.id in refused, item.room < tokens, item.queued, item.upstream.id
