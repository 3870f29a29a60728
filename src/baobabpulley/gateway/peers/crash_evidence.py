"""Share evidence of prompts that crash engines with the other gateways, and refuse such prompts."""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Iterable
from typing import Final
from typing import final

from loguru import logger

from baobabpulley.errors import PromptQuarantined
from baobabpulley.gateway.peers.gossip_messages import CrashRow
from baobabpulley.gateway.peers.gossip_messages import SurvivalRow
from baobabpulley.policy.prompt_quarantine import PROBE_TURN_SECONDS
from baobabpulley.policy.prompt_quarantine import RECENT_SECONDS
from baobabpulley.policy.prompt_quarantine import REPORTS_PER_QUARANTINE
from baobabpulley.policy.prompt_quarantine import SAME_CRASH_SECONDS
from baobabpulley.policy.prompt_quarantine import CrashReport
from baobabpulley.policy.prompt_quarantine import PromptQuarantine
from baobabpulley.policy.prompt_quarantine import Quarantine
from baobabpulley.policy.prompt_quarantine import probing_turn
from baobabpulley.policy.rendezvous import owner_of
from baobabpulley.timers import TimerService

# A report is sent in this many messages, as datagrams may be lost.
TRANSMISSIONS_PER_REPORT: Final = 2
# All gateways together send one of the reports behind a quarantine again in this time, for those
# that have just started.
REFRESH_SECONDS: Final = 0.25
# Keep a gossip message within one packet of the usual size.
MAX_CRASHES_PER_MESSAGE: Final = 2
MAX_PARTS_PER_CRASH: Final = 8
MAX_SURVIVALS_PER_MESSAGE: Final = 8
# A part whose answers begin often is not sent more often than this.
SURVIVAL_PERIOD_SECONDS: Final = 0.5
# An engine's event this long after its reported crash is no rest of what it sent before.
ALIVE_AFTER_SECONDS: Final = 0.02
# Evidence is looked through for what is too old this often.
EXPIRY_PERIOD_SECONDS: Final = 1.0


