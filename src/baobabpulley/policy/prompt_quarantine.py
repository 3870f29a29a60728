"""Quarantine of prompt parts that crash the engines which begin to answer them.

Load pattern: a few percent of the prompts share one part, arrive at any gateway, and each crashes
the engine that begins its answer. Retries carry it to the next engine, and all other requests at
the engine are lost with it. The crash itself doesn't tell which of the prompts caused it.

Evidence is shared by all gateways: reports of crashes, with the shared parts of the prompts whose
answers had not begun, and the times at which answers to parts did begin (survivals). A part is
quarantined once enough crashes in a row, without a survival between them, can be explained by it
and by no part that explains more. While it is, prompts with it are refused. After a delay, which
doubles with each failed probe, one gateway at a time may send a prompt with it as a probe; a
survival ends the quarantine.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Final
from typing import final

import msgspec
from xxhash import xxh3_64_intdigest

# Crashes in a row that quarantine a part that was in all of them.
CRASHES_TO_QUARANTINE: Final = 3
# Crashes count less against a part that was answered within this time before them: it is likely
# shared with sound prompts. Those at the same moment count once, and they have to go on for a
# while: a rack or failure domain that is lost takes many engines down one after the other.
RECENT_SECONDS: Final = 60.0
SURVIVOR_WEIGHT: Final = 0.5
CORRELATED_SECONDS: Final = 0.1
SURVIVOR_SPAN_SECONDS: Final = 2.0
# Reports of an engine within this time are of the same crash, seen by several gateways.
SAME_CRASH_SECONDS: Final = 2.0
# A report that supports no quarantine is forgotten after this time.
REPORT_SECONDS: Final = 60.0
INITIAL_QUARANTINE_SECONDS: Final = 30.0
MAX_QUARANTINE_SECONDS: Final = 600.0
# A quarantine whose part no prompt had for this long after it ended is forgotten.
IDLE_SECONDS: Final = 600.0
# Older reports are ignored: longer than the times between the failed probes that gateways share.
MAX_REPORT_AGE_SECONDS: Final = 4 * MAX_QUARANTINE_SECONDS
# The gateway that may send a probe changes after this time.
PROBE_TURN_SECONDS: Final = 10.0
# Bounds of the memory used, whatever callers send.
MAX_REPORTS: Final = 64
MAX_PROMPTS_PER_REPORT: Final = 16
MAX_PARTS_PER_REPORT: Final = 48
MAX_SURVIVALS: Final = 4096
# Reports of each quarantine that gateways tell each other again.
REPORTS_PER_QUARANTINE: Final = 4


class CrashReport(msgspec.Struct, frozen=True):
    """An engine's crash at ``at``, in seconds of the local monotonic clock.

    ``prompts`` are the shared parts, in order, of each prompt whose answer had not begun there.
    """

    upstream: str
    at: float
    prompts: tuple[tuple[str, ...], ...]

    @property
    def key(self) -> tuple[str, float]:
        """Engine and time, which identify the report within a process."""
        return self.upstream, self.at

    @property
    def parts(self) -> frozenset[str]:
        """All parts of the prompts."""
        return frozenset(part for prompt in self.prompts for part in prompt)

    def merged(self, other: CrashReport) -> CrashReport:
        """Return one report of the same crash with the prompts of both."""
        prompts = tuple(dict.fromkeys((*self.prompts, *other.prompts)))
        return CrashReport(self.upstream, min(self.at, other.at), prompts)

    def sampled(self, *, most: int, survived: Callable[[str], bool]) -> CrashReport:
        """Return the report with at most ``most`` parts and `MAX_PROMPTS_PER_REPORT` prompts.

        Parts that survived go first, then some that differ from engine to engine, so that a part
        of many crashes stays in most of their reports.
        """
        ranked = sorted(self.parts, key=lambda part: (survived(part), self._hash(part)))
        rank = {part: position for position, part in enumerate(ranked[:most])}
        prompts = (tuple(part for part in prompt if part in rank) for prompt in self.prompts)
        kept = list(dict.fromkeys(prompt for prompt in prompts if prompt))
        kept.sort(key=lambda prompt: min(rank[part] for part in prompt))
        return CrashReport(self.upstream, self.at, tuple(kept[:MAX_PROMPTS_PER_REPORT]))

    def _hash(self, part: str) -> int:
        return xxh3_64_intdigest(f"{self.upstream}\0{part}".encode())


class Quarantine(msgspec.Struct, frozen=True):
    """A quarantined part; its last crash was at ``crashed_at``, and it lasts for ``seconds``.

    ``crashes`` is the number of crashes that it explains.
    """

    part: str
    crashed_at: float
    crashes: int
    seconds: float

    @property
    def ends_at(self) -> float:
        """When a probe is due."""
        return self.crashed_at + self.seconds


@final
class PromptQuarantine:
    """What is known of crashes and survivals, and the quarantines that follow from it.

    All times are in seconds of the same monotonic clock.
    """

    __slots__ = ("_heard_at", "_named", "_quarantines", "_reports", "_retracted", "_survivals")

    def __init__(self) -> None:
        self._reports: list[CrashReport] = []
        # When each report was first heard, by engine and time of the crash.
        self._heard_at: dict[tuple[str, float], float] = {}
        # Times of crashes that were reported by mistake, by engine.
        self._retracted: dict[str, float] = {}
        # The parts that the reports name.
        self._named: frozenset[str] = frozenset()
        self._survivals: OrderedDict[str, float] = OrderedDict()
        self._quarantines: dict[str, Quarantine] = {}

    @property
    def reports(self) -> Sequence[CrashReport]:
        """The reports that are kept, the earliest first."""
        return self._reports

    @property
    def quarantines(self) -> Mapping[str, Quarantine]:
        """The quarantines by part, including those whose probe is due."""
        return self._quarantines

    def record_crash(self, report: CrashReport, *, now: float) -> bool:
        """Record a crash seen here or by another gateway; return whether it adds anything."""
        if not report.parts or not now - report.at <= MAX_REPORT_AGE_SECONDS:
            return False
        retracted_at = self._retracted.get(report.upstream)
        if retracted_at is not None and abs(retracted_at - report.at) <= SAME_CRASH_SECONDS:
            return False
        known = self._find(report)
        merged = report if known is None else known.merged(report)
        merged = self.sampled(merged, most=MAX_PARTS_PER_REPORT, now=now)
        if known is not None and set(merged.prompts) <= set(known.prompts):
            return False
        heard_at = now if known is None else self._heard_at[known.key]
        self._heard_at[merged.key] = heard_at
        self._reports = [kept for kept in self._reports if kept is not known]
        self._reports.append(merged)
        self._reports.sort(key=lambda kept: kept.at)
        self._update(now)
        return merged in self._reports

    def record_survival(self, part: str, *, at: float, now: float) -> bool:
        """Record that an answer to a prompt with this part began; return whether that is news."""
        known = self._survivals.get(part)
        if known is not None and known >= at:
            return False
        self._survivals[part] = at
        self._survivals.move_to_end(part)
        while len(self._survivals) > MAX_SURVIVALS:
            self._survivals.popitem(last=False)
        if self._quarantines and part in self._quarantines:
            self._update(now)
        return True

    def expire(self, *, now: float) -> None:
        """Forget what is too old."""
        self._update(now)

    def retract(self, upstream: str, *, at: float, now: float) -> bool:
        """Forget a crash at ``at``, as its engine goes on; return whether it was reported."""
        known = self._find(CrashReport(upstream, at, ()))
        if known is None:
            return False
        self._retracted[upstream] = known.at
        self._reports = [kept for kept in self._reports if kept is not known]
        self._update(now)
        return True

    def survival(self, part: str) -> float | None:
        """Return when an answer to a prompt with this part last began, or ``None``."""
        return self._survivals.get(part)

    def evidence(self, *, most: int) -> list[CrashReport]:
        """Return the latest ``most`` reports for each quarantine, without parts that survived."""
        found: dict[tuple[str, float], CrashReport] = {}
        for part in self._quarantines:
            supporting = [report for report in self._reports if part in report.parts]
            for report in supporting[-most:]:
                found[report.upstream, report.at] = self._without_survivors(report)
        return list(found.values())

    def sampled(self, report: CrashReport, *, most: int, now: float) -> CrashReport:
        """Return a report with at most ``most`` parts; those answered lately go first."""
        since = now - RECENT_SECONDS
        return report.sampled(
            most=most, survived=lambda part: self._survivals.get(part, since) > since
        )

    def concerns(self, part: str) -> bool:
        """Whether a kept report names the part, so that its survivals matter to other gateways."""
        return part in self._named

    def is_new_answer(self, part: str) -> bool:
        """Whether an answer to the part now would be the first known since its latest crash."""
        if part not in self._named:
            return False
        crashed_at = max(report.at for report in self._reports if part in report.parts)
        return self._survivals.get(part, float("-inf")) <= crashed_at

    def find(self, parts: Iterable[str]) -> Quarantine | None:
        """Return the quarantine of one of the parts that ends last, or ``None``."""
        if not self._quarantines:
            return None
        found = [self._quarantines[part] for part in parts if part in self._quarantines]
        return max(found, key=lambda quarantine: quarantine.ends_at, default=None)

    def _find(self, report: CrashReport) -> CrashReport | None:
        """Return the report of the same crash that is kept, or ``None``."""
        for kept in reversed(self._reports):
            if kept.upstream == report.upstream and abs(kept.at - report.at) <= SAME_CRASH_SECONDS:
                return kept
        return None

    def _without_survivors(self, report: CrashReport) -> CrashReport:
        prompts = (
            tuple(part for part in prompt if self._survivals.get(part, report.at) <= report.at)
            for prompt in report.prompts
        )
        kept = tuple(dict.fromkeys(prompt for prompt in prompts if prompt))
        return CrashReport(report.upstream, report.at, kept)

    def _update(self, now: float) -> None:
        self._quarantines = find_quarantines(self._reports, self._survivals, now=now)
        supporting = self._quarantines.keys()
        kept = [
            report
            for report in self._reports
            if now - self._heard_at[report.key] <= REPORT_SECONDS or report.parts & supporting
        ]
        excess = len(kept) - MAX_REPORTS
        if excess > 0:
            # Those that support no quarantine go first, then the oldest.
            ranked = sorted(kept, key=lambda report: (bool(report.parts & supporting), report.at))
            dropped = {id(report) for report in ranked[:excess]}
            kept = [report for report in kept if id(report) not in dropped]
        self._reports = kept
        self._heard_at = {report.key: self._heard_at[report.key] for report in kept}
        self._retracted = {
            upstream: at for upstream, at in self._retracted.items() if now - at <= REPORT_SECONDS
        }
        self._named = frozenset().union(*(report.parts for report in kept))


def find_quarantines(
    reports: Sequence[CrashReport], survivals: Mapping[str, float], *, now: float
) -> dict[str, Quarantine]:
    """Return the quarantines that explain the most crashes, by part.

    Crashes that one part explains count for no other. Of parts with the same score, the one that
    stands later in its prompts is chosen, as fewer prompts share it.
    """
    suspects = _suspects(reports)
    unexplained = list(reports)
    found: dict[str, Quarantine] = {}
    while True:
        crashes = _crash_times(unexplained, survivals, suspects)
        scores = {part: _score(times, survivals.get(part)) for part, times in crashes.items()}
        part = max(crashes, key=lambda part: (scores[part], suspects[part], part), default=None)
        if part is None or scores[part] < CRASHES_TO_QUARANTINE:
            return found
        quarantine = _make_quarantine(part, crashes[part])
        if now <= quarantine.ends_at + IDLE_SECONDS:
            found[part] = quarantine
        survived_at = survivals.get(part, float("-inf"))
        unexplained = [
            report for report in unexplained if part not in report.parts or report.at <= survived_at
        ]


def _score(times: Sequence[float], survived_at: float | None) -> float:
    """Return how strongly the ascending times of a part's crashes speak against it."""
    if survived_at is None or times[0] - survived_at > RECENT_SECONDS:
        return len(times)
    if times[-1] - times[0] < SURVIVOR_SPAN_SECONDS:
        return 0.0
    return _count_distinct(times) * SURVIVOR_WEIGHT


