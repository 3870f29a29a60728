"""Errors that callers and operators get for a request."""

from __future__ import annotations

from baobabpulley.errors.base import BaobabError
from baobabpulley.errors.control import Conflict


class BadRequest(BaobabError):
    """The request cannot be understood."""

    code = "bad_request"
    status = 400
    ran = False
    default_remedy = "Correct the request body as the message says and send it again."


class BadToken(BaobabError):
    """The bearer token names no client account."""

    code = "bad_token"
    status = 401
    ran = False
    default_remedy = "Send 'Authorization: Bearer TOKEN' with your client account's token."


class Forbidden(BaobabError):
    """The token does not open what was asked for."""

    code = "forbidden"
    status = 403
    ran = False
    default_remedy = "Use a token of the team that owns this path."


class NotFound(BaobabError):
    """Nothing is known under this name."""

    code = "not_found"
    status = 404
    ran = False
    default_remedy = "Check the path and the name; names are case-sensitive."


class UnknownModel(NotFound):
    """No upstream serves the model that was asked for."""

    code = "unknown_model"
    default_remedy = "Ask for one of the models that GET /v1/models lists."


class BodyTooLarge(BaobabError):
    """The body is longer than callers may send."""

    code = "body_too_large"
    status = 413
    ran = False
    default_remedy = "Shorten the prompt below the limit in the message."


class HeaderTooLarge(BaobabError):
    """The request's header is longer than callers may send."""

    code = "header_too_large"
    status = 431
    ran = False
    default_remedy = "Send fewer and shorter headers."


class BodyTooSlow(BaobabError):
    """The request's body did not arrive in time."""

    code = "body_too_slow"
    status = 408
    ran = False
    default_remedy = "Send the whole body within the time in the message."


class MethodNotAllowed(BaobabError):
    """The path does not take this method."""

    code = "method_not_allowed"
    status = 405
    ran = False
    default_remedy = "Use a method that the README names for this path."


class PromptTooLong(BaobabError):
    """The prompt is longer than the team's limit."""

    code = "prompt_too_long"
    status = 422
    ran = False
    default_remedy = "Shorten the prompt, or ask your operator to raise max_prompt_tokens."


class TeamLimitReached(BaobabError):
    """The team has as many tokens in flight as its limit allows."""

    code = "team_limit"
    status = 429
    ran = False
    default_remedy = "Wait for the team's own requests to finish, or ask for a higher limit."


class Overloaded(BaobabError):
    """The fleet has no room that would let the request meet its deadline."""

    code = "overloaded"
    status = 503
    ran = False
    default_remedy = "Repeat after the time in Retry-After, with jitter."


class NoUpstream(BaobabError):
    """No fit upstream is known in this failure domain."""

    code = "no_upstream"
    status = 503
    ran = False
    default_remedy = "Repeat shortly; if it lasts, check the upstreams with 'baobabpulley explain'."


class TooFewEngines(NoUpstream):
    """All engines of this failure domain together have too little memory for the prompt."""

    code = "too_few_engines"
    default_remedy = "Shorten the prompt to the figure in the message, or add engines."


class NotReady(BaobabError):
    """The process has no settings yet, or is shutting down."""

    code = "not_ready"
    status = 503
    ran = False
    default_remedy = "Repeat through another entry VM."


class OutcomeUnknown(BaobabError):
    """A once-only call may have run, and no answer to it will come."""

    code = "outcome_unknown"
    status = 504
    ran = None
    default_remedy = "Ask the service for the state of the order before placing it anew."


class TicketIssuerUnavailable(OutcomeUnknown):
    """The incarnation that issued a ticket is not here; an heir may know of it."""

    code = "issuer_gone"


class OutcomeExpired(OutcomeUnknown):
    """The call's outcome is older than the entry's memory of outcomes."""

    code = "outcome_forgotten"
    status = 410


class TicketInvalid(Forbidden):
    """A call ticket is forged, malformed or another team's."""

    code = "ticket_invalid"
    default_remedy = "Get a ticket by POST /v1/tickets with the same client account's token."


class CallMismatch(Conflict):
    """A ticket or an idempotency key was used before for another call."""

    code = "call_mismatch"
    default_remedy = "Use one ticket or key for one call; repeat it with the same body."


class DeadlineExceeded(BaobabError):
    """The request's deadline passed before its answer was whole."""

    code = "deadline_exceeded"
    status = 504
    ran = None
    default_remedy = "Repeat at a quieter time, or shorten the prompt."


class DeadlineBeforeStart(DeadlineExceeded):
    """The request's deadline passed while it waited; it never reached an upstream."""

    code = "deadline_before_start"
    status = 503
    ran = False
