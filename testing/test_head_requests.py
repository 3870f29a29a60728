"""Tests of HEAD requests: each gets the head of an answer, and its connection lasts."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import platform_upstream as upstreams
import pytest
from gateway_builders import KITCHEN
from gateway_builders import World
from gateway_builders import open_world
from gateway_builders import read_reply
from gateway_builders import request_bytes
from platform_upstream import Call
from platform_upstream import UpstreamStandin

from baobabpulley.gateway.daemon import Gateway
from baobabpulley.platform import names

WAIT_SECONDS = 8.0


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


async def _answer_head(upstream: UpstreamStandin, call: Call) -> None:
    """Send the head of an answer whose body has 5 bytes; the body too unless HEAD asked."""
    head = call.head(200, f"{names.SEAL}: s", length=5)
    await call.write(head if call.method == "HEAD" else head + b"hello")


async def _answer_stream_head(upstream: UpstreamStandin, call: Call) -> None:
    await call.write(call.head(200, f"{names.SEAL}: s", "Content-Type: text/event-stream"))


async def _head(
    gateway: Gateway, path: str, *, then: str, key: str | None = "key-of-souk", **headers: str
) -> tuple[int, dict[str, str], int]:
    """Send HEAD and GET on one connection; return status and headers of HEAD, status of GET."""
    host, port = gateway.node.callers.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request_bytes(path, method="HEAD", body=b"", key=key, **headers))
    head = await asyncio.wait_for(read_reply(reader, has_body=False), WAIT_SECONDS)
    # If a body followed the head, this would read it as the beginning of the next answer.
    writer.write(request_bytes(then, method="GET", body=b""))
    reply = await asyncio.wait_for(read_reply(reader), WAIT_SECONDS)
    writer.close()
    return head.status, head.headers, reply.status


# Guards against review/5: the gateway's own answers to HEAD ended as a closed connection.
@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        pytest.param("/nowhere/1", "key-of-souk", 404, id="no-route"),
        pytest.param("/lookup/1", "key-of-nobody", 401, id="unknown-key"),
        pytest.param("/draft/1", "key-of-souk", 503, id="no-upstream"),
    ],
)
async def test_the_gateways_own_answer_to_head_has_no_body(
    world: World, path: str, key: str, status: int
) -> None:
    upstream = await world.add_upstream("i-1")
    upstream.behaviour = _answer_head
    gateway = await world.add_gateway()
    own, headers, following = await _head(gateway, path, then="/lookup/2", key=key)
    assert (own, following) == (status, 200)
    assert int(headers["content-length"]) > 0


async def test_a_head_request_that_outlasts_its_time_is_answered(world: World) -> None:
    upstream = await world.add_upstream("i-1")
    upstream.behaviour = upstreams.first_then(upstreams.stay_silent, then=_answer_head)
    gateway = await world.add_gateway()
    remaining = {names.REMAINING_MS: "300"}
    own, _, following = await _head(gateway, "/order/1", then="/order/2", **remaining)
    assert (own, following) == (504, 200)


async def test_a_head_request_beyond_the_header_limit_is_answered(world: World) -> None:
    await world.add_upstream("i-1")
    gateway = await world.add_gateway()
    host, port = gateway.node.callers.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request_bytes("/lookup/1", method="HEAD", body=b"", X_Long="x" * 20_000))
    answer = await asyncio.wait_for(reader.read(), WAIT_SECONDS)
    head, _, body = answer.partition(b"\r\n\r\n")
    assert (head.split(b" ")[1], body) == (b"431", b"")
    writer.close()


async def test_an_upstreams_answer_to_head_keeps_its_length(world: World) -> None:
    upstream = await world.add_upstream("i-1")
    upstream.behaviour = _answer_head
    gateway = await world.add_gateway()
    status, headers, following = await _head(gateway, "/lookup/1", then="/lookup/2")
    assert (status, following) == (200, 200)
    assert (headers["content-length"], names.SEAL.lower() in headers) == ("5", True)


async def test_head_of_a_streaming_route_is_answered(world: World) -> None:
    engine = await world.add_upstream("i-1", service=KITCHEN)
    engine.behaviour = _answer_stream_head
    upstream = await world.add_upstream("i-2")
    upstream.behaviour = _answer_head
    gateway = await world.add_gateway()
    status, headers, following = await _head(gateway, "/draft/1", then="/lookup/2")
    assert (status, following) == (200, 200)
    assert headers["content-type"] == "text/event-stream"
