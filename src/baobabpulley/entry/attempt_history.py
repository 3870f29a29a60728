"""What the failed attempts of one request say about it."""

from __future__ import annotations

from typing import final

from baobabpulley.errors import BaobabError
from baobabpulley.errors import DeadlineExceeded
from baobabpulley.errors import UpstreamBackpressure
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamOutOfMemory
from baobabpulley.errors import UpstreamOverloaded
from baobabpulley.errors import UpstreamRefused


@final
class AttemptHistory:
    """The failed attempts of one request, and whether any of them may have run."""

    __slots__ = ("failures", "lost", "may_have_run", "overloads", "queued_at", "refused")

    def __init__(self) -> None:
        # Model time at which the request entered its lane; set once it has to be queued again.
        self.queued_at: float | None = None
        self.refused: set[str] = set()
        self.lost: set[str] = set()
        self.failures = 0
        self.overloads = 0
        self.may_have_run = False

    @property
    def excluded(self) -> frozenset[str]:
        """Upstreams on which the request has failed."""
        return frozenset(self.refused | self.lost)

    def add(self, upstream: str, error: BaobabError, *, started: bool) -> None:
        """Record a failed attempt."""
        (self.refused if isinstance(error, UpstreamRefused) else self.lost).add(upstream)
        self.failures += 1
        # Those that asked for a pause say nothing of the other upstreams' capacity.
        if not isinstance(error, UpstreamBackpressure):
            self.overloads += isinstance(error, UpstreamOverloaded | UpstreamOutOfMemory)
        self.may_have_run = self.may_have_run or started or error.ran is not False

    def error_for_caller(self, error: BaobabError) -> BaobabError:
        """Return the error, or one that does not say "not run" if an attempt may have run."""
        if error.ran is not False or not self.may_have_run:
            return error
        if isinstance(error, DeadlineExceeded):
            return DeadlineExceeded(error.message)
        return UpstreamLost(f"an attempt was lost and cannot be retried: {error.message}")
