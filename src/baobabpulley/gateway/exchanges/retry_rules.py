"""Whether another attempt of an exchange is allowed: by its route, its time and the budget.

Where this gateway has no budget left, a retry of a long prompt may be borrowed from another one.
"""

from __future__ import annotations

from typing import Final
from typing import final

from baobabpulley.errors import BaobabError
from baobabpulley.errors import RetryLoanExpired
from baobabpulley.errors import UpstreamBackpressure
from baobabpulley.gateway.exchanges.attempt_race import RunningAttempt
from baobabpulley.gateway.exchanges.attempts import costs_no_retry
from baobabpulley.gateway.exchanges.attempts import did_not_run
from baobabpulley.gateway.exchanges.exchange_state import Exchange
from baobabpulley.gateway.exchanges.exchange_state import RetryDenial
from baobabpulley.gateway.exchanges.exchange_state import error_for_caller
from baobabpulley.gateway.exchanges.exchange_state import log_retry_denied
from baobabpulley.gateway.peers.gossip import GossipProtocol
from baobabpulley.gateway.peers.retry_loans import RetryLoans
from baobabpulley.gateway.placement.placer import Placer
from baobabpulley.policy.node_retry_budget import LOAN_SECONDS
from baobabpulley.policy.node_retry_budget import NodeRetryBudget
from baobabpulley.timers import TimerService

# No attempt is started with less time than this.
MIN_ATTEMPT_SECONDS: Final = 0.05
# How long a failed attempt waits for a loan, and how often it asks other gateways for one.
MAX_LOAN_WAIT_SECONDS: Final = 1.0
LOAN_ASK_PERIOD_SECONDS: Final = 0.25
MAX_LOANS_WANTED: Final = round(MAX_LOAN_WAIT_SECONDS / LOAN_ASK_PERIOD_SECONDS)
# With less time left, too little remains for a long prompt after the wait.
MIN_SECONDS_FOR_LOAN: Final = 2.0


