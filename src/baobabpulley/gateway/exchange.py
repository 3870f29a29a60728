"""Serve a caller's request from parsing to the complete response, over one or more attempts."""

from __future__ import annotations

import asyncio
import random
from typing import Final
from typing import final

from loguru import logger

from baobabpulley.errors import BaobabError
from baobabpulley.errors import DeadlineBeforeStart
from baobabpulley.errors import DeadlineExceeded
from baobabpulley.errors import UpstreamFailed
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamOutOfMemory
from baobabpulley.errors import UpstreamRefused
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.gateway.attempt_outcomes import AttemptOutcomes
from baobabpulley.gateway.attempt_race import AttemptRace
from baobabpulley.gateway.attempt_race import RunningAttempt
from baobabpulley.gateway.attempts import AttemptProgress
from baobabpulley.gateway.attempts import UpstreamCaller
from baobabpulley.gateway.attempts import UpstreamResponse
from baobabpulley.gateway.attempts import did_not_run
from baobabpulley.gateway.event_stream import has_content
from baobabpulley.gateway.exchange_state import Exchange
from baobabpulley.gateway.exchange_state import RetryDenial
from baobabpulley.gateway.exchange_state import UpstreamFailure
from baobabpulley.gateway.exchange_state import error_for_caller
from baobabpulley.gateway.exchange_state import log_placement
from baobabpulley.gateway.exchange_state import log_retry_denied
from baobabpulley.gateway.exchange_state import urgency_of
from baobabpulley.gateway.fleet_state import FleetState
from baobabpulley.gateway.gossip import GossipProtocol
from baobabpulley.gateway.metrics import GatewayMetrics
from baobabpulley.gateway.opening import ExchangeOpener
from baobabpulley.gateway.placer import Placement
from baobabpulley.gateway.placer import Placer
from baobabpulley.gateway.replies import Reply
from baobabpulley.gateway.tickets import TicketManager
from baobabpulley.gateway.upstream_record import UpstreamRecord
from baobabpulley.model.exchanges import AttemptParameters
from baobabpulley.model.exchanges import IncomingRequest
from baobabpulley.model.exchanges import RequestParameters
from baobabpulley.policy.deadlines import retry_after_seconds
from baobabpulley.policy.node_retry_budget import NodeRetryBudget
from baobabpulley.ports.exchange_wire import ExchangeWire
from baobabpulley.timers import TimerService

# Attempts end this long before the caller's deadline, so that the response still arrives in time.
RESPONSE_MARGIN_SECONDS: Final = 0.03
# No attempt is started with less time than this.
MIN_ATTEMPT_SECONDS: Final = 0.05
# While a silent attempt can't be replaced, budget and upstreams are checked this often.
REPLACEMENT_PERIOD_SECONDS: Final = 0.25
# While a caller is slow to read a stream, it is checked this often, in real seconds.
CALLER_CHECK_SECONDS: Final = 0.25


