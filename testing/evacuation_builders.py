"""Requests of the operators to evacuate failure domains, and upstreams in several of them."""

from __future__ import annotations

from gateway_builders import LEDGER
from gateway_builders import World
from gateway_builders import wait_until
from platform_upstream import UpstreamStandin

from baobabpulley.gateway.daemon import Gateway
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.platform import names

ZONES = ("fes", "rabat", "safi")


def evacuation(domain: str, revision: int, value: bytes | None = b"{}") -> StoredEntry:
    """Return a change of an evacuation's key; ``value`` is ``None`` if it was removed."""
    return StoredEntry(key=names.EVACUATION_PREFIX + domain, value=value, mod_revision=revision)


def listed(domain: str, *, name: str = "i-1") -> ListedUpstream:
    """Return an upstream of a failure domain."""
    return ListedUpstream(name, LEDGER, "10.0.0.1:80", domain, 8, False)


async def add_zones(
    world: World, *, service: str = LEDGER, count: int = 1, slots: int = 8
) -> dict[str, list[UpstreamStandin]]:
    """Register ``count`` upstreams in each of `ZONES` and return them by zone."""
    return {
        zone: [
            await world.add_upstream(f"i-{zone}-{number}", service=service, zone=zone, slots=slots)
            for number in range(count)
        ]
        for zone in ZONES
    }


async def evacuate(world: World, *domains: str, known_to: Gateway) -> None:
    """Evacuate domains, and wait until a gateway knows it."""
    for domain in domains:
        world.store.put(names.EVACUATION_PREFIX + domain, b"{}")
    await wait_until(lambda: known_to.fleet_state.evacuations.domains >= set(domains), seconds=2.0)


async def end_evacuation(world: World, domain: str, *, known_to: Gateway) -> None:
    """End the evacuation of a domain, and wait until a gateway knows it."""
    world.store.delete(names.EVACUATION_PREFIX + domain)
    await wait_until(lambda: domain not in known_to.fleet_state.evacuations.domains, seconds=2.0)
