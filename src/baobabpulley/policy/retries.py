"""Retry budget and backoff of failed attempts."""

from __future__ import annotations

import random
from typing import Annotated
from typing import final

import msgspec

from baobabpulley.settings import Count
from baobabpulley.settings import Seconds
from baobabpulley.settings import Share
from baobabpulley.settings import section


@section("retries", "entry")
class RetriesSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the retry budget and of backoff.

    Each request adds ``share`` of a retry to the budget of its upstream group, which holds at most
    ``burst`` retries. The backoff is random between zero and ``pause`` model seconds; this bound
    doubles with each further retry of a request. ``max_attempts`` limits the attempts of one
    request. An upstream whose connection failed gets no requests for ``suspect`` model seconds,
    unless it sends a load report sooner.
    """

    share: Share = 0.1
    burst: Annotated[int, msgspec.Meta(ge=0)] = 20
    pause: Seconds = 0.05
    max_attempts: Count = 4
    suspect: Seconds = 3.0


@final
class RetryBudget:
    """A token bucket that limits the retries of one upstream group.

    >>> budget = RetryBudget(share=0.5, burst=1)
    >>> budget.spend(), budget.spend()
    (True, False)
    >>> budget.earn(); budget.earn(); budget.spend()
    True
    """

    __slots__ = ("_burst", "_left", "_share")

    def __init__(self, *, share: float, burst: int) -> None:
        self._share = share
        self._burst = burst
        self._left = float(burst)

    def earn(self) -> None:
        """Add the share of a retry for a request that is not itself a retry."""
        self._left = min(float(self._burst), self._left + self._share)

    def spend(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True

    def refund(self) -> None:
        """Give back a retry that was spent for an attempt that did not run."""
        self._left = min(float(self._burst), self._left + 1.0)


def full_jitter(source: random.Random, *, pause: float, retry: int) -> float:
    """Return the backoff before a retry, in model seconds, with full jitter.

    ``retry`` is the number of earlier retries of the request.
    """
    return source.uniform(0.0, pause * 2**retry)
