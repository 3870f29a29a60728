"""Interface for the HTTP headers that callers, gateway and upstreams exchange.

The gateway doesn't read bodies: all that it has to know of a request or response is in headers.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

import msgspec
from tornado.httputil import HTTPHeaders

from baobabpulley.model.exchanges import AttemptParameters
from baobabpulley.model.exchanges import RequestParameters
from baobabpulley.model.servers import ListedUpstream


class ResponseHead(msgspec.Struct, frozen=True):
    """Status and metadata of an upstream's response.

    ``attempt`` is the id of the attempt that the response belongs to. ``sealed`` says whether it
    has the seal that upstreams put on their own responses, ``not_run`` whether the request is
    certain not to have run there. ``at_fault`` names the upstream that caused a failure.
    """

    status: int
    attempt: str | None
    sealed: bool
    not_run: bool
    at_fault: str | None


class ExchangeWire(ABC):
    """Translation between HTTP headers and the gateway's own types, without policy."""

    @abstractmethod
    def request_id(self, headers: HTTPHeaders) -> str | None:
        """Return the id by which a caller's request is logged, if it sent one."""

    @abstractmethod
    def parse_request_headers(self, headers: HTTPHeaders) -> RequestParameters:
        """Return the parameters that a caller sent; raise `BadRequest` if they are invalid."""

    @abstractmethod
    def request_headers(self, received: HTTPHeaders, outgoing: AttemptParameters) -> HTTPHeaders:
        """Return the headers of an attempt: the caller's and those that the gateway sets."""

    @abstractmethod
    def response_headers(self, received: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of an upstream's response that are passed on to the caller."""

    @abstractmethod
    def parse_response_head(self, status: int, headers: HTTPHeaders) -> ResponseHead:
        """Return the status and metadata of a response."""


class MemoryReservations(ABC):
    """Reservations of engine memory, each identified by a ticket."""

    @abstractmethod
    async def reserve(
        self, upstream: ListedUpstream, *, ticket: str, tokens: int, hold_seconds: float
    ) -> bool:
        """Reserve memory for ``hold_seconds``, or renew it; return whether it is reserved."""

    @abstractmethod
    async def release(self, upstream: ListedUpstream, *, ticket: str) -> None:
        """Release memory; if the release is lost, the memory stays reserved until it expires."""
