"""Tell the other gateways what upstreams told this one, and record what they were told."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Final
from typing import final

from loguru import logger

from baobabpulley.gateway.peers.gossip_messages import BackpressureRow
from baobabpulley.gateway.peers.gossip_messages import LeavingRow
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.model.revisions import number_of
from baobabpulley.model.revisions import ordered_revision
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.backpressure_hints import HINT_TOLERANCE_SECONDS
from baobabpulley.policy.backpressure_hints import hint_seconds
from baobabpulley.policy.backpressure_hints import is_covered
from baobabpulley.policy.report_schedule import ReportSchedule
from baobabpulley.policy.upstream_backpressure import BackpressureWindows
from baobabpulley.timers import TimerService

# Keep a gossip message within one packet of the usual size.
MAX_LEAVING_PER_MESSAGE: Final = 8
MAX_BACKPRESSURE_PER_MESSAGE: Final = 8
# An upstream that is still registered as ready after this is reported no longer.
REPORTED_SECONDS: Final = 300.0
# Reports are looked through for what has expired this often.
EXPIRY_PERIOD_SECONDS: Final = 1.0


@final
class UpstreamReports:
    """What upstreams said to this gateway, for the others, and what others said of upstreams.

    Only what an upstream said here is sent, so that an error isn't passed on without end.
    """

    __slots__ = ("_backpressure", "_fleet_state", "_hints", "_leaving", "_timers")

    def __init__(self, *, node: str, fleet_state: FleetState, timers: TimerService) -> None:
        self._fleet_state = fleet_state
        self._timers = timers
        self._leaving = ReportSchedule(source=random.Random(f"{node} leaving"))
        self._backpressure = ReportSchedule(source=random.Random(f"{node} backpressure"))
        self._hints = BackpressureWindows()

    def hinted_upstreams(self) -> frozenset[str]:
        """Return the ids of the upstreams that asked other gateways for no requests now."""
        return self._hints.upstreams(now=self._timers.now())

    def start(self) -> None:
        """Start to drop reports that have expired."""
        self._timers.every(EXPIRY_PERIOD_SECONDS, self._expire, name="upstream reports")

    def record_leaving(self, upstream: ListedUpstream) -> None:
        """Record that an upstream, as listed when it got a request, said that it is leaving."""
        is_known = self._fleet_state.is_only_reported_leaving(upstream.id)
        if self._fleet_state.record_leaving(upstream):
            now = self._timers.now()
            self._leaving.add(upstream.id, until=now + REPORTED_SECONDS, now=now, is_known=is_known)

    def record_backpressure(self, upstream: str, *, seconds: float) -> None:
        """Record that an upstream wants no requests from this gateway for ``seconds`` more."""
        now = self._timers.now()
        ends_later = now + seconds > self._backpressure.end(upstream) + HINT_TOLERANCE_SECONDS
        if not hint_seconds(seconds) or not ends_later:
            return
        heard = self._hints.seconds_left(upstream, now=now)
        self._backpressure.add(
            upstream, until=now + seconds, now=now, is_known=is_covered(seconds, heard=heard)
        )

    def receive_leaving(self, node: str, rows: Iterable[LeavingRow], *, era: int = 0) -> None:
        """Record which upstreams said to another gateway that they are leaving.

        ``era`` is that of the store revisions in the rows.
        """
        now = self._timers.now()
        for row in rows:
            self._fleet_state.record_reported_leaving(
                row.upstream,
                born=row.born,
                revision=ordered_revision(row.revision, era=era),
                peer=node,
                now=now,
            )
            listed = self._fleet_state.upstreams.get(row.upstream)
            if listed is not None and listed.born == row.born:
                self._leaving.record_heard(row.upstream, now=now)

    def receive_backpressure(self, node: str, rows: Iterable[BackpressureRow]) -> None:
        """Record which upstreams asked another gateway for no requests, and for how long."""
        now = self._timers.now()
        for row in rows:
            seconds = hint_seconds(row.seconds)
            listed = self._fleet_state.upstreams.get(row.upstream)
            if listed is None or not seconds:
                continue
            left = self._backpressure.end(row.upstream) - now
            if is_covered(left, heard=seconds):
                self._backpressure.record_heard(row.upstream, now=now)
            if self._hints.record(row.upstream, seconds=seconds, now=now):
                logger.bind(
                    event="upstream_backpressure_hint",
                    upstream=row.upstream,
                    service=listed.service,
                    seconds=seconds,
                    peer=node,
                ).info("upstream asked another gateway for no requests")

    def inform_newcomer(self) -> None:
        """Send the reports again soon, as a gateway has started or returned."""
        now = self._timers.now()
        self._leaving.bring_forward(now=now)
        self._backpressure.bring_forward(now=now)

    def forget(self, upstream: str) -> None:
        """Drop what is known of an upstream that was removed."""
        self._hints.forget(upstream)
        self._leaving.drop(upstream)
        self._backpressure.drop(upstream)

    def take_due_leaving(self) -> tuple[LeavingRow, ...]:
        """Return the leaving upstreams to name in the next message to the other gateways."""
        state = self._fleet_state
        rows = []
        for id in self._leaving.take_due(most=MAX_LEAVING_PER_MESSAGE, now=self._timers.now()):
            listed = state.upstreams.get(id)
            if listed is not None and state.has_said_leaving(id):
                rows.append(LeavingRow(id, listed.born, number_of(state.revision)))
            else:
                self._leaving.drop(id)
        return tuple(rows)

    def take_due_backpressure(self) -> tuple[BackpressureRow, ...]:
        """Return the pauses to name in the next message to the other gateways."""
        now = self._timers.now()
        due = self._backpressure.take_due(most=MAX_BACKPRESSURE_PER_MESSAGE, now=now)
        pauses = {id: hint_seconds(self._backpressure.end(id) - now) for id in due}
        return tuple(
            BackpressureRow(id, round(seconds, 3)) for id, seconds in pauses.items() if seconds
        )

    def _expire(self) -> None:
        self._fleet_state.drop_expired_reports(now=self._timers.now())
