"""When a connection to an upstream counts as silent, and when those to all upstreams may be.

Load pattern: a middlebox or a network path forgets open connections while new ones work, so that
requests on idle connections get no answer, one after the other.
"""

from __future__ import annotations

from typing import Final
from typing import final

# An answer that has begun, or is due, may pause for this long.
SILENT_SECONDS: Final = 0.5
# A prompt's first event may take longer than planned by this factor.
MAX_EXPECTED_RATIO: Final = 2.0
# Connections to so many upstreams that go silent within the window have a cause of their own.
COMMON_CAUSE_UPSTREAMS: Final = 3
COMMON_CAUSE_WINDOW_SECONDS: Final = 2.0


def silent_after(*, expected: float, is_streaming: bool) -> float:
    """Return after how many seconds without a byte a connection counts as silent.

    ``expected`` is the time in seconds after which the answer should begin.
    """
    return SILENT_SECONDS if is_streaming else SILENT_SECONDS + MAX_EXPECTED_RATIO * expected


@final
class SilentConnections:
    """Upstreams with a connection that went silent lately; times are monotonic seconds."""

    __slots__ = ("_noticed",)

    def __init__(self) -> None:
        self._noticed: dict[str, float] = {}

    def record(self, upstream: str, *, now: float) -> bool:
        """Record a silent connection; return whether those to all upstreams may be silent."""
        self._noticed[upstream] = now
        since = now - COMMON_CAUSE_WINDOW_SECONDS
        self._noticed = {id: at for id, at in self._noticed.items() if at > since}
        return len(self._noticed) >= COMMON_CAUSE_UPSTREAMS

    def forget(self, upstream: str) -> None:
        """Record that a connection to an upstream that counted as silent goes on."""
        self._noticed.pop(upstream, None)
