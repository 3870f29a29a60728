"""``baobabpulley bench faults``: overlapping faults of all kinds under load."""

from __future__ import annotations

import asyncio
from typing import Final

import click
import msgspec

from baobabpulley.cli.bench import bench
from baobabpulley.emulator.bench_faults import render_report
from baobabpulley.emulator.bench_faults import run_faults
from baobabpulley.errors import EXIT_FAILED

BASE_PORT: Final = 20_000


@bench.command()
@click.option("--seed", default=1, help="Seed of the faults and the requests.")
@click.option("--runs", default=1, help="Number of runs, each with the next seed and a new fleet.")
@click.option("--seconds", default=60.0, help="Model seconds during which faults are injected.")
@click.option("--every", default=1.0, help="Mean model seconds between two faults.")
@click.option("--speed", default=4.0, help="Model seconds that pass in one real second.")
@click.option("--base-port", default=BASE_PORT, help="First loopback port of the fleet.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of text.")
def faults(
    seed: int,
    runs: int,
    seconds: float,
    every: float,
    speed: float,
    base_port: int,
    as_json: bool,
) -> None:
    """Inject random faults under load; exit with 1 if a guarantee is violated.

    Processes are killed, frozen, made unresponsive and cut off from the network.
    """
    violated = False
    for run_seed in range(seed, seed + runs):
        report = asyncio.run(
            run_faults(
                seed=run_seed,
                seconds=seconds,
                mean_interval=every,
                speed=speed,
                base_port=base_port,
            )
        )
        violated = violated or bool(report.violations)
        click.echo(msgspec.json.encode(report).decode() if as_json else render_report(report))
    if violated:
        raise SystemExit(EXIT_FAILED)
