"""Errors from attempts to run a request on an upstream."""

from __future__ import annotations

from baobabpulley.errors.base import BaobabError


class UpstreamLost(BaobabError):
    """The connection to an upstream was lost or stalled during an attempt."""

    code = "upstream_lost"
    status = 502
    ran = None
    default_remedy = "Retry if the call is idempotent; completions are."

    def __init__(
        self,
        message: str,
        *,
        remedy: str | None = None,
        retry_after: float | None = None,
        asked_pause: float | None = None,
    ) -> None:
        super().__init__(message, remedy=remedy, retry_after=retry_after)
        self._asked_pause = asked_pause

    @property
    def asked_pause(self) -> float | None:
        """Seconds for which the upstream asked for no requests; NaN if unreadable."""
        return self._asked_pause


class UpstreamDisconnected(UpstreamLost):
    """The connection to an upstream broke before its answer was complete."""


class UpstreamStalled(UpstreamLost):
    """An upstream received the request, then sent nothing for the silence timeout."""

    code = "upstream_silent"


class UpstreamFailed(UpstreamLost):
    """An upstream ran the request and reported that it failed."""

    code = "upstream_failed"


class UpstreamUnreachable(BaobabError):
    """No byte of the request reached the upstream."""

    code = "upstream_unreached"
    status = 502
    ran = False
    default_remedy = "Retry; another upstream will be chosen."


class NoPathToUpstream(UpstreamUnreachable):
    """This gateway is cut off, and no other one could try to reach the upstream.

    It says nothing of the upstream.
    """

    code = "no_path"


class UpstreamRefused(BaobabError):
    """The upstream reported that it did not run the request."""

    code = "upstream_refused"
    status = 503
    ran = False
    default_remedy = "Retry; another upstream will be chosen."

    def __init__(
        self,
        message: str,
        *,
        remedy: str | None = None,
        retry_after: float | None = None,
        at_fault: str | None = None,
        asked_pause: float | None = None,
    ) -> None:
        super().__init__(message, remedy=remedy, retry_after=retry_after)
        self._at_fault = at_fault
        self._asked_pause = asked_pause

    @property
    def at_fault(self) -> str | None:
        """Address of another upstream that the refusing one reports as the cause, if any."""
        return self._at_fault

    @property
    def asked_pause(self) -> float | None:
        """Seconds for which the upstream asked for no requests; NaN if unreadable."""
        return self._asked_pause


class UpstreamOutOfMemory(UpstreamRefused):
    """The engine has too little free memory for the request's KV cache."""

    code = "upstream_out_of_memory"


class UpstreamReserved(UpstreamRefused):
    """The engine's memory is reserved for other requests; nothing was sent to it."""

    code = "upstream_reserved"


class UpstreamLeaving(UpstreamRefused):
    """The upstream is draining and accepts no new work."""

    code = "upstream_leaving"


class UpstreamSkipped(UpstreamRefused):
    """An upstream asked for no new requests after the attempt was placed; nothing was sent."""

    code = "upstream_skipped"


class UpstreamEvacuated(UpstreamSkipped):
    """The failure domain was evacuated after the attempt was placed; nothing was sent."""

    code = "upstream_evacuated"


class RetryLoanExpired(UpstreamSkipped):
    """A retry that another gateway lent was not sent in time; nothing was sent."""

    code = "retry_loan_expired"


class UpstreamModelMissing(UpstreamRefused):
    """The engine does not have the model loaded."""

    code = "upstream_model_missing"


class UpstreamImportFailed(UpstreamRefused):
    """The engine could not import the KV cache of a prompt chunk from another engine."""

    code = "upstream_import_failed"


class UpstreamOverloaded(UpstreamRefused):
    """The upstream's queue is full."""

    code = "upstream_overloaded"


class UpstreamBackpressure(UpstreamOverloaded):
    """The upstream did not run the request and asked for no others for a while."""

    code = "upstream_backpressure"


class MismatchedResponse(UpstreamLost):
    """An event that belongs to another request arrived on this request's connection."""

    code = "crossed_answer"


class OrderTooLate(BaobabError):
    """The sender's lease ended before the order's body was sent, so the order was dropped."""

    code = "order_too_late"
    status = 409
    ran = False
    default_remedy = "No action is needed; the next lease holder sends the order."
