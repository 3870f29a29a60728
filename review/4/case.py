"""The configuration grows by routes with long path prefixes, and a key is taken away with them."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from small_fleet import CONFIGURATION_MS
from small_fleet import Answer
from small_fleet import CannotRun
from small_fleet import Client
from small_fleet import Fleet
from small_fleet import Record
from small_fleet import RunRecord
from small_fleet import configuration
from small_fleet import route
from small_fleet import run_case
from small_fleet import small_fleet

SERVICE, PATH, KIND = "job-desk", "/booking/", "non_idempotent"
SERVERS = {"i-desk-1": "kochi", "i-desk-2": "thrissur", "i-desk-3": "kozhikode"}
SLOTS = 6
HELD, REMOVED = "key-that-is-kept", "key-that-is-taken-away"
# `big_config` of the site file adds up to 350 routes.
ADDED_ROUTES = 350
# The pages set no limit; a request with such a path is far below `max-header-bytes`.
PREFIX_BYTES = 300
REQUESTS_PER_GATEWAY = 4
MARGIN_SECONDS = 1.0
RESTART_SECONDS = 12.0


def long_prefix(number: int) -> str:
    """Return a path prefix of several segments."""
    prefix = f"/buildings/{number:06d}/"
    segment = "heat-interface-unit/"
    while len(prefix) + len(segment) <= PREFIX_BYTES:
        prefix += segment
    return prefix + "x" * (PREFIX_BYTES - len(prefix) - 1) + "/"


def _document(version: int, *, keys: list[str], prefixes: list[str]) -> bytes:
    routes = [route(PATH, SERVICE, KIND)]
    routes += [
        route(prefix, SERVICE, KIND, name=f"r-{number}") for number, prefix in enumerate(prefixes)
    ]
    tenants = [{"name": "dispatch", "api-keys": keys, "priority": 1}]
    return configuration(version, routes=routes, tenants=tenants)


async def _send(
    fleet: Fleet, record: Record, *, label: str, key: str, path: str = PATH
) -> list[Answer]:
    answers = []
    for index, gateway in enumerate(fleet.gateways):
        client = Client(gateway, record)
        for number in range(REQUESTS_PER_GATEWAY):
            attempt = f"{label}-{index}-{number}"
            answers.append(await client.send("POST", path + "7", key=key, attempt=attempt))
        client.close()
    return answers


async def _restart_one(fleet: Fleet, record: Record) -> None:
    """Kill one gateway and start it again; tell whether it becomes ready. For information."""
    gateway = fleet.gateways[-1]
    gateway.signal(signal.SIGKILL)
    gateway.end()
    gateway.start([f"{other.ip}:{other.control}" for other in fleet.gateways[:3]])
    for second in range(int(RESTART_SECONDS)):
        await asyncio.sleep(1.0)
        if await gateway.is_ready():
            record.say(f"{gateway.name}, restarted, is ready after {second + 1} s")
            return
    record.say(f"{gateway.name}, restarted, is not ready after {RESTART_SECONDS:.0f} s")


async def case(record: Record, with_trouble: bool) -> bool:
    """Return whether a request ran with a key that an acknowledged version no longer has."""
    desk = RunRecord(record)
    prefixes = [long_prefix(number) for number in range(ADDED_ROUTES)] if with_trouble else []
    async with small_fleet() as fleet:
        for name, zone in SERVERS.items():
            server = await fleet.add_server(name, service=SERVICE, zone=zone, slots=SLOTS)
            server.behaviour = desk.serve
        fleet.store.put("op/config", _document(1, keys=[HELD, REMOVED], prefixes=[]))
        await fleet.start_gateways()
        before = await _send(fleet, record, label="before", key=REMOVED)
        if any(answer.status != 200 for answer in before):
            raise CannotRun("requests weren't served before the change")
        document = _document(2, keys=[HELD], prefixes=prefixes)
        fleet.store.put("op/config", document)
        record.write(
            f"operator writes version 2: {len(document)} bytes, {len(prefixes)} new routes"
        )
        await asyncio.sleep(CONFIGURATION_MS / 1000 + MARGIN_SECONDS)
        removed = await _send(fleet, record, label="removed", key=REMOVED)
        held = await _send(fleet, record, label="held", key=HELD)
        added: list[Answer] = []
        if prefixes:
            added = await _send(fleet, record, label="added", key=HELD, path=prefixes[0])
        await _restart_one(fleet, record)
    broken = [answer for answer in removed if answer.attempt in desk.ran]
    refused = [answer for answer in added if answer.status in (401, 403, 404)]
    served = sum(answer.status == 200 for answer in held)
    record.say(f"CONFIG: {len(broken)} of {len(removed)} requests ran with a dropped key")
    record.say(f"CONFIG: {len(refused)} of {len(added)} requests of a new route were refused")
    record.say(f"served with the key that is kept: {served} of {len(held)}")
    return bool(broken or refused)


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
