"""``baobabpulley bench gangs``: prompts that need the memory of several engines."""

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
@click.option("--count", default=2, help="Number of long prompts, sent at the same time.")
@click.option("--tokens", default=1_000_000, help="Length of each long prompt in tokens.")
@click.option("--engines", default=6, help="Engines in the failure domain.")
@click.option("--speed", default=8.0, help="Model seconds that pass in one real second.")
@click.option("--seed", default=1, help="Seed of the prompts.")
@click.option("--base-port", default=BASE_PORT, help="First loopback port of the fleet.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
def gangs(
    count: int, tokens: int, engines: int, speed: float, seed: int, base_port: int, as_json: bool
) -> None:
    """Measure the time to first token of prompts larger than one engine's memory.

    Short prompts are sent at the same time. Exit code 1 if a response was wrong or a short prompt
    failed.
    """
    gang_bench = GangBench(gangs=count, tokens=tokens, engines=engines, speed=speed, seed=seed)
    result = asyncio.run(gang_bench.run(base_port=base_port))
    click.echo(msgspec.json.encode(result).decode() if as_json else table(result))
    if not all(row.right for row in result.rows) or result.shorts_failed:
        raise SystemExit(1)
