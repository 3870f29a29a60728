"""Replay long and short prompts that peak in turn, as in the users' traffic, on emulated engines.

Usage: python bench/replay_mix.py [--days 8] [--gateways 4] [--engines 16] [--slots 8]. The traffic
grows with the number of engines. Prints the ratio of requests on time for each kind of request, the
share of requests placed on an engine beyond its slots, and the error of the expected time to the
first event.
"""

from __future__ import annotations

import asyncio
import math
import random
from typing import Final

import click
import msgspec

from baobabpulley.emulator.mix_report import percentiles
from baobabpulley.emulator.placement_simulation import PlacementSimulation
from baobabpulley.emulator.replayed_requests import LONG_ROUTE
from baobabpulley.emulator.replayed_requests import MIDDLE_ROUTE
from baobabpulley.emulator.replayed_requests import SHORT_ROUTE
from baobabpulley.emulator.replayed_requests import Arrival
from baobabpulley.emulator.replayed_requests import RequestOutcome
from baobabpulley.model.routes import Route

# The rates of the request kinds are those of this number of engines.
ENGINES: Final = 16
DAY_SECONDS: Final = 34.0
# Time after the last arrival in which responses complete.
DRAIN_SECONDS: Final = 16.0
# Minimum and maximum.
PHASE_SECONDS: Final = (9.5, 11.0)
TOKENS_PER_EVENT: Final = 43


class RequestKind(msgspec.Struct, frozen=True):
    """A kind of request; ``rate`` is in arrivals per second.

    ``prompt``, in tokens, and ``events`` of the response are log-normal: mean, coefficient of
    variation and maximum. ``phases`` are factors of the rate while long prompts are frequent, and
    while short ones are.
    """

    route: Route
    rate: float
    prompt: tuple[float, float, float]
    events: tuple[float, float, float]
    phases: tuple[float, float]


REQUEST_KINDS: Final = (
    RequestKind(SHORT_ROUTE, 14.0, (4_960, 0.9, 23_800), (31.6, 0.7, 79), (0.38, 2.4)),
    RequestKind(MIDDLE_ROUTE, 0.93, (45_000, 0.5, 110_000), (19.0, 0.6, 47), (1.3, 0.5)),
    RequestKind(LONG_ROUTE, 0.85, (133_000, 0.55, 600_000), (15.8, 0.5, 39), (2.7, 0.05)),
)


@click.command()
@click.option("--days", default=8, show_default=True, help="Days to replay, one seed each.")
@click.option("--gateways", default=4, show_default=True, help="Gateways that place requests.")
@click.option("--engines", default=ENGINES, show_default=True, help="Engines that serve them.")
@click.option("--slots", default=8, show_default=True, help="Requests that an engine runs at once.")
def main(days: int, gateways: int, engines: int, slots: int) -> None:
    """Print how many requests of each kind were on time, and the error of the estimate."""
    served = [
        request
        for seed in range(days)
        for request in asyncio.run(_day(seed, gateways=gateways, engines=engines, slots=slots))
    ]
    for kind in REQUEST_KINDS:
        of_kind = [request for request in served if request.arrival.route is kind.route]
        on_time = sum(request.on_time for request in of_kind) / len(of_kind)
        print(f"{kind.route.name:>8} {len(of_kind):>6} requests, {on_time:.4f} on time")
    beyond = sum(request.beyond_slots for request in served) / len(served)
    print(f"{beyond:.4f} placed on an engine beyond its slots")
    errors = percentiles(
        abs(request.seconds - request.expected) for request in served if not request.code
    )
    print(f"first events off by {errors.p50:.3f} s at p50, {errors.p95:.3f} s at p95")


async def _day(seed: int, *, gateways: int, engines: int, slots: int) -> list[RequestOutcome]:
    simulation = PlacementSimulation(engines, gateways=gateways, slots=slots, seed=seed)
    arrivals = _arrivals(seed, scale=engines / ENGINES)
    return await simulation.replay(arrivals, seconds=DAY_SECONDS + DRAIN_SECONDS)


def _arrivals(seed: int, *, scale: float) -> list[Arrival]:
    source = random.Random(seed)
    arrivals: list[Arrival] = []
    begin, phase = 0.0, source.randrange(2)
    while begin < DAY_SECONDS:
        end = min(DAY_SECONDS, begin + source.uniform(*PHASE_SECONDS))
        for kind in REQUEST_KINDS:
            arrivals += _arrivals_of(kind, source, begin, end, scale * kind.phases[phase])
        begin, phase = end, 1 - phase
    return arrivals


def _arrivals_of(
    kind: RequestKind, source: random.Random, begin: float, end: float, factor: float
) -> list[Arrival]:
    arrivals = []
    at = begin + source.expovariate(kind.rate * factor)
    while at < end:
        tokens = round(_sample_lognormal(source, *kind.prompt))
        output_tokens = round(TOKENS_PER_EVENT * _sample_lognormal(source, *kind.events))
        arrivals.append(Arrival(at, tokens, route=kind.route, output_tokens=output_tokens))
        at += source.expovariate(kind.rate * factor)
    return arrivals


def _sample_lognormal(
    source: random.Random, mean: float, variation: float, maximum: float
) -> float:
    sigma = math.sqrt(math.log(1 + variation**2))
    return min(maximum, max(1.0, source.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)))


if __name__ == "__main__":
    main()
