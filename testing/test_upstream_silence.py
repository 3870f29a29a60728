"""Tests that new requests avoid engines whose running streams are all silent, for that time only.

A third of the engines may pause at the same moment for a second or so; slow engines are sound.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path
from typing import final

import platform_upstream as upstreams
import pytest
from gateway_builders import KITCHEN
from gateway_builders import World
from gateway_builders import open_world
from gateway_builders import send
from gateway_builders import wait_until
from platform_upstream import Behaviour
from platform_upstream import UpstreamStandin

from baobabpulley.emulator.emulated_time import run_in_emulated_time
from baobabpulley.gateway.daemon import Gateway
from baobabpulley.policy.upstream_silence import MAX_SILENT_SECONDS
from baobabpulley.policy.upstream_silence import MIN_SILENT_SECONDS
from baobabpulley.policy.upstream_silence import SilentEngines

GAP_SECONDS = 0.1
SHORT_STREAM = upstreams.stream(events=2)
PAUSING_STREAM = upstreams.stream(events=40, gap=0.05, pause_after=10, pause=0.8)
PAUSED_AT_SECONDS = 0.9
RESUMED_AT_SECONDS = 1.5


def run_stream(
    engines: SilentEngines, *, gap: float, events: int = 20, engine: str = "i-1", begin: float = 0.0
) -> float:
    """Record a stream that goes on after its latest event, and return when that arrived."""
    streams, now = engines.streams(engine), begin
    streams.begin(now=now)
    for _ in range(events):
        now += gap
        streams.record_event(gap=gap, now=now)
    return now


@pytest.mark.parametrize("gap", [0.01, 0.07, GAP_SECONDS])
def test_an_engine_is_silent_a_few_gaps_after_the_latest_event(gap: float) -> None:
    engines = SilentEngines()
    last = run_stream(engines, gap=gap)
    assert engines.silent(now=last + 2 * gap) == frozenset()
    assert engines.silent(now=last + max(MIN_SILENT_SECONDS, 3 * gap) + 0.01) == {"i-1"}


def test_any_event_ends_the_silence() -> None:
    engines = SilentEngines()
    run_stream(engines, gap=GAP_SECONDS)
    last = run_stream(engines, gap=GAP_SECONDS)
    assert engines.silent(now=last + 0.5) == {"i-1"}
    engines.streams("i-1").record_event(gap=0.5, now=last + 0.5)
    assert engines.silent(now=last + 0.6) == frozenset()


def test_a_pause_hardly_delays_the_notice_of_the_next_one() -> None:
    engines = SilentEngines()
    last = run_stream(engines, gap=GAP_SECONDS)
    engines.streams("i-1").record_event(gap=1.2, now=last + 1.2)
    assert engines.silent(now=last + 1.2 + 0.3) == {"i-1"}


@pytest.mark.parametrize("gap", [0.5, 1.0])
def test_an_engine_whose_events_are_far_apart_is_not_silent_between_them(gap: float) -> None:
    engines = SilentEngines()
    last = run_stream(engines, gap=gap)
    assert engines.silent(now=last + 0.99 * gap) == frozenset()


def test_an_engine_that_becomes_slow_is_soon_not_silent_between_its_events() -> None:
    engines = SilentEngines()
    last = run_stream(engines, gap=0.05)
    last = run_stream(engines, gap=0.5, events=30, begin=last)
    assert engines.silent(now=last + 0.49) == frozenset()


def test_an_engine_without_running_streams_is_not_silent() -> None:
    engines = SilentEngines()
    last = run_stream(engines, gap=GAP_SECONDS)
    engines.streams("i-1").end()
    assert engines.silent(now=last + 0.5) == frozenset()


def test_silence_is_not_concluded_before_a_gap_is_known() -> None:
    engines = SilentEngines()
    engines.streams("i-1").begin(now=0.0)
    assert engines.silent(now=0.9) == frozenset()


def test_a_stream_that_never_goes_on_does_not_keep_its_engine_from_work() -> None:
    engines = SilentEngines()
    last = run_stream(engines, gap=GAP_SECONDS)
    assert engines.silent(now=last + MAX_SILENT_SECONDS + 0.01) == frozenset()


def test_a_slow_caller_is_no_silence_and_a_removed_engine_is_forgotten() -> None:
    engines = SilentEngines()
    last = run_stream(engines, gap=GAP_SECONDS)
    engines.streams("i-1").record_heard(now=last + 0.5)
    assert engines.silent(now=last + 0.6) == frozenset()
    engines.forget("i-1")
    assert engines.silent(now=last + 1.0) == frozenset()


@final
class RunningStream:
    """A stream at one of the engines; the requests after it get short answers."""

    def __init__(self, world: World, gateway: Gateway) -> None:
        self._world = world
        self._gateway = gateway
        self._task = asyncio.create_task(send(gateway, "/draft/1"))
        self._began = time.monotonic()

    @property
    def engine(self) -> UpstreamStandin:
        """The engine that got the stream."""
        return next(engine for engine in self._world.upstreams.values() if engine.journal)

    async def start(self) -> None:
        """Wait until an engine has the stream."""
        await wait_until(lambda: any(engine.journal for engine in self._world.upstreams.values()))
        for engine in self._world.upstreams.values():
            engine.behaviour = SHORT_STREAM

    def record_prefills(self, *, seconds: float, elsewhere: float) -> None:
        """Record for how long the engine of the stream and the others prefill a prompt."""
        for engine in self._world.upstreams.values():
            self._gateway.loads.begin(
                engine.name,
                prefill_seconds=seconds if engine is self.engine else elsewhere,
                memory_tokens=0,
                now=time.monotonic(),
            )

    async def sent_to(self, *, at: float) -> UpstreamStandin:
        """Send a request ``at`` seconds after the start; return the engine that answered it."""
        await asyncio.sleep(self._began + at - time.monotonic())
        before = {name: len(up.journal) for name, up in self._world.upstreams.items()}
        reply = await send(self._gateway, "/draft/1")
        assert (reply.status, reply.complete) == (200, True)
        return next(
            up for name, up in self._world.upstreams.items() if len(up.journal) > before[name]
        )

    async def end(self) -> None:
        """Check that the stream ends whole, and that no engine has a bad record."""
        reply = await self._task
        assert (reply.status, reply.complete) == (200, True)
        assert reply.events == list(range(len(reply.events)))
        listed = list(self._gateway.fleet_state.upstreams.values())
        assert self._gateway.record.usable(listed) == listed
        assert not any(self._gateway.record.penalties.values())


def run_with_stream(
    folder: Path,
    behaviour: Behaviour,
    scenario: Callable[[RunningStream], Awaitable[None]],
    *,
    engines: int = 2,
) -> None:
    """Run a scenario, in emulated time, while one of the engines runs a stream."""

    async def run() -> None:
        async with open_world(folder) as world:
            for number in range(engines):
                engine = await world.add_upstream(f"i-{number}", service=KITCHEN)
                engine.behaviour = behaviour
            stream = RunningStream(world, await world.add_gateway())
            await stream.start()
            await scenario(stream)
            await stream.end()

    run_in_emulated_time(run())


def test_a_request_avoids_an_engine_whose_stream_is_silent_until_it_goes_on(tmp_path: Path) -> None:
    async def scenario(stream: RunningStream) -> None:
        assert await stream.sent_to(at=0.4) is stream.engine
        assert await stream.sent_to(at=PAUSED_AT_SECONDS) is not stream.engine
        assert await stream.sent_to(at=RESUMED_AT_SECONDS) is stream.engine

    run_with_stream(tmp_path, PAUSING_STREAM, scenario)


def test_a_silent_engine_gets_requests_if_no_other_has_room(tmp_path: Path) -> None:
    async def scenario(stream: RunningStream) -> None:
        assert await stream.sent_to(at=PAUSED_AT_SECONDS) is stream.engine

    run_with_stream(tmp_path, PAUSING_STREAM, scenario, engines=1)


def test_a_known_long_prefill_explains_the_silence_of_its_engine(tmp_path: Path) -> None:
    async def scenario(stream: RunningStream) -> None:
        stream.record_prefills(seconds=1.5, elsewhere=1.8)
        assert await stream.sent_to(at=PAUSED_AT_SECONDS) is stream.engine

    run_with_stream(tmp_path, PAUSING_STREAM, scenario)


def test_an_engine_whose_events_are_far_apart_gets_requests_between_them(tmp_path: Path) -> None:
    async def scenario(stream: RunningStream) -> None:
        for at in (0.9, 1.4, 1.9):
            assert await stream.sent_to(at=at) is stream.engine

    run_with_stream(tmp_path, upstreams.stream(events=5, gap=0.5), scenario)


def test_an_engine_that_prefills_a_prompt_gets_requests(tmp_path: Path) -> None:
    async def scenario(stream: RunningStream) -> None:
        assert await stream.sent_to(at=0.7) is stream.engine

    behaviour = upstreams.pause_first(0.9, upstreams.stream(events=4))
    run_with_stream(tmp_path, behaviour, scenario)
