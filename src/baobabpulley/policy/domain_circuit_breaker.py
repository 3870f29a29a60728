"""Whether other failure domains can be reached, found from what the upstreams there answer.

Load pattern: a network partition cuts a failure domain off. Each of its upstreams would cost a
request a time-out to find out; two of them without an answer speak for all. Peers that are heard
from there again, or an answer, open it at once; so does a trial now and then.
"""

from __future__ import annotations

from typing import Final
from typing import final

# Distinct upstreams without an answer, within this many seconds, that close a failure domain.
FAILURE_THRESHOLD: Final = 2
FAILURE_WINDOW_SECONDS: Final = 2.0
# One is enough once no gateway of the failure domain was heard for so long.
MAX_SILENCE_SECONDS: Final = 1.2
# Seconds between trials of a closed failure domain, and before news from it count.
PROBE_INTERVAL_SECONDS: Final = 1.5
RECOVERY_DELAY_SECONDS: Final = 0.5


class _Domain:
    __slots__ = ("closed_at", "losses", "tried_at")

    def __init__(self) -> None:
        self.losses: dict[str, float] = {}
        self.closed_at: float | None = None
        self.tried_at = 0.0


@final
class DomainCircuitBreaker:
    """What is known of the other failure domains; ``now`` and ``heard`` are in seconds.

    ``heard`` is when a gateway of the failure domain was last heard, or ``None`` if there is none.
    """

    __slots__ = ("_domains", "_own")

    def __init__(self, *, own_domain: str) -> None:
        self._own = own_domain
        self._domains: dict[str, _Domain] = {}

    def record_failure(
        self, domain: str, upstream: str, *, last_seen: float | None, now: float
    ) -> None:
        """Note that an upstream of a failure domain was not reached or went silent."""
        if domain == self._own:
            return
        state = self._domains.setdefault(domain, _Domain())
        state.losses[upstream] = now
        recent = sum(now - at <= FAILURE_WINDOW_SECONDS for at in state.losses.values())
        silent = last_seen is not None and now - last_seen > MAX_SILENCE_SECONDS
        if recent >= FAILURE_THRESHOLD or silent:
            state.closed_at = state.tried_at = now

    def record_response(self, domain: str) -> None:
        """Note an answer from a failure domain."""
        self._domains.pop(domain, None)

    def allows(self, domain: str, *, last_seen: float | None, now: float) -> bool:
        """Whether a failure domain may get work; while it is closed, at most a trial."""
        state = self._domains.get(domain)
        if state is None or state.closed_at is None:
            return True
        if last_seen is not None and last_seen > state.closed_at + RECOVERY_DELAY_SECONDS:
            del self._domains[domain]
            return True
        return now - state.tried_at >= PROBE_INTERVAL_SECONDS

    def record_attempt(self, domain: str, *, now: float) -> None:
        """Note a request to a failure domain; to a closed one it is a trial."""
        state = self._domains.get(domain)
        if state is not None:
            state.tried_at = now
