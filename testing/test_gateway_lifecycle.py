"""Tests of a gateway's readiness, graceful shutdown, settings reload and freeze detection."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import platform_upstream as upstreams
import pytest
from fair_clock import FairClock
from gateway_builders import KITCHEN
from gateway_builders import World
from gateway_builders import open_world
from gateway_builders import read_reply
from gateway_builders import request_bytes
from gateway_builders import send
from gateway_builders import wait_until

import baobabpulley
from baobabpulley.gateway import daemon
from baobabpulley.gateway.daemon import Gateway
from baobabpulley.timers import TimerService


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


async def _readiness(gateway: Gateway) -> int:
    host, port = gateway.node.readiness.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"GET {daemon.READINESS} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
    )
    reply = await read_reply(reader)
    writer.close()
    return reply.status


async def test_readiness_follows_configuration_and_shutdown(world: World) -> None:
    gateway = await world.add_gateway()
    assert await _readiness(gateway) == 200
    draining = asyncio.create_task(gateway.drain())
    await asyncio.sleep(0.05)
    assert await _readiness(gateway) == 503
    await draining


async def test_a_graceful_shutdown_interrupts_no_request(world: World) -> None:
    upstream = await world.add_upstream("i-1", service=KITCHEN)

    async def respond_slowly(standin: upstreams.UpstreamStandin, call: upstreams.Call) -> None:
        await asyncio.sleep(0.6)
        await upstreams.stream(events=5)(standin, call)

    upstream.behaviour = respond_slowly
    gateway = await world.add_gateway()
    early = asyncio.create_task(send(gateway, "/draft/1"))
    await wait_until(lambda: len(upstream.journal) == 1)
    draining = asyncio.create_task(gateway.drain())
    await asyncio.sleep(0.1)
    late = await send(gateway, "/draft/2")
    assert late.events == list(range(5))
    assert late.headers["connection"] == "close"
    assert (await early).events == list(range(5))
    await draining


async def test_a_request_on_an_open_connection_is_served_during_shutdown(world: World) -> None:
    await world.add_upstream("i-1")
    gateway = await world.add_gateway()
    host, port = gateway.node.callers.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request_bytes("/order/1"))
    assert (await read_reply(reader)).status == 200
    draining = asyncio.create_task(gateway.drain())
    await asyncio.sleep(0.1)
    writer.write(request_bytes("/order/2"))
    reply = await read_reply(reader)
    assert (reply.status, reply.headers["connection"]) == (200, "close")
    assert await reader.read() == b""
    await draining


async def test_shutdown_ends_within_its_grace_period(world: World) -> None:
    upstream = await world.add_upstream("i-1")
    upstream.behaviour = upstreams.stay_silent
    gateway = await world.add_gateway(grace="1")
    task = asyncio.create_task(send(gateway, "/order/1"))
    await wait_until(lambda: len(upstream.journal) == 1)
    clock = FairClock()
    await gateway.drain()
    assert clock.seconds < 1.2
    reply = await task
    assert (reply.status, reply.complete) == (502, True)


async def test_changed_settings_are_applied_without_a_signal(world: World) -> None:
    gateway = await world.add_gateway()
    path = world.folder / "gateway-1.ini"
    path.write_text(path.read_text().replace("slack = 100", "slack = 0"))
    gateway.reload.check()
    assert not gateway.retry_budget.spend("ledger", nodes=1, now=0.0)


# The first is loaded by the first imports, the second by the last.
@pytest.mark.parametrize("library", ["msgspec", "tornado"])
@pytest.mark.parametrize("run", range(3))
async def test_a_signal_to_reload_during_the_start_does_not_end_the_process(
    world: World, library: str, run: int
) -> None:
    process = world.start_gateway_process()
    await wait_until(lambda: process.has_loaded(library), seconds=20.0)
    process.signal(signal.SIGHUP)
    await wait_until(lambda: "configuration" in process.events(), seconds=20.0)


def test_the_package_exports_its_names() -> None:
    for name in baobabpulley.__all__:
        assert getattr(baobabpulley, name).__name__ == name
    with pytest.raises(AttributeError):
        _ = baobabpulley.no_such_name


async def test_invalid_settings_change_nothing(world: World) -> None:
    gateway = await world.add_gateway()
    path = world.folder / "gateway-1.ini"
    path.write_text(path.read_text().replace("slack = 100", "slack = much"))
    gateway.reload.check()
    assert gateway.retry_budget.spend("ledger", nodes=1, now=0.0)


async def test_after_a_freeze_open_connections_are_not_trusted(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    upstream = await world.add_upstream("i-1")
    gateway = await world.add_gateway()
    assert (await send(gateway, "/order/1")).status == 200
    now = gateway.timers.boot_time()
    monkeypatch.setattr(TimerService, "boot_time", lambda timers: now + 10.0)
    await asyncio.sleep(0.4)
    assert (await send(gateway, "/order/1")).status == 200
    assert upstream.connections == 2
