"""Notice early that an engine has fallen silent, and prefer others for new attempts meanwhile.

Sound engines pause for a second or so, a third of a service's at the same moment. Whether an engine
is lost is decided only after a second of silence, and what is sent to it until then waits.
Its running streams show the pause earlier: none of them goes on. A silent engine is only avoided,
as long as others have room and at most for a bounded time: no failure is recorded, and the first
event of any stream ends it. An engine without running streams is never silent here, as
it may be prefilling a long prompt.
"""

from __future__ import annotations

from typing import Final
from typing import final

from baobabpulley.policy.silence_reports import SilenceReports

# An engine is silent after this many of its usual gaps between the events of a stream.
SILENT_GAPS: Final = 2.5
MIN_SILENT_SECONDS: Final = 0.2
# An engine that is silent for longer than this is left to the health checks.
MAX_SILENT_SECONDS: Final = 2.0
# An engine with more known prefill than this may be silent because of it.
MAX_BACKLOG_SECONDS: Final = 0.2
# Weight of the latest gap in the moving average of an engine's gaps.
GAP_EWMA_WEIGHT: Final = 0.1
# A longer gap, as a pause leaves one, counts as this many usual ones.
MAX_GAP_RATIO: Final = 2.0

_NONE: Final[frozenset[str]] = frozenset()


def is_explained(*, backlog: float) -> bool:
    """Whether an engine may be silent because it prefills prompts for ``backlog`` more seconds.

    >>> is_explained(backlog=1.0), is_explained(backlog=0.05)
    (True, False)
    """
    return backlog > MAX_BACKLOG_SECONDS


@final
class EngineStreams:
    """The running streams of one engine: their number, last event and usual gap between events.

    Times are in seconds of the monotonic clock. The gap is ``None`` until one has been observed.
    """

    __slots__ = ("_gap", "_heard_at", "_running", "_silent_after")

    def __init__(self) -> None:
        self._running = 0
        self._heard_at = 0.0
        self._gap: float | None = None
        self._silent_after = MAX_SILENT_SECONDS

    def begin(self, *, now: float) -> None:
        """Record the first event of a stream."""
        self._running += 1
        self._heard_at = now

    def record_event(self, *, gap: float, now: float) -> None:
        """Record an event that arrived ``gap`` seconds after the previous one of its stream."""
        self._heard_at = now
        if self._gap is None:
            self._gap = gap
        else:
            counted = min(gap, MAX_GAP_RATIO * self._gap)
            self._gap += GAP_EWMA_WEIGHT * (counted - self._gap)
        self._silent_after = max(MIN_SILENT_SECONDS, SILENT_GAPS * self._gap)

    def record_heard(self, *, now: float) -> None:
        """Record that a stream can't show silence now, as its caller is slow to read."""
        self._heard_at = now

    def end(self) -> None:
        """Record the end of a stream."""
        self._running -= 1

    def went_on(self, *, since: float) -> bool:
        """Whether an event has arrived since then."""
        return self._heard_at > since

    def is_silent(self, *, now: float) -> bool:
        """Whether no running stream has had an event for clearly longer than usual."""
        return self._running > 0 and self._silent_after < now - self._heard_at <= MAX_SILENT_SECONDS


@final
class SilentEngines:
    """Find the engines whose running streams are all silent, here or at other gateways."""

    __slots__ = ("_reports", "_streams")

    def __init__(self) -> None:
        self._streams: dict[str, EngineStreams] = {}
        self._reports = SilenceReports()

    def streams(self, engine: str) -> EngineStreams:
        """Return the running streams of an engine."""
        return self._streams.setdefault(engine, EngineStreams())

    def silent(self, *, now: float) -> frozenset[str]:
        """Return the ids of the engines that are silent.

        What other gateways report counts unless a stream of this one went on meanwhile.
        """
        found = self._seen(now)
        reports = self._reports.heard(now=now)
        found += [id for id, at in reports.items() if not self._went_on(id, at)]
        return frozenset(found) if found else _NONE

    def receive(self, engines: tuple[str, ...], *, now: float) -> None:
        """Record which engines another gateway finds silent now."""
        self._reports.receive(engines, now=now)

    def take_reports(self, *, now: float) -> tuple[str, ...]:
        """Return the ids of silent engines to report in the next message to other gateways."""
        return self._reports.take_due(self._seen(now), now=now)

    def forget(self, engine: str) -> None:
        """Drop the record of an engine that was removed."""
        self._streams.pop(engine, None)

    def _seen(self, now: float) -> list[str]:
        return [id for id, streams in self._streams.items() if streams.is_silent(now=now)]

    def _went_on(self, engine: str, reported_at: float) -> bool:
        """Whether a stream of this gateway has gone on since the reported silence began."""
        streams = self._streams.get(engine)
        return streams is not None and streams.went_on(since=reported_at - MIN_SILENT_SECONDS)
