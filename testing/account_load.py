"""Replayed load of 24 client accounts, three of them large, and what each gets in time."""

from __future__ import annotations

import json
import random
from collections import defaultdict
from typing import Final

from gateway_builders import configuration

from baobabpulley.emulator.placement_simulation import PlacementSimulation
from baobabpulley.emulator.replayed_requests import Arrival
from baobabpulley.emulator.replayed_requests import RequestOutcome
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.routes import ONCE
from baobabpulley.model.routes import Route
from baobabpulley.platform import names

DEFAULT_ACCOUNTS: Final[list[object]] = [{"name": "souk", "api-keys": ["key"]}]
SLOTS: Final = 6
# Requests a second that this mix of kinds gets served by one engine.
CAPACITY_PER_ENGINE: Final = 1.9
ACCOUNT_WEIGHTS: Final = {
    **{f"large-{number}": 0.2 for number in range(3)},
    **{f"small-{number:02}": 0.4 / 21 for number in range(21)},
}
CALL_ROUTE: Final = Route("order", "h", "/", ONCE, 1.5, 0.337, 1, (), 2, False, False, 0)
# Requests by kind: tokens of the prompt, none of plain calls, and relative frequency.
KINDS: Final = {(5_000, 5_000): 37.0, (45_000, 45_000): 4.4, (190_000, 600_000): 1.2, (0, 0): 7.4}


def list_accounts(
    world: PlacementSimulation, *, version: int = 1, tenants: list[object] | None = DEFAULT_ACCOUNTS
) -> None:
    """Put a configuration in force; with ``None`` it has no list of client accounts."""
    document = json.loads(configuration(version))
    del document["tenants"]
    if tenants is not None:
        document["tenants"] = tenants
    value = json.dumps(document).encode()
    entry = StoredEntry(key=names.CONFIGURATION_KEY, value=value, mod_revision=version)
    world.fleet_state.apply_changes((entry,), revision=version, now=world.timers.now())


def account_arrivals(rate: float, *, seconds: float, seed: int) -> list[Arrival]:
    """Return requests of all kinds and accounts at random times."""
    source = random.Random(seed)
    at, arrivals = source.expovariate(rate), []
    while at < seconds:
        low, high = source.choices(list(KINDS), list(KINDS.values()))[0]
        tokens = round(low * (high / low) ** (source.random() ** 4)) if low else 0
        (account,) = source.choices(list(ACCOUNT_WEIGHTS), list(ACCOUNT_WEIGHTS.values()))
        route = None if tokens else CALL_ROUTE
        arrivals.append(Arrival(at, tokens, account=account, route=route))
        at += source.expovariate(rate)
    return arrivals


async def replay_accounts(
    *,
    load: float,
    seed: int,
    gateways: int = 1,
    engines: int = 24,
    seconds: float = 100.0,
    fair: bool = True,
    gossip_delay: int = 0,
    gossip_loss: float = 0.0,
) -> list[RequestOutcome]:
    """Return the outcomes at ``load`` times the capacity, with or without a list of accounts."""
    world = PlacementSimulation(
        engines,
        gateways=gateways,
        slots=SLOTS,
        seed=seed,
        gossip_delay=gossip_delay,
        gossip_loss=gossip_loss,
    )
    if fair:
        list_accounts(world)
    arrivals = account_arrivals(load * CAPACITY_PER_ENGINE * engines, seconds=seconds, seed=seed)
    return await world.replay(arrivals, seconds=seconds + 15.0)


def is_in_time(outcome: RequestOutcome) -> bool:
    """Whether a request was answered before its caller gives up."""
    return not outcome.code


def shares_in_time(outcomes: list[RequestOutcome]) -> dict[str, float]:
    """Return the share of each account's requests that were served in time."""
    by_account: dict[str, list[bool]] = defaultdict(list)
    for outcome in outcomes:
        by_account[outcome.arrival.account].append(is_in_time(outcome))
    return {account: sum(served) / len(served) for account, served in by_account.items()}


def worst_tenth(shares: dict[str, float]) -> float:
    """Return the mean share of the worst tenth of accounts, relative to the mean of all."""
    ranked = sorted(shares.values())
    worst = ranked[: max(1, len(ranked) // 10)]
    return sum(worst) / len(worst) / (sum(ranked) / len(ranked))
