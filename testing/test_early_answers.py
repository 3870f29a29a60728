"""Tests of upstreams that answer a long upload before they have read it, and break off."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from gateway_builders import KITCHEN
from gateway_builders import LEDGER
from gateway_builders import World
from gateway_builders import configuration
from gateway_builders import open_world
from gateway_builders import send
from platform_upstream import Behaviour
from platform_upstream import Call
from platform_upstream import UpstreamStandin
from platform_upstream import answer_complete
from platform_upstream import first_then

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch
from baobabpulley.errors import UpstreamLost
from baobabpulley.platform import names

MEGABYTE = 1024 * 1024
# More than the socket buffers of both sides hold.
UPLOAD = b"u" * (24 * MEGABYTE)
CALL_TIMEOUT_SECONDS = 3.0
EVENT = b"id: 0\ndata: piece 0\n\n"
STREAM_HEADER = "Content-Type: text/event-stream"
PAUSES = [
    pytest.param(0.0, id="at-once"),
    pytest.param(0.001, id="soon"),
    pytest.param(0.05, id="later"),
]


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


@enum.unique
class Ending(enum.Enum):
    """How a server breaks off.

    The kernel resets a connection that is closed with unread bytes, and also, after an end in
    order, one that a process had read to its last byte when it was killed.
    """

    RESET = "reset"
    CLOSED_UNREAD = "closed-unread"
    ENDED_THEN_RESET = "ended-then-reset"


def early_part(part: bytes, *extra: str, pause: float, ending: Ending = Ending.RESET) -> Behaviour:
    """Return a behaviour that sends a head without a length and a part, and breaks off."""

    async def run(upstream: UpstreamStandin, call: Call) -> None:
        # Not drained, as the reader may be behind.
        call.writer.write(call.head(200, f"{names.SEAL}: s", *extra) + part)
        if ending is Ending.ENDED_THEN_RESET:
            call.writer.write_eof()
        await asyncio.sleep(pause)
        if ending is Ending.CLOSED_UNREAD:
            call.close()
        else:
            call.reset()

    return run


async def end_and_reset_together(upstream: UpstreamStandin, call: Call) -> None:
    """Send a head without a length and a part, end in order, and reset in the same moment."""
    extra = (STREAM_HEADER,) if upstream.service == KITCHEN else ()
    call.writer.write(call.head(200, f"{names.SEAL}: s", *extra) + EVENT)
    call.writer.write_eof()
    call.reset()


@enum.unique
class Framing(enum.Enum):
    """What tells the end of a whole answer."""

    CONNECTION = "connection"
    LENGTH = "length"
    CHUNKS = "chunks"


def answer_early_and_read_on(framing: Framing) -> Behaviour:
    """Return a behaviour that sends a whole answer first and then reads the upload to its end."""

    async def run(upstream: UpstreamStandin, call: Call) -> None:
        body, seal = b"the whole answer", f"{names.SEAL}: s"
        if framing is Framing.LENGTH:
            await call.write(call.sealed(body))
        elif framing is Framing.CHUNKS:
            await call.write(call.head(200, seal, "Transfer-Encoding: chunked"))
            await call.write_chunk(body)
            await call.write_chunk(b"")
        else:
            call.writer.write(call.head(200, seal) + body)
            call.writer.write_eof()
        # No further than the upload, as another request may follow it on the same connection.
        await call.reader.readexactly(int(call.headers["content-length"]))

    return run


async def add_early_upstreams(world: World, behaviour: Behaviour, *, service: str = LEDGER) -> None:
    limits = {"max-body-bytes": 2 * len(UPLOAD), "idle-timeout-ms": 15000}
    world.store.put(names.CONFIGURATION_KEY, configuration(2, limits=limits))
    for number in range(2):
        upstream = await world.add_upstream(f"i-{service}-{number}", service=service)
        upstream.behaviour = behaviour
        upstream.reads_bodies = False


def calls(world: World) -> list[Call]:
    return [call for upstream in world.upstreams.values() for call in upstream.journal]


@pytest.mark.parametrize("ending", Ending, ids=lambda ending: ending.value)
@pytest.mark.parametrize("pause", PAUSES)
@pytest.mark.parametrize("size", [0, 1, 1000, 200_000])
async def test_a_part_whose_upload_is_reset_is_no_answer(
    world: World, size: int, pause: float, ending: Ending
) -> None:
    await add_early_upstreams(world, early_part(b"x" * size, pause=pause, ending=ending))
    gateway = await world.add_gateway()
    for number in range(2):
        reply = await send(gateway, f"/order/{number}", body=UPLOAD)
        assert (reply.status, reply.complete) == (502, True)
        assert b"xx" not in reply.body
    assert len(calls(world)) == 2


@pytest.mark.parametrize("service", [LEDGER, KITCHEN])
@pytest.mark.parametrize("upload", [b"hello", b"u" * 50_000], ids=["short", "long"])
async def test_a_part_that_is_reset_as_it_ends_is_no_answer_though_the_upload_has_arrived(
    world: World, upload: bytes, service: str
) -> None:
    await add_early_upstreams(world, end_and_reset_together, service=service)
    gateway = await world.add_gateway()
    path = "/order/1" if service == LEDGER else "/draft/1"
    reply = await send(gateway, path, body=upload)
    assert not (reply.status == 200 and reply.complete)


@pytest.mark.parametrize("framing", Framing, ids=lambda framing: framing.value)
async def test_a_whole_answer_that_ends_before_the_upload_reaches_its_caller(
    world: World, framing: Framing
) -> None:
    await add_early_upstreams(world, answer_early_and_read_on(framing))
    gateway = await world.add_gateway()
    for number in range(3):
        reply = await send(gateway, f"/order/{number}", body=UPLOAD)
        assert (reply.status, reply.body, reply.complete) == (200, b"the whole answer", True)
    assert len(calls(world)) == 3


async def test_a_whole_answer_whose_upload_is_not_read_further_is_passed_on(world: World) -> None:
    behaviour = early_part(
        b"the whole answer", pause=CALL_TIMEOUT_SECONDS, ending=Ending.ENDED_THEN_RESET
    )
    await add_early_upstreams(world, behaviour)
    gateway = await world.add_gateway()
    reply = await send(gateway, "/order/1", body=UPLOAD)
    assert (reply.status, reply.body, reply.complete) == (200, b"the whole answer", True)


@pytest.mark.parametrize("ending", Ending, ids=lambda ending: ending.value)
@pytest.mark.parametrize("pause", PAUSES)
async def test_an_upload_whose_answer_was_reset_is_answered_by_another_upstream(
    world: World, ending: Ending, pause: float
) -> None:
    behaviour = first_then(
        early_part(b"x" * 1000, pause=pause, ending=ending), then=answer_complete
    )
    await add_early_upstreams(world, behaviour)
    gateway = await world.add_gateway()
    reply = await send(gateway, "/lookup/1", body=UPLOAD)
    assert (reply.status, reply.complete) == (200, True)
    assert b" ran " in reply.body


@pytest.mark.parametrize("pause", PAUSES)
@pytest.mark.parametrize("ending", Ending, ids=lambda ending: ending.value)
async def test_a_stream_that_is_reset_during_the_upload_is_not_ended_as_complete(
    world: World, ending: Ending, pause: float
) -> None:
    behaviour = early_part(EVENT, STREAM_HEADER, pause=pause, ending=ending)
    await add_early_upstreams(world, behaviour, service=KITCHEN)
    gateway = await world.add_gateway()
    reply = await send(gateway, "/draft/1", body=UPLOAD)
    assert not (reply.status == 200 and reply.complete)
    assert reply.events in ([], [0])


@pytest.mark.parametrize("pause", PAUSES)
@pytest.mark.parametrize("ending", Ending, ids=lambda ending: ending.value)
async def test_a_reset_during_the_upload_is_an_error_to_every_user_of_the_http_client(
    ending: Ending, pause: float
) -> None:
    upstream = UpstreamStandin("i-1", service=LEDGER)
    upstream.behaviour = early_part(b"x" * 1000, pause=pause, ending=ending)
    upstream.reads_bodies = False
    await upstream.start()
    client = HttpClient()
    for _ in range(10):
        with pytest.raises(UpstreamLost):
            await fetch(
                client,
                address=upstream.address,
                method="POST",
                path="/",
                body=UPLOAD,
                timeout=CALL_TIMEOUT_SECONDS,
            )
    client.close()
    await upstream.stop()


async def test_a_reset_that_only_the_upload_notices_is_an_error_to_the_reader() -> None:
    """The reader of a large part is behind, so that its connection isn't read when it is reset."""
    upstream = UpstreamStandin("i-1", service=LEDGER)
    upstream.behaviour = early_part(b"x" * (4 * MEGABYTE), pause=0.2)
    upstream.reads_bodies = False
    await upstream.start()
    client = HttpClient()
    call = client.call(address=upstream.address, method="POST", path="/", body=UPLOAD)
    async with call as response:
        await asyncio.sleep(0.5)
        with pytest.raises(UpstreamLost):
            await response.body(idle_timeout=CALL_TIMEOUT_SECONDS)
    client.close()
    await upstream.stop()
