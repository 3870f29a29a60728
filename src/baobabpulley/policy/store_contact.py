"""Whether the store answers this gateway itself.

Load pattern: the store fails some gateways or all of them, by errors or by silence. A gateway that
it fails leaves the watch to others, and asks it again now and then.
"""

from __future__ import annotations

from typing import final


@final
class StoreContact:
    """Own calls to the store and their answers.

    Times are seconds of a clock that runs on while the machine is suspended. A watch without an
    answer for ``max_silence`` seconds has failed.
    """

    __slots__ = ("_answered_at", "_has_failed", "_max_silence", "_watching_since")

    def __init__(self, *, max_silence: float) -> None:
        self._max_silence = max_silence
        self._has_failed = False
        self._watching_since: float | None = None
        self._answered_at = 0.0

    def begin_watch(self, *, now: float) -> None:
        """Record that this gateway watches the store from now on, unless it did before."""
        if self._watching_since is None:
            self._watching_since = now

    def end_watch(self, *, now: float) -> None:
        """Record that this gateway no longer watches the store."""
        self._has_failed = self.is_failing(now=now)
        self._watching_since = None

    def record_answer(self, *, now: float) -> None:
        """Record an answer of the store."""
        self._has_failed = False
        self._answered_at = now

    def record_failure(self) -> None:
        """Record that the store failed this gateway, until it answers again."""
        self._has_failed = True

    def silence(self, *, now: float) -> float:
        """Return for how many seconds a watch has had no answer; 0 without a watch."""
        if self._watching_since is None:
            return 0.0
        return max(0.0, now - max(self._watching_since, self._answered_at))

    def is_failing(self, *, now: float) -> bool:
        """Whether the store failed this gateway and hasn't answered it since."""
        return self._has_failed or self.silence(now=now) > self._max_silence
