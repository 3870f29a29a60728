"""Nodes that lend each other retries by messages that may be lost, without a network or clock."""

from __future__ import annotations

import heapq
import itertools
import random
from bisect import bisect_left
from bisect import bisect_right
from collections.abc import Callable
from typing import Final
from typing import final

from baobabpulley.policy.node_retry_budget import NodeRetryBudget
from baobabpulley.policy.retry_loans import RetryBorrower
from baobabpulley.policy.retry_loans import RetryLender
from baobabpulley.policy.retry_loans import RetryLoanRow
from baobabpulley.policy.retry_loans import RetryWantRow
from baobabpulley.policy.retry_loans import lenders

SERVICE: Final = "kitchen"
NODES: Final = 82
RATIO: Final = 0.2
WINDOW_SECONDS: Final = 10.0
LOST_RATIO: Final = 0.3
REPEATED_RATIO: Final = 0.1
# Most messages arrive soon; a few take longer than a loan may be used.
LATE_RATIO: Final = 0.02
MAX_DELAY_SECONDS: Final = 0.1
MAX_LATE_SECONDS: Final = 4.0
PUBLISH_SECONDS: Final = 0.1
ASK_SECONDS: Final = 0.25
MAX_WAIT_SECONDS: Final = 1.0

Message = tuple[str, tuple[RetryWantRow, ...], tuple[RetryLoanRow, ...]]


@final
class _Node:
    """The retries of one process at a node."""

    def __init__(self, id: str, *, incarnation: int, slack: float, charges: bool) -> None:
        self.budget = NodeRetryBudget(ratio=RATIO, slack=slack, window=WINDOW_SECONDS)
        unlimited = NodeRetryBudget(ratio=0.0, slack=1e9, window=WINDOW_SECONDS)
        name = f"{id}.{incarnation}"
        self.borrower = RetryBorrower(node=id, incarnation=name)
        self.lender = RetryLender(
            node=id, incarnation=name, budget=self.budget if charges else unlimited
        )


@final
class RetryLoanFleet:
    """Nodes in two halves, a clock, and the times of all requests and retries.

    Between the halves nothing arrives while ``is_partitioned``. ``loans_used`` counts retries that
    were lent, ``refused`` long prompts that found no retry. ``charges_lenders`` is false for a
    mutant whose lenders charge nothing.
    """

    def __init__(self, *, seed: int, slack: float, charges_lenders: bool = True) -> None:
        self._slack = slack
        self._random = random.Random(seed)
        self._ids = tuple(f"front-{number}" for number in range(NODES))
        self._charges_lenders = charges_lenders
        self._nodes = {id: self._start(id, 0) for id in self._ids}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count(1)
        self.now = 0.0
        self.is_partitioned = False
        self.requests: list[float] = []
        self.retries: list[float] = []
        self.loans_used = 0
        self.refused = 0

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def run(self) -> None:
        """Do everything that was planned, in order."""
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def request(self, id: str) -> None:
        """Let a node get a request."""
        self.requests.append(self.now)
        self._nodes[id].budget.record_request(SERVICE, now=self.now)

    def retry_long(self, id: str) -> None:
        """Let a long prompt fail at a node, which retries it, or asks for a loan for a second."""
        self._try(id, until=self.now + MAX_WAIT_SECONDS)

    def retry_short(self, id: str) -> None:
        """Let a short prompt fail at a node, which retries it if it has budget."""
        self._spend(id)

    def restart(self, id: str) -> None:
        """Replace a node's process; it knows nothing of the one before."""
        self._nodes[id] = self._start(id, next(self._numbers))

    def excess(self) -> float:
        """Return by how much the retries of a window exceeded the budget, in the worst window.

        The excess changes only where a retry or request enters or leaves the closed window.
        """
        starts = [*self.retries, *(time - WINDOW_SECONDS for time in self.retries)]
        starts += [time + 1e-9 for time in self.requests]
        starts += [time - WINDOW_SECONDS - 1e-9 for time in self.requests]
        return max(self._excess_from(start) for start in starts)

    def _excess_from(self, start: float) -> float:
        end = start + WINDOW_SECONDS
        retries, requests = (
            bisect_right(times, end) - bisect_left(times, start)
            for times in (self.retries, self.requests)
        )
        return retries - RATIO * requests - self._slack

    def _start(self, id: str, incarnation: int) -> _Node:
        return _Node(id, incarnation=incarnation, slack=self._slack, charges=self._charges_lenders)

    def _spend(self, id: str) -> bool:
        node = self._nodes[id]
        if not node.budget.spend(SERVICE, nodes=NODES, now=self.now):
            if node.borrower.take(SERVICE, now=self.now) is None:
                return False
            self.loans_used += 1
        self.retries.append(self.now)
        return True

    def _try(self, id: str, *, until: float) -> None:
        if self._spend(id):
            return
        if self.now >= until:
            self.refused += 1
            return
        self._nodes[id].borrower.ask(SERVICE, now=self.now)
        self._publish(id)
        self.at(self.now + ASK_SECONDS, lambda: self._try(id, until=until))

    def _publish(self, id: str) -> None:
        """Send the rows that are due to all others, and again as long as rows are due."""
        node = self._nodes[id]
        wants, loans = node.borrower.take_due(now=self.now), node.lender.take_due()
        if not wants and not loans:
            return
        self.at(self.now + PUBLISH_SECONDS, lambda: self._publish(id))
        for receiver in self._receivers(id, wants, loans):
            for _ in range(self._copies()):
                arrival = self.now + self._delay()
                self.at(arrival, lambda to=receiver: self._receive(to, (id, wants, loans)))

    def _receivers(
        self, id: str, wants: tuple[RetryWantRow, ...], loans: tuple[RetryLoanRow, ...]
    ) -> list[str]:
        """Return the nodes that a message concerns, and a random one that it doesn't."""
        receivers = {loan.borrower for loan in loans} | {self._random.choice(self._ids)}
        for want in wants:
            for side in {self._reachable(node) for node in self._ids}:
                receivers.update(lenders(want, borrower=id, nodes=side))
        return sorted(receivers - {id})

    def _copies(self) -> int:
        if self._random.random() < LOST_RATIO:
            return 0
        return 2 if self._random.random() < REPEATED_RATIO else 1

    def _delay(self) -> float:
        is_late = self._random.random() < LATE_RATIO
        return self._random.uniform(0.0, MAX_LATE_SECONDS if is_late else MAX_DELAY_SECONDS)

    def _receive(self, id: str, message: Message) -> None:
        sender, wants, loans = message
        reachable = self._reachable(id)
        if sender not in reachable:
            return
        node = self._nodes[id]
        for loan in loans:
            node.borrower.receive(loan, now=self.now)
        for want in wants:
            node.lender.receive(want, borrower=sender, nodes=reachable, shares=NODES, now=self.now)
        if wants:
            self._publish(id)

    def _reachable(self, id: str) -> tuple[str, ...]:
        """Return the nodes that reach a node now."""
        if not self.is_partitioned:
            return self._ids
        half = len(self._ids) // 2
        return self._ids[:half] if id in self._ids[:half] else self._ids[half:]
