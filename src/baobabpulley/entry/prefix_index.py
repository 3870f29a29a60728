"""What the engines' prefix caches are thought to hold."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final
from typing import final

from baobabpulley.model.blocks import BLOCK_TOKENS
from baobabpulley.model.messages import CacheDelta

UNCERTAIN_WEIGHT: Final = 0.5
DEFAULT_CAPACITY_BLOCKS: Final = 4_096


@final
class PrefixIndex:
    """Blocks by upstream, learned from own sends, usage reports and cache events.

    A gap in an upstream's events makes its index doubtful: its figures count half until a usage
    report agrees with the index.
    """

    __slots__ = ("_blocks", "_capacity", "_doubtful", "_incarnations")

    def __init__(self, *, capacity: int = DEFAULT_CAPACITY_BLOCKS) -> None:
        self._capacity = capacity
        self._blocks: dict[str, OrderedDict[int, None]] = {}
        self._doubtful: set[str] = set()
        self._incarnations: dict[str, str] = {}

    def cached_tokens(self, upstream: str, blocks: tuple[int, ...]) -> float:
        """Estimate the tokens of a prompt's blocks that an upstream holds."""
        weight = UNCERTAIN_WEIGHT if upstream in self._doubtful else 1.0
        return weight * self._matched(upstream, blocks) * BLOCK_TOKENS

    def apply(self, news: CacheDelta) -> None:
        """Take over what an engine says of its cache, late and perhaps with gaps."""
        known = self._incarnations.get(news.upstream)
        self._incarnations[news.upstream] = news.incarnation
        if known is not None and known != news.incarnation:
            self.forget(news.upstream)
        if news.gap:
            self.record_gap(news.upstream)
        self.add(news.upstream, news.stored)
        self.remove(news.upstream, news.evicted)

    def add(self, upstream: str, blocks: tuple[int, ...]) -> None:
        """Note blocks that an upstream has stored."""
        held = self._blocks.setdefault(upstream, OrderedDict())
        for block in blocks:
            held[block] = None
            held.move_to_end(block)
        while len(held) > self._capacity:
            held.popitem(last=False)

    def remove(self, upstream: str, blocks: tuple[int, ...]) -> None:
        """Note blocks that an upstream has evicted."""
        held = self._blocks.get(upstream, OrderedDict())
        for block in blocks:
            held.pop(block, None)

    def record_gap(self, upstream: str) -> None:
        """Note that events of an upstream were missed."""
        self._doubtful.add(upstream)

    def forget(self, upstream: str) -> None:
        """Drop everything known of an upstream, for one that has restarted."""
        self._blocks.pop(upstream, None)
        self._doubtful.discard(upstream)

    def check_usage(self, upstream: str, *, expected: float, cached_tokens: int) -> None:
        """Compare a usage report with the estimate made when the prompt was sent."""
        if cached_tokens >= expected:
            self._doubtful.discard(upstream)
        else:
            self._doubtful.add(upstream)

    def _matched(self, upstream: str, blocks: tuple[int, ...]) -> int:
        held = self._blocks.get(upstream)
        if not held:
            return 0
        count = 0
        for block in blocks:
            if block not in held:
                break
            count += 1
        return count
