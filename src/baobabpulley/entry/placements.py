"""Requests that wait for an upstream, and the upstreams chosen for them."""

from __future__ import annotations

import asyncio
from typing import final

from baobabpulley.entry.outstanding import DispatchedAttempt
from baobabpulley.model.requests import CompletionRequest
from baobabpulley.model.upstreams import Upstream


@final
class Placement:
    """The upstream chosen for an attempt, and the estimates it was chosen by.

    ``attempt`` is how the attempt is counted at the upstream, ``blocks`` the chained hashes of
    the prompt's blocks, and ``cached_tokens`` the estimated prefix cache hit. ``queued_at`` is the
    model time at which the request entered its lane.
    """

    __slots__ = ("attempt", "blocks", "cached_tokens", "queued_at", "upstream")

    def __init__(
        self,
        *,
        upstream: Upstream,
        attempt: DispatchedAttempt,
        blocks: tuple[int, ...],
        cached_tokens: float,
        queued_at: float,
    ) -> None:
        self.upstream = upstream
        self.attempt = attempt
        self.blocks = blocks
        self.cached_tokens = cached_tokens
        self.queued_at = queued_at

    @property
    def waited(self) -> float:
        """Model seconds that the request was queued in its lane."""
        return self.attempt.sent_at - self.queued_at


@final
class Waiter:
    """A queued request, and the future that is resolved with its placement.

    ``ideal`` is the duration of the prefill on an idle engine, in model seconds.
    """

    __slots__ = ("blocks", "excluded", "future", "ideal", "lane", "queued_at", "request")

    def __init__(
        self,
        *,
        request: CompletionRequest,
        lane: str,
        excluded: frozenset[str],
        blocks: tuple[int, ...],
        ideal: float,
        queued_at: float,
    ) -> None:
        self.request = request
        self.lane = lane
        self.excluded = excluded
        self.blocks = blocks
        self.ideal = ideal
        self.queued_at = queued_at
        self.future: asyncio.Future[Placement] = asyncio.get_running_loop().create_future()


def prompt_tokens(waiter: Waiter) -> int:
    """Return the number of tokens in the prompt of a queued request."""
    return waiter.request.prompt_tokens
