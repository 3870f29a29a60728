"""``baobabpulley bench converge``: the time until a settings change applies everywhere."""

from __future__ import annotations

import asyncio

import click

from baobabpulley.cli.bench import bench
from baobabpulley.emulator.bench_converge import COLUMNS
from baobabpulley.emulator.bench_converge import ConvergePlan
from baobabpulley.emulator.bench_converge import measure_all


@bench.command()
@click.option("--base-port", default=21_000, help="First of the 1,000 loopback ports to use.")
@click.option("--keepers", default="4,24", help="Numbers of keepers, separated by commas.")
@click.option("--changes", default=200, help="Settings changes in each case.")
@click.option("--documents", default=200, help="Other settings documents in the store.")
@click.option("--seed", default=0, help="Seed of the documents and of the pauses between changes.")
def converge(base_port: int, keepers: str, changes: int, documents: int, seed: int) -> None:
    """Measure the time until a settings change is in force at every keeper.

    Compares deltas by revision with full snapshots, and store watches of only the first keepers of
    each failure domain with store watches of all keepers.
    """
    plan = ConvergePlan(base_port=base_port, changes=changes, documents=documents, seed=seed)
    sizes = [int(size) for size in keepers.split(",")]
    click.echo("| " + " | ".join(COLUMNS) + " |")
    click.echo("|" + " --- |" * len(COLUMNS))

    def show(row: tuple[str, ...]) -> None:
        click.echo("| " + " | ".join(row) + " |")

    asyncio.run(measure_all(plan, sizes=sizes, show=show))
