"""``baobabpulley bench once``: the cost of once-only orders, and pauses of answers."""

from __future__ import annotations

import asyncio
from typing import Final

import click
import msgspec

from baobabpulley.cli.bench import bench
from baobabpulley.emulator.bench_once import OnceBench
from baobabpulley.emulator.bench_once import table

BASE_PORT: Final = 20_000


@bench.command()
@click.option("--orders", default=1_000, help="Orders of each kind.")
@click.option("--streams", default=24, help="Answers that run when an engine is lost.")
@click.option("--speed", default=4.0, help="Model seconds in a real second.")
@click.option("--seed", default=1, help="Seed of prompts and of the order of the kinds.")
@click.option("--base-port", default=BASE_PORT, help="First loopback port of the fleet.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
def once(orders: int, streams: int, speed: float, seed: int, base_port: int, as_json: bool) -> None:
    """Place plain, ticketed and keyed orders, then kill and silence an engine in mid-answer.

    Exit code 1 if an answer was not whole and right.
    """
    measured = OnceBench(orders=orders, streams=streams, speed=speed, seed=seed)
    report = asyncio.run(measured.run(base_port=base_port))
    click.echo(msgspec.json.encode(report).decode() if as_json else table(report))
    if any(pause.right < pause.streams for pause in report.pauses):
        raise SystemExit(1)
