"""Log lines on standard output are complete, rate-limited, non-blocking and free of secrets."""

from __future__ import annotations

import json
import os
import time
from collections.abc import AsyncIterator
from collections.abc import Iterator
from pathlib import Path

import pytest
from gateway_builders import API_KEY
from gateway_builders import KITCHEN
from gateway_builders import World
from gateway_builders import open_world
from gateway_builders import send
from loguru import logger
from platform_upstream import stream

from baobabpulley.logs import MAX_BYTES_PER_SECOND
from baobabpulley.logs import JsonLineSink
from baobabpulley.platform import names


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """Yield the read and write ends of a pipe that gets the log lines; neither blocks."""
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    os.set_blocking(read_end, False)
    sink = logger.add(JsonLineSink(write_end), format="{message}")
    yield read_end, write_end
    logger.remove(sink)
    os.close(read_end)
    os.close(write_end)


def _read_all(descriptor: int) -> bytes:
    chunks = []
    while True:
        try:
            chunks.append(os.read(descriptor, 1 << 20))
        except BlockingIOError:
            return b"".join(chunks)


def test_a_stalled_reader_drops_lines_and_never_blocks_logging(pipe: tuple[int, int]) -> None:
    read_end, _ = pipe
    for number in range(20_000):
        logger.bind(number=number).info("a line")
    received = _read_all(read_end)
    for _ in range(100):
        logger.info("after")
        received += _read_all(read_end)
    lines = [json.loads(line) for line in received.splitlines()]
    left_out = sum(line.get("lines_left_out", 0) for line in lines)
    numbers = [line["number"] for line in lines if "number" in line]
    assert numbers == sorted(set(numbers))
    assert left_out > 0
    assert len(lines) + left_out == 20_100


def test_above_a_rate_lines_of_answered_requests_are_counted_and_all_others_kept(
    pipe: tuple[int, int],
) -> None:
    read_end, _ = pipe
    received = b""
    begun = time.monotonic()
    for number in range(4_000):
        ended = logger.bind(event="request", request=f"r-{number}", padding="x" * 200)
        ended.bind(outcome="ok", status=200).info("request")
        if number % 100 == 0:
            ended.bind(outcome="overloaded", status=503).info("request")
            ended.bind(event="attempt_failed").info("lost")
            logger.bind(event="configuration").info("in force")
        received += _read_all(read_end)
    logger.bind(event="stop").info("draining")
    received += _read_all(read_end)
    lines = [json.loads(line) for line in received.splitlines()]
    logged_successes = [line for line in lines if line.get("outcome") == "ok"]
    raw_successes = [line for line in received.splitlines() if b'"outcome":"ok"' in line]
    assert len(logged_successes) < 4_000
    seconds = int(time.monotonic() - begun) + 2
    assert sum(map(len, raw_successes)) < seconds * MAX_BYTES_PER_SECOND
    assert sum(line.get("outcome") == "overloaded" for line in lines) == 40
    assert sum(line["event"] in {"attempt_failed", "configuration"} for line in lines) == 80
    assert len(lines) + sum(line.get("lines_left_out", 0) for line in lines) == 4_121


async def test_log_lines_of_a_request_contain_neither_key_nor_prompt(
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
    assert API_KEY.encode() not in text
    assert b"secret recipe" not in text
    assert b"piece" not in text
