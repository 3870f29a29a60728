"""Resume tokens: they let a caller continue a completion through another entry.

A token contains all that the other entry needs except the prompt, which the caller sends again.
"""

from __future__ import annotations

import hashlib
from typing import Final
from typing import final

import msgspec

from baobabpulley.adapters.signing import Signer
from baobabpulley.errors import NotFound
from baobabpulley.model.requests import CompletionRequest
from baobabpulley.timers import TimerService

RESUME_HEADER: Final = "Resume-Token"


class ResumeGrant(msgspec.Struct, frozen=True, array_like=True):
    """Content of a resume token; ``ends`` is its expiry in seconds since the epoch."""

    request_id: str
    team: str
    model: str
    seed: int
    max_tokens: int
    prompt_digest: bytes
    ends: float


@final
class ResumeTokens:
    """Create and verify signed resume tokens."""

    __slots__ = ("_signer", "_timers")

    def __init__(self, *, secret: str, timers: TimerService) -> None:
        self._signer = Signer(secret=secret, kind="resume", struct=ResumeGrant)
        self._timers = timers

    def make(self, request: CompletionRequest) -> str:
        """Return a token for a request, valid until the request's deadline."""
        real_seconds_left = self._timers.to_real_seconds(request.deadline - self._timers.now())
        grant = ResumeGrant(
            request_id=request.request_id,
            team=request.team,
            model=request.model,
            seed=request.seed,
            max_tokens=request.max_tokens,
            prompt_digest=_digest(request.prompt),
            ends=self._timers.wall_time + real_seconds_left,
        )
        return self._signer.sign(grant)

    def open(self, token: str, *, team: str, prompt: str) -> ResumeGrant:
        """Return the content of a token.

        Raises `Forbidden` if it is forged, `NotFound` if it has expired or is for another team or
        prompt; the message is the same for all three, so that it discloses nothing.
        """
        grant = self._signer.open(token)
        expired = self._timers.wall_time > grant.ends
        if grant.team != team or grant.prompt_digest != _digest(prompt) or expired:
            raise NotFound(
                "no completion can be resumed with this token",
                remedy="Send the whole request again to POST /v1/completions.",
            )
        return grant

    def seconds_left(self, grant: ResumeGrant) -> float:
        """Return the model seconds left until the request's deadline."""
        return (grant.ends - self._timers.wall_time) * self._timers.speed


def _digest(prompt: str) -> bytes:
    return hashlib.blake2b(prompt.encode(), digest_size=16).digest()
