"""``baobabpulley explain REQUEST_ID`` and ``baobabpulley explain UPSTREAM --keeper ADDRESS``."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from urllib.parse import quote

import click

from baobabpulley.cli.checked_settings import checked_settings
from baobabpulley.cli.fleet_access import FleetAccess
from baobabpulley.cli.main import cli
from baobabpulley.cli.order_decisions import ask_keepers
from baobabpulley.cli.order_decisions import describe_orders
from baobabpulley.errors import EXIT_FAILED
from baobabpulley.model.decisions import DecisionRecord


@cli.command()
@click.argument("request_id")
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path, dir_okay=False),
    required=True,
    help="An entry's settings file, for the fleet's secret.",
)
@click.option("--entry", "addresses", multiple=True, help="ip:port of an entry.")
@click.option("--keeper", "keepers", multiple=True, help="ip:port of a keeper, for its peers.")
def explain(
    request_id: str, path: Path, addresses: tuple[str, ...], keepers: tuple[str, ...]
) -> None:
    """Show what was decided for a request, and why, at every entry that saw it.

    With --keeper, REQUEST_ID is the id of an upstream, and the orders to it are shown. Exits
    with code 1 if nothing asked keeps a record of it.
    """
    if keepers:
        _explain_orders(request_id, path, keepers)
        return
    if not addresses:
        raise click.UsageError("name entries with --entry, or keepers with --keeper")
    access = FleetAccess(checked_settings(path, daemon="entry"))
    target = f"/v1/explain/{quote(request_id, safe='')}"
    answers = asyncio.run(access.get_all(addresses, target, kind=DecisionRecord))
    found = False
    for address, answer in zip(addresses, answers, strict=True):
        if isinstance(answer, DecisionRecord):
            found = True
            click.echo(_describe(address, answer))
        elif answer is not None:
            click.echo(f"{address}: {answer}", err=True)
    if not found:
        click.echo(f"no entry asked keeps a record of {request_id}", err=True)
        sys.exit(EXIT_FAILED)


def _explain_orders(upstream: str, path: Path, keepers: tuple[str, ...]) -> None:
    settings = checked_settings(path, daemon="entry")
    answers = asyncio.run(ask_keepers(settings, keepers, upstream))
    found = False
    for address, answer in answers.items():
        if isinstance(answer, str):
            click.echo(f"{address}: {answer}", err=True)
            continue
        found = found or bool(answer.decisions)
        click.echo(describe_orders(address, answer))
    if not found:
        click.echo(f"no keeper asked keeps a record of orders to {upstream}", err=True)
        sys.exit(EXIT_FAILED)


def _describe(address: str, record: DecisionRecord) -> str:
    head = f"{record.request_id} at {address}: team {record.team}, lane {record.lane or '-'}"
    lines = [f"{head}, outcome {record.outcome}"]
    for step in record.steps:
        detail = "  ".join(f"{name}={value}" for name, value in step.detail.items())
        lines.append(f"  {step.at:9.3f} s  {step.what:<18} {detail}".rstrip())
    return "\n".join(lines)
