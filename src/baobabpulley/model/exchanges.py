"""Requests and their parameters in the gateway, which does not parse their bodies."""

from __future__ import annotations

from typing import Final

import msgspec
from tornado.httputil import HTTPHeaders

# Ids are bounded by the size of a head only; log lines hold their first characters.
MAX_LOGGED_ID_CHARS: Final = 256


class RequestParameters(msgspec.Struct, frozen=True):
    """Parameters that a caller sends with one request, apart from its body.

    ``attempt`` is the caller's id for this attempt and ``key`` the key of its client account.
    ``remaining`` is the number of seconds until the caller's deadline, from the arrival of the
    request. ``last_event`` is the id of the last event received of a stream to be resumed.
    ``shared_parts`` are the ids of the parts of the prompt that other prompts may share, in order.
    """

    attempt: str
    key: str | None = None
    remaining: float | None = None
    last_event: str | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    shared_parts: tuple[str, ...] = ()

    @property
    def logged_attempt(self) -> str:
        """The caller's id for this attempt, shortened for log lines."""
        return self.attempt[:MAX_LOGGED_ID_CHARS]


class IncomingRequest(msgspec.Struct, frozen=True):
    """A complete request as received from a caller; ``arrived`` is in monotonic seconds."""

    method: str
    target: str
    host: str
    headers: HTTPHeaders
    body: bytes
    arrived: float


class HelperEngine(msgspec.Struct, frozen=True):
    """An engine that prefills a chunk of a prompt; ``ticket`` identifies memory reserved there."""

    address: str
    ticket: str | None = None


class AttemptParameters(msgspec.Struct, frozen=True):
    """Parameters that the gateway sends to an upstream with one attempt.

    ``remaining`` is the number of seconds until the deadline, ``instance`` the upstream instance
    that is expected to answer.
    """

    attempt: str
    remaining: float
    instance: str
    account: str | None = None
    last_event: str | None = None
    urgency: int | None = None
    helpers: tuple[HelperEngine, ...] = ()
