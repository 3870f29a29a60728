"""Operator requests to the entries of a local fleet, for tests of settings."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import Any
from typing import Final

import msgspec

from baobabpulley.adapters.http_client import fetch
from baobabpulley.emulator.caller import Caller
from baobabpulley.emulator.fleet import MODEL
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.fleet import caller_token
from baobabpulley.emulator.fleet import operator_token
from baobabpulley.model.limits import Limit

TIMEOUT_SECONDS: Final = 60.0
TEAM_LIMIT_PATH: Final = "/v1/teams/souk/limit"


async def send_operator_request(
    fleet: Fleet, entry: str, method: str, path: str, body: Any = None, *, team: str = "souk"
) -> tuple[int, dict[str, Any]]:
    """Send a request with an operator's token; return the status and the decoded body."""
    status, response = await fetch(
        fleet.client,
        address=fleet.entries[entry],
        method=method,
        path=path,
        body=b"" if body is None else msgspec.json.encode(body),
        headers={"Authorization": f"Bearer {operator_token(team)}"},
        timeout=TIMEOUT_SECONDS,
    )
    return status, msgspec.json.decode(response)


async def raise_limit(fleet: Fleet, entry: str, limit: Limit) -> dict[str, Any]:
    """Raise the team's limit, repeating the request until it is granted; return the response."""
    end = time.monotonic() + TIMEOUT_SECONDS
    while time.monotonic() < end:
        status, response = await send_operator_request(fleet, entry, "PUT", TEAM_LIMIT_PATH, limit)
        if status == 200:
            return response
        assert response["error"]["code"] in {
            "change_unknown",
            "store_unavailable",
            "promise_refused",
        }
        await asyncio.sleep(0.2)
    raise AssertionError(response)


async def wait_until_in_force(fleet: Fleet, limit: Limit, entries: tuple[str, ...] = ()) -> None:
    """Wait until entries have a limit in force; fail if a revision goes down meanwhile."""
    revisions: dict[str, int] = {}
    waiting = set(entries or fleet.entries)
    end = time.monotonic() + TIMEOUT_SECONDS
    while waiting:
        assert time.monotonic() < end, waiting
        for name in entries or fleet.entries:
            _, view = await send_operator_request(fleet, name, "GET", TEAM_LIMIT_PATH)
            assert view["revision"] >= revisions.get(name, 0)
            revisions[name] = view["revision"]
            if view["limit"] == msgspec.to_builtins(limit):
                waiting.discard(name)
        await asyncio.sleep(0.02)


async def serves(fleet: Fleet, entry: str) -> bool:
    """Whether an entry completes a short request."""
    caller = Caller(token=caller_token("souk"), model=MODEL)
    response = await caller.complete(fleet.entries[entry], prompt="saffron and cumin")
    print(entry, response.status, response.code)
    return response.ok


async def store_call_counts(fleet: Fleet) -> tuple[Counter[str], int]:
    """Return the number of store calls so far by path, and of open watches."""
    response = await fleet.request(fleet.store_address, "GET", "/counts")
    calls = {path.removeprefix("/v3/"): count for path, count in response["calls"].items()}
    return Counter(calls), response["watches"]
