"""``baobabpulley bench once``: the cost of running orders only once, and response pauses."""

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
@click.option("--streams", default=24, help="Responses in progress when an engine is lost.")
@click.option("--speed", default=4.0, help="Model seconds that pass in one real second.")
@click.option(
    "--seed", default=1, help="Seed of the prompts and of the sequence in which kinds are sent."
)
@click.option("--base-port", default=BASE_PORT, help="First loopback port of the fleet.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
def once(orders: int, streams: int, speed: float, seed: int, base_port: int, as_json: bool) -> None:
    """Measure orders that run only once, and pauses in responses whose engine is lost.

    Places plain orders, orders with a call ticket and orders with an idempotency key. Then an
    engine is killed, and one stops responding, during its responses. Exit code 1 if a response was
    incomplete or wrong.
    """
    once_bench = OnceBench(orders=orders, streams=streams, speed=speed, seed=seed)
    report = asyncio.run(once_bench.run(base_port=base_port))
    click.echo(msgspec.json.encode(report).decode() if as_json else table(report))
    if any(pause.right < pause.streams for pause in report.pauses):
        raise SystemExit(1)