def probing_turn(quarantine: Quarantine, *, now: float) -> str | None:
    """Return the key by which the gateway that may send a probe is chosen, or ``None`` if none may.

    Clocks differ between gateways, so two may believe that it is their turn for a moment.
    """
    if now < quarantine.ends_at:
        return None
    turn = int((now - quarantine.ends_at) / PROBE_TURN_SECONDS)
    return f"{quarantine.part}/{turn}"


def _suspects(reports: Sequence[CrashReport]) -> dict[str, int]:
    """Return the parts of enough crashes for a quarantine, with their last position in a prompt."""
    counts = Counter(part for report in reports for part in report.parts)
    positions: Counter[str] = Counter()
    for report in reports:
        for prompt in report.prompts:
            for position, part in enumerate(prompt):
                if counts[part] >= CRASHES_TO_QUARANTINE:
                    positions[part] = max(positions[part], position)
    return positions


def _crash_times(
    reports: Iterable[CrashReport], survivals: Mapping[str, float], suspects: Mapping[str, int]
) -> dict[str, list[float]]:
    """Return the times of each suspect's crashes since its last survival, in order."""
    crashes: dict[str, list[float]] = {}
    for report in reports:
        for part in report.parts & suspects.keys():
            if report.at > survivals.get(part, float("-inf")):
                crashes.setdefault(part, []).append(report.at)
    return crashes


def _count_distinct(times: Sequence[float]) -> int:
    """Return how many of the ascending times are apart from the last one that counted."""
    count = 0
    last = float("-inf")
    for time in times:
        if time - last > CORRELATED_SECONDS:
            count += 1
            last = time
    return count


def _make_quarantine(part: str, times: Sequence[float]) -> Quarantine:
    """Return the quarantine for the crashes of a part.

    It lasts twice as long as the one before, which is known from the time between its latest
    crashes, as a gateway that has just started hears only of these.
    """
    latest = times[-REPORTS_PER_QUARANTINE:]
    longest = max((later - earlier for earlier, later in itertools.pairwise(latest)), default=0.0)
    seconds = INITIAL_QUARANTINE_SECONDS
    while seconds <= longest and seconds < MAX_QUARANTINE_SECONDS:
        seconds *= 2
    return Quarantine(
        part=part,
        crashed_at=times[-1],
        crashes=len(times),
        seconds=min(MAX_QUARANTINE_SECONDS, seconds),
    )
