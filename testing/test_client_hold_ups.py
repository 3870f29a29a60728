"""Tests of responses that arrive while the own process is held up."""

from __future__ import annotations

import asyncio
import time

import pytest

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.errors import UpstreamStalled

IDLE_TIMEOUT_SECONDS = 0.2
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"


def hold_up_process() -> None:
    """Keep the event loop from running for longer than a response may be idle."""
    time.sleep(3 * IDLE_TIMEOUT_SECONDS)


async def read_body(*, held_up: bool) -> bytes:
    """Return a body of two parts; the process may be held up once the second part has been sent."""

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"abc")
        await asyncio.sleep(IDLE_TIMEOUT_SECONDS / 4)
        if held_up:
            writer.write(b"def")
            hold_up_process()
        await reader.read()
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = HttpClient()
    try:
        async with (
            server,
            client.call(address=f"127.0.0.1:{port}", method="GET", path="/") as response,
        ):
            return await response.body(idle_timeout=IDLE_TIMEOUT_SECONDS)
    finally:
        client.close()
        await asyncio.sleep(IDLE_TIMEOUT_SECONDS / 4)


async def test_a_body_that_arrived_while_the_process_was_held_up_is_whole() -> None:
    assert await read_body(held_up=True) == b"abcdef"


async def test_a_body_that_does_not_go_on_has_stalled() -> None:
    began = time.monotonic()
    with pytest.raises(UpstreamStalled):
        await read_body(held_up=False)
    assert time.monotonic() - began >= IDLE_TIMEOUT_SECONDS
