"""Errors returned to callers and operators for a request."""

from __future__ import annotations

from baobabpulley.errors.base import BaobabError
from baobabpulley.errors.control import Conflict


class BadRequest(BaobabError):
    """The request is malformed or has an invalid value."""

    code = "bad_request"
    status = 400
    ran = False
    default_remedy = "Correct the request body as the message says and send it again."


class BadToken(BaobabError):
    """The bearer token belongs to no client account."""

    code = "bad_token"
    status = 401
    ran = False
    default_remedy = "Send 'Authorization: Bearer TOKEN' with your client account's token."


class Forbidden(BaobabError):
    """The token does not authorise access to the requested path."""

    code = "forbidden"
    status = 403
    ran = False
    default_remedy = "Use a token of the team that owns this path."


class NotFound(BaobabError):
    """No resource exists under this path or name."""

    code = "not_found"
    status = 404
    ran = False
    default_remedy = "Check the path and the name; names are case-sensitive."


class UnknownModel(NotFound):
    """No upstream serves the requested model."""

    code = "unknown_model"
    default_remedy = "Request one of the models that GET /v1/models lists."


class BodyTooLarge(BaobabError):
    """The request's body exceeds the size limit."""

    code = "body_too_large"
    status = 413
    ran = False
    default_remedy = "Shorten the prompt below the limit in the message."


class MemoryShort(BaobabError):
    """The gateway has no memory left for the request's body."""

    code = "memory_short"
    status = 503
    ran = False
    default_remedy = "Send the request again after the Retry-After delay."


class HeaderTooLarge(BaobabError):
    """The request's headers exceed the size limit."""

    code = "header_too_large"
    status = 431
    ran = False
    default_remedy = "Send fewer and shorter headers."


class HeaderTooSlow(BaobabError):
    """The request's headers did not arrive in time."""

    code = "header_too_slow"
    status = 408
    ran = False
    default_remedy = "Send all headers within the time in the message."


class BodyTooSlow(BaobabError):
    """The request's body did not arrive in time."""

    code = "body_too_slow"
    status = 408
    ran = False
    default_remedy = "Send the whole body within the time in the message."


class MethodNotAllowed(BaobabError):
    """The path does not support this method."""

    code = "method_not_allowed"
    status = 405
    ran = False
    default_remedy = "Use a method that the README lists for this path."


class PromptTooLong(BaobabError):
    """The prompt exceeds the team's ``max_prompt_tokens``."""

    code = "prompt_too_long"
    status = 422
    ran = False
    default_remedy = "Shorten the prompt, or ask your operator to raise max_prompt_tokens."


class TeamLimitReached(BaobabError):
    """The request would take the team past its limit of tokens in flight."""

    code = "team_limit"
    status = 429
    ran = False
    default_remedy = "Wait for the team's own requests to finish, or request a higher limit."


class Overloaded(BaobabError):
    """The fleet lacks the capacity to meet the request's deadline."""

    code = "overloaded"
    status = 503
    ran = False
    default_remedy = "Retry after the time in Retry-After, with jitter."


class NoUpstream(BaobabError):
    """No suitable upstream is known in this failure domain."""

    code = "no_upstream"
    status = 503
    ran = False
    default_remedy = (
        "Retry shortly; if it persists, check the upstreams with 'baobabpulley explain'."
    )


class AllEvacuated(NoUpstream):
    """All upstreams of the service are in failure domains that the operators evacuate."""

    code = "all_evacuated"
    default_remedy = (
        "Retry after the time given; operators: end an evacuation, or add upstreams elsewhere."
    )


class TooFewEngines(NoUpstream):
    """All engines of this failure domain together have too little memory for the prompt."""

    code = "too_few_engines"
    default_remedy = "Shorten the prompt to at most the figure in the message, or add engines."


class PromptQuarantined(BaobabError):
    """Prompts that share a part with this one crashed the engines that began to answer them."""

    code = "prompt_quarantined"
    status = 503
    ran = False
    default_remedy = (
        "Send the prompt without the part in the message, or retry after the time in Retry-After."
    )


class NotReady(BaobabError):
    """The process has no settings yet, or is shutting down."""

    code = "not_ready"
    status = 503
    ran = False
    default_remedy = "Retry through another entry VM."


class OutcomeUnknown(BaobabError):
    """An at-most-once call may have run, and its outcome is not known."""

    code = "outcome_unknown"
    status = 504
    ran = None
    default_remedy = "Query the service for the state of the order before placing it again."


class TicketIssuerUnavailable(OutcomeUnknown):
    """The incarnation that issued a ticket is unavailable; its successor may know the outcome."""

    code = "issuer_gone"


class OutcomeExpired(OutcomeUnknown):
    """The call's outcome is older than those that the entry retains."""

    code = "outcome_forgotten"
    status = 410


class TicketInvalid(Forbidden):
    """A call ticket is forged, malformed or belongs to another team."""

    code = "ticket_invalid"
    default_remedy = "Get a ticket with POST /v1/tickets, using the same client account's token."


class CallMismatch(Conflict):
    """A ticket or an idempotency key was already used for another call."""

    code = "call_mismatch"
    default_remedy = "Use one ticket or key for one call; retry it with the same body."


class DeadlineExceeded(BaobabError):
    """The request's deadline passed before its response was complete."""

    code = "deadline_exceeded"
    status = 504
    ran = None
    default_remedy = "Retry when the load is lower, or shorten the prompt."


class DeadlineBeforeStart(DeadlineExceeded):
    """The request's deadline passed while it was queued; it never reached an upstream."""

    code = "deadline_before_start"
    status = 503
    ran = False
