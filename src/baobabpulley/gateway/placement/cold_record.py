"""Follow which upstreams are cold, and keep this gateway's send schedule at each."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import Final
from typing import Protocol
from typing import final

from loguru import logger

from baobabpulley.gateway.sections import ColdSection
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.model.routes import Service
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.cold_permits import ColdLimit
from baobabpulley.policy.cold_upstreams import ColdUpstreams
from baobabpulley.timers import TimerService

# How often the ends of cold times are looked for, so that they are logged soon.
CHECK_PERIOD_SECONDS: Final = 0.25

_NONE: Final[frozenset[str]] = frozenset()


class EvacuationEnd(Protocol):
    """The last end of a failure domain's evacuation; ``at`` is in monotonic seconds."""

    @property
    def revision(self) -> int:
        """Store revision of the end."""

    @property
    def at(self) -> float:
        """When this gateway learned of it."""


# Returns the last end of an evacuation of a failure domain, or ``None`` if none is known.
LastEvacuationEnd = Callable[[str], EvacuationEnd | None]


@final
class ColdRecord:
    """The cold upstreams, by registrations, responses and ends of evacuations.

    Upstreams of services without a cold rate are never cold here. ``count_missing`` is called with
    the service for each placement that changed because a permit was missing.
    """

    __slots__ = (
        "_cold",
        "_fleet_state",
        "_last_end",
        "_members",
        "_node",
        "_revisions",
        "_section",
        "_timers",
        "count_missing",
    )

    def __init__(
        self,
        *,
        node: str,
        fleet_state: FleetState,
        timers: TimerService,
        section: ColdSection | None = None,
        last_evacuation_end: LastEvacuationEnd = lambda domain: None,
        count_missing: Callable[[str], None] = lambda service: None,
    ) -> None:
        self._node = node
        self._fleet_state = fleet_state
        self._timers = timers
        self._section = section or ColdSection()
        self._last_end = last_evacuation_end
        self.count_missing = count_missing
        self._cold = ColdUpstreams(started=timers.now())
        self._members: frozenset[str] = _NONE
        # Revision of the latest registration that was looked at, by upstream id.
        self._revisions: dict[str, int] = {}
        fleet_state.listen(self._follow)

    def start(self) -> None:
        """Log periodically which upstreams have become warm."""
        self._timers.every(CHECK_PERIOD_SECONDS, self._drop_warm, name="cold upstreams")

    def configure(self, section: ColdSection) -> None:
        """Apply changed settings."""
        self._section = section

    def cold_upstreams(self) -> frozenset[str]:
        """Return the ids of the upstreams that are cold now."""
        if not self._cold.known_cold:
            return _NONE
        self._drop_warm()
        return self._cold.known_cold

    def held_back(self, upstreams: Iterable[ListedUpstream], *, service: str) -> frozenset[str]:
        """Return the ids of the cold upstreams of a service that may not get a request now."""
        cold = self.cold_upstreams()
        limit = self._limit(service) if cold else None
        if limit is None:
            return _NONE
        now = self._timers.now()
        return frozenset(
            upstream.id
            for upstream in upstreams
            if upstream.id in cold
            and not self._cold.may_send(
                upstream.id, node=self._node, members=self._members, limit=limit, now=now
            )
        )

    def permit_wait(
        self, upstreams: Iterable[ListedUpstream], *, service: str, ahead: int
    ) -> float:
        """Return after how many seconds a request gets a permit if all ``upstreams`` are cold.

        ``ahead`` is the number of requests that come before it. Return 0 if one is warm.
        """
        cold, limit = self.cold_upstreams(), self._limit(service)
        listed = list(upstreams)
        if limit is None or not listed or any(upstream.id not in cold for upstream in listed):
            return 0.0
        now = self._timers.now()
        warm_in = min(self._cold.seconds_left(upstream.id, now=now) for upstream in listed)
        permit_in = min(
            self._cold.seconds_until_permit(
                upstream.id, node=self._node, members=self._members, limit=limit, now=now
            )
            for upstream in listed
        )
        schedules = (
            self._cold.schedule(upstream.id, node=self._node, members=self._members, limit=limit)
            for upstream in listed
        )
        rate = sum(1.0 / each.interval for each in schedules if each is not None)
        return min(warm_in, permit_in + ahead / rate) if rate else warm_in

    def record_sent(self, upstreams: Iterable[ListedUpstream]) -> None:
        """Record that a request was begun at each of these upstreams."""
        now = self._timers.now()
        for upstream in upstreams:
            if self._limited_service(upstream) is not None:
                self._cold.record_sent(upstream.id, now=now)

    def record_response(self, upstream: ListedUpstream, seconds: float) -> None:
        """Record for how long an upstream is still cold by its own response."""
        listed = self._fleet_state.upstreams.get(upstream.id)
        if listed is None or self._limited_service(listed) is None:
            return
        self._record(listed, seconds, born=upstream.born, source="response")

    def forget(self, upstream: str) -> None:
        """Drop the record of an upstream that was removed."""
        self._cold.forget(upstream)
        self._cold.forget_sent(now=self._timers.now())
        self._revisions.pop(upstream, None)

    def _follow(self) -> None:
        """Record what the registrations and ends of evacuations say since the last update."""
        if self._fleet_state.members.keys() != self._members:
            self._members = frozenset(self._fleet_state.members)
        for upstream in self._fleet_state.upstreams.values():
            service = self._limited_service(upstream)
            if service is None:
                continue
            if self._revisions.get(upstream.id) != upstream.revision:
                self._revisions[upstream.id] = upstream.revision
                if upstream.cold_seconds is not None:
                    self._record(
                        upstream, upstream.cold_seconds, born=upstream.born, source="registration"
                    )
            self._follow_evacuation(upstream, service)

    def _follow_evacuation(self, upstream: ListedUpstream, service: Service) -> None:
        """Assume that an upstream is cold until it registers after its domain's evacuation."""
        end = self._last_end(upstream.failure_domain)
        if end is None:
            return
        # An entry that came back with a copy of the store may be older than the end.
        if upstream.revision > max(end.revision, self._fleet_state.returned_at):
            self._cold.end_assumption(upstream.id)
            return
        until = end.at + service.cold_seconds
        if self._cold.assume_cold(
            upstream.id, born=upstream.born, until=until, now=self._timers.now()
        ):
            self._log_cold(upstream, source="evacuation")

    def _record(self, upstream: ListedUpstream, seconds: float, *, born: int, source: str) -> None:
        self._drop_warm()
        if self._cold.record(
            upstream.id,
            born=born,
            remaining=seconds,
            now=self._timers.now(),
            in_response=source == "response",
        ):
            self._log_cold(upstream, source=source)

    def _log_cold(self, upstream: ListedUpstream, *, source: str) -> None:
        left = self._cold.seconds_left(upstream.id, now=self._timers.now())
        logger.bind(
            event="upstream_cold",
            upstream=upstream.id,
            service=upstream.service,
            born=upstream.born,
            seconds=round(left, 3),
            source=source,
        ).info("upstream is cold")

    def _drop_warm(self) -> None:
        for id in self._cold.take_warm(now=self._timers.now()):
            logger.bind(event="upstream_warm", upstream=id).info("upstream is warm")

    def _limited_service(self, upstream: ListedUpstream) -> Service | None:
        """Return the service of an upstream if it has a cold rate."""
        table = self._fleet_state.table
        service = None if table is None else table.service(upstream.service)
        return service if service is not None and service.cold_rate > 0 else None

    def _limit(self, name: str) -> ColdLimit | None:
        table = self._fleet_state.table
        service = None if table is None else table.service(name)
        if service is None or service.cold_rate <= 0:
            return None
        section = self._section
        return ColdLimit(
            rate=service.cold_rate, bound=service.cold_rate * section.overage + section.slack
        )
