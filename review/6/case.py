"""Servers leave, some without a word, while the store turns one machine of the zone away."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

import fleet
from fleet import DESK, TROUBLE, Fleet, GatewayProcess, ask, main, request_bytes
from platform_upstream import Call, UpstreamStandin
from store_path import StorePath

from baobabpulley.platform import names

DRAIN_SECONDS = 2.0
# A server that left serves for drain-ms "and a little longer", and then exits.
SERVES_ON_SECONDS = DRAIN_SECONDS + 0.25
WORK_SECONDS = 0.09
BOOKING_GAP_SECONDS = 0.005
LEAVE_GAP_SECONDS = 0.4
LEAVING = 10
STAYING = 4
# The store serves both machines without disruption for contact-ms and more before the trouble.
CALM_SECONDS = 4.0


async def run_order(upstream: UpstreamStandin, call: Call) -> None:
    """Do the work and answer."""
    await asyncio.sleep(WORK_SECONDS)
    await call.write(call.sealed(f"{upstream.name} ran {call.attempt}".encode()))


async def add_gateway(cluster: Fleet, path: StorePath) -> GatewayProcess:
    """Start a gateway behind its own path to the store."""
    gateway = GatewayProcess(
        cluster.folder, len(cluster.gateways) + 1, "kochi", path.address,
        [each.control for each in cluster.gateways], cluster._news_port,
    )  # fmt: skip
    cluster.gateways.append(gateway)
    await cluster.wait_ready(gateway)
    return gateway


def reads_the_store(gateway: GatewayProcess) -> bool:
    """Whether the gateway's log says that it watches the store itself, and not a peer."""
    lines = gateway.log.read_text().splitlines()
    sources = [line for line in lines if '"store_watch"' in line or '"store_relay"' in line]
    return bool(sources) and '"store_watch"' in sources[-1]


async def send_orders(cluster: Fleet, gateway: GatewayProcess, until: float) -> None:
    """Send bookings, each once, to one machine."""
    tasks = []
    while time.monotonic() < until:
        attempt, data = request_bytes("/booking/1")
        tasks.append(asyncio.create_task(ask(gateway.address, data, seconds=3.0)))
        await asyncio.sleep(BOOKING_GAP_SECONDS)
    answers = await asyncio.gather(*tasks)
    counts: dict[int, int] = {}
    for answer in answers:
        counts[answer.status] = counts.get(answer.status, 0) + 1
    cluster.record.line(f"answers to the bookings by status (0: none): {counts}")


async def leave(cluster: Fleet, names_: list[str], removed: dict[str, float]) -> None:
    """Take the entries of the servers away, one after the other; each serves on for a while."""
    exits = []
    for name in names_:
        cluster.store.delete(names.UPSTREAM_PREFIX + name)
        removed[name] = time.monotonic()
        cluster.record.line(f"the store accepted that {name} is gone")
        exits.append(asyncio.create_task(exit_later(cluster, name)))
        await asyncio.sleep(LEAVE_GAP_SECONDS)
    await asyncio.gather(*exits)


async def exit_later(cluster: Fleet, name: str) -> None:
    """End a server once its time is over; what it still runs is lost."""
    await asyncio.sleep(SERVES_ON_SECONDS)
    await cluster.upstreams[name].stop()
    cluster.record.line(f"{name} exited")


async def run(cluster: Fleet) -> int:
    """Return 1 if a server got a request later than drain-ms after its entry was removed."""
    await cluster.start_store()
    paths = [StorePath(cluster.store.address) for _ in range(2)]
    for path in paths:
        await path.start()
    leaving = [f"i-leaving-{number}" for number in range(LEAVING)]
    for name in (*leaving, *(f"i-staying-{number}" for number in range(STAYING))):
        upstream = await cluster.add_upstream(name, service=DESK, zone="kochi", slots=6)
        upstream.behaviour = run_order
    gateways = [await add_gateway(cluster, path) for path in paths]
    await asyncio.sleep(CALM_SECONDS)
    watching = [reads_the_store(gateway) for gateway in gateways]
    cluster.record.line(f"machines that read the store themselves: {watching}")
    if sorted(watching) != [False, True]:
        raise RuntimeError("expected one machine that reads the store and one that follows it")
    away, calm = (0, 1) if watching[0] else (1, 0)
    begun = time.monotonic()
    orders = asyncio.create_task(
        send_orders(cluster, gateways[calm], begun + LEAVING * LEAVE_GAP_SECONDS + 4.0)
    )
    await asyncio.sleep(1.0)
    if TROUBLE:
        paths[away].turn_away()
        cluster.record.line(f"the store turns machine {away} away and serves machine {calm}")
    removed: dict[str, float] = {}
    await leave(cluster, leaving, removed)
    await orders
    broken = 0
    for name in leaving:
        after = [call.received_at - removed[name] for call in cluster.upstreams[name].journal]
        late = [seconds for seconds in after if seconds > DRAIN_SECONDS]
        broken += len(late)
        cluster.record.line(
            f"{name}: ran {len(after)}, the last {max(after, default=0.0):+.3f} s after the store"
            f" accepted that it is gone; later than drain-ms: {len(late)}"
        )
    for path in paths:
        await path.stop()
    verdict = "broken" if broken else "held"
    cluster.record.line(f"DRAIN {verdict}: {broken} bookings ran at servers later than drain-ms")
    print(f"DRAIN {verdict}: {broken} bookings later than drain-ms")
    return 1 if broken else 0


if __name__ == "__main__":
    assert fleet.ROOT.is_dir()
    main(run, str(Path(__file__).parent))
