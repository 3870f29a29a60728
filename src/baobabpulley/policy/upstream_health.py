"""Passive health checks and circuit breaking for upstreams.

If one upstream of sixteen becomes unreachable or fails half of its requests, traffic has to move
away within a second or two, even if the upstream still reports itself healthy. It returns after a
backoff, one probe request at a time.
"""

from __future__ import annotations

from typing import Final
from typing import final

from baobabpulley.policy.backoff import backoff_seconds

# Time without requests after an upstream was lost; doubled with each further consecutive loss.
INITIAL_BACKOFF_SECONDS: Final = 1.0
MAX_BACKOFF_SECONDS: Final = 8.0
# Weight of the latest attempt in the moving average of an upstream's failure rate.
FAILURE_EWMA_WEIGHT: Final = 0.25
# Cost of an upstream with a failure rate of 1 when upstreams are compared.
FAILURE_PENALTY_SECONDS: Final = 0.5


class _Record:
    __slots__ = ("backoff_until", "consecutive_losses", "failure_rate", "probing")

    def __init__(self) -> None:
        self.failure_rate = 0.0
        self.consecutive_losses = 0
        self.backoff_until = 0.0
        self.probing = False

    def is_paused(self, now: float) -> bool:
        """Whether the upstream gets no requests: it is in backoff, or a probe is running."""
        return self.consecutive_losses > 0 and (self.probing or now < self.backoff_until)


@final
class UpstreamHealth:
    """Failure rates and backoff of upstreams, from the results of attempts.

    ``now`` is in seconds of the monotonic clock.
    """

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    @property
    def penalties(self) -> dict[str, float]:
        """Cost in seconds for failures, by upstream id; upstreams that are absent have none."""
        return {
            id: record.failure_rate * FAILURE_PENALTY_SECONDS
            for id, record in self._records.items()
        }

    def paused_upstreams(self, *, now: float) -> set[str]:
        """Return the upstreams that get no requests.

        Once the backoff of an upstream has ended, it gets a single request as a probe.
        """
        return {id for id, record in self._records.items() if record.is_paused(now)}

    def record_attempt(self, upstream: str) -> None:
        """Record a request; it is a probe if the upstream was lost before."""
        record = self._records.get(upstream)
        if record is not None and record.consecutive_losses:
            record.probing = True

    def record_response(self, upstream: str, *, succeeded: bool) -> None:
        """Record a response; ``succeeded`` is false if the upstream itself failed."""
        record = self._records.get(upstream)
        if record is None:
            if succeeded:
                return
            record = self._records[upstream] = _Record()
        record.failure_rate += FAILURE_EWMA_WEIGHT * (
            (0.0 if succeeded else 1.0) - record.failure_rate
        )
        record.probing = False
        if succeeded:
            record.consecutive_losses = 0

    def record_failure(self, upstream: str, *, now: float) -> None:
        """Record that an upstream was unreachable or stopped responding, and start its backoff."""
        record = self._records.setdefault(upstream, _Record())
        record.failure_rate += FAILURE_EWMA_WEIGHT * (1.0 - record.failure_rate)
        record.probing = False
        record.backoff_until = now + backoff_seconds(
            record.consecutive_losses, first=INITIAL_BACKOFF_SECONDS, longest=MAX_BACKOFF_SECONDS
        )
        record.consecutive_losses += 1

    def cancel_probe(self, upstream: str) -> None:
        """Record that a request ended without showing whether its upstream is healthy."""
        record = self._records.get(upstream)
        if record is not None:
            record.probing = False

    def has_record(self, upstream: str) -> bool:
        """Whether a failure of the upstream has been recorded."""
        return upstream in self._records

    def forget(self, upstream: str) -> None:
        """Drop the record of an upstream that was removed."""
        self._records.pop(upstream, None)
