"""Upstreams that fail although they look well, found from the answers that they give.

Load pattern: one upstream of sixteen goes dark or fails half of its requests; work has to leave
it within a second or two and come back once it is well, a trial at a time.
"""

from __future__ import annotations

from typing import Final
from typing import final

# Seconds without work after the first failure to reach an upstream; doubled with each further.
INITIAL_BACKOFF_SECONDS: Final = 1.0
MAX_BACKOFF_SECONDS: Final = 8.0
# Weight of the newest answer in an upstream's share of failures.
FAILURE_EWMA_WEIGHT: Final = 0.25
# Seconds that a share of failures of 1 counts among the costs of an upstream.
FAILURE_PENALTY_SECONDS: Final = 0.5


class _Record:
    __slots__ = ("failures", "paused_until", "pauses", "trial")

    def __init__(self) -> None:
        self.failures = 0.0
        self.pauses = 0
        self.paused_until = 0.0
        self.trial = False

    def is_paused(self, now: float) -> bool:
        """Whether the upstream gets no work."""
        return self.pauses > 0 and (self.trial or now < self.paused_until)


@final
class UpstreamHealth:
    """What the answers of upstreams say of them; ``now`` is in seconds."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    @property
    def penalties(self) -> dict[str, float]:
        """The seconds that upstreams' failures count in the choice; others count nothing."""
        return {
            id: record.failures * FAILURE_PENALTY_SECONDS for id, record in self._records.items()
        }

    def paused(self, *, now: float) -> set[str]:
        """Return the upstreams that get no work; after a pause one gets one request as a trial."""
        return {id for id, record in self._records.items() if record.is_paused(now)}

    def sent(self, upstream: str) -> None:
        """Note a request; to an upstream that was paused it is a trial."""
        record = self._records.get(upstream)
        if record is not None and record.pauses:
            record.trial = True

    def answered(self, upstream: str, *, well: bool) -> None:
        """Note an answer of an upstream, well or failed by itself."""
        record = self._records.get(upstream)
        if record is None:
            if well:
                return
            record = self._records[upstream] = _Record()
        record.failures += FAILURE_EWMA_WEIGHT * ((0.0 if well else 1.0) - record.failures)
        record.trial = False
        if well:
            record.pauses = 0

    def lost(self, upstream: str, *, now: float) -> None:
        """Note that an upstream was not reached or went silent."""
        record = self._records.setdefault(upstream, _Record())
        record.failures += FAILURE_EWMA_WEIGHT * (1.0 - record.failures)
        record.trial = False
        record.paused_until = now + min(
            MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2**record.pauses
        )
        record.pauses += 1

    def cancel_probe(self, upstream: str) -> None:
        """Note that a request ended without telling anything of its upstream."""
        record = self._records.get(upstream)
        if record is not None:
            record.trial = False

    def has_record(self, upstream: str) -> bool:
        """Whether a failure of an upstream is kept."""
        return upstream in self._records

    def forget(self, upstream: str) -> None:
        """Forget an upstream that is gone."""
        self._records.pop(upstream, None)
