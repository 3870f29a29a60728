"""Run one attempt of an exchange and deliver its answer to the caller."""

from __future__ import annotations

from typing import Final
from typing import final

from baobabpulley.errors import UpstreamDisconnected
from baobabpulley.errors import UpstreamFailed
from baobabpulley.errors import UpstreamLost
from baobabpulley.gateway.exchanges.answer_room import AnswerRoom
from baobabpulley.gateway.exchanges.attempt_outcomes import AttemptOutcomes
from baobabpulley.gateway.exchanges.attempt_race import AttemptRace
from baobabpulley.gateway.exchanges.attempt_race import RunningAttempt
from baobabpulley.gateway.exchanges.attempts import UpstreamCaller
from baobabpulley.gateway.exchanges.attempts import UpstreamResponse
from baobabpulley.gateway.exchanges.event_stream import has_content
from baobabpulley.gateway.exchanges.exchange_state import Exchange
from baobabpulley.gateway.exchanges.exchange_state import UpstreamFailure
from baobabpulley.gateway.exchanges.exchange_state import urgency_of
from baobabpulley.gateway.exchanges.retry_rules import RetryRules
from baobabpulley.gateway.placement.placer import Placer
from baobabpulley.gateway.placement.tickets import TicketManager
from baobabpulley.gateway.placement.upstream_record import UpstreamRecord
from baobabpulley.model.exchanges import AttemptParameters
from baobabpulley.model.routes import STREAM
from baobabpulley.policy.memory_budget import MemoryBudget
from baobabpulley.ports.exchange_wire import ExchangeWire
from baobabpulley.timers import TimerService

# Attempts end this long before the caller's deadline, so that the response still arrives in time.
RESPONSE_MARGIN_SECONDS: Final = 0.03
# While a caller is slow to read a stream, it is checked this often, in real seconds.
CALLER_CHECK_SECONDS: Final = 0.25


@final
class AttemptDelivery:
    """Send attempts and pass on what their upstreams answer."""

    __slots__ = (
        "_budget",
        "_caller",
        "_outcomes",
        "_placer",
        "_record",
        "_retries",
        "_tickets",
        "_timers",
        "_wire",
    )

    def __init__(
        self,
        *,
        caller: UpstreamCaller,
        wire: ExchangeWire,
        placer: Placer,
        record: UpstreamRecord,
        outcomes: AttemptOutcomes,
        retries: RetryRules,
        tickets: TicketManager,
        timers: TimerService,
        budget: MemoryBudget,
    ) -> None:
        self._budget = budget
        self._caller = caller
        self._wire = wire
        self._placer = placer
        self._record = record
        self._outcomes = outcomes
        self._retries = retries
        self._tickets = tickets
        self._timers = timers

    async def run(self, exchange: Exchange, race: AttemptRace, attempt: RunningAttempt) -> None:
        """Send the attempt and deliver its answer; raise the typed error of its failure."""
        placement = attempt.placement
        upstream = placement.upstream
        async with self._tickets.reserved(
            placement,
            request=exchange.parameters.logged_attempt,
            is_stream=exchange.route.kind == STREAM,
            is_replaceable=lambda: (
                self._retries.may_retry_if_run(exchange) and self._retries.has_budget(exchange)
            ),
            seconds=self._seconds_left(exchange),
            progress=attempt.progress,
            can_place_without=lambda ids: self._placer.can_place(
                exchange.placement_request(without=ids)
            ),
        ) as helpers:
            remaining = self._seconds_left(exchange)
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
                expected=0.0 if placement.plan is None else placement.plan.first_event_seconds,
                helpers=() if placement.plan is None else placement.plan.helpers,
                check=lambda: self._retries.check_loan(attempt),
            ) as response:
                await self._deliver(exchange, race, attempt, response)

    def _seconds_left(self, exchange: Exchange) -> float:
        return exchange.times.end - RESPONSE_MARGIN_SECONDS - self._timers.now()

    async def _deliver(
        self,
        exchange: Exchange,
        race: AttemptRace,
        attempt: RunningAttempt,
        response: UpstreamResponse,
    ) -> None:
        if response.is_stream and response.status == 200:
            try:
                await self._deliver_events(exchange, race, attempt, response)
            finally:
                attempt.progress.end_stream()
            return
        room = AnswerRoom(self._budget, attempt.progress)
        try:
            body = await response.body(reserve=room.reserve)
            self._deliver_whole(exchange, race, attempt, response, body)
        finally:
            room.release()

    def _deliver_whole(
        self,
        exchange: Exchange,
        race: AttemptRace,
        attempt: RunningAttempt,
        response: UpstreamResponse,
        body: bytes,
    ) -> None:
        upstream = attempt.placement.upstream
        server_error = response.status >= 500
        if not server_error:
            self._record.record_response(upstream, succeeded=True)
        if server_error and (race.has_others(attempt) or self._retries.reserve_retry(exchange)):
            exchange.may_have_run = True
            exchange.upstream_failure = UpstreamFailure(response.status, response.headers, body)
            raise UpstreamFailed(f"{upstream.id} answered {response.status}")
        if server_error:
            self._outcomes.record_passed_on_failure(upstream)
        if exchange.reply.started:
            raise UpstreamLost(
                f"cannot resume a stream from a response with status {response.status}"
            )
        race.claim(attempt)
        if response.status < 300:
            self._outcomes.record_survival(exchange)
        headers = self._wire.response_headers(response.headers)
        if response.stated_length is not None:
            headers["Content-Length"] = response.stated_length
        exchange.reply.send(response.status, headers, body)

    async def _deliver_events(
        self,
        exchange: Exchange,
        race: AttemptRace,
        attempt: RunningAttempt,
        response: UpstreamResponse,
    ) -> None:
        reply, upstream = exchange.reply, attempt.placement.upstream
        first = True
        async for event in response.events():
            if first:
                self._placer.end_prefill(attempt.placement)
                first = False
                self._record.record_response(upstream, succeeded=True)
            if has_content(event):
                self._outcomes.record_event(exchange, attempt)
                if attempt.events == 1:
                    attempt.progress.begin_stream(self._record.running_streams(upstream))
            if not exchange.progress.accept(event):
                continue
            if has_content(event):
                self._claim(exchange, race, attempt)
            elif race.has_others(attempt):
                # A comment decides nothing: another attempt may answer, under its own head.
                continue
            if not reply.started:
                reply.start(response.status, self._wire.response_headers(response.headers))
            reply.write(event)
            if has_content(event):
                exchange.record_event(self._timers.now())
            while reply.is_behind:
                # The caller is slow, not the upstream.
                attempt.progress.record_reading_paused()
                await reply.wait_until_sent(seconds=CALLER_CHECK_SECONDS)
        if not attempt.events and not exchange.has_events and response.ends_with_connection:
            # An upstream that crashes may close its connections in order.
            raise UpstreamDisconnected("the connection ended before the first event")
        self._claim(exchange, race, attempt)
        if attempt.events:
            self._outcomes.record_survival(exchange)
        if not reply.started:
            reply.start(response.status, self._wire.response_headers(response.headers))
        reply.finish()

    def _claim(self, exchange: Exchange, race: AttemptRace, attempt: RunningAttempt) -> None:
        """Let an attempt that goes on win; its upstream is sound if it was only silent."""
        for beaten in race.claim(attempt):
            self._outcomes.record_beaten(exchange, beaten, now=self._timers.now())
        if attempt.reported_silent:
            attempt.reported_silent = False
            self._record.record_response(attempt.placement.upstream, succeeded=True)
