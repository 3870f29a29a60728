"""The header by which a gateway tells another when the store confirmed what it sends."""

from __future__ import annotations

import math
from typing import Final

from tornado.httputil import HTTPHeaders

# Seconds from the arrival of the request to the confirmation, negative if that came before it. The
# sender's clock alone measures them, so that the receiver may count them from its request.
CONFIRMED_AFTER: Final = "Store-Confirmed-After"


def format_confirmation(confirmed_at: float | None, *, requested_at: float) -> dict[str, str]:
    """Return the header for a request that arrived at ``requested_at``; none if unconfirmed.

    >>> format_confirmation(9.5, requested_at=10.0)
    {'Store-Confirmed-After': '-0.500'}
    """
    if confirmed_at is None:
        return {}
    return {CONFIRMED_AFTER: f"{confirmed_at - requested_at:.3f}"}


def parse_confirmation(headers: HTTPHeaders, *, requested_at: float, now: float) -> float | None:
    """Return when the store confirmed a response, or ``None`` if the header doesn't tell.

    ``requested_at`` is when the request was sent: the response is at least as new as returned.

    >>> parse_confirmation(HTTPHeaders({CONFIRMED_AFTER: "-0.500"}), requested_at=20.0, now=20.1)
    19.5
    >>> parse_confirmation(HTTPHeaders({CONFIRMED_AFTER: "soon"}), requested_at=20.0, now=20.1)
    >>> parse_confirmation(HTTPHeaders({CONFIRMED_AFTER: "5"}), requested_at=20.0, now=20.1)
    20.1
    """
    try:
        seconds = float(headers.get(CONFIRMED_AFTER, ""))
    except ValueError:
        return None
    return min(now, requested_at + seconds) if math.isfinite(seconds) else None
