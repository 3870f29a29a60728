"""``baobabpulley bench control``: the cost of control messages."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

import click

from baobabpulley.cli.bench import bench
from baobabpulley.emulator.bench_control import ControlCase
from baobabpulley.emulator.bench_control import ControlReport
from baobabpulley.emulator.bench_control import measure_control


@bench.command()
@click.option("--base-port", default=21_000, help="First of the 1,000 loopback ports to use.")
@click.option("--keepers", default="4,12,24", help="Numbers of keepers, separated by commas.")
@click.option("--engines", default="16,100,500", help="Numbers of engines, separated by commas.")
@click.option(
    "--domains", default=2, help="Failure domains that keepers and engines are spread over."
)
@click.option("--teams", default=4_700, help="Client accounts with limits.")
@click.option("--entries/--no-entries", default=True, help="Run an entry beside each keeper.")
@click.option("--settle", default=8.0, help="Seconds before the measurement begins.")
@click.option("--window", default=15.0, help="Length of the measurement in seconds.")
@click.option("--news-period", default=10.0, help="Seconds between an engine's cache events.")
@click.option("--seed", default=0, help="Seed of the published loads.")
def control(
    base_port: int,
    keepers: str,
    engines: str,
    domains: int,
    teams: int,
    entries: bool,
    settle: float,
    window: float,
    news_period: float,
    seed: int,
) -> None:
    """Measure what control messages cost each node, and how that grows with the fleet.

    Measures CPU time, memory and bytes for every combination of keepers and engines.
    """
    cases = [
        ControlCase(
            keepers=int(keeper_count),
            engines=int(engine_count),
            domains=domains,
            teams=teams,
            entries=entries,
            settle=settle,
            window=window,
            news_period=news_period,
            seed=seed,
        )
        for keeper_count in keepers.split(",")
        for engine_count in engines.split(",")
    ]
    report = ControlReport()
    with tempfile.TemporaryDirectory() as directory:
        for case in cases:
            nodes = asyncio.run(
                measure_control(case, base_port=base_port, directory=Path(directory))
            )
            click.echo(report.add(case, nodes))
    click.echo(report.traffic_by_kind())
    click.echo(report.slopes())
