"""Errors of attempts at upstreams."""

from __future__ import annotations

from baobabpulley.errors.base import BaobabError


class UpstreamLost(BaobabError):
    """The connection to an upstream broke or went silent during an attempt."""

    code = "upstream_lost"
    status = 502
    ran = None
    default_remedy = "Repeat if the call is idempotent; completions are."


class UpstreamStalled(UpstreamLost):
    """An upstream that got the request sent nothing for longer than allowed."""

    code = "upstream_silent"


class UpstreamFailed(UpstreamLost):
    """An upstream ran the request and answered that it failed."""

    code = "upstream_failed"


class UpstreamUnreachable(BaobabError):
    """No byte of the request reached the upstream."""

    code = "upstream_unreached"
    status = 502
    ran = False
    default_remedy = "Repeat; another upstream will be chosen."


class UpstreamRefused(BaobabError):
    """The upstream said that it did not run the request."""

    code = "upstream_refused"
    status = 503
    ran = False
    default_remedy = "Repeat; another upstream will be chosen."

    def __init__(
        self,
        message: str,
        *,
        remedy: str | None = None,
        retry_after: float | None = None,
        at_fault: str | None = None,
    ) -> None:
        super().__init__(message, remedy=remedy, retry_after=retry_after)
        self._at_fault = at_fault

    @property
    def at_fault(self) -> str | None:
        """Address of the upstream that the refusing one blames, if it is another."""
        return self._at_fault


class UpstreamOutOfMemory(UpstreamRefused):
    """The engine has no room for the request's KV cache."""

    code = "upstream_out_of_memory"


class UpstreamReserved(UpstreamRefused):
    """The engine's memory is reserved for others; nothing was sent to it."""

    code = "upstream_reserved"


class UpstreamLeaving(UpstreamRefused):
    """The upstream takes no new work because it is leaving."""

    code = "upstream_leaving"


class UpstreamModelMissing(UpstreamRefused):
    """The engine has not loaded the model at present."""

    code = "upstream_model_missing"


class UpstreamImportFailed(UpstreamRefused):
    """The engine could not import the KV cache of a part from another engine."""

    code = "upstream_import_failed"


class UpstreamOverloaded(UpstreamRefused):
    """The upstream's queue is full."""

    code = "upstream_overloaded"


class MismatchedResponse(UpstreamLost):
    """An event of another request arrived on this request's connection."""

    code = "crossed_answer"


class OrderTooLate(BaobabError):
    """The right to give orders ended before an order's body left; the order was not sent."""

    code = "order_too_late"
    status = 409
    ran = False
    default_remedy = "None is needed; the next holder of the lease gives the order."
