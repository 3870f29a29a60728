"""Loans of single retries between nodes, as a borrower and as a lender.

An even share of the retry budget is one or two retries in a large fleet. Where long prompts are
rare and a few nodes see most of their failures, such as 0.9 prompts a second at 82 nodes, these
nodes have spent their share while most of the fleet's budget is unused.

A lender charges its own share before it sends a loan, so a lost message loses budget and creates
none. A loan is used within `LOAN_SECONDS` of the question, and so of the charge, which lasts that
much longer than the window.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Final
from typing import final

import msgspec

from baobabpulley.policy.node_retry_budget import LOAN_SECONDS
from baobabpulley.policy.node_retry_budget import NodeRetryBudget
from baobabpulley.policy.rendezvous import ranked

# One lender may lack the budget or the message; more of them charge loans that nobody needs.
LENDERS_PER_WANT: Final = 2
# A row is sent in this many successive messages, as each may be lost.
TRANSMISSIONS_PER_ROW: Final = 3
# Keeps a gossip message within one packet of the usual size.
MAX_ROWS_PER_MESSAGE: Final = 8
# A lender remembers for this long which wants it has answered.
ANSWERED_SECONDS: Final = 10.0


class RetryWantRow(msgspec.Struct, frozen=True, array_like=True):
    """A question of the sender for a loan of one retry to a service."""

    service: str
    id: str


class RetryLoanRow(msgspec.Struct, frozen=True, array_like=True):
    """A retry to a service that the sender lends to ``borrower``, in answer to its ``want``."""

    service: str
    borrower: str
    want: str
    id: str


@final
class _Want:
    """A question of this node; the ids of the loans received, and those of them not used yet.

    Loans may be used until ``ends_at``.
    """

    __slots__ = ("ends_at", "loans", "received", "row", "transmissions_due")

    def __init__(self, row: RetryWantRow, *, now: float) -> None:
        self.row = row
        self.ends_at = now + LOAN_SECONDS
        self.received: set[str] = set()
        self.loans: list[str] = []
        self.transmissions_due = TRANSMISSIONS_PER_ROW


@final
class RetryBorrower:
    """Ask for retries and use what is lent; ``now`` is in seconds that pass in a suspension too.

    ``incarnation`` is a random id of the process, so that loans to an earlier one are not used.
    """

    __slots__ = ("_count", "_incarnation", "_node", "_wants")

    def __init__(self, *, node: str, incarnation: str) -> None:
        self._node = node
        self._incarnation = incarnation
        self._count = 0
        self._wants: dict[str, _Want] = {}

    def ask(self, service: str, *, now: float) -> RetryWantRow:
        """Return a new question, which is due in the next messages."""
        self._count += 1
        row = RetryWantRow(service, f"{self._incarnation}-{self._count}")
        self._wants[row.id] = _Want(row, now=now)
        return row

    def receive(self, row: RetryLoanRow, *, now: float) -> bool:
        """Record a loan; return whether it is new and for a question that is still open."""
        self._expire(now)
        want = self._wants.get(row.want)
        is_answer = (
            want is not None and row.borrower == self._node and row.service == want.row.service
        )
        if want is None or not is_answer or row.id in want.received:
            return False
        want.received.add(row.id)
        want.loans.append(row.id)
        want.transmissions_due = 0
        return True

    def has_loan(self, service: str, *, now: float) -> bool:
        """Whether there is an unused loan for a service."""
        self._expire(now)
        return any(want.loans and want.row.service == service for want in self._wants.values())

    def take(self, service: str, *, now: float) -> float | None:
        """Use the loan for a service that expires first; return when, or ``None`` if there is none.

        The retry may not be sent later.
        """
        self._expire(now)
        for want in self._wants.values():
            if want.loans and want.row.service == service:
                want.loans.pop()
                return want.ends_at
        return None

    def take_due(self, *, now: float) -> tuple[RetryWantRow, ...]:
        """Return the questions to send in the next message."""
        self._expire(now)
        due = [want for want in self._wants.values() if want.transmissions_due]
        for want in due[:MAX_ROWS_PER_MESSAGE]:
            want.transmissions_due -= 1
        return tuple(want.row for want in due[:MAX_ROWS_PER_MESSAGE])

    def _expire(self, now: float) -> None:
        """Forget the questions whose loans may not be used any more, the oldest first."""
        while self._wants:
            oldest = next(iter(self._wants.values()))
            if now <= oldest.ends_at:
                return
            del self._wants[oldest.row.id]


@final
class _Loan:
    __slots__ = ("lent_at", "row", "transmissions_due")

    def __init__(self, row: RetryLoanRow, *, now: float) -> None:
        self.row = row
        self.lent_at = now
        self.transmissions_due = TRANSMISSIONS_PER_ROW


@final
class RetryLender:
    """Lend retries of this node's share; ``now`` is that of its budget, in seconds."""

    __slots__ = ("_budget", "_count", "_incarnation", "_loans", "_node")

    def __init__(self, *, node: str, incarnation: str, budget: NodeRetryBudget) -> None:
        self._node = node
        self._incarnation = incarnation
        self._budget = budget
        self._count = 0
        self._loans: dict[str, _Loan] = {}

    def receive(
        self, row: RetryWantRow, *, borrower: str, nodes: Collection[str], shares: int, now: float
    ) -> RetryLoanRow | None:
        """Lend a retry if this node is to answer the question; return the loan if it is new.

        ``nodes`` are the live nodes, ``shares`` the number of shares of the fleet's budget. The
        loan is charged to this node's share before it is due in a message.
        """
        self._expire(now)
        answered = self._loans.get(row.id)
        if answered is not None:
            # The question is sent again, so the loan may have been lost.
            answered.transmissions_due = max(1, answered.transmissions_due)
            return None
        if self._node not in lenders(row, borrower=borrower, nodes=nodes):
            return None
        if not self._budget.lend(row.service, nodes=shares, now=now):
            return None
        self._count += 1
        loan = RetryLoanRow(row.service, borrower, row.id, f"{self._incarnation}-{self._count}")
        self._loans[row.id] = _Loan(loan, now=now)
        return loan

    def take_due(self) -> tuple[RetryLoanRow, ...]:
        """Return the loans to send in the next message."""
        due = [loan for loan in self._loans.values() if loan.transmissions_due]
        for loan in due[:MAX_ROWS_PER_MESSAGE]:
            loan.transmissions_due -= 1
        return tuple(loan.row for loan in due[:MAX_ROWS_PER_MESSAGE])

    def _expire(self, now: float) -> None:
        while self._loans:
            want, oldest = next(iter(self._loans.items()))
            if now <= oldest.lent_at + ANSWERED_SECONDS:
                return
            del self._loans[want]


def lenders(row: RetryWantRow, *, borrower: str, nodes: Collection[str]) -> tuple[str, ...]:
    """Return the nodes that are to answer a question.

    >>> lenders(RetryWantRow("kitchen", "a1-1"), borrower="front-0", nodes=["front-0", "front-1"])
    ('front-1',)
    """
    others = [node for node in nodes if node != borrower]
    return ranked(row.id, others)[:LENDERS_PER_WANT]