@final
class RetryRules:
    """Decide on further attempts and charge the retry budget for them."""

    __slots__ = ("_budget", "_gossip", "_loans", "_placer", "_timers")

    def __init__(
        self,
        *,
        budget: NodeRetryBudget,
        loans: RetryLoans,
        gossip: GossipProtocol,
        placer: Placer,
        timers: TimerService,
    ) -> None:
        self._budget = budget
        self._loans = loans
        self._gossip = gossip
        self._placer = placer
        self._timers = timers

    async def check_retry(self, exchange: Exchange, error: BaobabError) -> None:
        """Raise unless another attempt is allowed; spends the retry budget where it applies.

        Wait for a loan of another gateway if the retry is worth that.
        """
        allowed = did_not_run(error) or exchange.route.retryable
        if not allowed or not self._may_retry(exchange):
            log_retry_denied(exchange, self._denial(exchange), now=self._timers.now())
            raise error_for_caller(exchange, self._refusal(exchange, error))
        if costs_no_retry(error) and not self._is_loan_over(exchange.loan_ends_at):
            return
        if exchange.retry_reserved:
            exchange.retry_reserved = False
            return
        if not self._spend(exchange) and not await self._borrow(exchange):
            log_retry_denied(exchange, RetryDenial.BUDGET, now=self._timers.now())
            raise error_for_caller(exchange, error)

    def reserve_retry(self, exchange: Exchange) -> bool:
        """Whether to retry after an upstream's error response; spends the retry budget if so.

        If nothing is left of it, but the retry is worth the wait for a loan, `check_retry` decides.
        """
        if not self.may_retry_if_run(exchange):
            return False
        exchange.retry_reserved = self._spend(exchange)
        return exchange.retry_reserved or self._is_worth_loan(exchange)

    def may_retry_if_run(self, exchange: Exchange) -> bool:
        """Whether another attempt is allowed even if the current one has run."""
        return exchange.route.retryable and self._may_retry(exchange)

    def has_budget(self, exchange: Exchange) -> bool:
        """Whether the retry budget has one left, or a loan that the retry is worth."""
        service = exchange.service.name
        return self._budget.has_left(
            service, nodes=self._gossip.gateway_count, now=self._timers.now()
        ) or (self._is_worth_loan(exchange) and self._loans.has_loan(service))

    def charge_replacement(self, exchange: Exchange) -> bool:
        """Charge the retry for which `has_budget` found one; return whether `refund` applies.

        A loan is not refunded: it was charged by the gateway that lent it.
        """
        if self._spend_share(exchange):
            return True
        self._use_loan(exchange)
        return False

    def ask_for_loan(self, exchange: Exchange) -> None:
        """Ask other gateways for a retry if it is worth that and they weren't asked too often."""
        now = self._timers.now()
        is_due = now - exchange.loan_wanted_at > LOAN_ASK_PERIOD_SECONDS / 2
        if is_due and self._is_worth_loan(exchange) and exchange.loans_wanted < MAX_LOANS_WANTED:
            exchange.loan_wanted_at = now
            exchange.loans_wanted += 1
            self._loans.ask(exchange.service.name, request=exchange.parameters.logged_attempt)

    def check_loan(self, attempt: RunningAttempt) -> None:
        """Raise `RetryLoanExpired` if a retry that was lent may not be sent any more.

        The lender's charge covers a retry that is sent by then. One that waited longer, for room or
        reserved memory, has to be charged again.
        """
        if self._is_loan_over(attempt.loan_ends_at):
            raise RetryLoanExpired(
                f"nothing was sent to {attempt.placement.upstream.id}, as the retry was lent for "
                f"{LOAN_SECONDS:.1f} s; another one is needed"
            )

    def refund(self, exchange: Exchange, error: BaobabError) -> None:
        """Take back the charge for an attempt beside a running one if its failure costs none."""
        if costs_no_retry(error):
            self._budget.refund(exchange.service.name)

    def _spend(self, exchange: Exchange) -> bool:
        """Charge the retry budget, or use a loan that is left; return whether there was one."""
        return self._spend_share(exchange) or (
            self._is_worth_loan(exchange) and self._use_loan(exchange)
        )

    def _spend_share(self, exchange: Exchange) -> bool:
        spent = self._budget.spend(
            exchange.service.name, nodes=self._gossip.gateway_count, now=self._timers.now()
        )
        if spent:
            exchange.loans_wanted, exchange.loan_ends_at = 0, None
        return spent

    def _use_loan(self, exchange: Exchange) -> bool:
        ends_at = self._loans.take(exchange.service.name)
        if ends_at is None:
            return False
        exchange.loans_wanted, exchange.loan_ends_at = 0, ends_at
        return True

    def _is_loan_over(self, ends_at: float | None) -> bool:
        return ends_at is not None and self._loans.is_over(ends_at)

    async def _borrow(self, exchange: Exchange) -> bool:
        """Wait for a loan or for this gateway's own budget; return whether the retry is charged."""
        until = min(
            self._timers.now() + MAX_LOAN_WAIT_SECONDS, exchange.times.end - MIN_ATTEMPT_SECONDS
        )
        while self._is_worth_loan(exchange) and (left := until - self._timers.now()) > 0:
            self.ask_for_loan(exchange)
            await self._loans.wait(seconds=min(left, LOAN_ASK_PERIOD_SECONDS))
            if self._spend(exchange):
                return True
        return False

    def _is_worth_loan(self, exchange: Exchange) -> bool:
        """Whether the prompt is long enough, and the time, for a loan of another gateway."""
        left = exchange.times.end - self._timers.now()
        return self._loans.enabled and exchange.chunks > 1 and left >= MIN_SECONDS_FOR_LOAN

    def _may_retry(self, exchange: Exchange) -> bool:
        left = exchange.times.end - self._timers.now()
        return (
            exchange.attempts < exchange.route.max_attempts
            and left > MIN_ATTEMPT_SECONDS
            and (exchange.route.retryable or not exchange.may_have_run)
            and exchange.progress.can_resume
        )

    def _refusal(self, exchange: Exchange, error: BaobabError) -> BaobabError:
        """Return the error to report, which tells when the first upstream wants requests again."""
        if not isinstance(error, UpstreamBackpressure):
            return error
        return self._placer.backpressure_error(exchange.placement_request()) or error

    def _denial(self, exchange: Exchange) -> RetryDenial:
        """Return why the count, the time or the route allows no other attempt."""
        if not exchange.route.retryable and exchange.may_have_run:
            return RetryDenial.NOT_RETRYABLE
        if not exchange.progress.can_resume:
            return RetryDenial.NO_EVENT_ID
        if exchange.attempts >= exchange.route.max_attempts:
            return RetryDenial.ATTEMPTS
        return RetryDenial.TIME
