"""Tests of opening connections while the own process is held up."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
from tornado.testing import bind_unused_port

from baobabpulley.adapters.addresses import connect
from baobabpulley.errors import UpstreamUnreachable

TIMEOUT_SECONDS = 0.1


def hold_up_process() -> None:
    """Keep the event loop from running for longer than a connection may take to open."""
    time.sleep(3 * TIMEOUT_SECONDS)


async def test_a_connection_that_opened_while_the_process_was_held_up_is_used() -> None:
    listening, port = bind_unused_port()
    with listening:
        opening = asyncio.create_task(connect(f"127.0.0.1:{port}", timeout=TIMEOUT_SECONDS))
        await asyncio.sleep(0)
        hold_up_process()
        stream = await opening
        assert not stream.closed()
        stream.close()


async def test_a_refused_connection_is_unreachable_although_the_process_was_held_up() -> None:
    closed, port = bind_unused_port()
    closed.close()
    opening = asyncio.create_task(connect(f"127.0.0.1:{port}", timeout=TIMEOUT_SECONDS))
    await asyncio.sleep(0)
    hold_up_process()
    with pytest.raises(UpstreamUnreachable):
        await opening


async def test_a_connection_that_does_not_open_in_time_is_unreachable() -> None:
    with socket.socket() as full, socket.socket() as first, socket.socket() as second:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        for waiting in (first, second):
            waiting.setblocking(False)
            waiting.connect_ex(full.getsockname())
        with pytest.raises(UpstreamUnreachable):
            await connect(f"127.0.0.1:{full.getsockname()[1]}", timeout=TIMEOUT_SECONDS)
