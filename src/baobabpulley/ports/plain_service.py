"""Plain services beside the model engines, such as a ledger or a job desk."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

import msgspec

from baobabpulley.model.upstreams import Upstream


class ServiceCall(msgspec.Struct, frozen=True):
    """One attempt at a call; ``path`` begins with a slash. ``deadline`` is model seconds left."""

    attempt: str
    method: str
    path: str
    body: bytes
    content_type: str
    deadline: float
    team: str


class ServiceAnswer(msgspec.Struct, frozen=True):
    """A service's whole answer."""

    status: int
    body: bytes
    content_type: str


class PlainService(ABC):
    """Send a call once."""

    @abstractmethod
    async def call(self, upstream: Upstream, call: ServiceCall) -> ServiceAnswer:
        """Return the answer.

        Raises `UpstreamUnreachable` if no byte of the call left, `UpstreamRefused` if the service
        said that it did not run, `UpstreamLost` otherwise.
        """
