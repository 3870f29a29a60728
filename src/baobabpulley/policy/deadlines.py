"""How long a request may wait for an upstream, who goes first, and who is turned away at once.

Load pattern: more arrives than the upstreams serve. A request that cannot be served before its
caller gives up is refused while that still helps the caller, with a time to come back that
spreads callers over the capacity as it frees.
"""

from __future__ import annotations

import random
from typing import Final

import msgspec

from baobabpulley.model.routes import STREAM
from baobabpulley.model.routes import Route

# A caller leaves a stream that stays silent for longer than the longest of these.
MIN_CALLER_SILENCE_SECONDS: Final = 2.0
CALLER_SILENCE_OBJECTIVE_RATIO: Final = 4.0
CALLER_SILENCE_PAUSE_RATIO: Final = 8.0
# Part of a caller's patience after which silence of an upstream counts as its loss.
UPSTREAM_SILENCE_RATIO: Final = 0.5
# Part of a request's time that is spent waiting before it is turned away.
MAX_WAIT_RATIO: Final = 0.7
# Seconds by which a request goes before another that is one priority less urgent.
PRIORITY_STEP_SECONDS: Final = 0.2
# Part of a usual answer's time without which a prompt is not worth reading.
MIN_ANSWER_RATIO: Final = 0.75
# Bounds of the time to come back, in seconds and as a share of the time left.
MIN_RETRY_AFTER_SECONDS: Final = 0.1
MAX_RETRY_AFTER_RATIO: Final = 0.3


class RequestTimes(msgspec.Struct, frozen=True):
    """The moments of one request in monotonic seconds.

    ``objective`` is when the answer (of a stream: its first event) is wanted, ``patience`` how
    long its caller bears silence, ``end`` the last moment for an answer. ``priority`` 0 is the
    most urgent.
    """

    arrived: float
    objective: float
    patience: float
    end: float
    priority: int = 0

    @property
    def sort_key(self) -> float:
        """By what waiting requests are served: urgent ones first, but none waits for good."""
        return self.objective + PRIORITY_STEP_SECONDS * self.priority

    @property
    def wait_until(self) -> float:
        """When a request that still waits is turned away."""
        bound = min(self.patience, self.end - self.arrived)
        return self.arrived + MAX_WAIT_RATIO * bound

    @property
    def silence_timeout(self) -> float:
        """Seconds of silence after which an upstream counts as lost."""
        return UPSTREAM_SILENCE_RATIO * self.patience


def request_times(
    route: Route, *, arrived: float, remaining: float | None, priority: int | None = None
) -> RequestTimes:
    """Return the moments of a request.

    ``remaining`` is what its caller says it waits; the account's ``priority`` goes before the
    route's.
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
    """Return when an answer that usually takes ``answer`` seconds has to begin to end in time."""
    return times.end - MIN_ANSWER_RATIO * answer


def retry_after_seconds(source: random.Random, *, expected: float, left: float) -> float:
    """Return the seconds after which a refused caller should come back.

    ``expected`` is when capacity frees; callers are spread over as much time again.
    """
    longest = max(0.0, MAX_RETRY_AFTER_RATIO * left)
    return min(longest, max(MIN_RETRY_AFTER_SECONDS, expected) * source.uniform(1.0, 2.0))
