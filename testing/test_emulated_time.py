"""Tests of the emulated clock."""

from __future__ import annotations

import asyncio
import time

import pytest

from baobabpulley.emulator.emulated_time import run_in_emulated_time


def test_the_emulated_clock_moves_only_while_nothing_is_left_to_do() -> None:
    async def sleep_and_compute() -> tuple[float, float]:
        began = time.monotonic()
        await asyncio.sleep(500.0)
        slept = time.monotonic() - began
        sum(range(1_000_000))
        return slept, time.monotonic() - began - slept

    slept, computed = run_in_emulated_time(sleep_and_compute())
    assert slept == pytest.approx(500.0)
    assert computed == 0.0


def test_data_on_a_socket_arrives_before_a_timer_that_is_due_later() -> None:
    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.5)
        writer.write(await reader.readline())
        writer.close()

    async def call() -> float:
        async with await asyncio.start_server(answer, "127.0.0.1", 0) as server:
            host, port = server.sockets[0].getsockname()
            began = time.monotonic()
            async with asyncio.timeout(0.6):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(b"hello\n")
                assert await reader.readline() == b"hello\n"
            writer.close()
            return time.monotonic() - began

    assert run_in_emulated_time(call()) == pytest.approx(0.5, abs=0.05)


def test_the_real_clock_is_in_force_again_afterwards() -> None:
    clock = time.monotonic

    async def sleep() -> None:
        await asyncio.sleep(100.0)

    run_in_emulated_time(sleep())
    assert time.monotonic is clock
