"""How callers and upstreams of opaque exchanges say what the gateway has to know."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

import msgspec
from tornado.httputil import HTTPHeaders

from baobabpulley.model.exchanges import AttemptParameters
from baobabpulley.model.exchanges import RequestParameters
from baobabpulley.model.servers import ListedUpstream


class AnswerHead(msgspec.Struct, frozen=True):
    """What an upstream's answer says of itself beside its status.

    ``attempt`` is the attempt that it answers, ``sealed`` whether the upstream vouches for it,
    ``not_run`` that the request surely did not run there, ``at_fault`` the upstream to blame.
    """

    status: int
    attempt: str | None
    sealed: bool
    not_run: bool
    at_fault: str | None


class ExchangeWire(ABC):
    """Translate headers; nothing here decides."""

    @abstractmethod
    def read_needs(self, headers: HTTPHeaders) -> RequestParameters:
        """Return what a caller says; raise `BadRequest` on what cannot be read."""

    @abstractmethod
    def request_headers(self, given: HTTPHeaders, outgoing: AttemptParameters) -> HTTPHeaders:
        """Return the headers of an attempt: the caller's, and what the upstream is told."""

    @abstractmethod
    def answer_headers(self, given: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of an upstream's answer that the caller gets."""

    @abstractmethod
    def answer_head(self, status: int, headers: HTTPHeaders) -> AnswerHead:
        """Return what an answer's head says."""


class MemoryOrders(ABC):
    """Memory of engines set aside under a ticket."""

    @abstractmethod
    async def reserve(
        self, upstream: ListedUpstream, *, ticket: str, tokens: int, hold: float
    ) -> bool:
        """Set memory aside for ``hold`` seconds, or renew it; return whether it is held."""

    @abstractmethod
    async def release(self, upstream: ListedUpstream, *, ticket: str) -> None:
        """Give memory back; a lost release costs the rest of its hold."""
