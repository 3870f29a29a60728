"""Tests of sound upstreams that fall silent for a second and then go on."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator
from pathlib import Path

import platform_upstream as upstreams
import pytest
from fair_clock import FairClock
from gateway_builders import KITCHEN
from gateway_builders import LEDGER
from gateway_builders import World
from gateway_builders import configuration
from gateway_builders import open_world
from gateway_builders import send
from gateway_builders import wait_until
from platform_upstream import Behaviour
from platform_upstream import Call

from baobabpulley.gateway.daemon import Gateway
from baobabpulley.platform import names

# Longer than the silence after which a gateway looks for another upstream.
PAUSE_SECONDS = 1.4
PAUSING_STREAM = upstreams.stream(events=4, pause_after=2, pause=PAUSE_SECONDS)
ALL_EVENTS = [0, 1, 2, 3]


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


async def add_engines(world: World, *behaviours: Behaviour, slots: int = 8) -> None:
    for number, behaviour in enumerate(behaviours, start=1):
        engine = await world.add_upstream(f"i-{number}", service=KITCHEN, slots=slots)
        engine.behaviour = behaviour


def spend_retry_budget(gateway: Gateway) -> None:
    gateway.retry_budget.configure(ratio=0.0, slack=0.0, window=10.0)


def calls(world: World) -> list[Call]:
    return [call for upstream in world.upstreams.values() for call in upstream.journal]


async def test_a_stream_is_not_cut_during_a_pause_when_the_retry_budget_is_spent(
    world: World,
) -> None:
    await add_engines(world, PAUSING_STREAM, PAUSING_STREAM)
    gateway = await world.add_gateway()
    spend_retry_budget(gateway)
    reply = await send(gateway, "/draft/7")
    assert (reply.status, reply.complete, reply.events) == (200, True, ALL_EVENTS)
    assert len(calls(world)) == 1


async def test_a_stream_is_not_cut_during_a_pause_when_no_other_engine_has_a_slot(
    world: World,
) -> None:
    await add_engines(world, PAUSING_STREAM, PAUSING_STREAM, slots=1)
    gateway = await world.add_gateway()
    replies = await asyncio.gather(*(send(gateway, "/draft/7") for _ in range(2)))
    assert [(reply.complete, reply.events) for reply in replies] == [(True, ALL_EVENTS)] * 2


@pytest.mark.parametrize(
    "other",
    [
        pytest.param(upstreams.refuse_unexecuted, id="refuses"),
        pytest.param(upstreams.reset_after_run, id="resets"),
        pytest.param(upstreams.stay_silent, id="silent"),
    ],
)
async def test_a_stream_goes_on_after_a_pause_when_its_replacement_fails(
    world: World, other: Behaviour
) -> None:
    behaviour = upstreams.first_then(PAUSING_STREAM, then=other)
    await add_engines(world, behaviour, behaviour)
    gateway = await world.add_gateway()
    reply = await send(gateway, "/draft/7")
    assert (reply.status, reply.complete, reply.events) == (200, True, ALL_EVENTS)


async def test_a_stream_goes_on_after_a_pause_in_which_its_route_was_removed(world: World) -> None:
    await add_engines(world, PAUSING_STREAM, PAUSING_STREAM)
    gateway = await world.add_gateway()
    request = asyncio.create_task(send(gateway, "/draft/7"))
    await wait_until(lambda: len(calls(world)) == 1)
    world.store.put(names.CONFIGURATION_KEY, configuration(2, routes=[], services=[]))
    for name, engine in world.upstreams.items():
        world.store.put(names.UPSTREAM_PREFIX + name, engine.entry(state=names.STATE_DRAINING))
    reply = await request
    assert (reply.complete, reply.events) == (True, ALL_EVENTS)


async def test_no_stream_is_cut_when_all_engines_pause_at_once(world: World) -> None:
    await add_engines(world, *[PAUSING_STREAM] * 3, slots=4)
    gateway = await world.add_gateway()
    replies = await asyncio.gather(*(send(gateway, "/draft/7") for _ in range(12)))
    assert {(reply.status, reply.complete) for reply in replies} == {(200, True)}
    assert {tuple(reply.events) for reply in replies} == {tuple(ALL_EVENTS)}


async def test_an_answer_that_resumes_before_its_replacement_answers_is_delivered(
    world: World,
) -> None:
    slow = upstreams.pause_first(30.0, upstreams.stream(events=4))
    behaviour = upstreams.first_then(PAUSING_STREAM, then=slow)
    await add_engines(world, behaviour, behaviour)
    gateway = await world.add_gateway()
    clock = FairClock()
    reply = await send(gateway, "/draft/7")
    assert (reply.complete, reply.events) == (True, ALL_EVENTS)
    assert clock.seconds < PAUSE_SECONDS + 0.3
    assert len(calls(world)) == 2
    await wait_until(lambda: sum(engine.early_closes for engine in world.upstreams.values()) == 1)
    listed = list(gateway.fleet_state.upstreams.values())
    assert gateway.record.usable(listed) == listed


async def test_a_stream_is_resumed_on_another_engine_while_the_first_stays_silent(
    world: World,
) -> None:
    silent = upstreams.stream(events=4, pause_after=2, pause=30.0)
    behaviour = upstreams.first_then(silent, then=upstreams.stream(events=4))
    await add_engines(world, behaviour, behaviour)
    gateway = await world.add_gateway()
    clock = FairClock()
    reply = await send(gateway, "/draft/7")
    assert (reply.complete, reply.events) == (True, ALL_EVENTS)
    assert clock.seconds < 1.3
    await wait_until(lambda: sum(engine.early_closes for engine in world.upstreams.values()) == 1)


async def test_an_answer_that_has_not_begun_survives_a_pause_without_a_retry_budget(
    world: World,
) -> None:
    engine = await world.add_upstream("i-1", service=KITCHEN)
    engine.behaviour = upstreams.pause_first(PAUSE_SECONDS, upstreams.stream(events=4))
    service = await world.add_upstream("i-2", service=LEDGER)
    service.behaviour = upstreams.pause_first(1.7, upstreams.answer_complete)
    gateway = await world.add_gateway()
    spend_retry_budget(gateway)
    replies = await asyncio.gather(
        *(send(gateway, path) for path in ("/draft/7", "/lookup/7", "/order/7"))
    )
    assert [(reply.status, reply.complete) for reply in replies] == [(200, True)] * 3
    assert len(calls(world)) == 3


async def test_an_order_is_never_sent_again_during_a_pause(world: World) -> None:
    for number in range(2):
        upstream = await world.add_upstream(f"i-{number}")
        upstream.behaviour = upstreams.pause_first(2.4, upstreams.answer_complete)
    gateway = await world.add_gateway()
    reply = await send(gateway, "/order/7")
    assert (reply.status, reply.complete, len(calls(world))) == (200, True, 1)


async def test_an_idempotent_call_is_answered_by_whichever_upstream_answers_first(
    world: World,
) -> None:
    pauses = itertools.count()

    async def pause_once(upstream: upstreams.UpstreamStandin, call: Call) -> None:
        seconds = 2.0 if next(pauses) == 0 else 30.0
        await upstreams.pause_first(seconds, upstreams.answer_complete)(upstream, call)

    for number in range(2):
        upstream = await world.add_upstream(f"i-{number}")
        upstream.behaviour = pause_once
    gateway = await world.add_gateway()
    reply = await send(gateway, "/lookup/7")
    assert (reply.status, reply.complete, len(calls(world))) == (200, True, 2)


async def test_attempts_that_replace_silent_ones_stay_within_the_limit_of_the_route(
    world: World,
) -> None:
    await add_engines(world, *[upstreams.stay_silent] * 4)
    gateway = await world.add_gateway()
    reply = await send(gateway, "/draft/7")
    assert reply.status == 504
    assert len(calls(world)) == 2


async def test_a_caller_that_leaves_ends_both_attempts(world: World) -> None:
    await add_engines(world, *[upstreams.stay_silent] * 2)
    gateway = await world.add_gateway()
    request = asyncio.create_task(send(gateway, "/draft/7"))
    await wait_until(lambda: len(calls(world)) == 2)
    request.cancel()
    await wait_until(
        lambda: sum(engine.early_closes for engine in world.upstreams.values()) == 2, seconds=0.5
    )
    assert gateway.listener.active_requests == 0


async def test_a_silent_attempt_that_is_refused_after_all_is_reported_as_not_run(
    world: World,
) -> None:
    await add_engines(world, upstreams.pause_first(PAUSE_SECONDS, upstreams.refuse_unexecuted))
    gateway = await world.add_gateway()
    assert (await send(gateway, "/draft/7")).status == 503


async def test_an_attempt_that_fails_after_its_silence_is_counted_once(world: World) -> None:
    await add_engines(world, upstreams.pause_first(PAUSE_SECONDS, upstreams.reset_after_run))
    gateway = await world.add_gateway()
    spend_retry_budget(gateway)
    assert (await send(gateway, "/draft/7")).status == 502
    listed = list(gateway.fleet_state.upstreams.values())
    # The first loss keeps an upstream from work for 1 s, a second one in a row for 2 s.
    await wait_until(lambda: gateway.record.usable(listed) == listed, seconds=1.2)


async def test_a_silent_attempt_is_not_replaced_when_too_little_time_is_left(world: World) -> None:
    await add_engines(world, *[upstreams.stay_silent] * 2)
    gateway = await world.add_gateway()
    reply = await send(gateway, "/draft/7", **{names.REMAINING_MS: "1070"})
    assert (reply.status, len(calls(world))) == (504, 1)
