"""Tests of what a review found: hold-ups of the process, upstreams that leave meanwhile."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
import time
from collections.abc import AsyncIterator
from pathlib import Path

import platform_upstream as upstreams
import pytest
from gateway_builders import KITCHEN
from gateway_builders import World
from gateway_builders import open_world
from gateway_builders import read_reply
from gateway_builders import recorded_closes
from gateway_builders import send
from gateway_builders import wait_until
from loguru import logger
from platform_upstream import Call
from platform_upstream import UpstreamStandin
from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream
from tornado.testing import bind_unused_port

from baobabpulley.errors import UpstreamSkipped
from baobabpulley.gateway.callers.connection_closes import CloseReason
from baobabpulley.gateway.callers.listener import CallerListener
from baobabpulley.gateway.callers.replies import Reply
from baobabpulley.gateway.daemon import Gateway
from baobabpulley.gateway.exchanges.attempt_progress import AttemptProgress
from baobabpulley.gateway.exchanges.attempts import UpstreamCaller
from baobabpulley.gateway.tunnels import upstream_connector
from baobabpulley.model.exchanges import AttemptParameters
from baobabpulley.model.exchanges import IncomingRequest
from baobabpulley.model.routes import RequestBounds
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.platform import names
from baobabpulley.platform.wire import PlatformWire
from baobabpulley.timers import TimerService

# Longer than the silence after which the attempt at an upstream of a stream is replaced.
HOLD_UP_SECONDS = 1.5
# Later than an engine without an answer to a reservation counts as silent.
LATE_TICKET_SECONDS = 0.5
# Within the time that a silent engine is waited for.
LONG_PAUSE_SECONDS = 1.6
# More than is read of a head.
ENDLESS_HEAD = b"x" * 2_000_000


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


async def send_order(gateway: Gateway, upstream: ListedUpstream) -> None:
    caller = UpstreamCaller(
        client=gateway.client,
        wire=PlatformWire(),
        record=gateway.record,
        watch=gateway.watch,
        timers=gateway.timers,
    )
    attempt = caller.send(
        IncomingRequest("POST", "/order/7", "api.example", HTTPHeaders(), b"", 0.0),
        AttemptParameters(attempt="a-late", remaining=1.0, instance=upstream.id),
        upstream,
        retryable=False,
        progress=AttemptProgress(gateway.timers),
    )
    async with attempt:
        pass


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


@pytest.mark.parametrize(
    "header", [(names.LEAVING, "1"), ("Retry-After", "5")], ids=["leaving", "retry-after"]
)
async def test_nothing_is_sent_to_an_upstream_that_said_so_while_a_connection_was_opened(
    world: World, monkeypatch: pytest.MonkeyPatch, header: tuple[str, str]
) -> None:
    upstream = await world.add_upstream("i-1")
    gateway = await world.add_gateway()
    chosen = gateway.fleet_state.upstreams["i-1"]
    open_connection = upstream_connector.connect

    async def hear_meanwhile(address: str, *, timeout: float) -> IOStream:
        stream = await open_connection(address, timeout=timeout)
        head = PlatformWire().parse_response_head(503, HTTPHeaders([header]))
        gateway.record.record_head(chosen, head)
        return stream

    monkeypatch.setattr(upstream_connector, "connect", hear_meanwhile)
    with pytest.raises(UpstreamSkipped) as raised:
        await send_order(gateway, chosen)
    assert raised.value.ran is False
    assert upstream.arrivals == []


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


async def serve_nothing(incoming: IncomingRequest, reply: Reply) -> None:
    raise AssertionError


def fail_to_duplicate(connection: socket.socket) -> socket.socket:
    raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))


async def test_a_head_that_never_ends_is_refused_without_another_descriptor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    errors: list[dict[str, object]] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: errors.append(context))
    closes: list[CloseReason] = []
    timers = TimerService()
    listener = CallerListener(
        handler=serve_nothing, bounds=RequestBounds, closes=recorded_closes(closes), timers=timers
    )
    listening, port = bind_unused_port()
    listener.add_socket(listening)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    monkeypatch.setattr(socket.socket, "dup", fail_to_duplicate)
    try:
        writer.write(ENDLESS_HEAD)
        reply = await asyncio.wait_for(read_reply(reader), 5.0)
        assert (reply.status, reply.complete) == (431, True)
        await wait_until(lambda: not listener.busy)
        assert closes == [CloseReason.REFUSED_UNREAD]
        assert errors == []
    finally:
        writer.close()
        listener.stop()
        listener.close_all()
        timers.cancel_all()


async def test_a_ticket_that_came_late_is_renewed_while_another_engine_pauses(world: World) -> None:
    engines = [await world.add_upstream(f"i-{number}", service=KITCHEN) for number in range(3)]
    # Idle engines are chosen in order, so the first one generates the answer.
    _, late, pausing = engines
    late.first_order_pause_seconds = LATE_TICKET_SECONDS
    pausing.first_order_pause_seconds = LONG_PAUSE_SECONDS
    orders_before: dict[str, int] = {}

    async def count_orders(upstream: UpstreamStandin, call: Call) -> None:
        orders_before.update({standin.name: len(standin.orders) for standin in engines})
        await upstreams.stream(events=3)(upstream, call)

    for standin in engines:
        standin.behaviour = count_orders
    gateway = await world.add_gateway()
    reply = await send(gateway, "/draft/7", **{names.TOKEN_COUNTS: "300000,100"})
    assert reply.complete
    assert orders_before[pausing.name] == 1
    # One reservation, and a renewal each 0.3 s until the other engine answers.
    assert orders_before[late.name] >= 3
