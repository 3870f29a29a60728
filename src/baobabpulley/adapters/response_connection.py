"""The client's side of one HTTP/1.1 exchange, which takes only well-formed responses."""

from __future__ import annotations

from typing import Final
from typing import final

from loguru import logger
from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPInputError
from tornado.httputil import parse_response_start_line
from tornado.iostream import IOStream

from baobabpulley.adapters.message_heads import check_length
from baobabpulley.adapters.message_heads import check_line_ends

# The range of HTTP statuses; RFC 9110, section 15, calls all others invalid.
MIN_STATUS: Final = 100
MAX_STATUS: Final = 599
# Responses below this are interim: the final one follows on the same connection.
MIN_FINAL_STATUS: Final = 200
# Answers a request with `Upgrade`, which is never sent; what follows is no HTTP.
SWITCHING_PROTOCOLS: Final = 101
# Of what the log says of a malformed head.
MAX_REASON_CHARS: Final = 120


@final
class ResponseConnection(HTTP1Connection):
    """Close the connection instead of passing on a response whose head is malformed.

    Tornado checks the names and values of a head's fields, but takes a bare LF for the end of a
    line and any three digits for a status, and checks a length only as the body begins.
    """

    def __init__(
        self, stream: IOStream, parameters: HTTP1ConnectionParameters, *, address: str
    ) -> None:
        super().__init__(stream, True, parameters)
        self._address = address
        self._is_malformed = False

    @property
    def is_malformed(self) -> bool:
        """Whether the head of the response has been found malformed."""
        return self._is_malformed

    def _parse_headers(self, data: bytes) -> tuple[str, HTTPHeaders]:
        try:
            check_line_ends(data)
            start_line, headers = super()._parse_headers(data)
            _check_status(start_line)
            _check_lengths(headers)
        except HTTPInputError as error:
            self._is_malformed = True
            # Only here, as the reason may quote the server's bytes.
            logger.bind(
                event="malformed_response",
                address=self._address,
                reason=str(error)[:MAX_REASON_CHARS],
            ).warning("closed a connection for a malformed response")
            raise
        return start_line, headers


def _check_status(start_line: str) -> None:
    status = parse_response_start_line(start_line).code
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise HTTPInputError(f"{status:03d} is not an HTTP status")
    if status == SWITCHING_PROTOCOLS:
        raise HTTPInputError("a change of protocols was not requested")


def _check_lengths(headers: HTTPHeaders) -> None:
    """Check the length of the body, and leave one if it is stated several times."""
    fields = headers.get_list("Content-Length")
    lengths = {length.strip() for field in fields for length in field.split(",")}
    if len(lengths) > 1:
        raise HTTPInputError("the response has several Content-Lengths")
    for length in lengths:
        check_length(length)
        headers["Content-Length"] = length
