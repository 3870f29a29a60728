"""Measure streams and calls while a third of the upstreams pauses or refuses requests.

Usage: PYTHONPATH=src:testing python bench/upstream_pauses.py [--fault pause] [--gateways 4]
[--engines 12] [--services 6] [--slots 8] [--load 0.6] [--seconds 20] [--seed 1] [--real-time].
Real gateways and stand-in upstreams run in this process, on an emulated clock unless `--real-time`
is given.
"""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from typing import Final

import click
import msgspec
from loguru import logger
from pausing_fleet import run_plan

from baobabpulley.emulator.emulated_time import run_in_emulated_time
from baobabpulley.emulator.upstream_pauses import LOOKUP_PATH
from baobabpulley.emulator.upstream_pauses import ORDER_PATH
from baobabpulley.emulator.upstream_pauses import STREAM_PATH
from baobabpulley.emulator.upstream_pauses import Faults
from baobabpulley.emulator.upstream_pauses import PauseJournal
from baobabpulley.emulator.upstream_pauses import PausePlan
from baobabpulley.emulator.upstream_pauses import UpstreamSpeed

FAULTS: Final = {
    "none": Faults(share=0.0),
    "pause": Faults(pause=1.2, period=5.0),
    "refuse": Faults(refuse_at=4.0, refuse_seconds=3.0),
}


@click.command()
@click.option("--fault", type=click.Choice(sorted(FAULTS)), default="pause", show_default=True)
@click.option("--gateways", default=4, show_default=True, help="Gateways that place requests.")
@click.option("--engines", default=12, show_default=True, help="Engines that serve streams.")
@click.option("--services", default=6, show_default=True, help="Upstreams of orders and lookups.")
@click.option("--slots", default=8, show_default=True, help="Requests an upstream runs at once.")
@click.option("--load", default=0.6, show_default=True, help="Ratio of the whole capacity.")
@click.option("--seconds", default=20.0, show_default=True, help="Seconds of load.")
@click.option("--seed", "seeds", multiple=True, type=int, default=(1,), show_default=True)
@click.option("--real-time", is_flag=True, help="Use the real clock.")
@click.option("--log", type=click.Path(path_type=Path), help="File for the gateways' log lines.")
def main(
    fault: str,
    gateways: int,
    engines: int,
    services: int,
    slots: int,
    load: float,
    seconds: float,
    seeds: tuple[int, ...],
    real_time: bool,
    log: Path | None,
) -> None:
    """Print the figures of one run for each seed."""
    logger.remove()
    if log is not None:
        logger.add(log, serialize=True)
    for seed in seeds:
        plan = PausePlan(
            faults=FAULTS[fault],
            gateways=gateways,
            engines=engines,
            services=services,
            load=load,
            seconds=seconds,
            seed=seed,
            speed=UpstreamSpeed(slots=slots),
        )
        with tempfile.TemporaryDirectory() as folder:
            run = run_plan(plan, Path(folder))
            journal = asyncio.run(run) if real_time else run_in_emulated_time(run)
        _print_figures(journal)


def _print_figures(journal: PauseJournal) -> None:
    print(f"seed {journal.plan.seed}:", msgspec.json.encode(journal.report()).decode())
    if journal.plan.faults.refuse_seconds:
        refused = journal.refused_arrivals()
        print(f"  requests a gateway and refusing server: at most {max(refused.values())}")
        for path in (STREAM_PATH, ORDER_PATH, LOOKUP_PATH):
            print(f"  goodput {path}: {journal.goodput(path):.3f}")


if __name__ == "__main__":
    main()
