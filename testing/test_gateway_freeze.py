"""A gateway process that is suspended past its lease must not act on stale state when it resumes.

It is stopped by SIGSTOP; meanwhile its lease ends, its upstream's address passes to another service
and the configuration changes.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from gateway_builders import KITCHEN
from gateway_builders import LEDGER
from gateway_builders import World
from gateway_builders import configuration
from gateway_builders import open_world
from gateway_builders import route
from gateway_builders import send
from gateway_builders import wait_until

from baobabpulley.platform import names

# Longer than the pause that a gateway recognizes as a freeze.
FROZEN_SECONDS = 2.5


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


def members(world: World) -> list[str]:
    return [key for key in world.store.items if key.startswith(names.MEMBER_PREFIX)]


async def test_a_process_frozen_past_its_lease_resumes_with_the_current_state(world: World) -> None:
    moved = await world.add_upstream("i-gone")
    gateway = await world.add_gateway_process()
    await wait_until(lambda: bool(members(world)), seconds=10.0)
    assert (await send(gateway, "/order/7")).status == 200

    gateway.signal(signal.SIGSTOP)
    for lease in tuple(world.store.leases):
        world.store.end_lease(lease)
    assert members(world) == []
    world.store.delete(names.UPSTREAM_PREFIX + "i-gone")
    # The address now belongs to an instance of another service.
    moved.name, moved.service = "i-other", KITCHEN
    world.store.put(names.UPSTREAM_PREFIX + "i-other", moved.entry())
    await world.add_upstream("i-new")
    changed = configuration(
        2,
        routes=[route("/order/", LEDGER, names.KIND_ONCE)],
        tenants=[{"name": "souk", "api-keys": ["another-key"], "priority": 1}],
    )
    world.store.put(names.CONFIGURATION_KEY, changed)
    await asyncio.sleep(FROZEN_SECONDS)
    calls_before = len(moved.journal)
    gateway.signal(signal.SIGCONT)

    early = await send(gateway, "/order/8", key="another-key")
    assert early.status in (200, 401, 503)
    assert len(moved.journal) == calls_before
    await wait_until(lambda: len(members(world)) == 1, seconds=15.0)
    assert "frozen" in gateway.events()
    assert (await send(gateway, "/order/9")).status == 401
    assert (await send(gateway, "/draft/9", key="another-key")).status == 404
    assert (await send(gateway, "/order/10", key="another-key")).status == 200
    assert len(moved.journal) == calls_before
