"""Summarise a day of gateway traffic from the gateways' log lines."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Sequence
from typing import Final

import msgspec

from baobabpulley.model.log_lines import LogLine

# Bounds of the rows by prompt length.
LENGTH_BOUNDS_TOKENS: Final = (1, 1000, 10_000, 30_000, 100_000, 200_000, 1_000_001)
# Log events that change a process's state or its view of the fleet.
STATE_CHANGE_EVENTS: Final = frozenset(
    {
        "start",
        "stop",
        "stopped",
        "frozen",
        "reload",
        "configuration",
        "snapshot",
        "store_lost",
        "store_regained",
        "store_compacted",
        "bad_document",
        "upstream_gone",
        "ticket_lost",
    }
)


class Outcome(msgspec.Struct, frozen=True):
    """Number of requests of a service that ended with the same outcome and reason.

    ``reason`` is empty for requests that were answered.
    """

    service: str
    outcome: str
    reason: str
    number: int


class LengthRow(msgspec.Struct, frozen=True):
    """First-event latency and longest pauses of prompts of similar length, in seconds.

    The row covers lengths from ``tokens`` up to the next bound. ``error_p50`` and ``error_p95``
    are percentiles of the delay of first events past the time expected at placement.
    """

    tokens: int
    number: int
    first_p50: float
    first_p95: float
    pause_p95: float
    error_p50: float
    error_p95: float


class TimeRow(msgspec.Struct, frozen=True):
    """Requests that arrived within one period from ``second`` on; durations are in seconds.

    ``wait_p95`` is the time from a request's arrival to its last placement.
    """

    second: float
    requests: int
    not_ok: int
    first_p95: float
    wait_p95: float


class StateChange(msgspec.Struct, frozen=True):
    """A logged change of a process's state; ``second`` counts from the day's first request."""

    second: float
    node: str
    event: str
    detail: str


class DaySummary(msgspec.Struct, frozen=True):
    """Contents of the day report; ``state_changes`` are in time order."""

    outcomes: tuple[Outcome, ...]
    lengths: tuple[LengthRow, ...]
    times: tuple[TimeRow, ...]
    state_changes: tuple[StateChange, ...] = msgspec.field(name="beliefs")


def summary_of(lines: Sequence[LogLine], *, period: float) -> DaySummary:
    """Summarise log lines; the rows over time cover ``period`` seconds each.

    >>> line = LogLine(time=5.0, event="request", service="kitchen", outcome="ok", seconds=1.0)
    >>> summary_of([line], period=2.0).outcomes[0].number
    1
    """
    ends = [line for line in lines if line.event == "request"]
    placements = _last_placements(lines)
    begin = min((line.time - line.seconds for line in ends), default=0.0)
    return DaySummary(
        outcomes=_outcomes(ends),
        lengths=tuple(_lengths(ends, placements)),
        times=tuple(_times(ends, placements, begin, period)),
        state_changes=tuple(
            StateChange(round(line.time - begin, 2), line.node, line.event, _detail(line))
            for line in sorted(lines, key=lambda line: line.time)
            if line.event in STATE_CHANGE_EVENTS
        ),
    )


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return the value below which a fraction of ``values`` lies, 0 if there are none.

    >>> quantile([3.0, 1.0, 2.0], 0.5), quantile([], 0.5)
    (2.0, 0.0)
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


def _last_placements(lines: Sequence[LogLine]) -> dict[str, LogLine]:
    return {
        line.request: line for line in lines if line.event == "placed" and line.request is not None
    }


def _outcomes(ends: Sequence[LogLine]) -> tuple[Outcome, ...]:
    counts = Counter(
        (line.service or "-", str(line.outcome), _without_figures(line.reason or ""))
        for line in ends
    )
    return tuple(Outcome(*key, number=number) for key, number in sorted(counts.items()))


def _without_figures(reason: str) -> str:
    """Return a reason with ids and figures masked, so that similar reasons are counted together.

    >>> _without_figures("i-7f3a answered 503, not run"), _without_figures("about 0.25 s left")
    ('* answered *, not run', 'about * s left')
    """
    words = ("*" if any(map(str.isdigit, word)) else word for word in reason.split())
    return " ".join(words).replace("* not", "*, not")


def _lengths(ends: Sequence[LogLine], placements: dict[str, LogLine]) -> list[LengthRow]:
    rows = []
    for lower, upper in itertools.pairwise(LENGTH_BOUNDS_TOKENS):
        requests = [
            line
            for line in ends
            if lower <= line.prompt_tokens < upper and line.first_event is not None
        ]
        if not requests:
            continue
        first_events = [line.first_event or 0.0 for line in requests]
        errors = [error for line in requests if (error := _lateness(line, placements)) is not None]
        rows.append(
            LengthRow(
                tokens=lower,
                number=len(requests),
                first_p50=quantile(first_events, 0.5),
                first_p95=quantile(first_events, 0.95),
                pause_p95=quantile([line.longest_pause for line in requests], 0.95),
                error_p50=quantile(errors, 0.5),
                error_p95=quantile(errors, 0.95),
            )
        )
    return rows


def _lateness(end: LogLine, placements: dict[str, LogLine]) -> float | None:
    """Return the delay of a first event past the time expected at the last placement.

    ``None`` if there was no first event or no placement was logged.
    """
    placement = placements.get(end.request or "")
    if placement is None or placement.after is None or end.first_event is None:
        return None
    return end.first_event - placement.after - placement.expected


def _times(
    ends: Sequence[LogLine], placements: dict[str, LogLine], begin: float, period: float
) -> list[TimeRow]:
    def period_of(line: LogLine) -> int:
        return int((line.time - line.seconds - begin) / period)

    rows = []
    for period_number, group in itertools.groupby(sorted(ends, key=period_of), key=period_of):
        requests = list(group)
        first_events = [line.first_event for line in requests if line.first_event is not None]
        waits = [
            placement.after
            for line in requests
            if (placement := placements.get(line.request or "")) is not None
            and placement.after is not None
        ]
        rows.append(
            TimeRow(
                second=period_number * period,
                requests=len(requests),
                not_ok=sum(line.outcome != "ok" for line in requests),
                first_p95=quantile(first_events, 0.95),
                wait_p95=quantile(waits, 0.95),
            )
        )
    return rows


def _detail(line: LogLine) -> str:
    version = "" if line.version is None else f"version {line.version}"
    return version or line.upstream or line.message
