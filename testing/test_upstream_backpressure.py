"""Tests of upstreams that refuse requests with 503 and a Retry-After."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import AsyncIterator
from pathlib import Path

import platform_upstream as upstreams
import pytest
from fair_clock import FairClock
from gateway_builders import KITCHEN
from gateway_builders import LEDGER
from gateway_builders import Reply
from gateway_builders import World
from gateway_builders import open_world
from gateway_builders import send
from gateway_builders import wait_until
from loguru import logger
from platform_upstream import Behaviour
from platform_upstream import Call
from platform_upstream import UpstreamStandin
from tornado.httputil import HTTPHeaders

from baobabpulley.gateway.daemon import Gateway
from baobabpulley.platform import names
from baobabpulley.platform.wire import PlatformWire
from baobabpulley.policy.upstream_backpressure import MAX_BACKPRESSURE_SECONDS
from baobabpulley.policy.upstream_backpressure import MIN_BACKPRESSURE_SECONDS
from baobabpulley.policy.upstream_backpressure import UNREADABLE_BACKPRESSURE_SECONDS
from baobabpulley.policy.upstream_backpressure import BackpressureWindows
from baobabpulley.policy.upstream_backpressure import backpressure_seconds

LONG_PROMPT = {names.TOKEN_COUNTS: "60000,100"}
PROMPT_WITH_TICKETS = {names.TOKEN_COUNTS: "300000,100"}


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


def refuse_for(seconds: float) -> Behaviour:
    """Return a behaviour that refuses with a Retry-After until it is over, and then answers."""
    end: list[float] = []

    async def run(upstream: UpstreamStandin, call: Call) -> None:
        if not end:
            end.append(time.monotonic() + seconds)
        left = end[0] - time.monotonic()
        if left > 0:
            await upstreams.refuse_with_retry_after(f"{left:.3f}")(upstream, call)
        else:
            await upstreams.answer_complete(upstream, call)

    return run


async def add_listed(
    world: World, gateway: Gateway, name: str, service: str = LEDGER
) -> UpstreamStandin:
    upstream = await world.add_upstream(name, service=service)
    upstream.behaviour = (
        upstreams.stream(events=3) if service == KITCHEN else upstreams.answer_complete
    )
    await wait_until(lambda: name in gateway.fleet_state.upstreams)
    return upstream


async def start_with_refusal(
    world: World, value: str, *, service: str = LEDGER
) -> tuple[Gateway, UpstreamStandin]:
    """Return a gateway, and its only upstream, which refused a request with a Retry-After."""
    upstream = await world.add_upstream("i-1", service=service)
    upstream.behaviour = upstreams.refuse_with_retry_after(value)
    gateway = await world.add_gateway()
    assert (await send(gateway, "/draft/7" if service == KITCHEN else "/order/7")).status == 503
    assert len(upstream.arrivals) == 1
    return gateway, upstream


async def send_many(gateway: Gateway, count: int, path: str = "/order/7") -> list[Reply]:
    """Send requests at once, so many that each upstream would get some of them."""
    return await asyncio.gather(*(send(gateway, path) for _ in range(count)))


async def test_an_upstream_gets_no_requests_until_its_retry_after_is_over(world: World) -> None:
    gateway, refusing = await start_with_refusal(world, "1.0")
    refused_at = refusing.arrivals[0].received_at
    refusing.behaviour = upstreams.answer_complete
    await add_listed(world, gateway, "i-2")
    while time.monotonic() < refused_at + 1.1:
        assert {reply.status for reply in await send_many(gateway, 12)} == {200}
    assert {reply.status for reply in await send_many(gateway, 12)} == {200}
    later = [call.received_at - refused_at for call in refusing.arrivals[1:]]
    assert later
    assert min(later) >= 1.0


async def test_a_third_of_the_upstreams_asks_for_a_pause_under_load(world: World) -> None:
    pausing = await world.add_upstream("i-1")
    pausing.behaviour = refuse_for(1.5)
    for name in ("i-2", "i-3"):
        await world.add_upstream(name)
    gateway = await world.add_gateway()
    statuses: list[int] = []
    end = time.monotonic() + 2.0

    async def call_repeatedly() -> None:
        while time.monotonic() < end:
            statuses.append((await send(gateway, "/order/7")).status)

    await asyncio.gather(*(call_repeatedly() for _ in range(20)))
    assert set(statuses) == {200}
    refused_at = pausing.arrivals[0].received_at
    times = [call.received_at - refused_at for call in pausing.arrivals]
    # The stand-in rounds the end to a millisecond.
    assert [at for at in times if 0.5 <= at < 1.499] == []
    assert max(times) > 1.5


@pytest.mark.parametrize("path", ["/order/7", "/lookup/7"])
@pytest.mark.parametrize("slack", [2.0, 0.0], ids=["budget", "no-budget"])
async def test_a_refused_request_goes_to_another_upstream_while_the_retry_budget_lasts(
    world: World, path: str, slack: float
) -> None:
    """The platform counts repeats that an upstream refuses, too."""
    for name in ("i-1", "i-2"):
        upstream = await world.add_upstream(name)
        upstream.behaviour = upstreams.first_then(
            upstreams.refuse_with_retry_after("5"), then=upstreams.answer_complete
        )
    shared = upstream.behaviour
    for upstream in world.upstreams.values():
        upstream.behaviour = shared
    gateway = await world.add_gateway()
    gateway.retry_budget.configure(ratio=0.0, slack=slack, window=10.0)
    reply = await send(gateway, path)
    assert reply.status == (200 if slack else 503)
    arrivals = sorted(len(upstream.arrivals) for upstream in world.upstreams.values())
    assert arrivals == ([1, 1] if slack else [0, 1])


async def test_a_retry_after_opens_no_circuit_and_counts_as_no_failure(world: World) -> None:
    gateway, refusing = await start_with_refusal(world, "0.3")
    for _ in range(5):
        await asyncio.sleep(0.32)
        assert (await send(gateway, "/order/7")).status == 503
    assert len(refusing.arrivals) == 6
    listed = list(gateway.fleet_state.upstreams.values())
    assert gateway.record.usable(listed) == listed
    assert gateway.record.has_no_record("i-1")


async def test_a_503_that_may_have_run_asks_for_a_pause_too(world: World) -> None:
    refusing = await world.add_upstream("i-1")
    refusing.behaviour = upstreams.fail_with_retry_after
    gateway = await world.add_gateway()
    reply = await send(gateway, "/order/7")
    # The upstream's own answer of an order that may have run is passed on as it is.
    assert (reply.status, reply.body, reply.headers["retry-after"]) == (503, b"busy", "5")
    await add_listed(world, gateway, "i-2")
    assert {reply.status for reply in await send_many(gateway, 12)} == {200}
    assert len(refusing.arrivals) == 1


async def test_a_503_that_may_have_run_counts_as_no_failure_when_it_is_retried(
    world: World,
) -> None:
    for name in ("i-1", "i-2"):
        await world.add_upstream(name)
    shared = upstreams.first_then(upstreams.fail_with_retry_after, then=upstreams.answer_complete)
    for upstream in world.upstreams.values():
        upstream.behaviour = shared
    gateway = await world.add_gateway()
    assert (await send(gateway, "/lookup/7")).status == 200
    assert all(gateway.record.has_no_record(name) for name in world.upstreams)


@pytest.mark.parametrize("status", [429, 500])
async def test_only_a_503_asks_for_a_pause(world: World, status: int) -> None:
    upstream = await world.add_upstream("i-1")
    upstream.behaviour = upstreams.refuse_with_retry_after("5", status=status)
    gateway = await world.add_gateway()
    await send(gateway, "/order/7")
    await send(gateway, "/order/7")
    assert len(upstream.arrivals) == 2


async def test_callers_are_refused_at_once_when_all_upstreams_asked_for_a_pause(
    world: World, stopped_clock: None
) -> None:
    for name, seconds in (("i-1", "0.8"), ("i-2", "20")):
        upstream = await world.add_upstream(name)
        upstream.behaviour = upstreams.refuse_with_retry_after(seconds)
    gateway = await world.add_gateway()
    clock = FairClock()
    # The first caller's attempts are used up when it turns out that all upstreams ask for a pause.
    first = await send(gateway, "/order/7")
    later = await send_many(gateway, 10)
    assert clock.seconds < 0.3
    assert {reply.status for reply in (first, *later)} == {503}
    delays = [float(reply.headers["retry-after"]) for reply in (first, *later)]
    # The earliest end, bounded by a third of the caller's time.
    assert all(0.8 <= delay <= 0.9 for delay in delays)
    assert sum(len(upstream.arrivals) for upstream in world.upstreams.values()) == 2


async def test_queued_callers_are_refused_when_all_upstreams_ask_for_a_pause(
    world: World, stopped_clock: None
) -> None:
    upstream = await world.add_upstream("i-1", slots=1)
    upstream.behaviour = upstreams.pause_first(0.3, upstreams.refuse_with_retry_after("2"))
    gateway = await world.add_gateway()
    clock = FairClock()
    replies = await send_many(gateway, 8)
    assert clock.seconds < 0.6
    assert {reply.status for reply in replies} == {503}
    assert len(upstream.arrivals) == 1


async def test_callers_that_wait_as_told_do_not_return_in_a_burst(world: World) -> None:
    upstream = await world.add_upstream("i-1")
    upstream.behaviour = refuse_for(0.4)
    gateway = await world.add_gateway()
    # When callers are told to return: a timer that is late would put them together.
    returns: list[float] = []

    async def call_until_served() -> None:
        while (reply := await send(gateway, "/order/7")).status == 503:
            delay = float(reply.headers["retry-after"])
            returns.append(time.monotonic() + delay)
            await asyncio.sleep(delay)
        assert reply.status == 200

    await asyncio.gather(*(call_until_served() for _ in range(60)))
    assert len(returns) >= 60
    assert max(sum(at <= other < at + 0.05 for other in returns) for at in returns) < 30
    assert max(returns) - min(returns) > 0.2


async def test_what_runs_on_a_pausing_upstream_ends_undisturbed(world: World) -> None:
    upstream = await world.add_upstream("i-1", service=KITCHEN)
    running_stream = upstreams.stream(events=4, pause_after=2, pause=0.5)
    refusal = upstreams.refuse_with_retry_after("5")
    upstream.behaviour = upstreams.first_then(running_stream, then=refusal)
    gateway = await world.add_gateway()
    running = asyncio.create_task(send(gateway, "/draft/7"))
    await wait_until(lambda: len(upstream.journal) == 1)
    assert (await send(gateway, "/draft/8")).status == 503
    reply = await running
    assert (reply.complete, reply.events) == (True, [0, 1, 2, 3])


async def test_a_stream_is_not_resumed_on_an_upstream_that_asked_for_a_pause(world: World) -> None:
    gateway, pausing = await start_with_refusal(world, "5", service=KITCHEN)
    pausing.behaviour = upstreams.stream(events=5)
    other = await add_listed(world, gateway, "i-2", KITCHEN)
    other.behaviour = upstreams.stream(events=5, breaks_after=2)
    reply = await send(gateway, "/draft/7")
    assert (reply.complete, reply.events, len(pausing.arrivals)) == (False, [0, 1], 1)


@pytest.mark.parametrize("prompt", [LONG_PROMPT, PROMPT_WITH_TICKETS], ids=["chunks", "tickets"])
async def test_an_engine_that_asked_for_a_pause_gets_no_chunk_and_no_reservation(
    world: World, prompt: dict[str, str]
) -> None:
    gateway, pausing = await start_with_refusal(world, "5", service=KITCHEN)
    engines = [await add_listed(world, gateway, f"i-{number}", KITCHEN) for number in range(2, 5)]
    reply = await send(gateway, "/draft/7", **prompt)
    assert (reply.status, reply.events) == (200, [0, 1, 2])
    (call,) = [call for engine in engines for call in engine.journal]
    assert pausing.address not in call.headers[names.HELPERS.lower()]
    assert (len(pausing.arrivals), pausing.orders) == (1, [])


async def test_an_engine_that_refuses_a_reservation_with_a_retry_after_gets_nothing(
    world: World,
) -> None:
    gateway = await world.add_gateway()
    engines = [await add_listed(world, gateway, f"i-{number}", KITCHEN) for number in range(4)]
    for engine in engines:
        engine.order_delay_seconds = 0.1
    request = asyncio.create_task(send(gateway, "/draft/7", **PROMPT_WITH_TICKETS))
    await wait_until(lambda: any(engine.orders for engine in engines))
    pausing = next(engine for engine in engines if engine.orders)
    pausing.order_status = 503
    pausing.response_headers.append("Retry-After: 5")
    assert (await request).events == [0, 1, 2]
    again = await send(gateway, "/draft/7", **PROMPT_WITH_TICKETS)
    assert again.events == [0, 1, 2]
    reservations = [order for order in pausing.orders if order["operation"] == "reserve"]
    assert (pausing.arrivals, len(reservations)) == ([], 1)
    value = gateway.metrics.registry.get_sample_value
    assert value("baobab_gateway_upstreams_backpressured") == 1


async def test_an_engine_that_blames_a_helper_is_the_one_that_asked_for_a_pause(
    world: World,
) -> None:
    gateway = await world.add_gateway()
    engines = [await add_listed(world, gateway, f"i-{number}", KITCHEN) for number in range(4)]

    async def blame_first_helper(upstream: UpstreamStandin, call: Call) -> None:
        helper = call.headers[names.HELPERS.lower()].split(",")[0]
        await upstreams.refuse_with_retry_after("5", f"{names.AT_SERVER}: {helper}")(upstream, call)

    shared = upstreams.first_then(blame_first_helper, then=upstreams.stream(events=3))
    for engine in engines:
        engine.behaviour = shared
    reply = await send(gateway, "/draft/7", **LONG_PROMPT)
    assert (reply.status, reply.events) == (200, [0, 1, 2])
    refused, served = (engine for engine in engines if engine.arrivals)
    if served.journal == []:
        refused, served = served, refused
    assert len(refused.arrivals) == 1
    assert refused.address not in served.journal[0].headers[names.HELPERS.lower()]
    listed = list(gateway.fleet_state.upstreams.values())
    assert gateway.record.usable(listed) == listed


async def test_a_retry_after_is_logged_and_counted_while_it_lasts(world: World) -> None:
    lines: list[dict[str, object]] = []
    sink = logger.add(lambda message: lines.append(dict(message.record["extra"])))
    gateway, _ = await start_with_refusal(world, "99999999")
    logger.remove(sink)
    (line,) = [line for line in lines if line.get("event") == "upstream_backpressure"]
    assert (line["upstream"], line["service"]) == ("i-1", LEDGER)
    assert (line["asked"], line["seconds"]) == (99999999.0, MAX_BACKPRESSURE_SECONDS)
    value = gateway.metrics.registry.get_sample_value
    assert value("baobab_gateway_upstreams_backpressured") == 1
    labels = {"service": LEDGER, "outcome": "upstream_backpressure"}
    assert value("baobab_gateway_attempts_total", labels) == 1


async def test_nothing_is_kept_of_a_pausing_upstream_that_was_removed(world: World) -> None:
    gateway, _ = await start_with_refusal(world, "20")
    world.store.delete(names.UPSTREAM_PREFIX + "i-1")
    await wait_until(lambda: not gateway.fleet_state.upstreams)
    value = gateway.metrics.registry.get_sample_value
    assert value("baobab_gateway_upstreams_backpressured") == 0


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("3", 3.0),
        (" 2 ", 2.0),
        ("0.75", 0.75),
        ("0", MIN_BACKPRESSURE_SECONDS),
        ("-5", MIN_BACKPRESSURE_SECONDS),
        ("86400", MAX_BACKPRESSURE_SECONDS),
        ("9" * 400, MAX_BACKPRESSURE_SECONDS),
        ("Fri, 31 Dec 2027 23:59:59 GMT", UNREADABLE_BACKPRESSURE_SECONDS),
        ("", UNREADABLE_BACKPRESSURE_SECONDS),
        ("soon", UNREADABLE_BACKPRESSURE_SECONDS),
        ("nan", UNREADABLE_BACKPRESSURE_SECONDS),
        ("inf", UNREADABLE_BACKPRESSURE_SECONDS),
        ("1e3", UNREADABLE_BACKPRESSURE_SECONDS),
        ("1_0", UNREADABLE_BACKPRESSURE_SECONDS),
        ("3, 4", UNREADABLE_BACKPRESSURE_SECONDS),
    ],
)
def test_any_value_of_a_retry_after_is_bounded(text: str, seconds: float) -> None:
    head = PlatformWire().parse_response_head(503, HTTPHeaders({"Retry-After": text}))
    assert head.retry_after is not None
    assert backpressure_seconds(head.retry_after) == seconds


def test_a_response_without_a_retry_after_asks_for_no_pause() -> None:
    wire = PlatformWire()
    assert wire.parse_response_head(503, HTTPHeaders()).retry_after is None
    assert wire.parse_response_head(429, HTTPHeaders({"Retry-After": "3"})).retry_after is None


def test_the_latest_end_of_several_retry_afters_holds() -> None:
    windows = BackpressureWindows()
    assert windows.record("i-1", seconds=5.0, now=10.0)
    assert not windows.record("i-1", seconds=1.0, now=11.0)
    assert windows.seconds_left("i-1", now=12.0) == 3.0
    assert windows.upstreams(now=14.9) == {"i-1"}
    assert windows.upstreams(now=15.0) == frozenset()
    assert windows.seconds_left("i-1", now=15.0) == 0.0
    assert windows.record("i-1", seconds=math.pi, now=16.0)


def test_the_windows_of_upstreams_are_independent() -> None:
    windows = BackpressureWindows()
    windows.record("i-1", seconds=5.0, now=10.0)
    windows.record("i-2", seconds=1.0, now=10.0)
    assert windows.upstreams(now=10.5) == {"i-1", "i-2"}
    assert windows.upstreams(now=11.5) == {"i-1"}
    windows.forget("i-1")
    assert windows.upstreams(now=11.5) == frozenset()
