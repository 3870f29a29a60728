"""Replay longs and shorts in opposite phase, as the users' days have them, on model engines.

Usage: python bench/replay_mix.py [--days 8]. Prints the share of requests on time by kind, and by
how much first events came later or sooner than expected.
"""

from __future__ import annotations

import asyncio
import math
import random
from typing import Final

import click
import msgspec

from baobabpulley.emulator.engine_world import LONG_ROUTE
from baobabpulley.emulator.engine_world import MIDDLE_ROUTE
from baobabpulley.emulator.engine_world import SHORT_ROUTE
from baobabpulley.emulator.engine_world import Arrival
from baobabpulley.emulator.engine_world import EngineWorld
from baobabpulley.emulator.engine_world import Served
from baobabpulley.emulator.mix_report import percentiles
from baobabpulley.model.routes import Route

ENGINES: Final = 16
GATEWAYS: Final = 4
DAY_SECONDS: Final = 34.0
# Seconds after the last arrival in which the answers end.
LAST_SECONDS: Final = 16.0
PHASE_SECONDS: Final = (9.5, 11.0)
EVENT_TOKENS: Final = 43


class Kind(msgspec.Struct, frozen=True):
    """A kind of request: arrivals a second, token counts (mean, log spread, most) and phases.

    ``phases`` are factors on the rate while longs, and while shorts, are frequent.
    """

    route: Route
    rate: float
    prompt: tuple[float, float, float]
    events: tuple[float, float, float]
    phases: tuple[float, float]


KINDS: Final = (
    Kind(SHORT_ROUTE, 14.0, (4_960, 0.9, 23_800), (31.6, 0.7, 79), (0.38, 2.4)),
    Kind(MIDDLE_ROUTE, 0.93, (45_000, 0.5, 110_000), (19.0, 0.6, 47), (1.3, 0.5)),
    Kind(LONG_ROUTE, 0.85, (133_000, 0.55, 600_000), (15.8, 0.5, 39), (2.7, 0.05)),
)


@click.command()
@click.option("--days", default=8, show_default=True, help="Days to replay, one seed each.")
def main(days: int) -> None:
    """Print how the kinds of request fare over some days."""
    served = [one for seed in range(days) for one in asyncio.run(_day(seed))]
    for kind in KINDS:
        own = [one for one in served if one.arrival.route is kind.route]
        on_time = sum(one.on_time for one in own) / len(own)
        print(f"{kind.route.name:>8} {len(own):>6} requests, {on_time:.4f} on time")
    errors = percentiles(abs(one.seconds - one.expected) for one in served if not one.code)
    print(f"first events off by {errors.p50:.3f} s at p50, {errors.p95:.3f} s at p95")


async def _day(seed: int) -> list[Served]:
    world = EngineWorld(ENGINES, gateways=GATEWAYS)
    return await world.replay(_arrivals(seed), seconds=DAY_SECONDS + LAST_SECONDS)


def _arrivals(seed: int) -> list[Arrival]:
    source = random.Random(seed)
    found: list[Arrival] = []
    begin, phase = 0.0, source.randrange(2)
    while begin < DAY_SECONDS:
        end = min(DAY_SECONDS, begin + source.uniform(*PHASE_SECONDS))
        for kind in KINDS:
            found += _arrivals_of(kind, source, begin, end, kind.phases[phase])
        begin, phase = end, 1 - phase
    return found


def _arrivals_of(
    kind: Kind, source: random.Random, begin: float, end: float, factor: float
) -> list[Arrival]:
    found = []
    at = begin + source.expovariate(kind.rate * factor)
    while at < end:
        tokens = round(_drawn(source, *kind.prompt))
        answer = round(EVENT_TOKENS * _drawn(source, *kind.events))
        found.append(Arrival(at, tokens, route=kind.route, answer_tokens=answer))
        at += source.expovariate(kind.rate * factor)
    return found


def _drawn(source: random.Random, mean: float, spread: float, most: float) -> float:
    sigma = math.sqrt(math.log(1 + spread**2))
    return min(most, max(1.0, source.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)))


if __name__ == "__main__":
    main()
