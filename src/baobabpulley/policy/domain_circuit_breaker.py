"""Circuit breaker per failure domain, driven by the responses of the upstreams there.

When a network partition cuts off a failure domain, finding out for each of its upstreams would
cost a request a time-out. Two upstreams without a response therefore trip the breaker for the
whole domain. It resets on a response or on new gossip from a gateway there; while it is tripped,
one probe request per interval is let through.
"""

from __future__ import annotations

from typing import Final
from typing import final

# Distinct upstreams without a response within the failure window that trip the breaker.
FAILURE_THRESHOLD: Final = 2
FAILURE_WINDOW_SECONDS: Final = 2.0
# One such upstream is enough if no gossip from the failure domain was received for this long.
MAX_SILENCE_SECONDS: Final = 1.2
PROBE_INTERVAL_SECONDS: Final = 1.5
# Gossip resets the breaker only if it was received at least this long after the breaker tripped.
RECOVERY_DELAY_SECONDS: Final = 0.5


class _DomainState:
    __slots__ = ("failed_at", "probed_at", "tripped_at")

    def __init__(self) -> None:
        self.failed_at: dict[str, float] = {}
        self.tripped_at: float | None = None
        self.probed_at = 0.0


@final
class DomainCircuitBreaker:
    """Reachability of the other failure domains; ``now`` and ``last_seen`` are in seconds.

    ``last_seen`` is when gossip from a gateway of the failure domain was last received, or
    ``None`` if it never was. The own failure domain always counts as reachable.
    """

    __slots__ = ("_domains", "_own_domain")

    def __init__(self, *, own_domain: str) -> None:
        self._own_domain = own_domain
        self._domains: dict[str, _DomainState] = {}

    def record_failure(
        self, domain: str, upstream: str, *, last_seen: float | None, now: float
    ) -> None:
        """Record that an upstream of a failure domain was unreachable or stopped responding."""
        if domain == self._own_domain:
            return
        state = self._domains.setdefault(domain, _DomainState())
        state.failed_at[upstream] = now
        recent = sum(now - at <= FAILURE_WINDOW_SECONDS for at in state.failed_at.values())
        silent = last_seen is not None and now - last_seen > MAX_SILENCE_SECONDS
        if recent >= FAILURE_THRESHOLD or silent:
            state.tripped_at = state.probed_at = now

    def record_response(self, domain: str) -> None:
        """Record a response from a failure domain, which resets its breaker."""
        self._domains.pop(domain, None)

    def reset(self) -> None:
        """Let all failure domains get requests."""
        self._domains.clear()

    def allows(self, domain: str, *, last_seen: float | None, now: float) -> bool:
        """Whether a failure domain may get a request; if its breaker is tripped, only a probe."""
        state = self._domains.get(domain)
        if state is None or state.tripped_at is None:
            return True
        if last_seen is not None and last_seen > state.tripped_at + RECOVERY_DELAY_SECONDS:
            del self._domains[domain]
            return True
        return now - state.probed_at >= PROBE_INTERVAL_SECONDS

    def record_attempt(self, domain: str, *, now: float) -> None:
        """Record a request to a failure domain; if its breaker is tripped, this is the probe."""
        state = self._domains.get(domain)
        if state is not None:
            state.probed_at = now
