"""Tests of names and paths that are longer, or spelled otherwise, than those of any stand-in."""

from __future__ import annotations

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
from gateway_builders import wait_for_version

from baobabpulley.platform import names

LONG = "x" * 3000
LONG_PREFIX = f"/{LONG}/"


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


# Guards against review/4: one prefix of over 256 characters kept all of its version from use.
@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({"path-prefix": LONG_PREFIX}, id="prefix"),
        pytest.param({"name": LONG}, id="name"),
        pytest.param({"name": ""}, id="empty-name"),
        pytest.param({"host": f"{LONG}.example"}, id="host"),
        pytest.param({"traffic-split": [{"service": LONG, "weight": 1}]}, id="service"),
    ],
)
async def test_a_version_with_a_long_text_is_in_force_and_survives_a_restart(
    world: World, changes: dict[str, object]
) -> None:
    await world.add_upstream("i-1")
    gateway = await world.add_gateway()
    routes = [
        route("/order/", LEDGER, names.KIND_ONCE),
        route("/new/", KITCHEN, names.KIND_ONCE, **changes),
    ]
    tenants = [{"name": LONG, "api-keys": ["new-key"]}]
    world.store.put(names.CONFIGURATION_KEY, configuration(2, routes=routes, tenants=tenants))
    await wait_for_version(gateway, 2)
    restarted = await world.add_gateway()
    for each in (gateway, restarted):
        assert (await send(each, "/order/7", key="new-key")).status == 200
        assert (await send(each, "/order/7")).status == 401


async def test_a_request_below_a_long_prefix_is_served(world: World) -> None:
    await world.add_upstream("i-1")
    routes = [route(LONG_PREFIX, LEDGER, names.KIND_ONCE)]
    world.store.put(names.CONFIGURATION_KEY, configuration(2, routes=routes))
    gateway = await world.add_gateway()
    assert (await send(gateway, LONG_PREFIX + "7")).status == 200


async def test_an_upstream_of_a_service_with_a_long_name_is_used(world: World) -> None:
    await world.add_upstream("i-1", service=LONG, zone=LONG)
    routes = [route("/order/", LONG, names.KIND_ONCE)]
    world.store.put(names.CONFIGURATION_KEY, configuration(2, routes=routes))
    gateway = await world.add_gateway()
    assert (await send(gateway, "/order/7")).status == 200


async def test_a_request_with_a_long_id_is_served_under_that_id(world: World) -> None:
    upstream = await world.add_upstream("i-1")
    gateway = await world.add_gateway()
    assert (await send(gateway, "/order/7", **{names.ATTEMPT: LONG})).status == 200
    assert [call.attempt for call in upstream.journal] == [LONG]


async def test_a_gateway_in_a_failure_domain_with_any_name_starts(world: World) -> None:
    await world.add_upstream("i-1")
    gateway = await world.add_gateway(failure_domain="Kochi North_" + "x" * 80)
    assert (await send(gateway, "/order/7")).status == 200
