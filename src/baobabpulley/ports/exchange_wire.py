"""Interface for the HTTP headers that callers, gateway and upstreams exchange.

The gateway doesn't read bodies: all that it has to know of a request or response is in headers.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections.abc import Callable

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
    ``misdirected`` is whether another instance than the expected one responded, ``leaving`` whether
    the one that responded says that it is leaving. ``retry_after`` is for how many seconds an
    upstream that refused the request for lack of capacity wants no others: NaN if that can't be
    read, ``None`` if it didn't say. ``cold_seconds`` is for how long the upstream is still cold,
    ``None`` if it didn't say.
    """

    status: int
    attempt: str | None
    sealed: bool
    not_run: bool
    at_fault: str | None
    misdirected: bool = False
    leaving: bool = False
    retry_after: float | None = None
    cold_seconds: float | None = None


class ReservationOutcome(msgspec.Struct, frozen=True):
    """Result of a reservation; ``head`` is that of the response, ``None`` if there was none."""

    reserved: bool
    head: ResponseHead | None


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
        self,
        upstream: ListedUpstream,
        *,
        ticket: str,
        tokens: int,
        hold_seconds: float,
        timeout: float,
        before_send: Callable[[], None] | None = None,
    ) -> ReservationOutcome:
        """Reserve memory for ``hold_seconds``, or renew it.

        A request without a response within ``timeout`` real seconds counts as refused.
        ``before_send`` is called once a connection is open; if it raises, nothing is sent.
        """

    @abstractmethod
    async def release(self, upstream: ListedUpstream, *, ticket: str) -> ResponseHead | None:
        """Release memory and return the head of the response, ``None`` if there was none.

        If the release is lost, the memory stays reserved until it expires.
        """
