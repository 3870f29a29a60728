"""``baobabpulley bench faults``: faults of all kinds at once under load."""

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
@click.option("--seed", default=1, help="Seed of the faults and the calls.")
@click.option("--runs", default=1, help="Runs, each with the next seed and a fresh fleet.")
@click.option("--seconds", default=60.0, help="Model seconds in which faults are struck.")
@click.option("--every", default=1.0, help="Model seconds from one fault to the next, on average.")
@click.option("--speed", default=4.0, help="Model seconds in a real second.")
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
    """Kill, freeze, silence and cut off at random; exit with 1 if a promise is broken."""
    broken = False
    for number in range(seed, seed + runs):
        report = asyncio.run(
            run_faults(seed=number, seconds=seconds, every=every, speed=speed, base_port=base_port)
        )
        broken = broken or bool(report.violations)
        click.echo(msgspec.json.encode(report).decode() if as_json else render_report(report))
    if broken:
        raise SystemExit(EXIT_FAILED)
