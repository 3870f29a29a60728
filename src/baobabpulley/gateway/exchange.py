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
from baobabpulley.errors import UpstreamStalled
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.gateway.attempts import UpstreamCaller
from baobabpulley.gateway.attempts import UpstreamResponse
from baobabpulley.gateway.attempts import did_not_run
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
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.deadlines import retry_after_seconds
from baobabpulley.policy.node_retry_budget import NodeRetryBudget
from baobabpulley.ports.exchange_wire import ExchangeWire
from baobabpulley.timers import TimerService

# Attempts end this long before the caller's deadline, so that the response still arrives in time.
RESPONSE_MARGIN_SECONDS: Final = 0.03
# No attempt is started with less time than this.
MIN_ATTEMPT_SECONDS: Final = 0.05
# A shorter silence timeout comes from a caller's or route's short deadline: a stall that it detects
# says nothing about the health of the upstream, and is not counted against it.
MIN_CONCLUSIVE_SILENCE_SECONDS: Final = 0.8


@final
class ExchangeServer:
    """Handle callers' requests: route, place, attempt, retry and respond."""

    __slots__ = (
        "_caller",
        "_fleet_state",
        "_gossip",
        "_metrics",
        "_opener",
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

        The silence timeout ends an attempt only while a retry is possible; otherwise the attempt
        may run until the deadline.
        """
        while True:
            self._check_time(exchange)
            try:
                placement = await self._placer.place(exchange.placement_request())
            except BaobabError as error:
                raise error_for_caller(exchange, error) from error
            try:
                await self._attempt(exchange, placement)
                self._metrics.attempts.labels(service=exchange.service.name, outcome="ok").inc()
                return
            except (UpstreamUnreachable, UpstreamRefused, UpstreamLost) as error:
                self._record_failure(exchange, placement, error)
                self._check_retry(exchange, error)
            except DeadlineExceeded as error:
                exchange.may_have_run = True
                self._record.record_inconclusive(placement.upstream)
                raise error
            finally:
                self._placer.end(placement)

    async def _attempt(self, exchange: Exchange, placement: Placement) -> None:
        upstream = placement.upstream
        log_placement(exchange, placement, now=self._timers.now())
        exchange.attempts += 1
        exchange.upstreams.append(upstream.id)
        exchange.chunks = 1 + (len(placement.plan.helpers) if placement.plan is not None else 0)
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
                silence_timeout=(
                    exchange.times.silence_timeout
                    if self._can_retry_if_run(exchange)
                    else remaining
                ),
            ) as response:
                await self._deliver(exchange, placement, response)

    async def _deliver(
        self, exchange: Exchange, placement: Placement, response: UpstreamResponse
    ) -> None:
        if response.is_stream and response.status == 200:
            await self._deliver_events(exchange, placement, response)
            return
        body = await response.body()
        server_error = response.status >= 500
        if not server_error:
            self._record.record_response(placement.upstream, succeeded=True)
        if server_error and self._reserve_retry(exchange):
            exchange.may_have_run = True
            exchange.upstream_failure = UpstreamFailure(response.status, response.headers, body)
            raise UpstreamFailed(f"{placement.upstream.id} answered {response.status}")
        if exchange.reply.started:
            raise UpstreamLost(
                f"cannot resume a stream from a response with status {response.status}"
            )
        exchange.reply.send(response.status, self._wire.response_headers(response.headers), body)

    async def _deliver_events(
        self, exchange: Exchange, placement: Placement, response: UpstreamResponse
    ) -> None:
        reply = exchange.reply
        first = True
        async for event in response.events():
            if first:
                self._placer.end_prefill(placement)
                self._record.record_response(placement.upstream, succeeded=True)
                first = False
            if not exchange.progress.accept(event):
                continue
            if not reply.started:
                reply.start(response.status, self._wire.response_headers(response.headers))
            reply.write(event)
            exchange.record_event(self._timers.now())
        if not reply.started:
            reply.start(response.status, self._wire.response_headers(response.headers))
        reply.finish()

    def _record_failure(self, exchange: Exchange, placement: Placement, error: BaobabError) -> None:
        upstream = placement.upstream
        failed_upstream = self._upstream_at_fault(upstream, error)
        exchange.excluded.add(failed_upstream.id)
        exchange.first_engine_id = None if failed_upstream is upstream else upstream.id
        if failed_upstream is not upstream:
            # The same engine is retried without this helper, so the attempt does not count.
            exchange.attempts -= 1
        if not did_not_run(error):
            exchange.may_have_run = True
        self._record_health(exchange, upstream, error, failed_upstream)
        self._metrics.attempts.labels(service=exchange.service.name, outcome=error.code).inc()
        logger.bind(
            event="attempt_failed",
            request=exchange.parameters.attempt,
            upstream=upstream.id,
            code=error.code,
            attempt=exchange.attempts,
        ).info("{}", error.message)

    def _upstream_at_fault(self, upstream: ListedUpstream, error: BaobabError) -> ListedUpstream:
        """Return the upstream that caused a failure: the helper that a refusal names, if any."""
        if not isinstance(error, UpstreamRefused) or error.at_fault is None:
            return upstream
        return self._record.find_by_address(error.at_fault) or upstream

    def _record_health(
        self,
        exchange: Exchange,
        upstream: ListedUpstream,
        error: BaobabError,
        failed_upstream: ListedUpstream,
    ) -> None:
        """Record the result of a failed attempt for health checks and circuit breaking."""
        if isinstance(error, UpstreamOutOfMemory):
            self._record.record_inconclusive(upstream)
        elif isinstance(error, UpstreamRefused):
            self._record.record_response(upstream, succeeded=failed_upstream is not upstream)
            if failed_upstream is not upstream:
                self._record.record_failure(failed_upstream)
        elif isinstance(error, UpstreamStalled) and (
            exchange.times.silence_timeout < MIN_CONCLUSIVE_SILENCE_SECONDS
            or self._placer.is_beyond_slots(upstream)
        ):
            self._record.record_inconclusive(upstream)
        elif isinstance(error, UpstreamFailed):
            self._record.record_response(upstream, succeeded=False)
        else:
            self._record.record_failure(upstream)

    def _check_retry(self, exchange: Exchange, error: BaobabError) -> None:
        """Raise unless another attempt is allowed; spends the retry budget where it applies."""
        allowed = did_not_run(error) or exchange.route.retryable
        unsent = isinstance(error, UpstreamUnreachable | UpstreamOutOfMemory)
        if allowed and isinstance(error, UpstreamUnreachable):
            # Nothing was sent, so this does not count towards the route's limit on attempts.
            exchange.attempts -= 1
        if not allowed or not self._may_retry(exchange):
            log_retry_denied(exchange, self._denial(exchange), now=self._timers.now())
            raise error_for_caller(exchange, error)
        if unsent or isinstance(error, UpstreamFailed):
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
        return self._can_retry_if_run(exchange) and self._spend_retry(exchange)

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
