"""Serve a caller's request from parsing to the complete response, over one or more attempts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final
from typing import final

from loguru import logger

from baobabpulley.errors import BaobabError
from baobabpulley.gateway.callers.replies import Reply
from baobabpulley.gateway.exchanges.attempt_loop import AttemptLoop
from baobabpulley.gateway.exchanges.attempt_outcomes import AttemptOutcomes
from baobabpulley.gateway.exchanges.attempts import UpstreamCaller
from baobabpulley.gateway.exchanges.delivery import AttemptDelivery
from baobabpulley.gateway.exchanges.exchange_state import Exchange
from baobabpulley.gateway.exchanges.exchange_state import shutdown_error
from baobabpulley.gateway.exchanges.opening import ExchangeOpener
from baobabpulley.gateway.exchanges.retry_rules import RetryRules
from baobabpulley.gateway.metrics import GatewayMetrics
from baobabpulley.gateway.peers.crash_evidence import CrashEvidence
from baobabpulley.gateway.peers.gossip import GossipProtocol
from baobabpulley.gateway.peers.retry_loans import RetryLoans
from baobabpulley.gateway.placement.placer import Placer
from baobabpulley.gateway.placement.tickets import TicketManager
from baobabpulley.gateway.placement.upstream_record import UpstreamRecord
from baobabpulley.gateway.shutdown_gate import ShutdownGate
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.model.exchanges import IncomingRequest
from baobabpulley.model.exchanges import RequestParameters
from baobabpulley.policy.memory_budget import MemoryBudget
from baobabpulley.policy.node_retry_budget import NodeRetryBudget
from baobabpulley.ports.exchange_wire import ExchangeWire
from baobabpulley.timers import TimerService

# So long after its deadline, nobody waits any more for the answer to an order.
PROTECTION_SECONDS: Final = 5.0


@final
class ExchangeServer:
    """Handle callers' requests: route, place, attempt, retry and respond."""

    __slots__ = (
        "_fleet_state",
        "_loop",
        "_metrics",
        "_opener",
        "_retry_budget",
        "_shutdown",
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
        loans: RetryLoans,
        metrics: GatewayMetrics,
        gossip: GossipProtocol,
        tickets: TicketManager,
        evidence: CrashEvidence,
        shutdown: ShutdownGate,
        timers: TimerService,
        budget: MemoryBudget,
        is_cut_off: Callable[[], bool] = lambda: False,
    ) -> None:
        self._fleet_state = fleet_state
        self._shutdown = shutdown
        self._opener = ExchangeOpener(fleet_state=fleet_state, timers=timers)
        self._wire = wire
        self._retry_budget = retry_budget
        self._metrics = metrics
        self._timers = timers
        outcomes = AttemptOutcomes(
            record=record,
            evidence=evidence,
            placer=placer,
            metrics=metrics,
            is_cut_off=is_cut_off,
        )
        retries = RetryRules(
            budget=retry_budget, loans=loans, gossip=gossip, placer=placer, timers=timers
        )
        delivery = AttemptDelivery(
            caller=caller,
            wire=wire,
            placer=placer,
            record=record,
            outcomes=outcomes,
            retries=retries,
            tickets=tickets,
            timers=timers,
            budget=budget,
        )
        self._loop = AttemptLoop(
            placer=placer,
            delivery=delivery,
            outcomes=outcomes,
            retries=retries,
            record=record,
            evidence=evidence,
            gossip=gossip,
            shutdown=shutdown,
            timers=timers,
        )

    async def serve(self, incoming: IncomingRequest, reply: Reply) -> None:
        """Serve one request; it is answered, or its connection closed, by its deadline."""
        exchange: Exchange | None = None
        parameters: RequestParameters | None = None
        outcome, reason = "ok", None
        try:
            parameters = self._wire.parse_request_headers(incoming.headers)
            exchange = await self._opener.open(incoming, reply, parameters)
            if not exchange.route.retryable:
                reply.protect(until=exchange.times.end + PROTECTION_SECONDS)
            self._retry_budget.record_request(exchange.service.name, now=self._timers.now())
            await self._loop.run(exchange)
        except BaobabError as error:
            outcome, reason = error.code, error.message
            self._send_failure(exchange, reply, error)
        except asyncio.CancelledError:
            if reply.disconnected:
                outcome = "client_gone"
                raise
            error = shutdown_error(exchange)
            outcome, reason = error.code, error.message
            self._send_failure(exchange, reply, error)
        except Exception as error:
            outcome, reason = BaobabError.code, f"{type(error).__name__}: {error}"
            logger.exception("unexpected error while serving a request")
            if not reply.finished:
                reply.send_error(BaobabError("unexpected error while serving the request"))
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
                "request": None if parameters is None else parameters.logged_attempt
            }
        else:
            self._count(exchange, outcome, elapsed)
            self._shutdown.record_end(exchange)
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
