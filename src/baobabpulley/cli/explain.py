"""``baobabpulley explain REQUEST_ID`` and ``baobabpulley explain UPSTREAM --keeper ADDRESS``."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TextIO
from urllib.parse import quote

import click
import msgspec

from baobabpulley.cli.checked_settings import load_settings_or_exit
from baobabpulley.cli.entry_client import EntryClient
from baobabpulley.cli.main import cli
from baobabpulley.cli.order_decisions import describe_orders
from baobabpulley.cli.order_decisions import request_order_decisions
from baobabpulley.errors import EXIT_FAILED
from baobabpulley.model.decisions import DecisionRecord
from baobabpulley.model.log_lines import LogLine
from baobabpulley.model.log_lines import read_log_lines
from baobabpulley.policy.request_timeline import describe_cause
from baobabpulley.policy.request_timeline import nearby_events
from baobabpulley.policy.request_timeline import timeline_of


@cli.command()
@click.argument("request_id")
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path, dir_okay=False),
    help="An entry's settings file, for the fleet's secret.",
)
@click.option(
    "--log", "logs", type=click.File(), multiple=True, help="Log file; - for standard input."
)
@click.option("--entry", "addresses", multiple=True, help="ip:port of an entry.")
@click.option(
    "--keeper", "keepers", multiple=True, help="ip:port at which a keeper serves its peers."
)
def explain(
    request_id: str,
    path: Path | None,
    logs: tuple[TextIO, ...],
    addresses: tuple[str, ...],
    keepers: tuple[str, ...],
) -> None:
    """Show what was decided for a request, and why, at each of the given entries.

    With --log, shows the timeline of a request from gateways' log lines, and the cause of its
    outcome last. With --keeper, REQUEST_ID is the id of an upstream, and the orders to it are
    shown. Exits with code 1 if no record of it is found.
    """
    if logs:
        _explain_from_logs(request_id, logs)
        return
    if path is None:
        raise click.UsageError("give a settings file with --settings, or log files with --log")
    if keepers:
        _explain_orders(request_id, path, keepers)
        return
    if not addresses:
        raise click.UsageError("name entries with --entry, or keepers with --keeper")
    access = EntryClient(load_settings_or_exit(path, daemon="entry"))
    target = f"/v1/explain/{quote(request_id, safe='')}"
    responses = asyncio.run(access.get_all(addresses, target, kind=DecisionRecord))
    any_record = False
    for address, response in zip(addresses, responses, strict=True):
        if isinstance(response, DecisionRecord):
            any_record = True
            click.echo(_describe(address, response))
        elif response is not None:
            click.echo(f"{address}: {response}", err=True)
    if not any_record:
        click.echo(f"none of the given entries has a record of {request_id}", err=True)
        sys.exit(EXIT_FAILED)


def _explain_from_logs(request_id: str, logs: tuple[TextIO, ...]) -> None:
    lines = [line for log in logs for line in read_log_lines(log)]
    timeline = timeline_of(request_id, lines)
    nearby = nearby_events(timeline, lines)
    for line in sorted([*timeline, *nearby], key=lambda line: line.time):
        click.echo(_describe_line(line))
    click.echo(describe_cause(timeline, nearby))
    if not timeline:
        sys.exit(EXIT_FAILED)


def _describe_line(line: LogLine) -> str:
    hidden = {"time", "node", "event", "request", "level"}
    fields = msgspec.structs.asdict(line)
    defaults = msgspec.structs.asdict(LogLine(time=0.0))
    shown = [
        f"{name}={value}"
        for name, value in fields.items()
        if name not in hidden and value != defaults[name]
    ]
    return f"{line.time:.3f}  {line.node:<16} {line.event:<16} {'  '.join(shown)}"


def _explain_orders(upstream: str, path: Path, keepers: tuple[str, ...]) -> None:
    settings = load_settings_or_exit(path, daemon="entry")
    responses = asyncio.run(request_order_decisions(settings, keepers, upstream))
    any_record = False
    for address, response in responses.items():
        if isinstance(response, str):
            click.echo(f"{address}: {response}", err=True)
            continue
        any_record = any_record or bool(response.decisions)
        click.echo(describe_orders(address, response))
    if not any_record:
        click.echo(f"none of the given keepers has a record of orders to {upstream}", err=True)
        sys.exit(EXIT_FAILED)


def _describe(address: str, record: DecisionRecord) -> str:
    head = f"{record.request_id} at {address}: team {record.team}, lane {record.lane or '-'}"
    lines = [f"{head}, outcome {record.outcome}"]
    for step in record.steps:
        detail = "  ".join(f"{name}={value}" for name, value in step.detail.items())
        lines.append(f"  {step.at:9.3f} s  {step.what:<18} {detail}".rstrip())
    return "\n".join(lines)
