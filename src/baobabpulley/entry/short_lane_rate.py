"""Rate of the short requests that this entry has sent recently, by team."""

from __future__ import annotations

from collections import Counter
from collections import deque
from typing import Final
from typing import final

WINDOW_SECONDS: Final = 5.0


@final
class ShortLaneRate:
    """Prefill tokens of short requests sent within the last `WINDOW_SECONDS` model seconds."""

    __slots__ = ("_requests", "_team_tokens", "_total_tokens")

    def __init__(self) -> None:
        self._requests: deque[tuple[float, str, int]] = deque()
        self._total_tokens = 0
        self._team_tokens: Counter[str] = Counter()

    def add(self, team: str, tokens: int, *, at: float) -> None:
        """Add a short request sent at ``at``."""
        self._requests.append((at, team, tokens))
        self._team_tokens[team] += tokens
        self._total_tokens += tokens

    def rate(self, *, now: float) -> float:
        """Return the tokens per model second of all teams."""
        self._evict(now)
        return self._total_tokens / WINDOW_SECONDS

    def rate_of_others(self, team: str, *, now: float) -> float:
        """Return the tokens per model second of all teams except one."""
        self._evict(now)
        return (self._total_tokens - self._team_tokens.get(team, 0)) / WINDOW_SECONDS

    def _evict(self, now: float) -> None:
        while self._requests and self._requests[0][0] < now - WINDOW_SECONDS:
            _, team, tokens = self._requests.popleft()
            self._total_tokens -= tokens
            self._team_tokens[team] -= tokens
            if not self._team_tokens[team]:
                del self._team_tokens[team]