@final
class CrashEvidence:
    """Crashes and survivals that this gateway saw or heard of."""

    __slots__ = (
        "_crashes_due",
        "_listener",
        "_node",
        "_policy",
        "_probed_at",
        "_refresh_phase",
        "_refresh_position",
        "_refreshed_at",
        "_reported_at",
        "_retractions_due",
        "_survivals_due",
        "_survivals_sent_at",
        "_timers",
    )

    def __init__(self, *, node: str, timers: TimerService) -> None:
        self._node = node
        self._timers = timers
        self._policy = PromptQuarantine()
        self._crashes_due: dict[str, int] = {}
        # When this gateway reported an engine's crash, for as long as it may still go on.
        self._reported_at: dict[str, float] = {}
        self._retractions_due: dict[str, float] = {}
        self._survivals_due: dict[str, float] = {}
        self._survivals_sent_at: dict[str, float] = {}
        # Gateways send at different times and different reports, so that all are sent soon.
        source = random.Random(node)
        self._refresh_phase = source.random()
        self._refreshed_at: float | None = None
        self._refresh_position = source.randrange(REPORTS_PER_QUARANTINE)
        self._probed_at: dict[str, float] = {}
        self._listener: Callable[[], None] | None = None

    @property
    def quarantined(self) -> int:
        """Number of quarantined parts."""
        return len(self._policy.quarantines)

    def listen(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when a crash should be published at once."""
        self._listener = listener

    def start(self) -> None:
        """Start to forget evidence that is too old."""
        self._timers.every(EXPIRY_PERIOD_SECONDS, self._expire, name="crash evidence")

    def record_crash(self, upstream: str, parts: tuple[str, ...]) -> None:
        """Record that an engine was lost before it began the answer to a prompt."""
        if not parts:
            return
        now = self._timers.now()
        before = dict(self._policy.quarantines)
        if not self._policy.record_crash(CrashReport(upstream, now, (parts,)), now=now):
            return
        logger.bind(event="crash_evidence", upstream=upstream, shared_parts=parts).info(
            "an engine was lost before it began an answer"
        )
        self._log_changes(before)
        self._publish_recent_survivals(parts)
        self._reported_at[upstream] = now
        self._crashes_due[upstream] = TRANSMISSIONS_PER_REPORT
        if self._listener is not None:
            self._listener()

    def record_alive(self, upstream: str, *, since: float) -> None:
        """Record an event of an engine from an attempt that began at ``since``.

        If the engine was reported as crashed after that, only a connection to it broke.
        """
        reported_at = self._reported_at.get(upstream)
        now = self._timers.now()
        if reported_at is None or since > reported_at or now - reported_at < ALIVE_AFTER_SECONDS:
            return
        del self._reported_at[upstream]
        before = dict(self._policy.quarantines)
        if self._policy.retract(upstream, at=reported_at, now=now):
            logger.bind(event="crash_retracted", upstream=upstream).info(
                "an engine goes on with other answers; only a connection to it broke"
            )
            self._retractions_due[upstream] = reported_at
            self._crashes_due.pop(upstream, None)
        self._log_changes(before)

    def record_survival(self, parts: tuple[str, ...]) -> None:
        """Record that an engine began the answer to a prompt and went on."""
        now = self._timers.now()
        before = dict(self._policy.quarantines)
        for part in parts:
            if self._policy.is_new_answer(part):
                self._survivals_due[part] = now
            self._policy.record_survival(part, at=now, now=now)
        self._log_changes(before)

    def refusal(self, parts: tuple[str, ...]) -> PromptQuarantined | None:
        """Return the error for a prompt with a quarantined part, or ``None`` if it has none."""
        quarantine = self._policy.find(parts)
        if quarantine is None:
            return None
        left = max(0.0, quarantine.ends_at - self._timers.now())
        return PromptQuarantined(
            f"all prompts with part {quarantine.part} crashed the engines that began to answer"
            f" them, {quarantine.crashes} times; they are refused for {left:.0f} s",
            retry_after=max(PROBE_TURN_SECONDS, left),
        )

    def start_probe(self, parts: tuple[str, ...], *, nodes: Iterable[str]) -> bool:
        """Whether a prompt with a quarantined part may be sent as a probe; record it if so.

        ``nodes`` are the live gateways, this one included, of which one at a time sends a probe.
        """
        quarantine = self._policy.find(parts)
        now = self._timers.now()
        turn = None if quarantine is None else probing_turn(quarantine, now=now)
        if quarantine is None or turn is None or owner_of(turn, nodes) != self._node:
            return False
        probed_at = self._probed_at.get(quarantine.part)
        if probed_at is not None and now - probed_at < PROBE_TURN_SECONDS:
            return False
        self._probed_at[quarantine.part] = now
        logger.bind(event="quarantine_probe", part=quarantine.part).info(
            "one prompt with a quarantined part is sent as a probe"
        )
        return True

    def receive(self, crashes: Iterable[CrashRow], survivals: Iterable[SurvivalRow]) -> None:
        """Record what another gateway saw or heard of."""
        now = self._timers.now()
        before = dict(self._policy.quarantines)
        for row in survivals:
            self._policy.record_survival(row.part, at=now - max(0.0, row.age), now=now)
        for crash in crashes:
            at = now - max(0.0, crash.age)
            if not crash.prompts:
                self._policy.retract(crash.upstream, at=at, now=now)
                continue
            report = CrashReport(crash.upstream, at, crash.prompts)
            if self._policy.record_crash(report, now=now):
                self._publish_recent_survivals(report.parts)
        self._log_changes(before)

    def resend(self) -> None:
        """Send the reports behind the quarantines again, as a gateway has started or returned."""
        for report in self._policy.evidence(most=REPORTS_PER_QUARANTINE):
            self._crashes_due.setdefault(report.upstream, 1)

    def take_due_crashes(self, *, gateways: int) -> tuple[CrashRow, ...]:
        """Return the crashes and retractions to send in the next message to other gateways."""
        now = self._timers.now()
        retractions = self._take_retractions(now)
        reports = self._take_reports() or self._next_refresh(now, REFRESH_SECONDS * gateways)
        sampled = (self._policy.sampled(row, most=MAX_PARTS_PER_CRASH, now=now) for row in reports)
        crashes = [
            CrashRow(report.upstream, round(now - report.at, 3), report.prompts)
            for report in sampled
        ]
        return (*retractions, *crashes)

    def take_due_survivals(self) -> tuple[SurvivalRow, ...]:
        """Return the survivals to send in the next message to the other gateways."""
        now = self._timers.now()
        due = [
            (part, at)
            for part, at in self._survivals_due.items()
            if now - self._survivals_sent_at.get(part, 0.0) >= SURVIVAL_PERIOD_SECONDS
        ][:MAX_SURVIVALS_PER_MESSAGE]
        for part, _ in due:
            del self._survivals_due[part]
            self._survivals_sent_at[part] = now
        return tuple(SurvivalRow(part, round(now - at, 3)) for part, at in due)

    def _take_retractions(self, now: float) -> list[CrashRow]:
        """Return the retractions to send now."""
        upstreams = list(self._retractions_due)[:MAX_CRASHES_PER_MESSAGE]
        ages = {upstream: now - self._retractions_due.pop(upstream) for upstream in upstreams}
        return [CrashRow(upstream, round(age, 3), ()) for upstream, age in ages.items()]

    def _take_reports(self) -> list[CrashReport]:
        """Return the reports with transmissions due, and record one for each."""
        reports = {report.upstream: report for report in self._policy.reports}
        due = [upstream for upstream in self._crashes_due if upstream in reports]
        taken = due[:MAX_CRASHES_PER_MESSAGE]
        left = {upstream: self._crashes_due[upstream] - (upstream in taken) for upstream in due}
        self._crashes_due = {upstream: count for upstream, count in left.items() if count}
        return [reports[upstream] for upstream in taken]

    def _publish_recent_survivals(self, parts: Iterable[str]) -> None:
        """Tell the other gateways once of answers to these parts that began before a crash."""
        now = self._timers.now()
        for part in parts:
            at = self._policy.survival(part)
            told_at = self._survivals_sent_at.get(part)
            if at is None or now - at > RECENT_SECONDS:
                continue
            if told_at is None or now - told_at > RECENT_SECONDS / 2:
                self._survivals_due[part] = at

    def _next_refresh(self, now: float, period: float) -> list[CrashReport]:
        """Return one of the reports behind the quarantines, in turn, once in each period."""
        reports = self._policy.evidence(most=REPORTS_PER_QUARANTINE)
        if not reports:
            self._refreshed_at = None
            return []
        if self._refreshed_at is None:
            self._refreshed_at = now - self._refresh_phase * period
        if now - self._refreshed_at < period:
            return []
        self._refreshed_at = now
        self._refresh_position += 1
        return [reports[self._refresh_position % len(reports)]]

    def _expire(self) -> None:
        now = self._timers.now()
        before = dict(self._policy.quarantines)
        self._policy.expire(now=now)
        self._log_changes(before)
        self._reported_at = {
            upstream: at
            for upstream, at in self._reported_at.items()
            if now - at <= SAME_CRASH_SECONDS
        }
        self._survivals_due = {
            part: at for part, at in self._survivals_due.items() if self._policy.concerns(part)
        }
        self._survivals_sent_at = {
            part: at for part, at in self._survivals_sent_at.items() if now - at < RECENT_SECONDS
        }
        self._probed_at = {
            part: at for part, at in self._probed_at.items() if now - at < PROBE_TURN_SECONDS
        }

    def _log_changes(self, before: dict[str, Quarantine]) -> None:
        """Log the quarantines that began or ended."""
        after = self._policy.quarantines
        for part in after.keys() - before.keys():
            quarantine = after[part]
            logger.bind(
                event="quarantine",
                part=part,
                crashes=quarantine.crashes,
                seconds=quarantine.seconds,
                reports=len(self._policy.reports),
            ).warning("prompts with a part that crashes engines are refused")
        for part in before.keys() - after.keys():
            logger.bind(event="quarantine_ended", part=part).info("prompts with a part are served")
