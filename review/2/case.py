"""The operator takes away the last API keys, one after the other; then strangers send requests."""

from __future__ import annotations

import asyncio
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

SERVICE = "job-desk"
SERVERS = {"i-desk-1": "kochi", "i-desk-2": "thrissur", "i-desk-3": "kozhikode"}
SLOTS = 6
KEYS = {"technicians": "key-t", "dispatch": "key-d", "caretakers": "key-c"}
NEVER_HELD = "key-that-no-configuration-held"
# As `revoke` in the site file: three keys, a pause between.
REVOKE_GAP_SECONDS = 0.4
PATHS = {"/booking/": "non_idempotent", "/status/": "idempotent"}
# Requests sent after the last change was in force for this long, in addition to its bound.
MARGIN_SECONDS = 1.0


def _document(version: int, keys: dict[str, list[str]]) -> bytes:
    routes = [route(path, SERVICE, kind) for path, kind in PATHS.items()]
    tenants = [{"name": name, "api-keys": held, "priority": 1} for name, held in keys.items()]
    return configuration(version, routes=routes, tenants=tenants)


async def _send_all(fleet: Fleet, record: Record, *, label: str, key: str | None) -> list[Answer]:
    """Send one request of each kind to each gateway."""
    answers = []
    for index, gateway in enumerate(fleet.gateways):
        client = Client(gateway, record)
        for number, path in enumerate(PATHS):
            attempt = f"{label}-{index}-{number}"
            answers.append(await client.send("POST", path + "7", key=key, attempt=attempt))
        client.close()
    return answers


async def _change(fleet: Fleet, record: Record, *, with_trouble: bool) -> None:
    """Write one version for each tenant, which takes its key away if there is trouble."""
    held = {name: [key] for name, key in KEYS.items()}
    for version, name in enumerate(KEYS, start=2):
        if with_trouble:
            held[name] = []
        fleet.store.put("op/config", _document(version, held))
        record.write(f"operator writes version {version}: {held}")
        await asyncio.sleep(REVOKE_GAP_SECONDS)
    await asyncio.sleep(CONFIGURATION_MS / 1000 + MARGIN_SECONDS)


async def case(record: Record, with_trouble: bool) -> bool:
    """Return whether a request ran whose key no configuration ever held."""
    desk = RunRecord(record)
    async with small_fleet() as fleet:
        for name, zone in SERVERS.items():
            server = await fleet.add_server(name, service=SERVICE, zone=zone, slots=SLOTS)
            server.behaviour = desk.serve
        fleet.store.put("op/config", _document(1, {name: [key] for name, key in KEYS.items()}))
        await fleet.start_gateways()
        known = await _send_all(fleet, record, label="before-held", key=KEYS["dispatch"])
        before = await _send_all(fleet, record, label="before-stranger", key=NEVER_HELD)
        if any(answer.status != 200 for answer in known):
            raise CannotRun("requests with a key weren't served before the change")
        await _change(fleet, record, with_trouble=with_trouble)
        strangers = await _send_all(fleet, record, label="stranger", key=NEVER_HELD)
        keyless = await _send_all(fleet, record, label="keyless", key=None)
        removed = await _send_all(fleet, record, label="removed", key=KEYS["dispatch"])
    broken = [answer for answer in (*before, *strangers) if answer.attempt in desk.ran]
    record.say(f"ROUTE: {len(broken)} of {len(strangers)} requests with a key never held ran")
    record.say(f"also ran: {_ran(keyless, desk)} of {len(keyless)} without a key")
    record.say(
        f"also ran: {_ran(removed, desk)} of {len(removed)} with a key"
        f" that {'was taken away' if with_trouble else 'is still held'}"
    )
    return bool(broken)


def _ran(answers: list[Answer], desk: RunRecord) -> int:
    return sum(answer.attempt in desk.ran for answer in answers)


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
