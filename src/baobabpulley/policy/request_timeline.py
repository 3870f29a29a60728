"""The life of one request told from log lines, with its cause in one sentence."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from baobabpulley.model.log_lines import LogLine

# Seconds around a request in which a lost dependency may be its cause.
NEARBY_SECONDS: Final = 2.0

_NEARBY_EVENTS: Final = frozenset(
    {"store_lost", "store_regained", "frozen", "stop", "start", "configuration", "reload"}
)


def timeline_of(request: str, lines: Sequence[LogLine]) -> list[LogLine]:
    """Return the lines of a request over all processes in time order."""
    return sorted((line for line in lines if line.request == request), key=lambda line: line.time)


def nearby_events(story: Sequence[LogLine], lines: Sequence[LogLine]) -> list[LogLine]:
    """Return what the processes that served a request lost, regained or took over meanwhile."""
    if not story:
        return []
    nodes = {line.node for line in story}
    begin, end = story[0].time - NEARBY_SECONDS, story[-1].time + NEARBY_SECONDS
    found = [
        line
        for line in lines
        if line.event in _NEARBY_EVENTS and line.node in nodes and begin <= line.time <= end
    ]
    return sorted(found, key=lambda line: line.time)


def describe_cause(story: Sequence[LogLine], around: Sequence[LogLine] = ()) -> str:
    """Return in one sentence why a request ended as it did.

    ``around`` is what `nearby_events` returns.

    >>> describe_cause([LogLine(time=1.0, event="request", outcome="ok", seconds=0.2)])
    'It was answered within 0.20 s.'
    >>> describe_cause([])
    'No line tells of it: the process that served it ended, or its lines were left out.'
    """
    ends = [line for line in story if line.event == "request"]
    if not ends:
        return _unfinished(story)
    end = ends[-1]
    failures = [line for line in story if line.event == "attempt_failed"]
    if end.outcome == "ok" and end.status >= 400:
        before = f", after {_told(failures[-1])}" if failures else ""
        return f"Its last upstream answered {end.status} by itself{before}."
    if end.outcome == "ok":
        return f"It was answered within {end.seconds:.2f} s{_slowness(end, failures)}."
    frozen = _freeze(end, around)
    if end.outcome == "client_gone" and frozen is not None:
        return f"Its caller left while {frozen.node} stood still for {frozen.seconds:.1f} s."
    if end.outcome == "client_gone":
        return f"Its caller left after {end.seconds:.2f} s{_waiting_for(story, failures)}."
    tried = f" after {len(failures)} failed attempts: {_told(failures[-1])}" if failures else ""
    return f"It ended as {end.outcome}: {end.reason or end.message}{tried}."


def _freeze(end: LogLine, around: Sequence[LogLine]) -> LogLine | None:
    """Return the line of the freeze from which the process of a request had just woken."""
    return next((line for line in around if line.event == "frozen" and line.node == end.node), None)


def _unfinished(story: Sequence[LogLine]) -> str:
    if not story:
        return "No line tells of it: the process that served it ended, or its lines were left out."
    last = story[-1]
    return f"{last.node} ended, or was cut off, while {last.upstream} worked on it."


def _slowness(end: LogLine, failures: Sequence[LogLine]) -> str:
    if failures:
        return f", late as {_told(failures[0])}"
    if end.first_event is not None:
        first, pause = end.first_event, end.longest_pause
        return f", its first event after {first:.2f} s, its longest pause {pause:.2f} s"
    return ""


def _waiting_for(story: Sequence[LogLine], failures: Sequence[LogLine]) -> str:
    if failures:
        return f"; {_told(failures[-1])}"
    placed = [line for line in story if line.event == "placed"]
    return f", while {placed[-1].upstream} worked on it" if placed else ", before it was placed"


def _told(failure: LogLine) -> str:
    return f"{failure.upstream} failed ({failure.code}): {failure.message}"
