"""Tell the other gateways what upstreams told this one, and record what they were told."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Final
from typing import final

from baobabpulley.gateway.fleet_state import FleetState
from baobabpulley.gateway.gossip_messages import LeavingRow
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.report_schedule import ReportSchedule
from baobabpulley.timers import TimerService

# Keep a gossip message within one packet of the usual size.
MAX_LEAVING_PER_MESSAGE: Final = 8
# An upstream that is still registered as ready after this is reported no longer.
REPORTED_SECONDS: Final = 300.0
# Reports are looked through for what has expired this often.
EXPIRY_PERIOD_SECONDS: Final = 1.0


@final
class UpstreamReports:
    """What upstreams said to this gateway, for the others, and what others said of upstreams.

    Only what an upstream said here is sent, so that an error isn't passed on without end.
    """

    __slots__ = ("_fleet_state", "_leaving", "_timers")

    def __init__(self, *, node: str, fleet_state: FleetState, timers: TimerService) -> None:
        self._fleet_state = fleet_state
        self._timers = timers
        self._leaving = ReportSchedule(source=random.Random(node))

    def start(self) -> None:
        """Start to drop reports that have expired."""
        self._timers.every(EXPIRY_PERIOD_SECONDS, self._expire, name="upstream reports")

    def record_leaving(self, upstream: ListedUpstream) -> None:
        """Record that an upstream, as listed when it got a request, said that it is leaving."""
        is_known = self._fleet_state.is_only_reported_leaving(upstream.id)
        if self._fleet_state.record_leaving(upstream):
            now = self._timers.now()
            self._leaving.add(upstream.id, until=now + REPORTED_SECONDS, now=now, is_known=is_known)

    def receive(self, node: str, leaving: Iterable[LeavingRow]) -> None:
        """Record what another gateway was told by upstreams."""
        now = self._timers.now()
        for row in leaving:
            self._fleet_state.record_reported_leaving(
                row.upstream, born=row.born, revision=row.revision, peer=node, now=now
            )
            listed = self._fleet_state.upstreams.get(row.upstream)
            if listed is not None and listed.born == row.born:
                self._leaving.record_heard(row.upstream, now=now)

    def inform_newcomer(self) -> None:
        """Send the reports again soon, as a gateway has started or returned."""
        self._leaving.bring_forward(now=self._timers.now())

    def take_due_leaving(self) -> tuple[LeavingRow, ...]:
        """Return the leaving upstreams to name in the next message to the other gateways."""
        state = self._fleet_state
        rows = []
        for id in self._leaving.take_due(most=MAX_LEAVING_PER_MESSAGE, now=self._timers.now()):
            listed = state.upstreams.get(id)
            if listed is not None and state.has_said_leaving(id):
                rows.append(LeavingRow(id, listed.born, state.revision))
            else:
                self._leaving.drop(id)
        return tuple(rows)

    def _expire(self) -> None:
        self._fleet_state.drop_expired_reports(now=self._timers.now())
