"""Deadlines, queue order and retry-after delays of requests that wait for an upstream.

Under overload, a request that cannot be served before its caller gives up is refused early, while
the caller can still act on it. The retry-after delay is jittered, so that callers do not all return
at the moment when capacity frees up.
"""

from __future__ import annotations

import random
from typing import Final

import msgspec

from baobabpulley.model.routes import STREAM
from baobabpulley.model.routes import Route

# The caller of a stream is assumed to leave if the stream is silent for longer than the largest of
# this minimum, a multiple of the route's objective and a multiple of its pause objective.
MIN_CALLER_SILENCE_SECONDS: Final = 2.0
CALLER_SILENCE_OBJECTIVE_RATIO: Final = 4.0
CALLER_SILENCE_PAUSE_RATIO: Final = 8.0
# An upstream counts as lost after this fraction of the longest silence that the caller tolerates.
UPSTREAM_SILENCE_RATIO: Final = 0.5
# A request is refused if it is still queued after this fraction of its caller's tolerated wait.
MAX_WAIT_RATIO: Final = 0.7
# Head start in the queue for each step of priority.
PRIORITY_STEP_SECONDS: Final = 0.2
# A prompt is not prefilled if less than this fraction of a usual answer's time would remain.
MIN_ANSWER_RATIO: Final = 0.75
# Bounds of the retry-after delay; the upper one is a fraction of the request's remaining time.
MIN_RETRY_AFTER_SECONDS: Final = 0.1
MAX_RETRY_AFTER_RATIO: Final = 0.3


class RequestTimes(msgspec.Struct, frozen=True):
    """Times of one request, in seconds of the monotonic clock.

    ``objective`` is the target time of the answer, or of the first event of a stream. ``end`` is
    the deadline. ``patience`` is a duration: the longest silence that the caller tolerates.
    ``priority`` 0 is the most urgent.
    """

    arrived: float
    objective: float
    patience: float
    end: float
    priority: int = 0

    @property
    def sort_key(self) -> float:
        """Position in the queue: urgent requests go first, but cannot starve older ones."""
        return self.objective + PRIORITY_STEP_SECONDS * self.priority

    @property
    def wait_until(self) -> float:
        """When the request is refused if it is still in the queue."""
        bound = min(self.patience, self.end - self.arrived)
        return self.arrived + MAX_WAIT_RATIO * bound

    @property
    def silence_timeout(self) -> float:
        """Seconds without a byte after which an upstream counts as lost."""
        return UPSTREAM_SILENCE_RATIO * self.patience


def request_times(
    route: Route, *, arrived: float, remaining: float | None, priority: int | None = None
) -> RequestTimes:
    """Return the times of a request that arrived at ``arrived``.

    ``remaining`` is how many seconds the caller says it will wait. The ``priority`` of the client
    account overrides the route's.
    """
    allowed = route.timeout if remaining is None else min(route.timeout, remaining)
    patience = allowed
    if route.kind == STREAM:
        patience = max(
            MIN_CALLER_SILENCE_SECONDS,
            CALLER_SILENCE_OBJECTIVE_RATIO * route.objective,
            CALLER_SILENCE_PAUSE_RATIO * route.pause_objective,
        )
    return RequestTimes(
        arrived=arrived,
        objective=arrived + route.objective,
        patience=patience,
        end=arrived + allowed,
        priority=route.priority if priority is None else priority,
    )


def first_event_deadline(times: RequestTimes, *, answer: float) -> float:
    """Return when an answer that usually takes ``answer`` seconds has to start to end in time."""
    return times.end - MIN_ANSWER_RATIO * answer


def retry_after_seconds(source: random.Random, *, expected: float, left: float) -> float:
    """Return after how many seconds a refused caller should retry.

    Capacity is expected in ``expected`` seconds; jitter of up to as much again spreads callers. The
    delay is at most a fixed fraction of the ``left`` seconds that the request still has.
    """
    longest = max(0.0, MAX_RETRY_AFTER_RATIO * left)
    return min(longest, max(MIN_RETRY_AFTER_SECONDS, expected) * source.uniform(1.0, 2.0))
