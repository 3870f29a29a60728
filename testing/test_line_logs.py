"""Log lines on standard output: whole, bounded, never waited for, and free of secrets."""

from __future__ import annotations

import json
import os
from collections.abc import AsyncIterator
from collections.abc import Iterator
from pathlib import Path

import pytest
from gateway_builders import KEY
from gateway_builders import KITCHEN
from gateway_builders import World
from gateway_builders import open_world
from gateway_builders import send
from loguru import logger
from platform_upstream import stream

from baobabpulley.logs import LineSink
from baobabpulley.platform import names


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """Yield a pipe's reading and writing end; the latter does not block."""
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    os.set_blocking(reading, False)
    sink = logger.add(LineSink(writing), format="{message}")
    yield reading, writing
    logger.remove(sink)
    os.close(reading)
    os.close(writing)


def _read_all(descriptor: int) -> bytes:
    parts = []
    while True:
        try:
            parts.append(os.read(descriptor, 1 << 20))
        except BlockingIOError:
            return b"".join(parts)


def test_a_reader_that_stands_still_costs_lines_and_no_time(pipe: tuple[int, int]) -> None:
    reading, _ = pipe
    for number in range(20_000):
        logger.bind(number=number).info("a line")
    read = _read_all(reading)
    for _ in range(100):
        logger.info("after")
        read += _read_all(reading)
    lines = [json.loads(line) for line in read.splitlines()]
    left_out = sum(line.get("lines_left_out", 0) for line in lines)
    numbers = [line["number"] for line in lines if "number" in line]
    assert numbers == sorted(set(numbers))
    assert left_out > 0
    assert len(lines) + left_out == 20_100


async def test_the_life_of_a_request_is_told_without_its_key_or_prompt(
    world: World, pipe: tuple[int, int]
) -> None:
    upstream = await world.add_upstream("i-1", service=KITCHEN)
    upstream.behaviour = stream(events=3)
    gateway = await world.add_gateway()
    await send(gateway, "/draft/7", body=b"my secret recipe", **{names.ATTEMPT: "told-1"})
    text = _read_all(pipe[0])
    events = [
        line["event"]
        for line in map(json.loads, text.splitlines())
        if line.get("request") == "told-1"
    ]
    assert events == ["placed", "request"]
    assert KEY.encode() not in text
    assert b"secret recipe" not in text
    assert b"piece" not in text
