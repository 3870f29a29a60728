"""Estimated contents of the engines' prefix caches."""

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
    """Cached blocks by upstream, from this entry's attempts, usage reports and cache events.

    A gap in an upstream's events makes its index uncertain: its estimates count half until a usage
    report agrees with them. ``capacity`` is the number of blocks kept for each upstream.
    """

    __slots__ = ("_blocks", "_capacity", "_incarnations", "_uncertain")

    def __init__(self, *, capacity: int = DEFAULT_CAPACITY_BLOCKS) -> None:
        self._capacity = capacity
        self._blocks: dict[str, OrderedDict[int, None]] = {}
        self._uncertain: set[str] = set()
        self._incarnations: dict[str, str] = {}

    def cached_tokens(self, upstream: str, blocks: tuple[int, ...]) -> float:
        """Estimate the tokens of a prompt's blocks that an upstream has cached."""
        weight = UNCERTAIN_WEIGHT if upstream in self._uncertain else 1.0
        return weight * self._count_matching(upstream, blocks) * BLOCK_TOKENS

    def apply(self, delta: CacheDelta) -> None:
        """Apply an engine's cache delta, which may arrive late and after a gap."""
        incarnation = self._incarnations.get(delta.upstream)
        self._incarnations[delta.upstream] = delta.incarnation
        if incarnation is not None and incarnation != delta.incarnation:
            self.forget(delta.upstream)
        if delta.gap:
            self.record_gap(delta.upstream)
        self.add(delta.upstream, delta.stored)
        self.remove(delta.upstream, delta.evicted)

    def add(self, upstream: str, blocks: tuple[int, ...]) -> None:
        """Add blocks that an upstream has stored; evict the oldest beyond the capacity."""
        cached = self._blocks.setdefault(upstream, OrderedDict())
        for block in blocks:
            cached[block] = None
            cached.move_to_end(block)
        while len(cached) > self._capacity:
            cached.popitem(last=False)

    def remove(self, upstream: str, blocks: tuple[int, ...]) -> None:
        """Remove blocks that an upstream has evicted."""
        cached = self._blocks.get(upstream, OrderedDict())
        for block in blocks:
            cached.pop(block, None)

    def record_gap(self, upstream: str) -> None:
        """Record that events of an upstream were missed."""
        self._uncertain.add(upstream)

    def forget(self, upstream: str) -> None:
        """Remove all blocks of an upstream, for one that has restarted."""
        self._blocks.pop(upstream, None)
        self._uncertain.discard(upstream)

    def check_usage(self, upstream: str, *, expected: float, cached_tokens: int) -> None:
        """Compare a usage report with the estimate made when the prompt was sent."""
        if cached_tokens >= expected:
            self._uncertain.discard(upstream)
        else:
            self._uncertain.add(upstream)

    def _count_matching(self, upstream: str, blocks: tuple[int, ...]) -> int:
        cached = self._blocks.get(upstream)
        if not cached:
            return 0
        count = 0
        for block in blocks:
            if block not in cached:
                break
            count += 1
        return count
