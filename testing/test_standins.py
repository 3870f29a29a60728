"""The engine stand-in: memory, refusals, cache eviction, load lag, faults and fencing."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable

import msgspec
import pytest
from builders import MODEL
from builders import WAIT_SECONDS
from builders import make_call
from builders import wait_until

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch
from baobabpulley.adapters.http_engine import HttpEngine
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamOutOfMemory
from baobabpulley.errors import UpstreamOverloaded
from baobabpulley.errors import UpstreamRefused
from baobabpulley.model.blocks import BLOCK_TOKENS
from baobabpulley.model.requests import CompletionEvent
from baobabpulley.model.requests import EndEvent
from baobabpulley.model.requests import TokenEvent
from baobabpulley.model.upstreams import Upstream
from baobabpulley.ports.engine import CacheEvent
from baobabpulley.ports.engine import LoadEvent
from baobabpulley.ports.engine import Order
from baobabpulley.standins.engine import EngineStandin
from baobabpulley.standins.engine_core import EngineProfile
from baobabpulley.standins.faults import FaultOrder
from baobabpulley.standins.text import expected_text
from baobabpulley.timers import TimerService

SPEED = 20.0

Start = Callable[..., EngineStandin]


def text_of(events: list[CompletionEvent]) -> str:
    return "".join("".join(event.tokens) for event in events if isinstance(event, TokenEvent))


@pytest.fixture
def upstream(base_port: int) -> Upstream:
    address = f"127.0.0.1:{base_port + 950}"
    return Upstream(id="engine", service="kitchen", failure_domain="fes", address=address)


@pytest.fixture
async def start(upstream: Upstream) -> AsyncIterator[Start]:
    started: list[EngineStandin] = []

    def start_engine(**profile: float) -> EngineStandin:
        engine = EngineStandin(
            id=upstream.id,
            address=upstream.address,
            models=(MODEL,),
            profile=EngineProfile(**profile),
            timers=TimerService(speed=SPEED),
        )
        started.append(engine)
        engine.start()
        return engine

    yield start_engine
    for engine in started:
        await engine.stop()


@pytest.fixture
def engine_client() -> HttpEngine:
    return HttpEngine(client=HttpClient(), timers=TimerService(speed=SPEED), silence_timeout=10.0)


async def test_memory_is_held_refused_and_released(
    start: Start, upstream: Upstream, engine_client: HttpEngine
) -> None:
    engine = start(memory_tokens=1_000)
    first = engine_client.complete(upstream, make_call("a", tokens=600, max_tokens=300))
    await anext(first)
    assert engine.core.memory_held == 900
    with pytest.raises(UpstreamOutOfMemory):
        await anext(engine_client.complete(upstream, make_call("b", tokens=100, max_tokens=4)))
    await first.aclose()
    await engine_client.cancel(upstream, attempt="a")
    assert engine.core.memory_held == 0


async def test_prefix_cache_is_evicted_for_held_memory(
    start: Start, upstream: Upstream, engine_client: HttpEngine
) -> None:
    start(memory_tokens=8_192, event_gap_share=0.0)
    prompt = make_call("a", tokens=4_096)
    usages = []
    for attempt in ("a", "b"):
        events = [
            event
            async for event in engine_client.complete(upstream, make_call(attempt, tokens=4096))
        ]
        assert text_of(events) == expected_text(prompt.prompt, seed=0, max_tokens=4)
        assert isinstance(events[-1], EndEvent)
        usages.append(events[-1].usage.cached_tokens)
    assert usages == [0, 7 * BLOCK_TOKENS]
    events = engine_client.events(upstream)
    await anext(events)
    large = engine_client.complete(upstream, make_call("c", tokens=8_000, max_tokens=100))
    await anext(large)
    evicted: set[int] = set()
    async with asyncio.timeout(WAIT_SECONDS):
        while not evicted:
            event = await anext(events)
            evicted |= set(event.evicted) if isinstance(event, CacheEvent) else set()
    await events.aclose()
    await large.aclose()


async def test_short_prompt_is_scheduled_before_a_long_prefill(
    start: Start, upstream: Upstream, engine_client: HttpEngine
) -> None:
    engine = start(prefill_rate=20_000.0)
    long = engine_client.complete(upstream, make_call("long", tokens=200_000, priority=1))
    waiting = asyncio.create_task(anext(long))
    await wait_until(lambda: engine.core.find("long") is not None)
    await anext(engine_client.complete(upstream, make_call("short", tokens=500)))
    job = engine.core.find("long")
    assert job is not None
    assert job.remaining > 100_000
    waiting.cancel()


async def test_resumed_stream_survives_the_end_of_its_first_connection(
    start: Start, upstream: Upstream, engine_client: HttpEngine
) -> None:
    engine = start(decode_rate=20.0)
    first = engine_client.complete(upstream, make_call("a", max_tokens=200))
    first_event = await anext(first)
    assert isinstance(first_event, TokenEvent)
    second = engine_client.resume(upstream, attempt="a", offset=len(first_event.tokens))
    remaining_events = [await anext(second)]
    await first.aclose()
    remaining_events += [event async for event in second]
    expected = expected_text(make_call("a").prompt, seed=0, max_tokens=200)
    assert text_of([first_event, *remaining_events]) == expected
    assert engine.core.memory_held == 0


async def test_unread_stream_is_freed_when_its_hold_expires(
    start: Start, upstream: Upstream, engine_client: HttpEngine
) -> None:
    engine = start(decode_rate=1.0)
    events = engine_client.complete(upstream, make_call("a", max_tokens=500))
    await anext(events)
    await events.aclose()
    await wait_until(lambda: engine.core.memory_held == 0)
    assert engine.core.find("a") is None


async def test_finished_answers_do_not_fill_the_queue(
    start: Start, upstream: Upstream, engine_client: HttpEngine
) -> None:
    start(max_waiting=2, decode_rate=1_000.0)
    for index in range(6):
        events = engine_client.complete(upstream, make_call(str(index), tokens=1, max_tokens=1))
        assert len([event async for event in events]) == 2


async def test_silence_fault_affects_only_connections_already_open(
    start: Start, upstream: Upstream, engine_client: HttpEngine
) -> None:
    engine = start()
    client = HttpClient()
    path = {"address": upstream.address, "method": "GET", "path": "/v1/load"}
    assert (await fetch(client, **path, timeout=10.0))[0] == 200
    engine.faults.apply(FaultOrder(kind="silent"))
    with pytest.raises(UpstreamLost):
        await fetch(client, **path, timeout=0.3)
    assert client.reused == 1
    assert (await fetch(client, **path, timeout=10.0))[0] == 200


async def test_load_lags_and_cache_events_have_gaps(
    start: Start, upstream: Upstream, engine_client: HttpEngine
) -> None:
    start(load_lag=2.0, event_gap_share=0.5)
    seen: list[int] = []
    ages: list[float] = []
    events = engine_client.events(upstream)
    await anext(events)
    for index in range(40):
        call = make_call(f"{index}", tokens=1_024, max_tokens=1, prompt_seed=index)
        async for _ in engine_client.complete(upstream, call):
            pass
    async with asyncio.timeout(WAIT_SECONDS):
        while len(seen) < 5 or len(ages) < 20:
            event = await anext(events)
            if isinstance(event, CacheEvent):
                seen.append(event.sequence)
            elif isinstance(event, LoadEvent):
                ages.append(event.report.age)
    await events.aclose()
    assert ages[-1] >= 2.0
    assert seen == sorted(seen)
    assert max(seen) > len(seen)


@pytest.mark.parametrize("checks", [True, False], ids=["checks", "ignores"])
async def test_order_with_an_old_fencing_token(
    start: Start, upstream: Upstream, engine_client: HttpEngine, checks: bool
) -> None:
    start(checks_fencing=checks)
    newer = Order(id="2", kind="load", model="b", version="2", fence=9)
    older = Order(id="1", kind="unload", model=MODEL, version="1", fence=3)
    await engine_client.order(upstream, newer)
    if checks:
        with pytest.raises(UpstreamRefused):
            await engine_client.order(upstream, older)
    else:
        await engine_client.order(upstream, older)
    assert (MODEL in (await engine_client.state(upstream)).models) is checks


async def test_a_paused_engine_goes_on_where_it_was(
    start: Start, upstream: Upstream, engine_client: HttpEngine
) -> None:
    engine = start(decode_rate=20.0)
    events = engine_client.complete(upstream, make_call("a", max_tokens=40))
    received = [await anext(events)]
    engine.faults.apply(FaultOrder(kind="pause", seconds=4.0))
    paused_at = engine.timers.now()
    late = engine_client.complete(upstream, make_call("b"))
    await anext(late)
    received.append(await anext(events))
    assert engine.timers.now() - paused_at >= 4.0
    await late.aclose()
    received += [event async for event in events]
    assert text_of(received) == expected_text(make_call("a").prompt, seed=0, max_tokens=40)


async def test_a_busy_engine_refuses_new_work_with_the_time_that_is_left(
    start: Start, upstream: Upstream, engine_client: HttpEngine
) -> None:
    engine = start(decode_rate=20.0)
    running = engine_client.complete(upstream, make_call("a", max_tokens=40))
    received = [await anext(running)]
    engine.faults.apply(FaultOrder(kind="busy", seconds=3.0))
    with pytest.raises(UpstreamOverloaded):
        await anext(engine_client.complete(upstream, make_call("b")))
    async with HttpClient().call(
        address=upstream.address,
        method="POST",
        path="/v1/completions",
        body=msgspec.json.encode(make_call("c")),
        head_timeout=5.0,
    ) as response:
        await response.body(idle_timeout=5.0)
    assert response.status == 503
    assert 2.0 < float(response.headers["Retry-After"]) <= 3.0
    received += [event async for event in running]
    assert text_of(received) == expected_text(make_call("a").prompt, seed=0, max_tokens=40)
    await engine.timers.sleep(3.0)
    await anext(engine_client.complete(upstream, make_call("d")))
