"""A day of gateways in figures, from their log lines."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Sequence
from typing import Final

import msgspec

from baobabpulley.model.log_lines import LogLine

# Bounds of the rows by prompt length, in tokens.
LENGTH_BOUNDS_TOKENS: Final = (1, 1000, 10_000, 30_000, 100_000, 200_000, 1_000_001)
# Events that change what a process believes of others, or end it.
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
    """How many requests of a service ended alike; ``reason`` is empty for answers."""

    service: str
    outcome: str
    reason: str
    number: int


class LengthRow(msgspec.Struct, frozen=True):
    """First events and pauses (seconds) of prompts from ``tokens`` on, up to the next row.

    ``error_p50`` and ``error_p95`` are by how much first events came later than expected.
    """

    tokens: int
    number: int
    first_p50: float
    first_p95: float
    pause_p95: float
    error_p50: float
    error_p95: float


class TimeRow(msgspec.Struct, frozen=True):
    """Requests that arrived within one period from ``second`` on; durations are in seconds."""

    second: float
    requests: int
    not_ok: int
    first_p95: float
    wait_p95: float


class StateChange(msgspec.Struct, frozen=True):
    """What a process took over or lost, ``second`` after the day's first request."""

    second: float
    node: str
    event: str
    detail: str


class DaySummary(msgspec.Struct, frozen=True):
    """Everything that a report on a day shows."""

    outcomes: tuple[Outcome, ...]
    lengths: tuple[LengthRow, ...]
    times: tuple[TimeRow, ...]
    beliefs: tuple[StateChange, ...]


def summary_of(lines: Sequence[LogLine], *, period: float) -> DaySummary:
    """Return the figures of a day, in rows of ``period`` seconds.

    >>> line = LogLine(time=5.0, event="request", service="kitchen", outcome="ok", seconds=1.0)
    >>> summary_of([line], period=2.0).outcomes[0].number
    1
    """
    ends = [line for line in lines if line.event == "request"]
    placed = _last_placements(lines)
    begin = min((line.time - line.seconds for line in ends), default=0.0)
    return DaySummary(
        outcomes=_outcomes(ends),
        lengths=tuple(_lengths(ends, placed)),
        times=tuple(_times(ends, placed, begin, period)),
        beliefs=tuple(
            StateChange(round(line.time - begin, 2), line.node, line.event, _detail(line))
            for line in sorted(lines, key=lambda line: line.time)
            if line.event in STATE_CHANGE_EVENTS
        ),
    )


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of all lies, 0 if there are none.

    >>> quantile([3.0, 1.0, 2.0], 0.5), quantile([], 0.5)
    (2.0, 0.0)
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


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
    """Return a reason without ids and figures, so that alike ones count together.

    >>> _without_figures("i-7f3a answered 503, not run"), _without_figures("about 0.25 s left")
    ('* answered *, not run', 'about * s left')
    """
    words = ("*" if any(map(str.isdigit, word)) else word for word in reason.split())
    return " ".join(words).replace("* not", "*, not")


def _lengths(ends: Sequence[LogLine], placed: dict[str, LogLine]) -> list[LengthRow]:
    rows = []
    for least, most in itertools.pairwise(LENGTH_BOUNDS_TOKENS):
        found = [
            line
            for line in ends
            if least <= line.prompt_tokens < most and line.first_event is not None
        ]
        if not found:
            continue
        firsts = [line.first_event or 0.0 for line in found]
        errors = [error for line in found if (error := _lateness(line, placed)) is not None]
        rows.append(
            LengthRow(
                tokens=least,
                number=len(found),
                first_p50=quantile(firsts, 0.5),
                first_p95=quantile(firsts, 0.95),
                pause_p95=quantile([line.longest_pause for line in found], 0.95),
                error_p50=quantile(errors, 0.5),
                error_p95=quantile(errors, 0.95),
            )
        )
    return rows


def _lateness(end: LogLine, placed: dict[str, LogLine]) -> float | None:
    """Return by how much a first event came later than its last attempt expected."""
    attempt = placed.get(end.request or "")
    if attempt is None or attempt.after is None or end.first_event is None:
        return None
    return end.first_event - attempt.after - attempt.expected


def _times(
    ends: Sequence[LogLine], placed: dict[str, LogLine], begin: float, period: float
) -> list[TimeRow]:
    def number(line: LogLine) -> int:
        return int((line.time - line.seconds - begin) / period)

    rows = []
    for which, group in itertools.groupby(sorted(ends, key=number), key=number):
        found = list(group)
        firsts = [line.first_event for line in found if line.first_event is not None]
        waits = [
            attempt.after
            for line in found
            if (attempt := placed.get(line.request or "")) is not None and attempt.after is not None
        ]
        rows.append(
            TimeRow(
                second=which * period,
                requests=len(found),
                not_ok=sum(line.outcome != "ok" for line in found),
                first_p95=quantile(firsts, 0.95),
                wait_p95=quantile(waits, 0.95),
            )
        )
    return rows


def _detail(line: LogLine) -> str:
    version = "" if line.version is None else f"version {line.version}"
    return version or line.upstream or line.message
