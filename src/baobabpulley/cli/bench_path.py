"""``baobabpulley bench path``: the overhead of the entry."""

from __future__ import annotations

import asyncio
import sys

import click
import msgspec

from baobabpulley.cli.bench import bench
from baobabpulley.emulator.bench_client import ClientWorkload
from baobabpulley.emulator.bench_client import run_client
from baobabpulley.emulator.bench_hop import run_hop
from baobabpulley.emulator.bench_path import PathPlan
from baobabpulley.emulator.bench_path import measure_path
from baobabpulley.emulator.bench_path import render_report
from baobabpulley.errors import EXIT_FAILED


@bench.command()
@click.option("--base-port", default=31_000, help="First loopback port of the fleet.")
@click.option("--seconds", default=6.0, help="Real seconds of each of the two phases.")
@click.option("--clients", default=3, help="Number of client processes.")
@click.option("--engines", default=4, help="Number of stand-in engines.")
@click.option("--connections", default=8, help="Connections per client at full load.")
@click.option("--seed", default=1, help="Seed of the arrival times.")
def path(
    base_port: int, seconds: float, clients: int, engines: int, connections: int, seed: int
) -> None:
    """Measure short completions per second, and time to first token against direct calls.

    Exit code 1 if any request failed.
    """
    plan = PathPlan(
        base_port=base_port,
        seconds=seconds,
        clients=clients,
        engines=engines,
        connections=connections,
        seed=seed,
    )
    report = asyncio.run(measure_path(plan))
    click.echo(msgspec.json.format(msgspec.json.encode(report)).decode())
    click.echo(render_report(report))
    if report.failed:
        sys.exit(EXIT_FAILED)


@bench.command(hidden=True)
@click.argument("order")
def client(order: str) -> None:
    """Run one client of a bench; ORDER is its plan as JSON, and the result is JSON too."""
    result = asyncio.run(run_client(msgspec.json.decode(order, type=ClientWorkload)))
    click.echo(msgspec.json.encode(result).decode())


@bench.command(hidden=True)
@click.option("--address", required=True, help="ip:port to listen on.")
@click.argument("engines", nargs=-1, required=True)
def hop(address: str, engines: tuple[str, ...]) -> None:
    """Run a minimal proxy that forwards streams to ENGINES in round-robin order."""
    run_hop(address=address, engines=engines)
