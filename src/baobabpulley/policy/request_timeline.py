"""The timeline of one request from log lines, and the cause of its outcome in one sentence."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from baobabpulley.model.log_lines import LogLine

# Process events up to this long before the start or after the end of a request may explain it.
NEARBY_SECONDS: Final = 2.0

_NEARBY_EVENTS: Final = frozenset(
    {"store_lost", "store_regained", "frozen", "stop", "start", "configuration", "reload"}
)


def timeline_of(request: str, lines: Sequence[LogLine]) -> list[LogLine]:
    """Return the log lines of a request from all processes, in order of time."""
    return sorted((line for line in lines if line.request == request), key=lambda line: line.time)


def nearby_events(timeline: Sequence[LogLine], lines: Sequence[LogLine]) -> list[LogLine]:
    """Return events that may explain an outcome, from the processes that served the request.

    These are freezes, starts and stops, loss of the store, and changes of configuration.
    """
    if not timeline:
        return []
    nodes = {line.node for line in timeline}
    begin, end = timeline[0].time - NEARBY_SECONDS, timeline[-1].time + NEARBY_SECONDS
    events = [
        line
        for line in lines
        if line.event in _NEARBY_EVENTS and line.node in nodes and begin <= line.time <= end
    ]
    return sorted(events, key=lambda line: line.time)


def describe_cause(timeline: Sequence[LogLine], events: Sequence[LogLine] = ()) -> str:
    """Return one sentence that explains the outcome of a request.

    ``events`` is the result of `nearby_events`.

    >>> describe_cause([LogLine(time=1.0, event="request", outcome="ok", seconds=0.2)])
    'It was answered within 0.20 s.'
    >>> describe_cause([])
    'No log line mentions it: the process that served it ended, or its lines were left out.'
    """
    ends = [line for line in timeline if line.event == "request"]
    if not ends:
        return _describe_unfinished(timeline)
    end = ends[-1]
    failures = [line for line in timeline if line.event == "attempt_failed"]
    if end.outcome == "ok" and end.status >= 400:
        context = f", after {_describe_failure(failures[-1])}" if failures else ""
        return f"Its last upstream itself answered {end.status}{context}."
    if end.outcome == "ok":
        return f"It was answered within {end.seconds:.2f} s{_delay_cause(end, failures)}."
    frozen = _find_freeze(end, events)
    if end.outcome == "client_gone" and frozen is not None:
        return f"Its caller left while {frozen.node} was frozen for {frozen.seconds:.1f} s."
    if end.outcome == "client_gone":
        return (
            f"Its caller left after {end.seconds:.2f} s{_state_at_departure(timeline, failures)}."
        )
    attempts = (
        f" after {len(failures)} failed attempts: {_describe_failure(failures[-1])}"
        if failures
        else ""
    )
    return f"It ended as {end.outcome}: {end.reason or end.message}{attempts}."


def _find_freeze(end: LogLine, events: Sequence[LogLine]) -> LogLine | None:
    """Return the first of the nearby freezes of the process that ended the request, if any."""
    return next((line for line in events if line.event == "frozen" and line.node == end.node), None)


def _describe_unfinished(timeline: Sequence[LogLine]) -> str:
    if not timeline:
        return (
            "No log line mentions it: the process that served it ended, or its lines were left out."
        )
    last = timeline[-1]
    if last.event == "connection_closed":
        answer = f"answered {last.status}" if last.status else "not answered"
        return f"It was not read whole and {answer}: {last.reason}."
    return f"{last.node} ended, or was cut off, while {last.upstream} worked on it."


def _delay_cause(end: LogLine, failures: Sequence[LogLine]) -> str:
    if failures:
        return f", late because {_describe_failure(failures[0])}"
    if end.first_event is not None:
        first, pause = end.first_event, end.longest_pause
        return f", its first event after {first:.2f} s, its longest pause {pause:.2f} s"
    return ""


def _state_at_departure(timeline: Sequence[LogLine], failures: Sequence[LogLine]) -> str:
    if failures:
        return f"; {_describe_failure(failures[-1])}"
    placed = [line for line in timeline if line.event == "placed"]
    return f", while {placed[-1].upstream} worked on it" if placed else ", before it was placed"


def _describe_failure(failure: LogLine) -> str:
    return f"{failure.upstream} failed ({failure.code}): {failure.message}"
