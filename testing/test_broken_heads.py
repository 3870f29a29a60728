"""Tests of upstreams whose answers have a broken head: nothing of it may reach a caller."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from gateway_builders import KITCHEN
from gateway_builders import LEDGER
from gateway_builders import World
from gateway_builders import open_world
from gateway_builders import send
from platform_upstream import Behaviour
from platform_upstream import Call
from platform_upstream import UpstreamStandin
from platform_upstream import answer_complete
from platform_upstream import first_then
from platform_upstream import raw_answer
from platform_upstream import unframed_stream
from raw_answers import BODY
from raw_answers import CHUNKED_BODY
from raw_answers import LENGTH_LINE
from raw_answers import STATUS_LINE
from raw_answers import answer
from raw_answers import line
from raw_answers import status

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch
from baobabpulley.errors import UpstreamLost
from baobabpulley.platform import names

CALL_TIMEOUT_SECONDS = 3.0
BROKEN_STATUSES = {
    text.decode(): status(text)
    for text in (b"000", b"001", b"042", b"099", b"600", b"999", b"20", b"2000", b"+20", b" 200")
}
BROKEN_STATUS_LINES = {
    "version-2.0": answer(status_line=b"HTTP/2.0 200 Answer"),
    "version-0.9": answer(status_line=b"HTTP/0.9 200 Answer"),
    "lower-case": answer(status_line=b"http/1.1 200 Answer"),
    "nul-in-the-reason": answer(status_line=STATUS_LINE + b"\x00"),
    "blank-before-the-status-line": b" " + answer(),
}
BROKEN_FIELDS = {
    "blank": line(b"X Note: 1"),
    "blank-before-colon": line(b"X-Note : 1"),
    "blank-first": line(b" X-Note: 1"),
    "tab": line(b"X\tNote: 1"),
    "tab-first": line(b"\tX-Note: 1"),
    "nul": line(b"X\x00Note: 1"),
    "control": line(b"X-Note\x01: 1"),
    "vertical-tab": line(b"X\x0bNote: 1"),
    "delete": line(b"X\x7fNote: 1"),
    "next-line": line(b"X\x85Note: 1"),
    "cr": line(b"X\rNote: 1"),
    "cr-first": line(b"\rX-Note: 1"),
    "lf": line(b"X\nNote: 1"),
    "lf-before-colon": line(b"X-Note\n: 1"),
    "no-name": line(b": 1"),
    "no-colon": line(b"X-Note"),
    "blank-in-the-length": answer(lines=(b"Content-Length : 3",)),
    "blank-in-the-coding": answer(lines=(b"Transfer-Encoding : chunked",), body=CHUNKED_BODY),
    "nul-in-a-value": line(b"X-Note: a\x00b"),
    "cr-behind-a-value": line(b"X-Note: 1\r"),
}
# Names and values that hold an LF or CR, so that two parsers could see other lines.
BROKEN_LINE_ENDS = {
    "lf-first": line(b"\nX-Note: 1"),
    "two-lf-first": line(b"\n\nX-Note: 1"),
    "lf-first-behind-the-length": answer(lines=(LENGTH_LINE, b"\nX-Note: 1")),
    "lf-before-the-length": answer(lines=(b"\nContent-Length: 6",)),
    "lf-before-the-coding": answer(lines=(b"\nTransfer-Encoding: chunked",), body=CHUNKED_BODY),
    "lf-in-a-value": answer(lines=(b"X-Note: 1\nContent-Length: 3",)),
    "lf-behind-a-value": answer(lines=(b"X-Note: 1\n", LENGTH_LINE)),
    "cr-behind-the-status-line": answer(status_line=STATUS_LINE + b"\r"),
    "lf-behind-the-status-line": answer(status_line=STATUS_LINE + b"\n"),
    "lf-only": answer().replace(b"\r\n", b"\n"),
}
BROKEN_LENGTHS = {
    "lengths-differ": answer(lines=(LENGTH_LINE, b"Content-Length: 5")),
    "length-list": answer(lines=(b"Content-Length: 6, 5",)),
    "negative-length": answer(lines=(b"Content-Length: -6",)),
    "signed-length": answer(lines=(b"Content-Length: +6",)),
    "superscript-length": answer(lines=(b"Content-Length: \xb2",)),
    "word-for-length": answer(lines=(b"Content-Length: six",)),
    "empty-length": answer(lines=(b"Content-Length:",)),
    "length-of-20-digits": answer(lines=(b"Content-Length: " + b"9" * 20,)),
    "length-of-5000-digits": answer(lines=(b"Content-Length: " + b"9" * 5000,)),
}
BROKEN_HEADS = [
    pytest.param(head, id=name)
    for name, head in {
        **BROKEN_STATUSES,
        **BROKEN_STATUS_LINES,
        **BROKEN_FIELDS,
        **BROKEN_LINE_ENDS,
        **BROKEN_LENGTHS,
    }.items()
]


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


async def add_upstreams(world: World, behaviour: Behaviour, *, service: str = LEDGER) -> None:
    for number in range(2):
        upstream = await world.add_upstream(f"i-{service}-{number}", service=service)
        upstream.behaviour = behaviour


def calls(world: World) -> list[Call]:
    return [call for upstream in world.upstreams.values() for call in upstream.journal]


@pytest.mark.parametrize("broken", BROKEN_HEADS)
async def test_a_broken_head_is_no_answer_to_a_request_that_may_run_once(
    world: World, broken: bytes
) -> None:
    await add_upstreams(world, raw_answer(broken))
    gateway = await world.add_gateway()
    reply = await send(gateway, "/order/1")
    assert (reply.status, reply.complete) == (502, True)
    assert names.SEAL.lower() not in reply.headers
    assert BODY not in reply.body
    assert b"Note" not in reply.body
    assert len(calls(world)) == 1


@pytest.mark.parametrize("broken", BROKEN_HEADS)
async def test_a_broken_head_is_no_answer_to_a_head_request(world: World, broken: bytes) -> None:
    await add_upstreams(world, raw_answer(broken.removesuffix(BODY)))
    gateway = await world.add_gateway()
    reply = await send(gateway, "/order/1", method="HEAD", body=b"")
    assert reply.status == 502
    assert names.SEAL.lower() not in reply.headers


@pytest.mark.parametrize("broken", BROKEN_HEADS)
async def test_a_broken_head_is_followed_by_another_upstreams_answer(
    world: World, broken: bytes
) -> None:
    await add_upstreams(world, first_then(raw_answer(broken), then=answer_complete))
    gateway = await world.add_gateway()
    reply = await send(gateway, "/lookup/1")
    second = max(calls(world), key=lambda call: call.received_at)
    assert (reply.status, reply.complete) == (200, True)
    assert reply.body == f"{second.upstream.name} ran {second.attempt}".encode()
    assert len(calls(world)) == 2


@pytest.mark.parametrize("broken", BROKEN_HEADS)
async def test_a_stream_with_a_broken_head_begins_at_another_upstream(
    world: World, broken: bytes
) -> None:
    behaviour = first_then(raw_answer(broken), then=unframed_stream(events=4))
    await add_upstreams(world, behaviour, service=KITCHEN)
    gateway = await world.add_gateway()
    reply = await send(gateway, "/draft/1")
    assert (reply.status, reply.complete, reply.events) == (200, True, [0, 1, 2, 3])
    assert BODY not in reply.body


@pytest.mark.parametrize("broken", BROKEN_HEADS)
async def test_a_broken_head_is_an_error_to_every_user_of_the_http_client(broken: bytes) -> None:
    """The store, peers, engines and services are called by the same client."""
    upstream = UpstreamStandin("i-1", service=LEDGER)
    upstream.behaviour = raw_answer(broken)
    await upstream.start()
    client = HttpClient()
    with pytest.raises(UpstreamLost):
        await fetch(
            client,
            address=upstream.address,
            method="GET",
            path="/",
            headers={names.EXPECTED_INSTANCE: upstream.name},
            timeout=CALL_TIMEOUT_SECONDS,
        )
    assert len(upstream.journal) == 1
    assert client.idle_count(upstream.address) == 0
    client.close()
    await upstream.stop()


@pytest.mark.parametrize("code", [200, 299, 404, 500, 599])
async def test_statuses_of_http_reach_callers(world: World, code: int) -> None:
    await add_upstreams(world, raw_answer(status(b"%d" % code)))
    gateway = await world.add_gateway()
    reply = await send(gateway, "/order/1")
    assert (reply.status, reply.body, reply.complete) == (code, BODY, True)


async def test_a_length_that_is_repeated_reaches_callers_once(world: World) -> None:
    await add_upstreams(world, raw_answer(answer(lines=(LENGTH_LINE, LENGTH_LINE))))
    gateway = await world.add_gateway()
    for method in ("POST", "HEAD"):
        reply = await send(gateway, "/order/1", method=method)
        assert (reply.status, reply.headers["content-length"]) == (200, "6")


@pytest.mark.parametrize("pause", [0.0, 0.05], ids=["same-segment", "later"])
@pytest.mark.parametrize("code", [100, 102, 103, 199])
async def test_an_interim_response_is_not_taken_for_the_answer(
    world: World, code: int, pause: float
) -> None:
    async def announce(upstream: UpstreamStandin, call: Call) -> None:
        await call.write(call.head(code, f"{names.SEAL}: early", f"{names.NOT_EXECUTED}: 1"))
        await asyncio.sleep(pause)
        await call.write(call.sealed(b"the answer"))

    await add_upstreams(world, announce)
    gateway = await world.add_gateway()
    for path in ("/order/1", "/lookup/2", "/order/3"):
        reply = await send(gateway, path)
        assert (reply.status, reply.body, reply.complete) == (200, b"the answer", True)
        assert reply.headers[names.SEAL.lower()] != "early"
        assert names.NOT_EXECUTED.lower() not in reply.headers
    assert len(calls(world)) == 3


@pytest.mark.parametrize("pause", [0.0, 0.05], ids=["same-segment", "later"])
async def test_a_stream_behind_an_interim_response_is_whole(world: World, pause: float) -> None:
    async def announce(upstream: UpstreamStandin, call: Call) -> None:
        await call.write(call.head(103, f"{names.SEAL}: early", "Content-Type: text/plain"))
        await asyncio.sleep(pause)
        await unframed_stream(events=4)(upstream, call)

    await add_upstreams(world, announce, service=KITCHEN)
    gateway = await world.add_gateway()
    reply = await send(gateway, "/draft/1")
    assert (reply.status, reply.complete, reply.events) == (200, True, [0, 1, 2, 3])
    assert len(calls(world)) == 1


@pytest.mark.parametrize("ending", ["closed", "without-end"])
@pytest.mark.parametrize("path", ["/order/1", "/draft/1"])
async def test_interim_responses_alone_are_no_answer(world: World, path: str, ending: str) -> None:
    async def only_announce(upstream: UpstreamStandin, call: Call) -> None:
        announcement = call.head(100, f"{names.SEAL}: early", "Content-Type: text/event-stream")
        await call.write(announcement)
        while ending == "without-end" and not call.writer.is_closing():
            await call.write(announcement)
            await asyncio.sleep(0)
        call.close()

    await add_upstreams(world, only_announce)
    await add_upstreams(world, only_announce, service=KITCHEN)
    gateway = await world.add_gateway()
    reply = await send(gateway, path)
    assert (reply.status, reply.complete) == (502, True)
    assert names.SEAL.lower() not in reply.headers


async def test_a_change_of_protocols_that_nobody_asked_for_is_no_answer(world: World) -> None:
    switch = answer(status_line=b"HTTP/1.1 101 Answer", lines=(b"Upgrade: other",), body=b"")
    await add_upstreams(world, raw_answer(switch + answer()))
    gateway = await world.add_gateway()
    reply = await send(gateway, "/order/1")
    assert (reply.status, reply.complete) == (502, True)
    assert names.SEAL.lower() not in reply.headers
