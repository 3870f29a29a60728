"""Burn rates over several windows: how fast each objective's error budget is used up.

The burn rate of a window is its share of bad events over the share that the objective allows; an
alert needs a fast window and a slow one to agree (multi-window, multi-burn-rate alerting as in
the Site Reliability Workbook, chapter 5).
"""

from __future__ import annotations

from collections import deque
from typing import Annotated
from typing import Final
from typing import final

import msgspec

from baobabpulley.settings import Count
from baobabpulley.settings import Seconds
from baobabpulley.settings import section

FIRST_TOKEN: Final = "first_token"
SLOWDOWN: Final = "slowdown"
FAILURES: Final = "failures"
WINDOW_SECONDS: Final = (300, 3_600, 21_600)
BUCKET_SECONDS: Final = 60
OTHER_TEAMS: Final = "(other)"

Target = Annotated[float, msgspec.Meta(gt=0, lt=1)]


@section("burn", "entry")
class BurnSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Objectives and alert thresholds; times are in model seconds, rates in tokens per second.

    A short prompt's first token is good within ``first_token``; a longer one's within
    ``stretch`` times its prefill time on an idle engine of ``prefill_rate``. A short prompt
    counts as slowed down if its first token takes longer than ``slowdown`` times that prefill
    time plus ``slack``. ``max_series`` bounds the memory used; teams beyond it are counted
    together.
    """

    first_token: Seconds = 0.8
    stretch: Annotated[float, msgspec.Meta(ge=1)] = 4.0
    slowdown: Annotated[float, msgspec.Meta(ge=1)] = 2.0
    slack: Seconds = 0.1
    prefill_rate: Annotated[float, msgspec.Meta(gt=0)] = 20_000.0
    first_token_target: Target = 0.95
    slowdown_target: Target = 0.95
    failures_target: Target = 0.999
    fast_burn: Annotated[float, msgspec.Meta(gt=0)] = 14.4
    slow_burn: Annotated[float, msgspec.Meta(gt=0)] = 6.0
    max_series: Count = 20_000


class WindowCount(msgspec.Struct, frozen=True):
    """Good and bad events within one window; ``window`` is its length in seconds."""

    window: int
    good: int
    bad: int


class BurnSeries(msgspec.Struct, frozen=True):
    """Event counts of one team and objective over all windows."""

    team: str
    objective: str
    target: float
    windows: tuple[WindowCount, ...]


class BurnDocument(msgspec.Struct, frozen=True):
    """All series of one entry, and the alert thresholds from its settings."""

    entry: str
    fast_burn: float
    slow_burn: float
    series: tuple[BurnSeries, ...]


@final
class BurnCounters:
    """Count good and bad events by team and objective in time buckets."""

    __slots__ = ("_buckets", "_section")

    def __init__(self, *, section: BurnSection) -> None:
        self._section = section
        self._buckets: dict[tuple[str, str], deque[list[int]]] = {}

    def count_first_token(
        self, *, team: str, tokens: int, short: bool, elapsed: float, now: float
    ) -> None:
        """Count a first token that came ``elapsed`` model seconds after the request."""
        ideal = tokens / self._section.prefill_rate
        bound = self._section.first_token if short else self._section.stretch * ideal
        self.count(team=team, objective=FIRST_TOKEN, good=elapsed <= bound, now=now)
        if short:
            bound = self._section.slowdown * ideal + self._section.slack
            self.count(team=team, objective=SLOWDOWN, good=elapsed <= bound, now=now)

    def count(self, *, team: str, objective: str, good: bool, now: float) -> None:
        """Count one event that occurred at ``now`` (model seconds)."""
        key = (team, objective)
        if key not in self._buckets and len(self._buckets) >= self._section.max_series:
            key = (OTHER_TEAMS, objective)
        buckets = self._buckets.setdefault(key, deque())
        number = int(now // BUCKET_SECONDS)
        if not buckets or buckets[-1][0] != number:
            buckets.append([number, 0, 0])
            _drop_expired(buckets, number)
        buckets[-1][1 if good else 2] += 1

    def describe(self, *, entry: str, now: float, team: str | None = None) -> BurnDocument:
        """Return all series, or those of one team."""
        targets = {
            FIRST_TOKEN: self._section.first_token_target,
            SLOWDOWN: self._section.slowdown_target,
            FAILURES: self._section.failures_target,
        }
        series = tuple(
            BurnSeries(
                team=series_team,
                objective=objective,
                target=targets[objective],
                windows=tuple(_count_window(buckets, length, now) for length in WINDOW_SECONDS),
            )
            for (series_team, objective), buckets in sorted(self._buckets.items())
            if team is None or series_team == team
        )
        return BurnDocument(
            entry=entry,
            fast_burn=self._section.fast_burn,
            slow_burn=self._section.slow_burn,
            series=series,
        )


def merge_series(documents: tuple[BurnDocument, ...]) -> tuple[BurnSeries, ...]:
    """Sum the series of all entries by team and objective."""
    merged: dict[tuple[str, str], BurnSeries] = {}
    for document in documents:
        for series in document.series:
            key = (series.team, series.objective)
            previous = merged.get(key)
            merged[key] = series if previous is None else _add_series(previous, series)
    return tuple(merged[key] for key in sorted(merged))


def burn_rate(count: WindowCount, *, target: float) -> float:
    """Return how many times faster than allowed the error budget is used; 0 without events.

    >>> burn_rate(WindowCount(window=300, good=90, bad=10), target=0.95)
    2.0
    """
    total = count.good + count.bad
    if not total:
        return 0.0
    return round((count.bad / total) / (1.0 - target), 9)


def alert_state(series: BurnSeries, *, fast_burn: float, slow_burn: float) -> str:
    """Return ``page``, ``ticket`` or ``ok``; an alert needs two adjacent windows to agree."""
    short, middle, long = (burn_rate(count, target=series.target) for count in series.windows)
    if min(short, middle) >= fast_burn:
        return "page"
    if min(middle, long) >= slow_burn:
        return "ticket"
    return "ok"


def _count_window(buckets: deque[list[int]], length: int, now: float) -> WindowCount:
    start = (now - length) // BUCKET_SECONDS
    inside = [bucket for bucket in buckets if bucket[0] > start]
    good = sum(bucket[1] for bucket in inside)
    return WindowCount(window=length, good=good, bad=sum(bucket[2] for bucket in inside))


def _drop_expired(buckets: deque[list[int]], number: int) -> None:
    oldest = number - WINDOW_SECONDS[-1] // BUCKET_SECONDS
    while buckets[0][0] < oldest:
        buckets.popleft()


def _add_series(first: BurnSeries, second: BurnSeries) -> BurnSeries:
    windows = tuple(
        WindowCount(window=a.window, good=a.good + b.good, bad=a.bad + b.bad)
        for a, b in zip(first.windows, second.windows, strict=True)
    )
    return msgspec.structs.replace(first, windows=windows)
