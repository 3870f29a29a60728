"""Which requests a gateway that shuts down still takes up.

Load pattern: a planned stop while callers send new requests on connections that they keep, to
services whose answers last about as long as the grace period. What is refused here can be served
by another gateway at once; what is cut may have run and is lost to its caller.
"""

from __future__ import annotations

from typing import Final
from typing import final

from baobabpulley.model.routes import EnginePerformance

# The longest answers are remembered for one to two such windows.
WINDOW_SECONDS: Final = 30.0
# A busy engine decodes more slowly than an idle one by up to about this factor.
BUSY_ENGINE_RATIO: Final = 2.0


@final
class LongestAnswers:
    """The longest recent answer of each route, in seconds."""

    __slots__ = ("_current", "_previous", "_since")

    def __init__(self) -> None:
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}
        self._since = 0.0

    def record(self, route: str, *, seconds: float, now: float) -> None:
        """Record how long a request took whose attempt was sent to an upstream."""
        self._rotate(now)
        self._current[route] = max(seconds, self._current.get(route, 0.0))

    def longest(self, route: str, *, now: float) -> float:
        """Return the longest recent answer, 0 if there is none."""
        self._rotate(now)
        return max(self._current.get(route, 0.0), self._previous.get(route, 0.0))

    def _rotate(self, now: float) -> None:
        age = now - self._since
        if age < WINDOW_SECONDS:
            return
        self._previous = self._current if age < 2 * WINDOW_SECONDS else {}
        self._current = {}
        self._since = now


@final
class ShutdownAdmission:
    """Decide whether there is time for a request before the shutdown ends what is running.

    Until `begin`, there always is. For the first seconds, while callers may have had no choice but
    this gateway, requests are taken up that are expected to end in time. After that only those
    are whose deadline is in time. Times are monotonic seconds.
    """

    __slots__ = ("_ends_at", "_lenient_until")

    def __init__(self) -> None:
        self._ends_at: float | None = None
        self._lenient_until = 0.0

    def begin(self, *, ends_at: float, lenient_until: float) -> None:
        """Begin the shutdown, which ends what is running at ``ends_at``.

        Requests are admitted by their expected time up to ``lenient_until``.
        """
        self._ends_at = ends_at
        self._lenient_until = lenient_until

    def seconds_left(self, *, now: float) -> float | None:
        """Return the seconds until running requests are ended, ``None`` without a shutdown."""
        return None if self._ends_at is None else self._ends_at - now

    def has_time(self, *, deadline: float, expected: float, now: float) -> bool:
        """Whether a request that is expected to take so many seconds may be taken up."""
        if self._ends_at is None or deadline <= self._ends_at:
            return True
        return now <= self._lenient_until and now + expected <= self._ends_at


def expected_seconds(
    engine: EnginePerformance | None,
    *,
    prompt_tokens: int,
    max_output_tokens: int,
    objective: float,
    longest: float,
) -> float:
    """Return how long a request may take: its longest recent answer, or more by its own size.

    ``objective`` is the target latency of its route.
    """
    if engine is None:
        return max(longest, objective)
    limit = max_output_tokens or int(engine.usual_answer_tokens)
    decoding = engine.decode_seconds(prompt_tokens=prompt_tokens, max_output_tokens=limit)
    alone = engine.prefill_seconds(prompt_tokens) + decoding
    return max(longest, objective, BUSY_ENGINE_RATIO * alone)
