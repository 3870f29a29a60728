"""State of one request while it is served, with the log fields and errors derived from it."""

from __future__ import annotations

from enum import StrEnum
from typing import Final
from typing import final

from loguru import logger
from tornado.httputil import HTTPHeaders

from baobabpulley.errors import BaobabError
from baobabpulley.errors import NotReady
from baobabpulley.errors import NoUpstream
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.gateway.callers.replies import Reply
from baobabpulley.gateway.exchanges.event_stream import StreamProgress
from baobabpulley.gateway.placement.placement import Placement
from baobabpulley.gateway.placement.planning import PlacementRequest
from baobabpulley.model.exchanges import IncomingRequest
from baobabpulley.model.exchanges import RequestParameters
from baobabpulley.model.routes import Account
from baobabpulley.model.routes import Route
from baobabpulley.model.routes import Service
from baobabpulley.policy.deadlines import RequestTimes

# Retry-after delay if there is no estimate of when capacity will be available.
NOT_READY_RETRY_AFTER_SECONDS: Final = 0.5
# Another gateway can serve a request at once that a gateway refuses as it stops.
SHUTDOWN_RETRY_AFTER_SECONDS: Final = 0.0
# The range of urgencies that upstreams accept.
_LEAST_URGENT: Final = 9
_MOST_URGENT: Final = 0


class RetryDenial(StrEnum):
    """Why a failed or silent attempt is not followed by another one."""

    NOT_RETRYABLE = "not_retryable"
    # The caller has an event without an id, so no other upstream can go on after it.
    NO_EVENT_ID = "no_event_id"
    ATTEMPTS = "attempts"
    TIME = "time"
    BUDGET = "budget"
    NO_ROOM = "no_room"
    QUARANTINE = "quarantine"


