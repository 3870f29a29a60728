"""Record failed and silent attempts: health of upstreams, metrics, log lines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from typing import final

from loguru import logger

from baobabpulley.errors import BaobabError
from baobabpulley.errors import NoPathToUpstream
from baobabpulley.errors import RetryLoanExpired
from baobabpulley.errors import UpstreamBackpressure
from baobabpulley.errors import UpstreamDisconnected
from baobabpulley.errors import UpstreamEvacuated
from baobabpulley.errors import UpstreamFailed
from baobabpulley.errors import UpstreamOutOfMemory
from baobabpulley.errors import UpstreamRefused
from baobabpulley.errors import UpstreamSkipped
from baobabpulley.errors import UpstreamStalled
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.gateway.exchanges.attempt_race import RunningAttempt
from baobabpulley.gateway.exchanges.attempts import did_not_run
from baobabpulley.gateway.exchanges.exchange_state import Exchange
from baobabpulley.gateway.metrics import GatewayMetrics
from baobabpulley.gateway.peers.crash_evidence import CrashEvidence
from baobabpulley.gateway.placement.placer import Placer
from baobabpulley.gateway.placement.upstream_record import UpstreamRecord
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.first_event_silence import PAUSE_SECONDS

# A shorter silence timeout comes from a caller's or route's short deadline: a stall that it detects
# says nothing about the health of the upstream, and is not counted against it.
MIN_CONCLUSIVE_SILENCE_SECONDS: Final = 0.8
# An engine that crashes as it begins an answer may still send the first event.
SURVIVAL_EVENTS: Final = 2


@final
class AttemptOutcomes:
    """Record how attempts ended, in their exchange and for the choice of upstreams.

    ``is_cut_off`` returns whether this gateway's own links to the upstreams fail.
    """

    __slots__ = ("_evidence", "_is_cut_off", "_metrics", "_placer", "_record")

    def __init__(
        self,
        *,
        record: UpstreamRecord,
        evidence: CrashEvidence,
        placer: Placer,
        metrics: GatewayMetrics,
        is_cut_off: Callable[[], bool] = lambda: False,
    ) -> None:
        self._evidence = evidence
        self._is_cut_off = is_cut_off
        self._record = record
        self._placer = placer
        self._metrics = metrics

    def record_success(self, exchange: Exchange) -> None:
        """Record that an attempt delivered a complete response."""
        self._metrics.attempts.labels(service=exchange.service.name, outcome="ok").inc()

    def record_failure(
        self, exchange: Exchange, attempt: RunningAttempt, error: BaobabError
    ) -> None:
        """Record that an attempt failed; the upstream at fault isn't used again for the exchange.

        An engine whose refusal names a helper may be used again once.
        """
        upstream = attempt.placement.upstream
        failed_upstream = self._upstream_at_fault(upstream, error)
        if not isinstance(error, RetryLoanExpired):
            exchange.excluded.add(failed_upstream.id)
        nothing_sent = isinstance(
            error, UpstreamUnreachable | UpstreamSkipped | UpstreamOutOfMemory
        )
        is_blamed = failed_upstream is upstream or upstream.id in exchange.refused_once
        if not nothing_sent:
            exchange.refused_once.add(upstream.id)
            if is_blamed:
                exchange.excluded.add(upstream.id)
        if nothing_sent or not is_blamed:
            # Nothing was sent, or the engine refused because of a helper: the attempt did not run,
            # so it does not count towards the route's limit. What may have run always counts.
            exchange.attempts -= 1
        if isinstance(error, UpstreamEvacuated):
            self._metrics.evacuated_attempts.labels(service=exchange.service.name).inc()
        if not did_not_run(error):
            exchange.may_have_run = True
        if isinstance(error, UpstreamDisconnected) and self._may_be_crash(exchange, attempt):
            self._evidence.record_crash(upstream.id, exchange.parameters.shared_parts)
        if not attempt.reported_silent:
            # The silence of the others has been counted against their upstream.
            self._record_health(exchange, attempt, error, failed_upstream)
        self._report(exchange, attempt, error)

    def record_passed_on_failure(self, upstream: ListedUpstream) -> None:
        """Record an upstream's own failure that its caller gets, as it isn't tried again."""
        if self._record.backpressure_seconds_left(upstream) > 0:
            self._record.record_reachable(upstream)
        else:
            self._record.record_response(upstream, succeeded=False)

    def record_event(self, exchange: Exchange, attempt: RunningAttempt) -> None:
        """Record an event with content."""
        attempt.events += 1
        self._evidence.record_alive(attempt.placement.upstream.id, since=attempt.placement.started)
        if attempt.events == SURVIVAL_EVENTS:
            self.record_survival(exchange)

    def record_survival(self, exchange: Exchange) -> None:
        """Record that an upstream began the answer to a prompt and went on, or ended it."""
        if exchange.parameters.shared_parts:
            self._evidence.record_survival(exchange.parameters.shared_parts)

    def record_beaten(self, exchange: Exchange, attempt: RunningAttempt, *, now: float) -> None:
        """Record that another engine began the answer first, if this one was silent for long.

        A silence that a pause explains is not counted against an engine.
        """
        seconds = now - attempt.progress.at
        if not attempt.events and not attempt.reported_silent and seconds >= PAUSE_SECONDS:
            self.record_silence(exchange, attempt, seconds=seconds)

    def record_silence(
        self, exchange: Exchange, attempt: RunningAttempt, *, seconds: float
    ) -> None:
        """Record that an attempt which keeps running has been silent for so long."""
        upstream = attempt.placement.upstream
        attempt.reported_silent = True
        exchange.excluded.add(upstream.id)
        error = UpstreamStalled(f"{upstream.id} sent nothing for {seconds:.2f} s")
        self._record_health(exchange, attempt, error, upstream)
        self._report(exchange, attempt, error)

    def _may_be_crash(self, exchange: Exchange, attempt: RunningAttempt) -> bool:
        """Whether an engine that was lost may have crashed as it began the answer.

        A caller that has events, of this exchange or of one before, has them from an engine that
        went on. Where this gateway is cut off, its links broke, or those of the other gateway that
        the connection led through.
        """
        if attempt.progress.is_tunnel or self._is_cut_off():
            return False
        resumed = exchange.parameters.last_event is not None
        return not resumed and max(attempt.events, exchange.events) < SURVIVAL_EVENTS

    def _report(self, exchange: Exchange, attempt: RunningAttempt, error: BaobabError) -> None:
        self._metrics.attempts.labels(service=exchange.service.name, outcome=error.code).inc()
        logger.bind(
            event="attempt_failed",
            request=exchange.parameters.logged_attempt,
            upstream=attempt.placement.upstream.id,
            code=error.code,
            attempt=exchange.attempts,
            events=attempt.events,
            shared_parts=exchange.parameters.shared_parts,
        ).info("{}", error.message)

    def _upstream_at_fault(self, upstream: ListedUpstream, error: BaobabError) -> ListedUpstream:
        """Return the upstream that caused a failure: the helper that a refusal names, if any."""
        if not isinstance(error, UpstreamRefused) or error.at_fault is None:
            return upstream
        return self._record.find_by_address(error.at_fault) or upstream

    def _record_health(
        self,
        exchange: Exchange,
        attempt: RunningAttempt,
        error: BaobabError,
        failed_upstream: ListedUpstream,
    ) -> None:
        """Record the result of a failed attempt for health checks and circuit breaking."""
        upstream = attempt.placement.upstream
        if isinstance(error, UpstreamOutOfMemory | UpstreamSkipped | NoPathToUpstream):
            self._record.record_inconclusive(upstream)
        elif self._is_backpressure(upstream, error):
            self._record.record_reachable(upstream)
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
        elif attempt.progress.is_direct and self._is_cut_off():
            self._record.record_inconclusive(upstream)
        else:
            self._record.record_failure(upstream)

    def _is_backpressure(self, upstream: ListedUpstream, error: BaobabError) -> bool:
        """Whether an upstream answered that it wants no requests; that is not held against it."""
        if isinstance(error, UpstreamFailed):
            return self._record.backpressure_seconds_left(upstream) > 0
        return isinstance(error, UpstreamBackpressure)
