"""Opaque exchanges: what is known of a request without reading its body."""

from __future__ import annotations

import msgspec
from tornado.httputil import HTTPHeaders


class RequestParameters(msgspec.Struct, frozen=True):
    """What a caller says of one request. Durations are in seconds.

    ``remaining`` is how long the caller waits from the arrival of the request on;
    ``last_event`` the id of the last event that the caller has of a stream it resumes.
    """

    attempt: str
    key: str | None = None
    remaining: float | None = None
    last_event: str | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0


class IncomingRequest(msgspec.Struct, frozen=True):
    """A whole request as it came from a caller; ``arrived`` is monotonic seconds."""

    method: str
    target: str
    host: str
    headers: HTTPHeaders
    body: bytes
    arrived: float


class HelperEngine(msgspec.Struct, frozen=True):
    """An engine that reads a part of a prompt; ``ticket`` names memory reserved there."""

    address: str
    ticket: str | None = None


class AttemptParameters(msgspec.Struct, frozen=True):
    """What an upstream is told with one attempt; ``remaining`` is in seconds."""

    attempt: str
    remaining: float
    instance: str
    account: str | None = None
    last_event: str | None = None
    urgency: int | None = None
    helpers: tuple[HelperEngine, ...] = ()
