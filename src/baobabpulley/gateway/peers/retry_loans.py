"""Borrow retries from other gateways by gossip, and lend them."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from collections.abc import Callable
from collections.abc import Collection
from enum import StrEnum
from typing import final

from loguru import logger

from baobabpulley.gateway.peers.gossip_messages import GossipMessage
from baobabpulley.policy.node_retry_budget import NodeRetryBudget
from baobabpulley.policy.retry_loans import RetryBorrower
from baobabpulley.policy.retry_loans import RetryLender
from baobabpulley.policy.retry_loans import RetryLoanRow
from baobabpulley.policy.retry_loans import RetryWantRow
from baobabpulley.timers import TimerService


class LoanStep(StrEnum):
    """What is counted of loans."""

    WANTED = "wanted"
    GIVEN = "given"
    RECEIVED = "received"
    USED = "used"


def _count_nothing(service: str, step: LoanStep) -> None:
    pass


@final
class RetryLoans:
    """Ask the other gateways for retries, and lend them unused ones of this gateway's share.

    Nothing is asked for or lent unless ``enabled``. ``count`` is called with the service and the
    step of each loan.
    """

    __slots__ = (
        "_borrower",
        "_count",
        "_lender",
        "_listeners",
        "_node",
        "_received",
        "_timers",
        "enabled",
    )

    def __init__(
        self,
        *,
        node: str,
        budget: NodeRetryBudget,
        timers: TimerService,
        enabled: bool,
        count: Callable[[str, LoanStep], None] = _count_nothing,
    ) -> None:
        incarnation = secrets.token_hex(4)
        self._node = node
        self._timers = timers
        self._count = count
        self._borrower = RetryBorrower(node=node, incarnation=incarnation)
        self._lender = RetryLender(node=node, incarnation=incarnation, budget=budget)
        self._received = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []
        self.enabled = enabled

    def listen(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when there are rows to send at once."""
        self._listeners.append(listener)

    def ask(self, service: str, *, request: str) -> None:
        """Ask the other gateways for a retry that a request needs."""
        row = self._borrower.ask(service, now=self._timers.boot_time())
        self._count(service, LoanStep.WANTED)
        logger.bind(event="retry_loan_wanted", request=request, service=service, want=row.id).info(
            "asked other gateways for a retry"
        )
        self._notify()

    def has_loan(self, service: str) -> bool:
        """Whether there is a loan for a service that was not used yet."""
        return self._borrower.has_loan(service, now=self._timers.boot_time())

    def take(self, service: str) -> float | None:
        """Use a loan for a service, if there is one; return until when, see `is_over`."""
        ends_at = self._borrower.take(service, now=self._timers.boot_time())
        if ends_at is not None:
            self._count(service, LoanStep.USED)
        return ends_at

    def is_over(self, ends_at: float) -> bool:
        """Whether the time is over until which a retry may be sent by a loan."""
        return self._timers.boot_time() > ends_at

    async def wait(self, *, seconds: float) -> None:
        """Wait until a loan is received, at most for so many seconds."""
        with contextlib.suppress(TimeoutError):
            async with self._timers.timeout(seconds):
                await self._received.wait()

    def receive(self, message: GossipMessage, *, nodes: Collection[str], shares: int) -> None:
        """Process the rows of another gateway's message.

        ``nodes`` are the live gateways, ``shares`` the number of shares of the fleet's budget.
        """
        if not self.enabled:
            return
        for want in message.retry_wants:
            self._lend(want, borrower=message.node, nodes=nodes, shares=shares)
        for loan in message.retry_loans:
            if loan.borrower == self._node:
                self._borrow(loan, lender=message.node)

    def take_due_wants(self) -> tuple[RetryWantRow, ...]:
        """Return the questions to send in the next message."""
        return self._borrower.take_due(now=self._timers.boot_time())

    def take_due_loans(self) -> tuple[RetryLoanRow, ...]:
        """Return the loans to send in the next message."""
        return self._lender.take_due()

    def _lend(
        self, want: RetryWantRow, *, borrower: str, nodes: Collection[str], shares: int
    ) -> None:
        loan = self._lender.receive(
            want, borrower=borrower, nodes=nodes, shares=shares, now=self._timers.now()
        )
        if loan is None:
            return
        self._count(loan.service, LoanStep.GIVEN)
        logger.bind(
            event="retry_loan_given",
            service=loan.service,
            borrower=borrower,
            want=loan.want,
            loan=loan.id,
            gateways=shares,
        ).info("lent a retry to another gateway")
        self._notify()

    def _borrow(self, loan: RetryLoanRow, *, lender: str) -> None:
        if not self._borrower.receive(loan, now=self._timers.boot_time()):
            return
        self._count(loan.service, LoanStep.RECEIVED)
        logger.bind(
            event="retry_loan_received",
            service=loan.service,
            lender=lender,
            want=loan.want,
            loan=loan.id,
        ).info("another gateway lent a retry")
        # Wakes all that wait now: the first of them uses the loan.
        self._received.set()
        self._received.clear()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
