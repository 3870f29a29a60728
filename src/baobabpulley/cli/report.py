"""``baobabpulley report burn``: use of the teams' error budgets."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click
import msgspec

from baobabpulley.cli.checked_settings import load_settings_or_exit
from baobabpulley.cli.entry_client import EntryClient
from baobabpulley.cli.main import cli
from baobabpulley.errors import EXIT_FAILED
from baobabpulley.policy.burn import BurnDocument
from baobabpulley.policy.burn import BurnSeries
from baobabpulley.policy.burn import alert_state
from baobabpulley.policy.burn import burn_rate
from baobabpulley.policy.burn import merge_series

_COLUMNS = ("team", "objective", "target", "5 min", "1 h", "6 h", "state")


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
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
def burn(path: Path, addresses: tuple[str, ...], as_json: bool) -> None:
    """Show how fast each team uses up its error budgets, over all the given entries.

    Exits with code 1 if an entry does not respond; the report then covers the others.
    """
    access = EntryClient(load_settings_or_exit(path, daemon="entry"))
    responses = asyncio.run(access.get_all(addresses, "/v1/burn", kind=BurnDocument))
    documents = tuple(response for response in responses if isinstance(response, BurnDocument))
    series = merge_series(documents)
    fast = min((document.fast_burn for document in documents), default=0.0)
    slow = min((document.slow_burn for document in documents), default=0.0)
    rows = [_row(item, fast_burn=fast, slow_burn=slow) for item in series]
    if as_json:
        click.echo(msgspec.json.encode([dict(zip(_COLUMNS, row, strict=True)) for row in rows]))
    else:
        click.echo(_table(rows))
    for address, response in zip(addresses, responses, strict=True):
        if not isinstance(response, BurnDocument):
            click.echo(f"{address}: {response}", err=True)
    if len(documents) < len(addresses):
        sys.exit(EXIT_FAILED)


def _row(series: BurnSeries, *, fast_burn: float, slow_burn: float) -> tuple[str | float, ...]:
    rates = tuple(round(burn_rate(count, target=series.target), 2) for count in series.windows)
    state = alert_state(series, fast_burn=fast_burn, slow_burn=slow_burn)
    return (series.team, series.objective, series.target, *rates, state)


def _table(rows: list[tuple[str | float, ...]]) -> str:
    lines = [_COLUMNS, *rows]
    widths = [max(len(str(line[column])) for line in lines) for column in range(len(_COLUMNS))]
    return "\n".join(
        "  ".join(str(cell).ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )
