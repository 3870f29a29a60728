"""``baobabpulley report burn`` and ``baobabpulley report day``."""

from __future__ import annotations

import asyncio
import itertools
import sys
from collections import Counter
from pathlib import Path
from typing import TextIO

import click
import msgspec

from baobabpulley.cli.checked_settings import checked_settings
from baobabpulley.cli.fleet_access import FleetAccess
from baobabpulley.cli.main import cli
from baobabpulley.errors import EXIT_FAILED
from baobabpulley.model.log_lines import LogLine
from baobabpulley.model.log_lines import read_log_lines
from baobabpulley.policy.burn import BurnDocument
from baobabpulley.policy.burn import BurnSeries
from baobabpulley.policy.burn import alert_state
from baobabpulley.policy.burn import burn_rate
from baobabpulley.policy.burn import merge_series

# Bounds of the rows by prompt length, in tokens.
_LENGTHS = (1, 1000, 10_000, 30_000, 100_000, 200_000, 1_000_001)

_HEADS = ("team", "objective", "target", "5 min", "1 h", "6 h", "state")


@cli.group()
def report() -> None:
    """Report on running daemons, or on the log lines of a day."""


@report.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path, dir_okay=False),
    required=True,
    help="An entry's settings file, for the fleet's secret.",
)
@click.option("--entry", "addresses", multiple=True, required=True, help="ip:port of an entry.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON in place of a table.")
def burn(path: Path, addresses: tuple[str, ...], as_json: bool) -> None:
    """Show how fast each team uses up its error budgets, over all entries given.

    Exits with code 1 if an entry does not answer; the report then covers the others.
    """
    access = FleetAccess(checked_settings(path, daemon="entry"))
    answers = asyncio.run(access.get_all(addresses, "/v1/burn", kind=BurnDocument))
    documents = tuple(answer for answer in answers if isinstance(answer, BurnDocument))
    series = merge_series(documents)
    fast = min((document.fast_burn for document in documents), default=0.0)
    slow = min((document.slow_burn for document in documents), default=0.0)
    rows = [_row(one, fast_burn=fast, slow_burn=slow) for one in series]
    if as_json:
        click.echo(msgspec.json.encode([dict(zip(_HEADS, row, strict=True)) for row in rows]))
    else:
        click.echo(_table(rows))
    for address, answer in zip(addresses, answers, strict=True):
        if not isinstance(answer, BurnDocument):
            click.echo(f"{address}: {answer}", err=True)
    if len(documents) < len(addresses):
        sys.exit(EXIT_FAILED)


@report.command()
@click.argument("logs", type=click.File(), nargs=-1, required=True)
@click.option("--period", default=2.0, show_default=True, help="Seconds of one row.")
def day(logs: tuple[TextIO, ...], period: float) -> None:
    """Show requests by time, outcome and length of prompt, from gateways' log lines."""
    ends = [line for log in logs for line in read_log_lines(log) if line.event == "request"]
    if not ends:
        click.echo("no line tells of a request", err=True)
        sys.exit(EXIT_FAILED)
    click.echo(_outcomes(ends))
    click.echo(_by_length(ends))
    click.echo(_by_time(ends, period))


def _outcomes(ends: list[LogLine]) -> str:
    counts = Counter((line.service or "-", str(line.outcome)) for line in ends)
    rows = [f"{service:<16} {outcome:<24} {n:>7}" for (service, outcome), n in counts.items()]
    return "\n".join([f"{'service':<16} {'outcome':<24} {'number':>7}", *sorted(rows)])


def _by_length(ends: list[LogLine]) -> str:
    rows = [
        f"{'prompt tokens':<16} {'number':>7} {'first p50':>10} {'first p95':>10} {'p95 pause':>10}"
    ]
    for least, most in itertools.pairwise(_LENGTHS):
        found = [
            line
            for line in ends
            if least <= line.prompt_tokens < most and line.first_event is not None
        ]
        if found:
            firsts = [line.first_event or 0.0 for line in found]
            pauses = [line.longest_pause for line in found]
            rows.append(
                f"{f'from {least}':<16} {len(found):>7} {_share(firsts, 0.5):>10.3f}"
                f" {_share(firsts, 0.95):>10.3f} {_share(pauses, 0.95):>10.3f}"
            )
    return "\n".join(rows)


def _by_time(ends: list[LogLine], period: float) -> str:
    begin = min(line.time - line.seconds for line in ends)
    rows = [f"{'from second':<16} {'requests':>8} {'not ok':>7} {'first p95':>10}"]
    groups = itertools.groupby(
        sorted(ends, key=lambda line: line.time - line.seconds),
        key=lambda line: int((line.time - line.seconds - begin) / period),
    )
    for number, group in groups:
        found = list(group)
        firsts = [line.first_event for line in found if line.first_event is not None]
        failed = sum(line.outcome != "ok" for line in found)
        rows.append(
            f"{number * period:<16g} {len(found):>8} {failed:>7} {_share(firsts, 0.95):>10.3f}"
        )
    return "\n".join(rows)


def _share(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def _row(series: BurnSeries, *, fast_burn: float, slow_burn: float) -> tuple[str | float, ...]:
    rates = tuple(round(burn_rate(count, target=series.target), 2) for count in series.windows)
    state = alert_state(series, fast_burn=fast_burn, slow_burn=slow_burn)
    return (series.team, series.objective, series.target, *rates, state)


def _table(rows: list[tuple[str | float, ...]]) -> str:
    lines = [_HEADS, *rows]
    widths = [max(len(str(line[column])) for line in lines) for column in range(len(_HEADS))]
    return "\n".join(
        "  ".join(str(cell).ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )
