"""``baobabpulley bench mix`` and ``bench overload``: mixed prompt lengths under load."""

from __future__ import annotations

import asyncio
from pathlib import Path

import click
import msgspec

from baobabpulley.cli.bench import bench
from baobabpulley.emulator.bench_mix import register_profile
from baobabpulley.emulator.bench_mix import run_variant
from baobabpulley.emulator.bench_mix import variants
from baobabpulley.emulator.bench_overload import overload_table
from baobabpulley.emulator.bench_overload import run_overload
from baobabpulley.emulator.mix_report import MixResult
from baobabpulley.emulator.mix_report import bucket_table
from baobabpulley.emulator.mix_report import plot
from baobabpulley.emulator.mix_report import table
from baobabpulley.emulator.trace import PromptMix


@bench.command()
@click.option(
    "--variant",
    "names",
    multiple=True,
    help="Variant to run; may be repeated; all if none is given.",
)
@click.option(
    "--profile",
    "profiles",
    multiple=True,
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help="Entry settings file to run as a variant; may be repeated.",
)
@click.option(
    "--seed",
    "seeds",
    multiple=True,
    type=int,
    default=(1,),
    help="Seed of the load; may be repeated.",
)
@click.option("--speed", default=3.0, help="Model seconds that pass in one real second.")
@click.option("--seconds", default=90.0, help="Model seconds of load.")
@click.option("--load", default=0.7, help="Load as a ratio of the fleet's prefill capacity.")
@click.option("--longest", default=350_000, help="Length of the longest prompt in tokens.")
@click.option("--prefix-share", default=0.0, help="Ratio of prompts that have a prefix in common.")
@click.option("--base-port", default=21_000, help="First of the 1,000 loopback ports to use.")
@click.option("--whole-prefills", is_flag=True, help="Use engines that cannot interrupt a prefill.")
@click.option(
    "--out", type=click.Path(path_type=Path), help="Folder for the results as JSON and as a plot."
)
def mix(
    names: tuple[str, ...],
    profiles: tuple[Path, ...],
    seeds: tuple[int, ...],
    speed: float,
    seconds: float,
    load: float,
    longest: int,
    prefix_share: float,
    base_port: int,
    whole_prefills: bool,
    out: Path | None,
) -> None:
    """Measure time to first token by prompt length, and the slowdown of short prompts."""
    request_mix = PromptMix(longest=longest, prefix_share=prefix_share)
    results: list[MixResult] = []
    names = (*names, *(register_profile(path) for path in profiles))
    for seed in seeds:
        for name in names or variants.names:
            result = asyncio.run(
                run_variant(
                    name,
                    seed=seed,
                    speed=speed,
                    seconds=seconds,
                    load=load,
                    mix=request_mix,
                    base_port=base_port,
                    whole_prefills=whole_prefills,
                )
            )
            results.append(result)
            click.echo(f"\n{name}, seed {seed}: {result.outcomes}; cpu {result.cpu_shares}")
            click.echo(bucket_table(result))
            click.echo(table([result]))
    click.echo("\n" + table(results))
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        (out / "mix.json").write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1))
        plot(results, out / "mix.png")


@bench.command()
@click.option("--load", "loads", multiple=True, type=float, default=(1.0, 1.5, 3.0))
@click.option("--seed", default=1, help="Seed of the first phase; each further phase adds 1.")
@click.option("--speed", default=3.0, help="Model seconds that pass in one real second.")
@click.option("--seconds", default=40.0, help="Model seconds of load in each phase.")
@click.option("--engines", default=16, help="Number of engines.")
@click.option("--lose", default="", help="Failure domain to kill before the first phase.")
@click.option("--variant", default="least_wait", help="Variant of `bench mix` to run.")
@click.option("--long-share", default=0.02, help="Ratio of prompts longer than 100,000 tokens.")
@click.option(
    "--outage",
    default=0.0,
    help="Model seconds that the store is down before the load of each phase but the first; it"
    " comes back in the middle of the load.",
)
@click.option("--base-port", default=21_000, help="First of the 1,000 loopback ports to use.")
@click.option("--out", type=click.Path(path_type=Path), help="Folder for the results as JSON.")
def overload(
    loads: tuple[float, ...],
    seed: int,
    speed: float,
    seconds: float,
    engines: int,
    lose: str,
    variant: str,
    long_share: float,
    outage: float,
    base_port: int,
    out: Path | None,
) -> None:
    """Measure goodput, refusals and recovery when the load exceeds the fleet's capacity."""
    results = asyncio.run(
        run_overload(
            seed=seed,
            speed=speed,
            seconds=seconds,
            loads=loads,
            base_port=base_port,
            engines=engines,
            killed_domain=lose,
            outage=outage,
            mix=PromptMix(long_share=long_share),
            sections=variants.lookup(variant),
        )
    )
    click.echo(overload_table(results))
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        document = msgspec.json.format(msgspec.json.encode(results), indent=1)
        (out / "overload.json").write_bytes(document)
