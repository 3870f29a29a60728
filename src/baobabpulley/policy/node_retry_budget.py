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
# A retry that a node lends to another one is sent within this time, or not at all.
LOAN_SECONDS: Final = 2.0


@final
class NodeRetryBudget:
    """Limit retries by the requests of each service in a sliding window.

    All nodes together may send ``slack`` retries in a window of ``window`` seconds, and each node
    ``ratio`` retries for each of its requests in the window. Each node spends at most
    `SPENDABLE_RATIO` of its share of both, with what it lends to other nodes.
    """

    __slots__ = ("_lent", "_ratio", "_requests", "_retries", "_slack", "_window")

    def __init__(self, *, ratio: float, slack: float, window: float) -> None:
        self.configure(ratio=ratio, slack=slack, window=window)
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._retries: dict[str, deque[float]] = defaultdict(deque)
        self._lent: dict[str, deque[float]] = defaultdict(deque)

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
        requests = self._count_since(self._requests[service], now - self._window)
        allowed = SPENDABLE_RATIO * (self._slack / max(1, nodes) + self._ratio * requests)
        return self._count_used(service, now) + 1 <= allowed

    def spend(self, service: str, *, nodes: int, now: float) -> bool:
        """Count a retry if an even share among ``nodes`` allows it; return whether it does."""
        if not self.has_left(service, nodes=nodes, now=now):
            return False
        self._retries[service].append(now)
        return True

    def lend(self, service: str, *, nodes: int, now: float) -> bool:
        """Count a retry that another node may send if an even share of the slack allows it.

        Return whether it does. It counts for `LOAN_SECONDS` longer than a retry of this node, as it
        is sent up to that much later. The requests that this node's own retries may be counted
        against have possibly left the window by then, so none are counted here.
        """
        if self._count_used(service, now) + 1 > SPENDABLE_RATIO * self._slack / max(1, nodes):
            return False
        self._lent[service].append(now)
        return True

    def refund(self, service: str) -> None:
        """Take back this node's latest retry, as it reached no upstream."""
        if self._retries[service]:
            self._retries[service].pop()

    def _count_used(self, service: str, now: float) -> int:
        """Return the number of retries of this node and of those lent that count now."""
        since = now - self._window
        return self._count_since(self._retries[service], since) + self._count_since(
            self._lent[service], since - LOAN_SECONDS
        )

    def _count_since(self, times: deque[float], since: float) -> int:
        while times and times[0] < since:
            times.popleft()
        return len(times)
