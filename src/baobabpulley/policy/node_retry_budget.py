"""One node's share of the retries that all nodes together may send to a service.

If an upstream is lost under load, many attempts fail at once. The budget keeps the retries of all
nodes from causing a retry storm.
"""

from __future__ import annotations

from collections import defaultdict
from collections import deque
from typing import Final
from typing import final

# A node spends only this fraction of its share, as its counts start from zero after a restart.
SPENDABLE_RATIO: Final = 0.5


@final
class NodeRetryBudget:
    """Limit retries by the requests of each service in a sliding window.

    All nodes together may send ``slack`` retries in a window of ``window`` seconds, and each node
    ``ratio`` retries for each of its requests in the window. Each node spends at most
    `SPENDABLE_RATIO` of its share of both.
    """

    __slots__ = ("_ratio", "_requests", "_retries", "_slack", "_window")

    def __init__(self, *, ratio: float, slack: float, window: float) -> None:
        self.configure(ratio=ratio, slack=slack, window=window)
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._retries: dict[str, deque[float]] = defaultdict(deque)

    def configure(self, *, ratio: float, slack: float, window: float) -> None:
        """Change the limits and keep the counts."""
        self._ratio = ratio
        self._slack = slack
        self._window = window

    def record_request(self, service: str, *, now: float) -> None:
        """Count a request of a caller."""
        self._requests[service].append(now)

    def has_left(self, service: str, *, nodes: int, now: float) -> bool:
        """Whether an even share among ``nodes`` allows a retry."""
        requests = self._count_recent(self._requests[service], now)
        retries = self._count_recent(self._retries[service], now)
        allowed = SPENDABLE_RATIO * (self._slack / max(1, nodes) + self._ratio * requests)
        return retries + 1 <= allowed

    def spend(self, service: str, *, nodes: int, now: float) -> bool:
        """Count a retry if an even share among ``nodes`` allows it; return whether it does."""
        if not self.has_left(service, nodes=nodes, now=now):
            return False
        self._retries[service].append(now)
        return True

    def refund(self, service: str) -> None:
        """Take back the latest retry, as it reached no upstream."""
        if self._retries[service]:
            self._retries[service].pop()

    def _count_recent(self, times: deque[float], now: float) -> int:
        while times and times[0] < now - self._window:
            times.popleft()
        return len(times)
