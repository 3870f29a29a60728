"""What attempts tell of upstreams and failure domains, in one place."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import final

from baobabpulley.gateway.following import FleetBook
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.domain_circuit_breaker import DomainCircuitBreaker
from baobabpulley.policy.upstream_health import UpstreamHealth
from baobabpulley.timers import TimerService

# When a gateway of a failure domain was last heard (monotonic seconds), ``None`` if never.
LastSeen = Callable[[str], float | None]


@final
class UpstreamRecord:
    """Health of upstreams and reach of failure domains, kept from the answers seen here."""

    __slots__ = ("_book", "_breaker", "_health", "_last_seen", "_timers")

    def __init__(
        self, *, failure_domain: str, book: FleetBook, last_seen: LastSeen, timers: TimerService
    ) -> None:
        self._book = book
        self._last_seen = last_seen
        self._timers = timers
        self._health = UpstreamHealth()
        self._breaker = DomainCircuitBreaker(own_domain=failure_domain)

    @property
    def penalties(self) -> dict[str, float]:
        """The seconds that upstreams' failures count in the choice; others count nothing."""
        return self._health.penalties

    def usable(self, upstreams: Sequence[ListedUpstream]) -> list[ListedUpstream]:
        """Return those of the upstreams that may get work now."""
        now = self._timers.now()
        domains = {one.failure_domain for one in upstreams}
        reached = {
            domain
            for domain in domains
            if self._breaker.allows(domain, last_seen=self._last_seen(domain), now=now)
        }
        paused = self._health.paused(now=now)
        return [one for one in upstreams if one.failure_domain in reached and one.id not in paused]

    def record_attempt(self, upstream: ListedUpstream) -> None:
        """Note an attempt."""
        self._health.sent(upstream.id)
        self._breaker.record_attempt(upstream.failure_domain, now=self._timers.now())

    def record_response(self, upstream: ListedUpstream, *, succeeded: bool) -> None:
        """Note an answer of an upstream, well or failed by itself."""
        self._health.answered(upstream.id, well=succeeded)
        self._breaker.record_response(upstream.failure_domain)

    def record_failure(self, upstream: ListedUpstream) -> None:
        """Note that an upstream was not reached or went silent."""
        now = self._timers.now()
        domain = upstream.failure_domain
        self._health.lost(upstream.id, now=now)
        self._breaker.record_failure(
            domain, upstream.id, last_seen=self._last_seen(domain), now=now
        )

    def record_inconclusive(self, upstream: ListedUpstream) -> None:
        """Note that an attempt ended without telling anything of its upstream."""
        self._health.cancel_probe(upstream.id)

    def forget(self, upstream: ListedUpstream) -> None:
        """Forget an upstream that is gone."""
        self._health.forget(upstream.id)

    def has_no_record(self, upstream: str) -> bool:
        """Whether no failure of an upstream is kept."""
        return not self._health.has_record(upstream)

    def find_by_address(self, address: str) -> ListedUpstream | None:
        """Return the upstream that an answer blames by its address or id."""
        found = self._book.upstreams.get(address)
        if found is not None:
            return found
        return next((one for one in self._book.upstreams.values() if one.address == address), None)