@final
class ExchangeServer:
    """Handle callers' requests: route, place, attempt, retry and respond."""

    __slots__ = (
        "_caller",
        "_fleet_state",
        "_gossip",
        "_metrics",
        "_opener",
        "_outcomes",
        "_placer",
        "_random",
        "_record",
        "_retry_budget",
        "_tickets",
        "_timers",
        "_wire",
    )

    def __init__(
        self,
        *,
        fleet_state: FleetState,
        placer: Placer,
        caller: UpstreamCaller,
        wire: ExchangeWire,
        record: UpstreamRecord,
        retry_budget: NodeRetryBudget,
        metrics: GatewayMetrics,
        gossip: GossipProtocol,
        tickets: TicketManager,
        timers: TimerService,
    ) -> None:
        self._fleet_state = fleet_state
        self._opener = ExchangeOpener(fleet_state=fleet_state, timers=timers)
        self._placer = placer
        self._caller = caller
        self._wire = wire
        self._record = record
        self._retry_budget = retry_budget
        self._metrics = metrics
        self._gossip = gossip
        self._tickets = tickets
        self._outcomes = AttemptOutcomes(record=record, placer=placer, metrics=metrics)
        self._timers = timers
        self._random = random.Random()

    async def serve(self, incoming: IncomingRequest, reply: Reply) -> None:
        """Serve one request; it is answered, or its connection closed, by its deadline."""
        exchange: Exchange | None = None
        parameters: RequestParameters | None = None
        outcome, reason = "ok", None
        try:
            parameters = self._wire.parse_request_headers(incoming.headers)
            exchange = await self._opener.open(incoming, reply, parameters)
            self._retry_budget.record_request(exchange.service.name, now=self._timers.now())
            await self._run(exchange)
        except BaobabError as error:
            outcome, reason = error.code, error.message
            self._send_failure(exchange, reply, error)
        except asyncio.CancelledError:
            outcome = "client_gone"
            raise
        finally:
            self._record_end(
                incoming, parameters, exchange, status=reply.status, outcome=outcome, reason=reason
            )

    def _send_failure(self, exchange: Exchange | None, reply: Reply, error: BaobabError) -> None:
        """Send the upstream's own error response if there is one, or else the gateway's error."""
        failure = None if exchange is None else exchange.upstream_failure
        if failure is None or reply.started:
            reply.send_error(error)
        else:
            reply.send(failure.status, self._wire.response_headers(failure.headers), failure.body)

    async def _run(self, exchange: Exchange) -> None:
        """Make attempts until one of them has delivered a complete response to the caller.

        A silent attempt is not ended: another one is started beside it if the route's attempts, the
        retry budget and the upstreams have room for one, and the first that goes on is delivered.
        """
        race = AttemptRace(timers=self._timers)
        try:
            while not await self._advance(exchange, race):
                pass
        finally:
            await race.close()

    async def _advance(self, exchange: Exchange, race: AttemptRace) -> bool:
        """Start, replace or end an attempt; return whether the response is complete."""
        if not race.attempts:
            self._check_time(exchange)
            self._start(exchange, race, await self._place(exchange))
        can_replace = self._can_retry_if_run(exchange)
        ended = await race.wait(
            silence_timeout=exchange.times.silence_timeout if can_replace else None
        )
        if ended is None:
            self._replace_silent(exchange, race)
            return False
        error = ended.error
        if error is None:
            self._outcomes.record_success(exchange)
            return True
        self._end_failed(exchange, race, ended, error)
        return False

    async def _place(self, exchange: Exchange) -> Placement:
        try:
            return await self._placer.place(exchange.placement_request())
        except BaobabError as error:
            raise error_for_caller(exchange, error) from error

    def _start(self, exchange: Exchange, race: AttemptRace, placement: Placement) -> None:
        upstream = placement.upstream
        log_placement(exchange, placement, now=self._timers.now())
        exchange.attempts += 1
        exchange.upstreams.append(upstream.id)
        exchange.chunks = 1 + (len(placement.plan.helpers) if placement.plan is not None else 0)
        attempt = RunningAttempt(placement=placement, progress=AttemptProgress(self._timers))
        race.start(attempt, self._attempt(exchange, race, attempt))
        attempt.task.add_done_callback(lambda _: self._placer.end(placement))

    def _end_failed(
        self, exchange: Exchange, race: AttemptRace, attempt: RunningAttempt, error: BaobabError
    ) -> None:
        """Record a failed attempt; raise if no other one is running or allowed."""
        if isinstance(error, UpstreamUnreachable | UpstreamRefused | UpstreamLost):
            self._outcomes.record_failure(exchange, attempt, error)
            if not race.attempts:
                self._check_retry(exchange, error)
            return
        if isinstance(error, DeadlineExceeded):
            self._outcomes.record_timeout(exchange, attempt)
        raise error

    def _replace_silent(self, exchange: Exchange, race: AttemptRace) -> None:
        """Start another attempt beside silent ones, once there is budget and room for it."""
        for attempt in race.attempts:
            if not attempt.reported_silent:
                seconds = self._timers.now() - attempt.progress.at
                self._outcomes.record_silence(exchange, attempt, seconds=seconds)
        placement = self._reserve_replacement(exchange)
        if placement is None:
            race.postpone(REPLACEMENT_PERIOD_SECONDS)
        else:
            self._start(exchange, race, placement)

    def _reserve_replacement(self, exchange: Exchange) -> Placement | None:
        """Return a placement for which the retry budget has been charged, or ``None``."""
        service, now = exchange.service.name, self._timers.now()
        nodes = self._gossip.gateway_count
        if not self._retry_budget.has_left(service, nodes=nodes, now=now):
            self._deny_replacement(exchange, RetryDenial.BUDGET)
            return None
        placement = self._placer.place_now(exchange.placement_request())
        if placement is None:
            self._deny_replacement(exchange, RetryDenial.NO_ROOM)
            return None
        self._spend_retry(exchange)
        exchange.denial = None
        return placement

    def _deny_replacement(self, exchange: Exchange, denial: RetryDenial) -> None:
        """Log why a silent attempt isn't replaced, unless the reason is still the same."""
        if exchange.denial is not denial:
            exchange.denial = denial
            log_retry_denied(exchange, denial, now=self._timers.now())

    async def _attempt(
        self, exchange: Exchange, race: AttemptRace, attempt: RunningAttempt
    ) -> None:
        placement = attempt.placement
        upstream = placement.upstream
        remaining = exchange.times.end - RESPONSE_MARGIN_SECONDS - self._timers.now()
        async with self._tickets.reserved(placement) as helpers:
            parameters = AttemptParameters(
                attempt=exchange.parameters.attempt,
                remaining=remaining,
                instance=upstream.id,
                account=None if exchange.account is None else exchange.account.name,
                last_event=exchange.progress.last_event,
                urgency=urgency_of(exchange),
                helpers=helpers,
            )
            async with self._caller.send(
                exchange.incoming,
                parameters,
                upstream,
                retryable=exchange.route.retryable,
                progress=attempt.progress,
            ) as response:
                await self._deliver(exchange, race, attempt, response)

    async def _deliver(
        self,
        exchange: Exchange,
        race: AttemptRace,
        attempt: RunningAttempt,
        response: UpstreamResponse,
    ) -> None:
        if response.is_stream and response.status == 200:
            await self._deliver_events(exchange, race, attempt, response)
            return
        body = await response.body()
        upstream = attempt.placement.upstream
        server_error = response.status >= 500
        if not server_error:
            self._record.record_response(upstream, succeeded=True)
        if server_error and (race.has_others(attempt) or self._reserve_retry(exchange)):
            exchange.may_have_run = True
            exchange.upstream_failure = UpstreamFailure(response.status, response.headers, body)
            raise UpstreamFailed(f"{upstream.id} answered {response.status}")
        if exchange.reply.started:
            raise UpstreamLost(
                f"cannot resume a stream from a response with status {response.status}"
            )
        race.claim(attempt)
        exchange.reply.send(response.status, self._wire.response_headers(response.headers), body)

    async def _deliver_events(
        self,
        exchange: Exchange,
        race: AttemptRace,
        attempt: RunningAttempt,
        response: UpstreamResponse,
    ) -> None:
        reply = exchange.reply
        first = True
        async for event in response.events():
            if first:
                self._placer.end_prefill(attempt.placement)
                first = False
                self._record.record_response(attempt.placement.upstream, succeeded=True)
            if not exchange.progress.accept(event):
                continue
            if has_content(event):
                self._claim(race, attempt)
            elif race.has_others(attempt):
                # A comment decides nothing: another attempt may answer, under its own head.
                continue
            if not reply.started:
                reply.start(response.status, self._wire.response_headers(response.headers))
            reply.write(event)
            exchange.record_event(self._timers.now())
            while reply.is_behind:
                # The caller is slow, not the upstream.
                attempt.progress.record()
                await reply.wait_until_sent(seconds=CALLER_CHECK_SECONDS)
        race.claim(attempt)
        if not reply.started:
            reply.start(response.status, self._wire.response_headers(response.headers))
        reply.finish()

    def _claim(self, race: AttemptRace, attempt: RunningAttempt) -> None:
        """Let an attempt that goes on win; its upstream is sound if it was only silent."""
        race.claim(attempt)
        if attempt.reported_silent:
            attempt.reported_silent = False
            self._record.record_response(attempt.placement.upstream, succeeded=True)

    def _check_retry(self, exchange: Exchange, error: BaobabError) -> None:
        """Raise unless another attempt is allowed; spends the retry budget where it applies."""
        allowed = did_not_run(error) or exchange.route.retryable
        if not allowed or not self._may_retry(exchange):
            log_retry_denied(exchange, self._denial(exchange), now=self._timers.now())
            raise error_for_caller(exchange, error)
        if isinstance(error, UpstreamUnreachable | UpstreamOutOfMemory):
            return
        if exchange.retry_reserved:
            exchange.retry_reserved = False
            return
        if not self._spend_retry(exchange):
            log_retry_denied(exchange, RetryDenial.BUDGET, now=self._timers.now())
            raise error_for_caller(exchange, error)

    def _denial(self, exchange: Exchange) -> RetryDenial:
        """Return why the count, the time or the route allows no other attempt."""
        if not exchange.route.retryable and exchange.may_have_run:
            return RetryDenial.NOT_RETRYABLE
        if exchange.attempts >= exchange.route.max_attempts:
            return RetryDenial.ATTEMPTS
        return RetryDenial.TIME

    def _reserve_retry(self, exchange: Exchange) -> bool:
        """Whether to retry after an upstream's error response; spends the retry budget if so."""
        exchange.retry_reserved = self._can_retry_if_run(exchange) and self._spend_retry(exchange)
        return exchange.retry_reserved

    def _can_retry_if_run(self, exchange: Exchange) -> bool:
        """Whether another attempt is allowed even if the current one has run."""
        return exchange.route.retryable and self._may_retry(exchange)

    def _spend_retry(self, exchange: Exchange) -> bool:
        return self._retry_budget.spend(
            exchange.service.name, nodes=self._gossip.gateway_count, now=self._timers.now()
        )

    def _may_retry(self, exchange: Exchange) -> bool:
        left = exchange.times.end - self._timers.now()
        return (
            exchange.attempts < exchange.route.max_attempts
            and left > MIN_ATTEMPT_SECONDS
            and (exchange.route.retryable or not exchange.may_have_run)
        )

    def _check_time(self, exchange: Exchange) -> None:
        left = exchange.times.end - RESPONSE_MARGIN_SECONDS - self._timers.now()
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

    def _record_end(
        self,
        incoming: IncomingRequest,
        parameters: RequestParameters | None,
        exchange: Exchange | None,
        *,
        status: int,
        outcome: str,
        reason: str | None,
    ) -> None:
        """Count a finished request in the metrics and log it."""
        elapsed = round(self._timers.now() - incoming.arrived, 4)
        if exchange is None:
            self._metrics.requests.labels(service="", kind="", outcome=outcome).inc()
            fields: dict[str, object] = {
                "request": None if parameters is None else parameters.attempt
            }
        else:
            self._count(exchange, outcome, elapsed)
            fields = exchange.log_fields()
        table = self._fleet_state.table
        logger.bind(
            event="request",
            **fields,
            version=None if table is None else table.version,
            outcome=outcome,
            status=status,
            **({} if reason is None else {"reason": reason}),
            seconds=elapsed,
        ).info("request")

    def _count(self, exchange: Exchange, outcome: str, elapsed: float) -> None:
        metrics = self._metrics
        service, kind = exchange.service.name, exchange.route.kind
        metrics.requests.labels(service=service, kind=kind, outcome=outcome).inc()
        metrics.request_seconds.labels(service=service, kind=kind).observe(elapsed)
        if exchange.first_event_at is not None:
            first = exchange.first_event_at - exchange.times.arrived
            metrics.first_event_seconds.labels(service=service, kind=kind).observe(first)
            pause = exchange.longest_pause
            metrics.longest_pause_seconds.labels(service=service, kind=kind).observe(pause)
