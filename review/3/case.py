"""A route moves to a service whose streams number their events with increasing, not all, ids."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from platform_upstream import Call
from platform_upstream import UpstreamStandin
from small_fleet import CONFIGURATION_MS
from small_fleet import CannotRun
from small_fleet import Client
from small_fleet import Fleet
from small_fleet import Record
from small_fleet import configuration
from small_fleet import route
from small_fleet import run_case
from small_fleet import small_fleet

KEY = "key-of-the-technicians"
# The path of each route, and whether its streams may be resumed.
PATHS = {"/triage/": True, "/lookup/": False}
# Two model services. The events of the one count up by one, those of the other by their tokens.
TOKENS_PER_EVENT = 43
ID_STEPS = {"assistant": 1, "assistant-b": TOKENS_PER_EVENT}
ZONES = ("kochi", "thrissur", "kozhikode")
SLOTS = 8
PIECES, PIECE_GAP_SECONDS = 12, 0.05
CLIENTS_PER_GATEWAY = 2
CALM_SECONDS = 8.0
MOVED_SECONDS = 2.0
# "until `configuration-ms` + 1 s after its acknowledgement"
WINDOW_SECONDS = CONFIGURATION_MS / 1000 + 1.0
CUT_RATIO = 3.0


class Stream:
    """One request: when it was sent, at which gateway, and whether its answer was complete."""

    def __init__(self, gateway: str, sent_at: float) -> None:
        self.gateway = gateway
        self.sent_at = sent_at
        self.was_passed_on = False
        self.was_cut = False


async def _answer(server: UpstreamStandin, call: Call, streams: dict[str, Stream]) -> None:
    """Send a whole stream, or the rest of one after the last event that the client has."""
    streams[call.attempt].was_passed_on = True
    step = ID_STEPS[server.service]
    last = call.headers.get("last-event-id")
    await call.write(
        call.head(
            200,
            f"X-Response-Seal: s.{server.name}.{call.attempt}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
    )
    for number in range(step, (PIECES + 1) * step, step):
        if last is None or number > int(last):
            await call.write_chunk(b"id: %d\ndata: piece\n\n" % number)
            await asyncio.sleep(PIECE_GAP_SECONDS)
    await call.write(b"0\r\n\r\n")


def _document(version: int, service: str) -> bytes:
    routes = [
        route(
            path,
            service,
            "streaming",
            **{
                "resumable-streams": resumable,
                "target-gap-ms": 250,
                "max-attempts": 2,
                "timeout-ms": 10000,
            },
        )
        for path, resumable in PATHS.items()
    ]
    tenants = [{"name": "technicians", "api-keys": [KEY], "priority": 1}]
    return configuration(version, routes=routes, tenants=tenants)


async def _technician(client: Client, number: int, end: float, streams: dict[str, Stream]) -> None:
    path = list(PATHS)[number % len(PATHS)]
    count = 0
    while time.monotonic() < end:
        count += 1
        attempt = f"a{number:02d}x{count:04d}"
        streams[attempt] = stream = Stream(client.gateway.name, time.monotonic())
        answer = await client.send("POST", path + "7", key=KEY, attempt=attempt)
        stream.was_cut = answer.status == 0
    client.close()


async def _move_and_return(fleet: Fleet, record: Record, *, moves: bool) -> tuple[float, float]:
    """Move the routes to the other service and back; return the time of the planned work."""
    await asyncio.sleep(CALM_SECONDS)
    begun = time.monotonic()
    for version, service in ((2, "assistant-b"), (3, "assistant")):
        fleet.store.put("op/config", _document(version, service if moves else "assistant"))
        record.write(f"operator writes version {version}: {service if moves else 'assistant'}")
        await asyncio.sleep(MOVED_SECONDS)
    end = time.monotonic() - MOVED_SECONDS + WINDOW_SECONDS
    await asyncio.sleep(end - time.monotonic() + CALM_SECONDS)
    return begun, end


async def case(record: Record, with_trouble: bool) -> bool:
    """Return whether gateways cut sound streams around planned work, and hardly at other times."""
    streams: dict[str, Stream] = {}
    async with small_fleet() as fleet:
        for service in ID_STEPS:
            for number, zone in enumerate(ZONES, start=1):
                name = f"i-{service}-{number}"
                server = await fleet.add_server(name, service=service, zone=zone, slots=SLOTS)
                server.behaviour = lambda server, call: _answer(server, call, streams)
        fleet.store.put("op/config", _document(1, "assistant"))
        await fleet.start_gateways()
        end = time.monotonic() + 2 * CALM_SECONDS + MOVED_SECONDS + WINDOW_SECONDS
        clients = [
            Client(gateway, record)
            for gateway in fleet.gateways
            for _ in range(CLIENTS_PER_GATEWAY)
        ]
        window, *_ = await asyncio.gather(
            _move_and_return(fleet, record, moves=with_trouble),
            *(_technician(client, n, end, streams) for n, client in enumerate(clients)),
        )
    broken = [_cuts_more(gateway.name, streams, window, record) for gateway in fleet.gateways]
    return any(broken)


def _cuts_more(
    gateway: str, streams: dict[str, Stream], window: tuple[float, float], record: Record
) -> bool:
    """Whether a gateway cuts over three times as often around the planned work as otherwise."""
    own = [each for each in streams.values() if each.gateway == gateway and each.was_passed_on]
    inside = [each for each in own if window[0] <= each.sent_at <= window[1]]
    outside = [each for each in own if each not in inside]
    if not inside or not outside:
        raise CannotRun(f"{gateway} got no requests in one of the times")
    cut_inside = sum(each.was_cut for each in inside)
    cut_outside = sum(each.was_cut for each in outside)
    record.say(
        f"LOST at {gateway}: cut {cut_inside} of {len(inside)} streams around the changes,"
        f" {cut_outside} of {len(outside)} at other times"
    )
    return cut_inside / len(inside) > CUT_RATIO * cut_outside / len(outside)


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
