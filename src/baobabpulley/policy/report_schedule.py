"""Decide when a gateway tells the others what an upstream told it.

At a peak, or in a rolling restart, most gateways learn the same of many upstreams within a moment.
If each told all others, the traffic would grow with the square of the gateways. A report is
therefore sent by the first to learn it, and counts as sent here when another gateway was heard to
send it. It is repeated rarely, for gateways that missed it, by whichever gateway's turn comes
first; gateways that have just started or returned bring these turns forward.
"""

from __future__ import annotations

import random
from typing import Final
from typing import final

# A report is sent this often at first, and again when a gateway joins: datagrams may be lost, and
# relays to a gateway that joins take a moment to be found.
INITIAL_TRANSMISSIONS: Final = 2
# The second of these follows at a random time between half of this and this after the first.
REPEAT_SECONDS: Final = 1.0
# A gateway repeats a report at a random time between once and twice this after it was last sent.
REFRESH_SECONDS: Final = 7.0
# When a gateway joins, each repeats its reports at a random time within this.
JOIN_SPREAD_SECONDS: Final = 1.0


@final
class _Report:
    """When a report is to be sent next, and in how many messages; it ends at ``until``."""

    __slots__ = ("due_at", "transmissions", "until")

    def __init__(self, *, until: float, due_at: float, transmissions: int) -> None:
        self.until = until
        self.due_at = due_at
        self.transmissions = transmissions


@final
class ReportSchedule:
    """Transmissions of reports by upstream id; ``now`` is in seconds."""

    __slots__ = ("_random", "_reports")

    def __init__(self, *, source: random.Random) -> None:
        self._random = source
        self._reports: dict[str, _Report] = {}

    def __len__(self) -> int:
        return len(self._reports)

    def end(self, upstream: str) -> float:
        """Return until when a report is sent; 0 if there is none."""
        report = self._reports.get(upstream)
        return 0.0 if report is None else report.until

    def add(self, upstream: str, *, until: float, now: float, is_known: bool) -> None:
        """Send a report until a time; ``is_known`` if another gateway has sent it."""
        self._reports[upstream] = _Report(
            until=until,
            due_at=self._refresh_at(now) if is_known else now,
            transmissions=1 if is_known else INITIAL_TRANSMISSIONS,
        )

    def record_heard(self, upstream: str, *, now: float) -> None:
        """Record that another gateway sent a report."""
        report = self._reports.get(upstream)
        if report is not None:
            self._record_sent(report, now)

    def bring_forward(self, *, now: float) -> None:
        """Repeat all reports soon, as a gateway has started or returned."""
        for report in self._reports.values():
            soon = now + JOIN_SPREAD_SECONDS * self._random.random()
            report.due_at = min(report.due_at, soon)
            report.transmissions = INITIAL_TRANSMISSIONS

    def take_due(self, *, most: int, now: float) -> list[str]:
        """Return the upstreams whose reports to send now, and record their transmission."""
        if not self._reports:
            return []
        self._reports = {id: report for id, report in self._reports.items() if report.until > now}
        due = [id for id, report in self._reports.items() if report.due_at <= now]
        # At random, so that gateways that have the same to send begin with different reports.
        chosen = self._random.sample(due, min(most, len(due)))
        for id in chosen:
            self._record_sent(self._reports[id], now)
        return chosen

    def drop(self, upstream: str) -> None:
        """Send a report no more."""
        self._reports.pop(upstream, None)

    def _record_sent(self, report: _Report, now: float) -> None:
        report.transmissions -= 1
        if report.transmissions > 0:
            report.due_at = now + REPEAT_SECONDS * (0.5 + 0.5 * self._random.random())
        else:
            report.transmissions = 1
            report.due_at = self._refresh_at(now)

    def _refresh_at(self, now: float) -> float:
        return now + REFRESH_SECONDS * (1.0 + self._random.random())
