"""``baobabpulley bench gangs``: first tokens of prompts larger than one engine."""

from __future__ import annotations

import asyncio
from typing import Final

import click
import msgspec

from baobabpulley.cli.bench import bench
from baobabpulley.emulator.bench_gangs import GangBench
from baobabpulley.emulator.bench_gangs import table

BASE_PORT: Final = 20_000


@bench.command()
@click.option("--count", default=2, help="Prompts sent at once.")
@click.option("--tokens", default=1_000_000, help="Tokens of each prompt.")
@click.option("--engines", default=6, help="Engines of the failure domain.")
@click.option("--speed", default=8.0, help="Model seconds in a real second.")
@click.option("--seed", default=1, help="Seed of the prompts.")
@click.option("--base-port", default=BASE_PORT, help="First loopback port of the fleet.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
def gangs(
    count: int, tokens: int, engines: int, speed: float, seed: int, base_port: int, as_json: bool
) -> None:
    """Send prompts larger than one engine at once, with shorts beside them."""
    measured = GangBench(gangs=count, tokens=tokens, engines=engines, speed=speed, seed=seed)
    result = asyncio.run(measured.run(base_port=base_port))
    click.echo(msgspec.json.encode(result).decode() if as_json else table(result))
    if not all(row.right for row in result.rows) or result.shorts_failed:
        raise SystemExit(1)
