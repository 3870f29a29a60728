"""The Retry-After header of upstreams that refuse requests."""

from __future__ import annotations

import math
import re
from typing import Final

from tornado.httputil import HTTPHeaders

_BUSY_STATUS: Final = 503
_RETRY_AFTER: Final = "Retry-After"
_DECIMAL: Final = re.compile(r"-?[0-9]+(\.[0-9]+)?")


def parse_retry_after(status: int, headers: HTTPHeaders) -> float | None:
    """Return for how many seconds a response asks for no requests, or ``None`` if it doesn't.

    The result is NaN if the header is a date or not a decimal number.

    >>> parse_retry_after(503, HTTPHeaders({"Retry-After": "1.5"}))
    1.5
    >>> parse_retry_after(503, HTTPHeaders({"Retry-After": "soon"}))
    nan
    >>> parse_retry_after(429, HTTPHeaders({"Retry-After": "1.5"}))
    """
    if status != _BUSY_STATUS or _RETRY_AFTER not in headers:
        return None
    text = headers[_RETRY_AFTER].strip()
    return float(text) if _DECIMAL.fullmatch(text) else math.nan
