"""Tests of streams whose event ids increase with gaps, aren't numbers, or are missing."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import platform_upstream as upstreams
import pytest
from gateway_builders import KITCHEN
from gateway_builders import World
from gateway_builders import configuration
from gateway_builders import open_world
from gateway_builders import route
from gateway_builders import send

from baobabpulley.gateway.event_stream import StreamProgress
from baobabpulley.platform import names

# As an upstream numbers its events that counts the tokens so far.
TOKENS_PER_EVENT = 43


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


def _ids(count: int) -> list[int]:
    return list(range(TOKENS_PER_EVENT, (count + 1) * TOKENS_PER_EVENT, TOKENS_PER_EVENT))


def _counting_tokens(**options: int) -> upstreams.Behaviour:
    return upstreams.stream(first=TOKENS_PER_EVENT, step=TOKENS_PER_EVENT, **options)


# Guards against review/3: a gap between two ids was taken for missing events, and the stream cut.
@pytest.mark.parametrize("resumable", [True, False])
async def test_a_stream_whose_ids_increase_with_gaps_is_not_cut(
    world: World, resumable: bool
) -> None:
    routes = [route("/draft/", KITCHEN, names.KIND_STREAM, **{"resumable-streams": resumable})]
    world.store.put(names.CONFIGURATION_KEY, configuration(2, routes=routes))
    upstream = await world.add_upstream("i-1", service=KITCHEN)
    upstream.behaviour = _counting_tokens(events=8)
    gateway = await world.add_gateway()
    reply = await send(gateway, "/draft/1")
    assert (reply.complete, reply.events) == (True, _ids(8))
    assert len(upstream.journal) == 1


# Guards against review/3: the same, as the next upstream goes on behind a gap.
async def test_a_stream_with_gaps_is_resumed_behind_the_last_event(world: World) -> None:
    breaking = _counting_tokens(events=8, breaks_after=3)
    behaviour = upstreams.first_then(breaking, then=_counting_tokens(events=8))
    for name in ("i-1", "i-2"):
        upstream = await world.add_upstream(name, service=KITCHEN)
        upstream.behaviour = behaviour
    gateway = await world.add_gateway()
    reply = await send(gateway, "/draft/1")
    assert (reply.complete, reply.events) == (True, _ids(8))


def test_each_event_is_passed_on_once_whatever_the_gap_before_it() -> None:
    progress = StreamProgress("3")
    assert not progress.accept(b"id: 3\ndata: x\n\n")
    assert progress.accept(b"id: 4\ndata: x\n\n")
    assert not progress.accept(b"id: 4\ndata: x\n\n")
    assert progress.accept(b"id: 6\ndata: x\n\n")
    assert not progress.accept(b"id: 5\ndata: x\n\n")
    assert progress.last_event == "6"
