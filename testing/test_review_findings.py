"""Tests of what a review found: hold-ups of the process, upstreams that leave meanwhile."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from gateway_builders import KITCHEN
from gateway_builders import World
from gateway_builders import open_world
from gateway_builders import send
from loguru import logger
from platform_upstream import Call
from platform_upstream import UpstreamStandin

from baobabpulley.platform import names

# Longer than the silence after which the attempt at an upstream of a stream is replaced.
HOLD_UP_SECONDS = 1.5


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


def hold_up_process() -> None:
    """Keep the event loop from running."""
    time.sleep(HOLD_UP_SECONDS)


async def stream_while_held_up(upstream: UpstreamStandin, call: Call) -> None:
    """Stream three events; the process is held up once the second is on its way."""
    await call.write(
        call.head(
            200,
            f"{names.SEAL}: s.{upstream.name}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
    )
    await call.write_chunk(b"id: 0\ndata: a\n\n")
    await asyncio.sleep(0.1)
    await call.write_chunk(b"id: 1\ndata: b\n\n")
    hold_up_process()
    await asyncio.sleep(0.1)
    await call.write_chunk(b"id: 2\ndata: c\n\n")
    await call.write(b"0\r\n\r\n")


async def test_an_upstream_is_not_silent_while_the_own_process_is_held_up(world: World) -> None:
    for number in (1, 2):
        upstream = await world.add_upstream(f"i-{number}", service=KITCHEN)
        upstream.behaviour = stream_while_held_up
    gateway = await world.add_gateway()
    events: list[object] = []
    sink = logger.add(lambda message: events.append(message.record["extra"].get("event")))
    reply = await send(gateway, "/draft/7")
    logger.remove(sink)
    assert (reply.status, reply.complete) == (200, True)
    assert [event for event in events if event in ("placed", "attempt_failed")] == ["placed"]
