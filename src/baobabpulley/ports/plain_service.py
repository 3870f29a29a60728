"""Interface of plain HTTP services beside the model engines, such as a ledger or a job queue."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

import msgspec

from baobabpulley.model.upstreams import Upstream


class ServiceCall(msgspec.Struct, frozen=True):
    """One attempt at a call.

    ``path`` begins with a slash. ``deadline`` is the time left, in model seconds.
    """

    attempt: str
    method: str
    path: str
    body: bytes
    content_type: str
    deadline: float
    team: str


class ServiceResponse(msgspec.Struct, frozen=True):
    """A complete response of a service.

    ``asked_pause`` is for how many seconds it asked for no requests, if it did; NaN if unreadable.
    """

    status: int
    body: bytes
    content_type: str
    asked_pause: float | None = None


class PlainService(ABC):
    """Calls to plain services; nothing is retried here."""

    @abstractmethod
    async def call(self, upstream: Upstream, call: ServiceCall) -> ServiceResponse:
        """Send a call once and return the response.

        Raises `UpstreamUnreachable` if no byte of the call was sent, `UpstreamRefused` if the
        service replied that the call did not run, and `UpstreamLost` on any other failure.
        """
