"""How the cost of one placement grows with upstreams and gateways.

Usage: python bench/placement_cost.py
"""

from __future__ import annotations

import random
import statistics
import time
from typing import Final

from baobabpulley.emulator.placement_simulation import DOMAIN
from baobabpulley.emulator.placement_simulation import LONG_ROUTE
from baobabpulley.emulator.placement_simulation import SERVICE
from baobabpulley.emulator.placement_simulation import PlacementSimulation
from baobabpulley.emulator.typical_engine import TYPICAL_ENGINE
from baobabpulley.gateway.gossip import GossipMessage
from baobabpulley.gateway.planning import PromptPlanner
from baobabpulley.policy.fleet_load import LoadShare

UPSTREAMS: Final = (16, 60, 500)
GATEWAYS: Final = (4, 30, 340)
ROUNDS: Final = 100
BATCHES: Final = 5
# Share of the requests in flight whose prompt is still being read.
READING_SHARE: Final = 0.05
# As many failure domains as the target has, the engines' own among them.
DOMAINS: Final = (DOMAIN, *(f"domain-{number}" for number in range(1, 20)))
SHORT, LONG = 5_000, 133_000


def main() -> None:
    """Print milliseconds of one placement, and of a changed list's first look, for each size."""
    print(f"{'upstreams':>9} {'gateways':>9} {'short ms':>9} {'long ms':>9} {'subset ms':>9}")
    for upstreams in UPSTREAMS:
        for gateways in GATEWAYS:
            world = _busy_world(upstreams, gateways)
            subset = _subset_milliseconds(world)
            short, long = (_milliseconds(world, tokens) for tokens in (SHORT, LONG))
            print(f"{upstreams:>9} {gateways:>9} {short:>9.3f} {long:>9.3f} {subset:>9.3f}")


def _busy_world(upstreams: int, gateways: int) -> PlacementSimulation:
    """Return engines of which one gateway has heard all others' loads."""
    source = random.Random(0)
    world = PlacementSimulation(upstreams)
    for gateway in range(1, gateways):
        busy = source.sample(sorted(world.fleet_state.upstreams), k=min(36, upstreams))
        shares = tuple(
            LoadShare(one, 0.05 if source.random() < READING_SHARE else 0.0, 1, 1, 0, 6000)
            for one in busy
        )
        world.gossip.receive(_news_of(gateway, shares))
    return world


def _news_of(gateway: int, shares: tuple[LoadShare, ...]) -> GossipMessage:
    return GossipMessage(
        node=f"front-{gateway}",
        life="a",
        number=1,
        failure_domain=DOMAINS[gateway % len(DOMAINS)],
        control=f"127.0.0.1:{gateway}",
        revision=0,
        configuration_revision=0,
        shares=shares,
    )


def _subset_milliseconds(world: PlacementSimulation) -> float:
    """Return what the first look after a change of the list costs on top."""
    began = time.perf_counter()
    world.candidates.in_subset(SERVICE.name, excluded=frozenset())
    return (time.perf_counter() - began) * 1000


def _milliseconds(world: PlacementSimulation, tokens: int) -> float:
    planner = PromptPlanner(source=random.Random(0))
    request = world.request(tokens, route=LONG_ROUTE)
    now = world.timers.now()
    batches = []
    for _ in range(BATCHES):
        began = time.perf_counter()
        for _ in range(ROUNDS):
            near = world.candidates.in_subset(SERVICE.name, excluded=request.excluded)
            planner.plan(request, near, TYPICAL_ENGINE, now=now)
        batches.append((time.perf_counter() - began) / ROUNDS * 1000)
    return statistics.median(batches)


if __name__ == "__main__":
    main()