@final
class UpstreamFailure:
    """An upstream's error response, passed on if no later attempt succeeds."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


@final
class Exchange:
    """State of one request while it is served.

    ``chunks`` is the number of engines that prefill a chunk of the prompt in the latest attempt.
    ``events`` is the number of events with content sent to the caller.
    ``excluded`` are the ids of upstreams that failed, ``refused_once`` those of engines that
    refused the request once and named a helper as at fault. ``retry_reserved`` is whether the
    budget was charged for the retry of an attempt that is about to fail. ``loans_wanted`` is how
    often other gateways were asked for the next retry, ``loan_ends_at`` until when the latest one
    may be sent if another gateway lent it. ``denial`` is why the latest silent attempt
    has no replacement yet. ``is_probe`` is whether the next attempt or the
    running one is sent although a part of the prompt is quarantined. Event times are in monotonic
    seconds.
    """

    __slots__ = (
        "account",
        "attempts",
        "chunks",
        "denial",
        "events",
        "excluded",
        "first_event_at",
        "incoming",
        "is_probe",
        "last_event_at",
        "loan_ends_at",
        "loan_wanted_at",
        "loans_wanted",
        "longest_pause",
        "may_have_run",
        "parameters",
        "progress",
        "refused_once",
        "reply",
        "retry_reserved",
        "route",
        "service",
        "times",
        "upstream_failure",
        "upstreams",
    )

    def __init__(
        self,
        *,
        incoming: IncomingRequest,
        reply: Reply,
        parameters: RequestParameters,
        route: Route,
        service: Service,
        account: Account | None,
        times: RequestTimes,
    ) -> None:
        self.incoming = incoming
        self.reply = reply
        self.parameters = parameters
        self.route = route
        self.service = service
        self.account = account
        self.times = times
        self.progress = StreamProgress(parameters.last_event)
        self.attempts = 0
        self.may_have_run = False
        self.retry_reserved = False
        self.loans_wanted = 0
        self.loan_wanted_at = 0.0
        self.loan_ends_at: float | None = None
        self.is_probe = False
        self.denial: RetryDenial | None = None
        self.excluded: set[str] = set()
        self.refused_once: set[str] = set()
        self.upstreams: list[str] = []
        self.upstream_failure: UpstreamFailure | None = None
        self.chunks = 0
        self.events = 0
        self.first_event_at: float | None = None
        self.last_event_at = 0.0
        self.longest_pause = 0.0

    @property
    def has_events(self) -> bool:
        """Whether the caller has events of the stream, of this exchange or of one before."""
        return self.events > 0 or self.parameters.last_event is not None

    def record_event(self, now: float) -> None:
        """Record when an event with content was sent to the caller."""
        self.events += 1
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_event_at)
        self.last_event_at = now

    def placement_request(self, *, without: frozenset[str] = frozenset()) -> PlacementRequest:
        """Return the placement request for the next attempt, which excludes these upstreams too."""
        return PlacementRequest(
            service=self.service,
            needs=self.parameters,
            times=self.times,
            excluded=frozenset(self.excluded) | without,
            account=None if self.account is None else self.account.name,
        )

    def log_fields(self) -> dict[str, object]:
        """Return the fields of the log line for the finished request."""
        first = self.first_event_at
        return {
            "request": self.parameters.logged_attempt,
            "route": self.route.name,
            "account": None if self.account is None else self.account.name,
            "service": self.service.name,
            "upstreams": self.upstreams,
            "parts": self.chunks,
            "prompt_tokens": self.parameters.prompt_tokens,
            "first_event": None if first is None else round(first - self.times.arrived, 3),
            "longest_pause": round(self.longest_pause, 3),
        }


def log_placement(exchange: Exchange, placement: Placement, *, now: float) -> None:
    """Log where an attempt goes, with the estimates behind the choice."""
    plan = placement.plan
    logger.bind(
        event="placed",
        request=exchange.parameters.logged_attempt,
        upstream=placement.upstream.id,
        prompt_tokens=exchange.parameters.prompt_tokens,
        helpers=[] if plan is None else [helper.id for helper in plan.helpers],
        part_seconds=0.0 if plan is None else round(plan.part_seconds, 3),
        tickets=0 if plan is None else plan.tickets,
        expected=0.0 if plan is None else round(plan.first_event_seconds, 3),
        in_flight=0 if plan is None else plan.first_load.in_flight,
        decoding=0 if plan is None else plan.first_load.decoding,
        backlog=0.0 if plan is None else round(plan.backlog, 3),
        load_age=round(placement.load_age, 3),
        avoided=placement.avoided,
        after=round(now - exchange.times.arrived, 3),
    ).info("placed")


def log_retry_denied(exchange: Exchange, denial: RetryDenial, *, now: float) -> None:
    """Log why no further attempt is made, with what it was decided from."""
    logger.bind(
        event="retry_denied",
        request=exchange.parameters.logged_attempt,
        service=exchange.service.name,
        reason=str(denial),
        attempts=exchange.attempts,
        max_attempts=exchange.route.max_attempts,
        left=round(exchange.times.end - now, 3),
    ).info("no further attempt: {}", denial)


def urgency_of(exchange: Exchange) -> int:
    """Return the request's priority, limited to the range of urgencies that upstreams accept."""
    return max(_MOST_URGENT, min(_LEAST_URGENT, exchange.times.priority))


def shutdown_error(exchange: Exchange | None) -> BaobabError:
    """Return the error for a request that is still unanswered when the gateway has to stop."""
    error = NotReady(
        "the gateway is shutting down and has no time left for the request",
        retry_after=SHUTDOWN_RETRY_AFTER_SECONDS,
    )
    return error if exchange is None else error_for_caller(exchange, error)


def error_for_caller(exchange: Exchange, error: BaobabError) -> BaobabError:
    """Return the error to report, which says "not run" only if no attempt can have run.

    An error that says "not run" without a retry-after delay becomes a `NoUpstream` with one.
    """
    if exchange.may_have_run and error.ran is False:
        return UpstreamLost(f"an attempt that may have run was lost, not retried: {error.message}")
    if isinstance(error, UpstreamUnreachable):
        return NoUpstream(error.message, retry_after=NOT_READY_RETRY_AFTER_SECONDS)
    if error.ran is False and error.retry_after is None:
        return NoUpstream(error.message, retry_after=NOT_READY_RETRY_AFTER_SECONDS)
    return error
