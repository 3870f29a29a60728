"""One node's share of the repeats that all nodes together may send to a service.

Load pattern: many attempts fail at once, as an upstream is lost under load; repeats of all nodes
must not add up to a second load.
"""

from __future__ import annotations

from collections import defaultdict
from collections import deque
from typing import Final
from typing import final

# Part of its even share that a node spends: nodes restart with an empty memory.
SPENDABLE_RATIO: Final = 0.5


@final
class NodeRetryBudget:
    """Count requests and repeats of each service over a sliding window (seconds)."""

    __slots__ = ("_ratio", "_repeats", "_requests", "_slack", "_window")

    def __init__(self, *, ratio: float, slack: float, window: float) -> None:
        self.configure(ratio=ratio, slack=slack, window=window)
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._repeats: dict[str, deque[float]] = defaultdict(deque)

    def configure(self, *, ratio: float, slack: float, window: float) -> None:
        """Change the bounds; what was counted stays."""
        self._ratio = ratio
        self._slack = slack
        self._window = window

    def record_request(self, service: str, *, now: float) -> None:
        """Count a caller's request."""
        self._requests[service].append(now)

    def spend(self, service: str, *, nodes: int, now: float) -> bool:
        """Count a repeat if this node's share allows it; return whether it does."""
        requests = self._kept(self._requests[service], now)
        repeats = self._kept(self._repeats[service], now)
        allowed = SPENDABLE_RATIO * (self._slack / max(1, nodes) + self._ratio * requests)
        if repeats + 1 > allowed:
            return False
        self._repeats[service].append(now)
        return True

    def _kept(self, times: deque[float], now: float) -> int:
        while times and times[0] < now - self._window:
            times.popleft()
        return len(times)
