"""Tests of upstreams whose answers have a sound head and a body that isn't framed as it says."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from gateway_builders import World
from gateway_builders import open_world
from gateway_builders import send
from platform_upstream import answer_complete
from platform_upstream import first_then
from platform_upstream import raw_answer
from raw_answers import CHUNKED_BODY
from raw_answers import LENGTH_LINE
from raw_answers import answer
from raw_answers import chunked

from baobabpulley.platform import names

BROKEN_BODIES = {
    "shorter-than-its-length": answer(lines=(b"Content-Length: 7",)),
    "of-a-204": answer(status_line=b"HTTP/1.1 204 Answer"),
    "coding-and-length": answer(
        lines=(b"Transfer-Encoding: chunked", LENGTH_LINE), body=CHUNKED_BODY
    ),
    "two-codings": answer(lines=(b"Transfer-Encoding: gzip, chunked",), body=CHUNKED_BODY),
    "identity": answer(lines=(b"Transfer-Encoding: identity",)),
    "word-for-a-size": chunked(b"zz\r\nbroken\r\n0\r\n\r\n"),
    "no-size": chunked(b"\r\nbroken\r\n0\r\n\r\n"),
    "blank-behind-a-size": chunked(b"6 \r\nbroken\r\n0\r\n\r\n"),
    "signed-size": chunked(b"+6\r\nbroken\r\n0\r\n\r\n"),
    "underscore-in-a-size": chunked(b"0_6\r\nbroken\r\n0\r\n\r\n"),
    "size-of-71-digits": chunked(b"0" * 70 + b"6\r\nbroken\r\n0\r\n\r\n"),
    "lf-behind-a-size": chunked(b"6\nbroken\r\n0\r\n\r\n"),
    "no-line-end-behind-a-chunk": chunked(b"6\r\nbrokenxx0\r\n\r\n"),
    "no-last-chunk": chunked(b"6\r\nbroken\r\n"),
    "no-end-of-the-last-chunk": chunked(b"6\r\nbroken\r\n0\r\nxx"),
}
BROKEN = [pytest.param(data, id=name) for name, data in BROKEN_BODIES.items()]


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


@pytest.mark.parametrize("broken", BROKEN)
async def test_a_broken_body_is_no_answer_to_a_request_that_may_run_once(
    world: World, broken: bytes
) -> None:
    upstream = await world.add_upstream("i-1")
    upstream.behaviour = raw_answer(broken)
    gateway = await world.add_gateway()
    reply = await send(gateway, "/order/1")
    assert (reply.status, reply.complete) == (502, True)
    assert names.SEAL.lower() not in reply.headers
    assert len(upstream.journal) == 1


@pytest.mark.parametrize("broken", BROKEN)
async def test_a_broken_body_is_followed_by_another_upstreams_answer(
    world: World, broken: bytes
) -> None:
    behaviour = first_then(raw_answer(broken), then=answer_complete)
    for number in range(2):
        upstream = await world.add_upstream(f"i-{number}")
        upstream.behaviour = behaviour
    gateway = await world.add_gateway()
    reply = await send(gateway, "/lookup/1")
    assert (reply.status, reply.complete) == (200, True)
    assert b" ran " in reply.body
