"""Tests of late second answers to earlier requests, where the next answer is expected."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import platform_upstream as upstreams
import pytest
from gateway_builders import KITCHEN
from gateway_builders import World
from gateway_builders import open_world
from gateway_builders import send
from platform_upstream import UpstreamStandin

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.platform import names
from baobabpulley.platform.memory_reservations import PlatformMemoryReservations

NOT_RUN = f"{names.NOT_EXECUTED}: 1"


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


def _late(status: int, *headers: str, attempt: str = "of-before") -> bytes:
    lines = [f"HTTP/1.1 {status} Answer", f"{names.ATTEMPT}: {attempt}", *headers]
    return ("\r\n".join([*lines, "Content-Length: 0"]) + "\r\n\r\n").encode()


# Guards against review/1: an order that ran was answered 503, or ran a second time.
@pytest.mark.parametrize(
    "late",
    [
        pytest.param(_late(503, NOT_RUN), id="refusal"),
        pytest.param(_late(503, NOT_RUN, "Retry-After: 0"), id="refusal-with-retry-after"),
        pytest.param(_late(421), id="misdirected"),
        pytest.param(_late(200, f"{names.SEAL}: s"), id="success"),
        pytest.param(_late(503, NOT_RUN).replace(b"of-before", b"", 1), id="without-an-id"),
    ],
)
async def test_an_order_that_runs_is_not_refused_for_an_earlier_one(
    world: World, late: bytes
) -> None:
    for name in ("i-1", "i-2"):
        await world.add_upstream(name)
    gateway = await world.add_gateway()
    for _ in range(8):
        assert (await send(gateway, "/order/1")).status == 200
    for upstream in world.upstreams.values():
        upstream.late_answer = late
    replies = [await send(gateway, "/order/2") for _ in range(6)]
    journal = [call.attempt for up in world.upstreams.values() for call in up.journal]
    assert len(journal) == len(set(journal)) == 14
    assert sorted({reply.status for reply in replies}) == [200, 502]


async def test_what_a_late_answer_says_of_its_upstream_is_not_recorded(world: World) -> None:
    upstream = await world.add_upstream("i-1")
    gateway = await world.add_gateway()
    assert (await send(gateway, "/lookup/1")).status == 200
    upstream.late_answer = _late(503, NOT_RUN, "Retry-After: 5", f"{names.LEAVING}: 1")
    await send(gateway, "/lookup/2")
    assert (await send(gateway, "/lookup/3")).status == 200
    assert not gateway.fleet_state.upstreams["i-1"].leaving


async def test_a_lookup_behind_a_late_answer_is_answered_by_another_upstream(
    world: World,
) -> None:
    for name in ("i-1", "i-2"):
        await world.add_upstream(name)
    gateway = await world.add_gateway()
    for _ in range(8):
        assert (await send(gateway, "/lookup/1")).status == 200
    world.upstreams["i-1"].late_answer = _late(503, NOT_RUN)
    for _ in range(6):
        assert (await send(gateway, "/lookup/2")).status == 200


async def test_a_stream_behind_a_late_answer_is_complete(world: World) -> None:
    for name in ("i-1", "i-2"):
        engine = await world.add_upstream(name, service=KITCHEN)
        engine.behaviour = upstreams.stream(events=3)
    gateway = await world.add_gateway()
    for _ in range(8):
        assert (await send(gateway, "/draft/1")).complete
    for engine in world.upstreams.values():
        engine.late_answer = _late(429, NOT_RUN, "Retry-After: 1")
    for _ in range(6):
        reply = await send(gateway, "/draft/2")
        assert (reply.complete, reply.events) == (True, [0, 1, 2])


async def test_a_late_answer_to_a_request_reserves_no_memory() -> None:
    engine = UpstreamStandin("i-1", service=KITCHEN)
    await engine.start()
    engine.order_status = 409
    upstream = ListedUpstream(
        id="i-1",
        service=KITCHEN,
        address=engine.address,
        failure_domain="fes",
        slots=8,
        leaving=False,
        born=0,
    )
    client = HttpClient()
    reservations = PlatformMemoryReservations(client=client)
    await reservations.release(upstream, ticket="t-0")
    engine.late_answer = _late(200, f"{names.SEAL}: s")
    outcome = await reservations.reserve(
        upstream, ticket="t-1", tokens=10, hold_seconds=1.0, timeout=1.0
    )
    assert (outcome.reserved, outcome.head) == (False, None)
    client.close()
    await engine.stop()
