"""What this entry has lately sent of shorts, by team."""

from __future__ import annotations

from collections import Counter
from collections import deque
from typing import Final
from typing import final

WINDOW_SECONDS: Final = 5.0


@final
class ShortLaneRate:
    """Prefill tokens of shorts sent within the last `WINDOW_SECONDS` model seconds."""

    __slots__ = ("_sends", "_sum", "_sums")

    def __init__(self) -> None:
        self._sends: deque[tuple[float, str, int]] = deque()
        self._sum = 0
        self._sums: Counter[str] = Counter()

    def add(self, team: str, tokens: int, *, at: float) -> None:
        """Count a short in."""
        self._sends.append((at, team, tokens))
        self._sums[team] += tokens
        self._sum += tokens

    def rate(self, *, now: float) -> float:
        """Return the tokens a model second of all teams."""
        self._forget(now)
        return self._sum / WINDOW_SECONDS

    def rate_of_others(self, team: str, *, now: float) -> float:
        """Return the tokens a model second of all teams but one."""
        self._forget(now)
        return (self._sum - self._sums.get(team, 0)) / WINDOW_SECONDS

    def _forget(self, now: float) -> None:
        while self._sends and self._sends[0][0] < now - WINDOW_SECONDS:
            _, team, tokens = self._sends.popleft()
            self._sum -= tokens
            self._sums[team] -= tokens
            if not self._sums[team]:
                del self._sums[team]
