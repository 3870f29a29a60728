"""Resume tokens: a caller goes on with its answer through another entry.

The token says all that the new entry needs but the prompt, which the caller sends again.
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
    """What a resume token carries; ``ends`` is wall-clock seconds since the epoch."""

    request_id: str
    team: str
    model: str
    seed: int
    max_tokens: int
    prompt_digest: bytes
    ends: float


@final
class ResumeTokens:
    """Make and check resume tokens."""

    __slots__ = ("_signer", "_timers")

    def __init__(self, *, secret: str, timers: TimerService) -> None:
        self._signer = Signer(secret=secret, kind="resume", struct=ResumeGrant)
        self._timers = timers

    def make(self, request: CompletionRequest) -> str:
        """Return the token of a request, good until its deadline."""
        left = self._timers.to_real_seconds(request.deadline - self._timers.now())
        grant = ResumeGrant(
            request_id=request.request_id,
            team=request.team,
            model=request.model,
            seed=request.seed,
            max_tokens=request.max_tokens,
            prompt_digest=_digest(request.prompt),
            ends=self._timers.wall_time + left,
        )
        return self._signer.sign(grant)

    def open(self, token: str, *, team: str, prompt: str) -> ResumeGrant:
        """Return what a token carries.

        Raises `Forbidden` if it is forged, `NotFound` if it is another team's, another
        prompt's or stale, in the same words, so that nothing is disclosed.
        """
        grant = self._signer.open(token)
        stale = self._timers.wall_time > grant.ends
        if grant.team != team or grant.prompt_digest != _digest(prompt) or stale:
            raise NotFound(
                "no answer can be resumed by this token",
                remedy="Send the whole request anew by POST /v1/completions.",
            )
        return grant

    def seconds_left(self, grant: ResumeGrant) -> float:
        """Return the model seconds until the request's deadline."""
        return (grant.ends - self._timers.wall_time) * self._timers.speed


def _digest(prompt: str) -> bytes:
    return hashlib.blake2b(prompt.encode(), digest_size=16).digest()
