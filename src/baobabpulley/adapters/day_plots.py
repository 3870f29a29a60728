"""Plots of a day's gateway logs; needs matplotlib, which the daemons don't depend on."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Final

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot
from matplotlib.axes import Axes

from baobabpulley.policy.day_summary import DaySummary

SIZE_INCHES: Final = (10.0, 8.0)
DOTS_PER_INCH: Final = 80
# Gateway events that the time plots mark with a vertical line.
MARKED_EVENTS: Final = frozenset({"store_lost", "frozen", "stop", "start"})


def write_plots(summary: DaySummary, folder: Path) -> list[Path]:
    """Write ``times.png`` and ``requests.png`` into a folder; return their paths."""
    return [
        _write(folder / "times.png", (_plot_times, _plot_counts), summary),
        _write(folder / "requests.png", (_plot_lengths, _plot_refusals), summary),
    ]


def _write(path: Path, plots: tuple, summary: DaySummary) -> Path:  # type: ignore[type-arg]
    figure, axes = pyplot.subplots(len(plots), 1, figsize=SIZE_INCHES)
    for draw, axis in zip(plots, axes, strict=True):
        draw(axis, summary)
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)
    return path


def _plot_times(axis: Axes, summary: DaySummary) -> None:
    seconds = [row.second for row in summary.times]
    axis.plot(seconds, [row.first_p95 for row in summary.times], label="first event, p95")
    axis.plot(seconds, [row.wait_p95 for row in summary.times], label="wait for an upstream, p95")
    axis.set(xlabel="second of arrival", ylabel="seconds")
    _mark_events(axis, summary)
    axis.legend()


def _plot_counts(axis: Axes, summary: DaySummary) -> None:
    seconds = [row.second for row in summary.times]
    axis.step(seconds, [row.requests for row in summary.times], where="post", label="requests")
    axis.step(seconds, [row.not_ok for row in summary.times], where="post", label="not answered")
    axis.set(xlabel="second of arrival", ylabel="requests")
    _mark_events(axis, summary)
    axis.legend()


def _mark_events(axis: Axes, summary: DaySummary) -> None:
    for change in summary.state_changes:
        if change.event in MARKED_EVENTS and change.second >= 0:
            axis.axvline(change.second, color="grey", linewidth=0.5)


def _plot_lengths(axis: Axes, summary: DaySummary) -> None:
    positions = range(len(summary.lengths))
    axis.bar(positions, [row.first_p95 for row in summary.lengths], color="lightgrey", label="p95")
    axis.bar(positions, [row.first_p50 for row in summary.lengths], label="p50")
    axis.set_xticks(list(positions), [f"from {row.tokens}" for row in summary.lengths])
    axis.set(xlabel="prompt tokens", ylabel="seconds to the first event")
    axis.legend()


def _plot_refusals(axis: Axes, summary: DaySummary) -> None:
    counts: Counter[str] = Counter()
    for row in summary.outcomes:
        if row.outcome != "ok":
            counts[f"{row.outcome}: {row.reason}"[:60]] += row.number
    names = [name for name, _ in counts.most_common(12)]
    axis.barh(names, [counts[name] for name in names])
    axis.set(xlabel="requests not answered")
