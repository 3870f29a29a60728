"""``baobabpulley report day``: gateways' log lines as tables and plots."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TextIO

import click
import msgspec

from baobabpulley.cli.report import report
from baobabpulley.errors import EXIT_FAILED
from baobabpulley.model.log_lines import read_log_lines
from baobabpulley.policy.day_summary import DaySummary
from baobabpulley.policy.day_summary import summary_of


@report.command()
@click.argument("logs", type=click.File(), nargs=-1, required=True)
@click.option(
    "--period",
    default=2.0,
    show_default=True,
    help="Seconds covered by one row of the table by time.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of tables.")
@click.option(
    "--plots",
    type=click.Path(path_type=Path, file_okay=False),
    help="Folder for plots, which need matplotlib.",
)
def day(logs: tuple[TextIO, ...], period: float, as_json: bool, plots: Path | None) -> None:
    """Show requests by outcome, prompt length and time, and the state changes of gateways."""
    lines = [line for log in logs for line in read_log_lines(log)]
    summary = summary_of(lines, period=period)
    if not summary.outcomes:
        click.echo("the log files contain no line about a request", err=True)
        sys.exit(EXIT_FAILED)
    if as_json:
        click.echo(msgspec.json.encode(summary))
    else:
        for table in (summary.outcomes, summary.lengths, summary.times, summary.state_changes):
            click.echo(_table(table))
    if plots is not None:
        _plot(summary, plots)


def _table(rows: tuple[msgspec.Struct, ...]) -> str:
    """Return rows as text under the names of their fields; an empty string if there are none."""
    if not rows:
        return ""
    cells = [rows[0].__struct_fields__, *(map(_cell, msgspec.structs.astuple(row)) for row in rows)]
    lines = [list(line) for line in cells]
    widths = [max(len(line[column]) for line in lines) for column in range(len(lines[0]))]
    texts = (
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    )
    return "\n".join(text.rstrip() for text in texts) + "\n"


def _cell(value: object) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def _plot(summary: DaySummary, folder: Path) -> None:
    """Write the plots of a day; import matplotlib only here, as it is an optional library."""
    try:
        from baobabpulley.adapters.day_plots import write_plots
    except ImportError:
        raise click.ClickException("plots need matplotlib: install it, or omit --plots") from None
    folder.mkdir(parents=True, exist_ok=True)
    for path in write_plots(summary, folder):
        click.echo(path)
