"""Tests of upstreams that send bytes without end until the gateway closes the connection."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from pathlib import Path

import pytest
from endless_sender import BLOCK_BYTES
from endless_sender import EndlessSender
from endless_sender import begin_chunks
from endless_sender import begin_stream
from endless_sender import begin_without_length
from endless_sender import chunk
from fair_clock import FairClock
from gateway_builders import DEADLINE_MS
from gateway_builders import KITCHEN
from gateway_builders import LEDGER
from gateway_builders import World
from gateway_builders import open_world
from gateway_builders import send
from gateway_builders import wait_until
from platform_upstream import Call
from platform_upstream import UpstreamStandin

from baobabpulley.platform import names

# A gateway of 430 MB serves many requests at once, so one connection may not hold more than this.
MAX_BYTES = 24 * 1024 * 1024


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


def refuse(call: Call) -> bytes:
    return call.head(503, f"{names.NOT_EXECUTED}: 1")


ENDLESS = [
    pytest.param(lambda call: b"", b"x" * BLOCK_BYTES, id="start-line"),
    pytest.param(lambda call: b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 9_000, id="headers"),
    pytest.param(lambda call: b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000, id="interim-heads"),
    pytest.param(begin_without_length, b"x" * BLOCK_BYTES, id="body-without-length"),
    pytest.param(begin_chunks, chunk(b"x" * BLOCK_BYTES), id="chunks"),
    pytest.param(begin_chunks, b"0" * BLOCK_BYTES, id="chunk-size"),
    pytest.param(lambda call: begin_chunks(call) + b"1;a=", b"x" * BLOCK_BYTES, id="extension"),
    pytest.param(refuse, b"x" * BLOCK_BYTES, id="refusal-body"),
]


@pytest.mark.parametrize(("begin", "block"), ENDLESS)
async def test_an_answer_without_end_is_closed_in_time_with_bounded_memory(
    world: World, begin: Callable[[Call], bytes], block: bytes
) -> None:
    upstream = await world.add_upstream("i-1", service=LEDGER)
    upstream.behaviour = sender = EndlessSender(begin, block)
    gateway = await world.add_gateway()
    clock = FairClock()
    reply = await send(gateway, "/order/7")
    assert reply.status in (502, 503, 504)
    assert clock.seconds < DEADLINE_MS / 1000 + 0.1
    await asyncio.wait_for(sender.closed.wait(), 1.0)
    assert sender.sent <= MAX_BYTES


async def test_bytes_after_a_complete_answer_are_not_read_and_reach_nobody(world: World) -> None:
    upstream = await world.add_upstream("i-1", service=LEDGER)
    upstream.behaviour = sender = EndlessSender(lambda call: call.sealed(b"answer"))
    gateway = await world.add_gateway()
    for _ in range(3):
        reply = await send(gateway, "/order/7")
        assert (reply.status, reply.body) == (200, b"answer")
    assert sender.sent <= MAX_BYTES


@pytest.mark.parametrize("block", [b"d", b": alive\n\n"], ids=["bytes-of-one-event", "comments"])
async def test_a_stream_that_only_trickles_counts_as_silent(world: World, block: bytes) -> None:
    for name in ("i-1", "i-2"):
        upstream = await world.add_upstream(name, service=KITCHEN)
        upstream.behaviour = EndlessSender(begin_stream, block, pause=0.1)
    gateway = await world.add_gateway()
    request = asyncio.create_task(send(gateway, "/draft/7"))
    # The second attempt begins after the silence time-out of the first, not at the deadline.
    await wait_until(
        lambda: sum(len(upstream.journal) for upstream in world.upstreams.values()) == 2,
        seconds=1.6,
    )
    request.cancel()


async def test_a_slow_stream_is_not_cut(world: World) -> None:
    upstream = await world.add_upstream("i-1", service=KITCHEN)
    await world.add_upstream("i-2", service=KITCHEN)

    async def answer_slowly(_: UpstreamStandin, call: Call) -> None:
        await call.write(
            begin_chunks(call).replace(b"\r\n\r\n", b"\r\nContent-Type: text/event-stream\r\n\r\n")
        )
        for number in range(4):
            for part in (b"id: %d\n" % number, b"data: x\n", b"\n"):
                await call.write_chunk(part)
                await asyncio.sleep(0.2)
        await call.write(b"0\r\n\r\n")

    for standin in world.upstreams.values():
        standin.behaviour = answer_slowly
    gateway = await world.add_gateway()
    reply = await send(gateway, "/draft/7")
    assert (reply.complete, reply.events) == (True, [0, 1, 2, 3])
    assert sum(len(standin.journal) for standin in world.upstreams.values()) == 1
    assert upstream.early_closes == 0


async def test_a_refusal_whose_body_trickles_is_followed_by_another_upstream(world: World) -> None:
    def refuse_with_body(call: Call) -> bytes:
        call.upstream.journal.pop()
        return refuse(call)

    for name in ("i-1", "i-2"):
        upstream = await world.add_upstream(name, service=LEDGER)
        upstream.behaviour = EndlessSender(refuse_with_body, b"x", pause=0.05)
    gateway = await world.add_gateway()
    clock = FairClock()
    reply = await send(gateway, "/lookup/7")
    assert clock.seconds < DEADLINE_MS / 2000
    assert reply.status == 503
    assert {len(upstream.arrivals) for upstream in world.upstreams.values()} == {1}
