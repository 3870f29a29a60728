"""Make the attempts of an exchange: place, start, replace silent ones, retry failed ones."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Final
from typing import final

from baobabpulley.errors import BaobabError
from baobabpulley.errors import DeadlineBeforeStart
from baobabpulley.errors import DeadlineExceeded
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamRefused
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.gateway.exchanges.attempt_outcomes import SURVIVAL_EVENTS
from baobabpulley.gateway.exchanges.attempt_outcomes import AttemptOutcomes
from baobabpulley.gateway.exchanges.attempt_progress import AttemptProgress
from baobabpulley.gateway.exchanges.attempt_race import AttemptRace
from baobabpulley.gateway.exchanges.attempt_race import RunningAttempt
from baobabpulley.gateway.exchanges.delivery import RESPONSE_MARGIN_SECONDS
from baobabpulley.gateway.exchanges.delivery import AttemptDelivery
from baobabpulley.gateway.exchanges.exchange_state import Exchange
from baobabpulley.gateway.exchanges.exchange_state import RetryDenial
from baobabpulley.gateway.exchanges.exchange_state import error_for_caller
from baobabpulley.gateway.exchanges.exchange_state import log_placement
from baobabpulley.gateway.exchanges.exchange_state import log_retry_denied
from baobabpulley.gateway.exchanges.retry_rules import MIN_ATTEMPT_SECONDS
from baobabpulley.gateway.exchanges.retry_rules import RetryRules
from baobabpulley.gateway.peers.crash_evidence import CrashEvidence
from baobabpulley.gateway.peers.gossip import GossipProtocol
from baobabpulley.gateway.placement.placement import Placement
from baobabpulley.gateway.placement.placer import Placer
from baobabpulley.gateway.placement.upstream_chooser import NO_EXCLUSIONS
from baobabpulley.gateway.placement.upstream_record import UpstreamRecord
from baobabpulley.gateway.shutdown_gate import ShutdownGate
from baobabpulley.policy.deadlines import retry_after_seconds
from baobabpulley.policy.first_event_silence import first_event_timeout
from baobabpulley.timers import TimerService

# While a silent attempt can't be replaced, budget and upstreams are checked this often.
REPLACEMENT_PERIOD_SECONDS: Final = 0.25


@final
class AttemptLoop:
    """Make attempts of exchanges until each is answered or none is allowed any more."""

    __slots__ = (
        "_delivery",
        "_evidence",
        "_gossip",
        "_outcomes",
        "_placer",
        "_random",
        "_record",
        "_retries",
        "_shutdown",
        "_timers",
    )

    def __init__(
        self,
        *,
        placer: Placer,
        delivery: AttemptDelivery,
        outcomes: AttemptOutcomes,
        retries: RetryRules,
        record: UpstreamRecord,
        evidence: CrashEvidence,
        gossip: GossipProtocol,
        shutdown: ShutdownGate,
        timers: TimerService,
    ) -> None:
        self._placer = placer
        self._delivery = delivery
        self._outcomes = outcomes
        self._retries = retries
        self._record = record
        self._evidence = evidence
        self._gossip = gossip
        self._shutdown = shutdown
        self._timers = timers
        self._random = random.Random()

    async def run(self, exchange: Exchange) -> None:
        """Make attempts until one of them has delivered a complete response to the caller.

        A silent attempt is not ended: another one is started beside it if the route's attempts, the
        retry budget and the upstreams have room for one, and the first that goes on is delivered.
        """
        race = AttemptRace(timers=self._timers)
        try:
            while not await self._advance(exchange, race):
                pass
        except asyncio.CancelledError:
            exchange.may_have_run = exchange.may_have_run or bool(race.attempts)
            raise
        finally:
            await race.close()

    async def _advance(self, exchange: Exchange, race: AttemptRace) -> bool:
        """Start, replace or end an attempt; return whether the response is complete."""
        if not race.attempts:
            self._check_time(exchange)
            self._start(exchange, race, await self._place(exchange))
        can_replace = self._retries.may_retry_if_run(exchange)
        ended = await race.wait(
            silence_timeout=self._silence_timeout(exchange, race) if can_replace else None,
            is_stalled=self._stall_check(exchange, race),
        )
        if ended is None:
            self._replace_silent(exchange, race)
            return False
        error = ended.error
        if error is None:
            self._outcomes.record_success(exchange)
            return True
        await self._end_failed(exchange, race, ended, error)
        return False

    def _silence_timeout(self, exchange: Exchange, race: AttemptRace) -> float:
        """Return after how many seconds of silence another attempt is started beside these."""
        tolerated = exchange.times.silence_timeout
        if exchange.has_events or race.has_events:
            return tolerated
        return max(self._first_event_timeout(attempt, tolerated) for attempt in race.attempts)

    def _first_event_timeout(self, attempt: RunningAttempt, tolerated: float) -> float:
        plan = attempt.placement.plan
        if plan is None or self._placer.is_beyond_slots(attempt.placement.upstream):
            return tolerated
        return first_event_timeout(expected=plan.first_event_seconds, tolerated=tolerated)

    async def _place(self, exchange: Exchange) -> Placement:
        self._shutdown.check(exchange)
        self._check_quarantine(exchange)
        try:
            with self._shutdown.waiting(exchange):
                placement = await self._placer.place(exchange.placement_request())
        except BaobabError as error:
            raise error_for_caller(exchange, error) from error
        try:
            self._check_quarantine(exchange)
        except BaobabError:
            self._placer.end(placement)
            self._record.record_inconclusive(placement.upstream)
            raise
        return placement

    def _check_quarantine(self, exchange: Exchange) -> None:
        """Raise if prompts with one of the parts of this one crash engines; it may be a probe.

        An answer that has begun shows that its own prompt crashes none, and is resumed.
        """
        parts = exchange.parameters.shared_parts
        refusal = self._evidence.refusal(parts)
        if refusal is None or exchange.is_probe or exchange.events >= SURVIVAL_EVENTS:
            return
        exchange.is_probe = self._evidence.start_probe(parts, nodes=self._gossip.live_nodes())
        if not exchange.is_probe:
            raise error_for_caller(exchange, refusal)

    def _start(
        self,
        exchange: Exchange,
        race: AttemptRace,
        placement: Placement,
        *,
        refundable: bool = False,
    ) -> None:
        upstream = placement.upstream
        log_placement(exchange, placement, now=self._timers.now())
        exchange.attempts += 1
        exchange.upstreams.append(upstream.id)
        exchange.chunks = 1 + (len(placement.plan.helpers) if placement.plan is not None else 0)
        attempt = RunningAttempt(
            placement=placement,
            progress=AttemptProgress(self._timers),
            refundable=refundable,
            loan_ends_at=exchange.loan_ends_at,
        )
        race.start(attempt, self._delivery.run(exchange, race, attempt))
        attempt.task.add_done_callback(lambda task: self._end_placement(placement, task))

    def _end_placement(self, placement: Placement, task: asyncio.Task[None]) -> None:
        self._placer.end(placement)
        if task.cancelled() or _is_inconclusive(task.exception()):
            self._record.record_inconclusive(placement.upstream)

    async def _end_failed(
        self, exchange: Exchange, race: AttemptRace, attempt: RunningAttempt, error: BaobabError
    ) -> None:
        """Record a failed attempt; raise if no other one is running or allowed.

        Whether one is allowed may depend on a loan from another gateway, which takes a while.
        """
        if isinstance(error, UpstreamUnreachable | UpstreamRefused | UpstreamLost):
            self._outcomes.record_failure(exchange, attempt, error)
            exchange.is_probe = False
            if not race.attempts:
                with self._shutdown.waiting(exchange):
                    await self._retries.check_retry(exchange, error)
            elif attempt.refundable:
                self._retries.refund(exchange, error)
            return
        if isinstance(error, DeadlineExceeded):
            exchange.may_have_run = True
        raise error

    def _stall_check(self, exchange: Exchange, race: AttemptRace) -> Callable[[], bool] | None:
        """Return whether the only attempt waits for its first event at a silent engine.

        A long prompt isn't prefilled twice for that.
        """
        plan = race.attempts[0].placement.plan
        if exchange.has_events or len(race.attempts) > 1 or plan is None or plan.helpers:
            return None
        return lambda: plan.first.id in self._placer.silent_upstreams()

    def _replace_silent(self, exchange: Exchange, race: AttemptRace) -> None:
        """Start another attempt beside silent ones, once there is budget and room for it."""
        if race.is_silent(exchange.times.silence_timeout):
            self._record_silence(exchange, race)
            avoided = NO_EXCLUSIONS
        else:
            avoided = self._placer.silent_upstreams() | race.upstreams
        placement = self._place_replacement(exchange, avoided=avoided)
        if placement is None:
            race.postpone(REPLACEMENT_PERIOD_SECONDS)
        else:
            refundable = self._retries.charge_replacement(exchange)
            self._start(exchange, race, placement, refundable=refundable)

    def _record_silence(self, exchange: Exchange, race: AttemptRace) -> None:
        for attempt in race.attempts:
            if not attempt.reported_silent:
                seconds = self._timers.now() - attempt.progress.at
                self._outcomes.record_silence(exchange, attempt, seconds=seconds)

    def _place_replacement(
        self, exchange: Exchange, *, avoided: frozenset[str]
    ) -> Placement | None:
        """Return a placement for which a retry is left, or ``None``; it is charged by the caller.

        If only the budget is missing, other gateways are asked for a retry, and the next call may
        find one.
        """
        if self._seconds_left(exchange) <= MIN_ATTEMPT_SECONDS:
            self._deny_replacement(exchange, RetryDenial.TIME)
            return None
        if self._evidence.refusal(exchange.parameters.shared_parts) is not None:
            self._deny_replacement(exchange, RetryDenial.QUARANTINE)
            return None
        request = exchange.placement_request(without=avoided)
        if not self._retries.has_budget(exchange):
            if self._placer.can_place(request):
                self._retries.ask_for_loan(exchange)
            self._deny_replacement(exchange, RetryDenial.BUDGET)
            return None
        placement = self._placer.place_now(request)
        if placement is None:
            self._deny_replacement(exchange, RetryDenial.NO_ROOM)
            return None
        exchange.denial = None
        return placement

    def _deny_replacement(self, exchange: Exchange, denial: RetryDenial) -> None:
        """Log why a silent attempt isn't replaced, unless the reason is still the same."""
        if exchange.denial is not denial:
            exchange.denial = denial
            log_retry_denied(exchange, denial, now=self._timers.now())

    def _check_time(self, exchange: Exchange) -> None:
        left = self._seconds_left(exchange)
        if left > MIN_ATTEMPT_SECONDS:
            return
        if exchange.may_have_run:
            raise DeadlineExceeded(
                f"no attempt succeeded, and {max(0.0, left):.2f} s left is too short for another"
            )
        raise DeadlineBeforeStart(
            f"{max(0.0, left):.2f} s left is too short for an attempt",
            retry_after=retry_after_seconds(self._random, expected=0.0, left=max(0.0, left)),
        )

    def _seconds_left(self, exchange: Exchange) -> float:
        """Return the time that an attempt started now would have."""
        return exchange.times.end - RESPONSE_MARGIN_SECONDS - self._timers.now()


def _is_inconclusive(error: BaseException | None) -> bool:
    """Whether an attempt's error says nothing of its upstream: the deadline's, or a bug here."""
    return isinstance(error, DeadlineExceeded) or not isinstance(error, BaobabError | None)
