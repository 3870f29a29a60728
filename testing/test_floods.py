"""Tests of streams whose events arrive faster than the gateway passes them on."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from endless_sender import EndlessSender
from endless_sender import begin_event_chunks
from endless_sender import chunk
from fair_clock import FairClock
from gateway_builders import DEADLINE_MS
from gateway_builders import KITCHEN
from gateway_builders import LEDGER
from gateway_builders import World
from gateway_builders import open_world
from gateway_builders import request_bytes
from gateway_builders import send
from measured_turns import MAX_TURN_SECONDS
from measured_turns import measured_turns
from platform_upstream import Behaviour
from platform_upstream import Call
from platform_upstream import UpstreamStandin

from baobabpulley.gateway.daemon import Gateway

SLACK_SECONDS = 0.5
MIN_OTHERS_A_SECOND = 3

FLOODS = [
    pytest.param(chunk(b": x\n\n" * 13_000), id="comments"),
    pytest.param(chunk(b"a\n\n" * 20_000), id="events"),
    pytest.param(chunk(b": x\n\n") * 6_000, id="a-comment-in-each-chunk"),
    pytest.param(chunk(b"d") * 10_000, id="bytes-of-one-event"),
    pytest.param(chunk(b"d\n" * 30_000), id="lines-of-one-event"),
    pytest.param(chunk(b":\n" * 30_000 + b"\n"), id="long-comments"),
    pytest.param(chunk(b"id: 1\ndata: x\n\n" * 4_000), id="the-same-event"),
]


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


def stream_once(block: bytes) -> Behaviour:
    """Return a behaviour that answers with a stream of the bytes of ``block``."""

    async def run(upstream: UpstreamStandin, call: Call) -> None:
        await call.write(begin_event_chunks(call) + chunk(block) + b"0\r\n\r\n")

    return run


async def flood(world: World, block: bytes) -> None:
    for name in ("i-1", "i-2"):
        upstream = await world.add_upstream(name, service=KITCHEN)
        upstream.behaviour = EndlessSender(begin_event_chunks, block)


async def read_to_the_end(gateway: Gateway, data: bytes) -> bytes:
    """Send a request and return all that arrives until its connection is closed."""
    host, port = gateway.node.callers.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    received = bytearray()
    writer.write(data)
    with contextlib.suppress(ConnectionError):
        while block := await reader.read(65_536):
            received += block
    writer.close()
    return bytes(received)


@pytest.mark.parametrize("block", FLOODS)
async def test_a_flood_ends_in_time_and_holds_up_no_other_caller(
    world: World, block: bytes
) -> None:
    await flood(world, block)
    await world.add_upstream("l-1", service=LEDGER)
    gateway = await world.add_gateway()
    async with measured_turns() as turns:
        clock = FairClock()
        request = request_bytes("/draft/7", Connection="close")
        flooded = asyncio.create_task(read_to_the_end(gateway, request))
        others = 0
        while not flooded.done():
            other = await send(gateway, "/lookup/7")
            assert (other.status, other.complete) == (200, True)
            others += 1
            await asyncio.sleep(0.02)
        elapsed = clock.seconds
    received = await flooded
    assert elapsed < DEADLINE_MS / 1000 + SLACK_SECONDS
    assert not received.endswith(b"0\r\n\r\n")
    assert received[9:12] in (b"200", b"502", b"503", b"504")
    assert others >= MIN_OTHERS_A_SECOND * elapsed
    assert max(turns) < MAX_TURN_SECONDS


async def test_an_id_with_too_many_digits_for_a_number_is_passed_on_as_none(world: World) -> None:
    event = b"id: " + b"1" * 5_000 + b"\ndata: x\n\n"
    upstream = await world.add_upstream("i-1", service=KITCHEN)
    upstream.behaviour = stream_once(event)
    gateway = await world.add_gateway()
    reply = await send(gateway, "/draft/7")
    assert (reply.status, reply.complete, reply.body) == (200, True, event)
