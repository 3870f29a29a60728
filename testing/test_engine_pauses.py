"""Tests of sound engines that fall silent for longer than the silence timeout and then go on."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from typing import final

import pytest
from builders import MODEL
from builders import make_call
from builders import make_request
from builders import make_view
from pausing_link import PausingLink

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_engine import SILENCE_TIMEOUT_SECONDS
from baobabpulley.adapters.http_engine import HttpEngine
from baobabpulley.adapters.metrics import EntryMetrics
from baobabpulley.entry.backpressure import EntryBackpressure
from baobabpulley.entry.dispatch import Dispatcher
from baobabpulley.entry.placer import make_placer
from baobabpulley.entry.resuming_engine import ResumingEngine
from baobabpulley.errors import UpstreamLost
from baobabpulley.model.decisions import DecisionRecord
from baobabpulley.model.requests import CompletionRequest
from baobabpulley.model.requests import TokenEvent
from baobabpulley.model.upstreams import Upstream
from baobabpulley.model.upstreams import Vm
from baobabpulley.policy.admission import AdmissionSection
from baobabpulley.policy.lanes import LanesSection
from baobabpulley.policy.retries import RetriesSection
from baobabpulley.policy.routing import RoutingSection
from baobabpulley.ports.engine import PRIORITY_LONG
from baobabpulley.ports.engine import PrefillCall
from baobabpulley.standins.engine import EngineStandin
from baobabpulley.standins.engine_core import EngineProfile
from baobabpulley.standins.faults import FaultOrder
from baobabpulley.standins.text import expected_text
from baobabpulley.timers import TimerService

SPEED = 10.0
PAUSE_SECONDS = SILENCE_TIMEOUT_SECONDS + 0.5
NO_RETRIES = RetriesSection(share=0.0, burst=0)
MAX_TOKENS = 8


@final
class PausingEngine:
    """A stand-in engine behind a link that can be paused."""

    def __init__(self, index: int, *, port: int, profile: EngineProfile) -> None:
        self.id = f"engine-{index}"
        self.timers = TimerService(speed=SPEED)
        self.standin = EngineStandin(
            id=self.id,
            address=f"127.0.0.1:{port + index}",
            models=(MODEL,),
            profile=profile,
            timers=self.timers,
        )
        self.link = PausingLink(self.standin.address)

    @property
    def vm(self) -> Vm:
        """The VM list entry of the engine, at the address of its link."""
        return Vm(self.id, "upstream", "fes", self.link.address, service="kitchen")

    @property
    def upstream(self) -> Upstream:
        """The engine as an upstream, at the address of its link."""
        return Upstream(self.id, "kitchen", "fes", self.link.address)

    def started(self, kind: str = "completion") -> list[str]:
        """Return the ids of the calls of a kind that the engine has started to run."""
        return [
            line["id"]
            for line in self.standin.journal
            if (line["kind"], line["outcome"]) == (kind, "started")
        ]


@contextlib.asynccontextmanager
async def open_engines(
    count: int, *, port: int, profile: EngineProfile
) -> AsyncIterator[list[PausingEngine]]:
    """Yield running engines and stop them afterwards."""
    engines = [PausingEngine(index, port=port, profile=profile) for index in range(count)]
    for engine in engines:
        engine.standin.start()
        await engine.link.start()
    try:
        yield engines
    finally:
        for engine in engines:
            await engine.link.stop()
            await engine.standin.stop()


def make_dispatcher(engines: list[PausingEngine], client: HttpClient) -> Dispatcher:
    """Return a dispatcher that may not retry anything."""
    timers = TimerService(speed=SPEED)
    view = make_view(engines=0)
    view.set_vms(tuple(engine.vm for engine in engines))
    lanes, metrics = LanesSection(), EntryMetrics()
    return Dispatcher(
        holder="entry-0",
        engine=ResumingEngine(
            engine=HttpEngine(client=client, timers=timers), metrics=metrics, timers=timers
        ),
        view=view,
        placer=make_placer(
            vm="vm-0",
            view=view,
            routing=RoutingSection(),
            lanes=lanes,
            admission=AdmissionSection(),
            backpressure=EntryBackpressure(timers=timers),
            timers=timers,
        ),
        lanes=lanes,
        retries=NO_RETRIES,
        metrics=metrics,
        timers=timers,
    )


def make_prefill_call(part: str) -> PrefillCall:
    return PrefillCall(
        part=part,
        request_id="request-of-a-gang",
        holder="entry-0",
        model=MODEL,
        text="x" * 4_000,
        imports=(),
        priority=PRIORITY_LONG,
        deadline=60.0,
    )


def fresh_request(tokens: int = 1_000) -> CompletionRequest:
    return make_request(tokens=tokens, arrived=TimerService(speed=SPEED).now(), seconds=60.0)


@pytest.mark.parametrize(
    "when",
    ["before-the-request", "before-a-request-that-arrives-late", "before-a-token", "in-mid-answer"],
)
async def test_an_answer_survives_a_pause_while_no_retry_is_allowed(
    base_port: int, when: str
) -> None:
    # The prefill takes one second and each token a fifth.
    profile = EngineProfile(prefill_rate=1_000.0, decode_rate=5.0)
    client = HttpClient()
    async with open_engines(1, port=base_port + 900, profile=profile) as (engine,):
        dispatcher = make_dispatcher([engine], client)
        request = fresh_request()
        record = DecisionRecord(request_id=request.request_id, team=request.team)
        text = ""

        def pause() -> None:
            engine.link.pause(PAUSE_SECONDS / SPEED)

        if when == "before-the-request":
            pause()
        elif when == "before-a-request-that-arrives-late":
            # The engine sees the question for the rest of the stream before the stream's request.
            engine.link.pause(PAUSE_SECONDS / SPEED, late_connections=1)
        elif when == "before-a-token":
            engine.timers.after(0.5, pause)
        async for event in dispatcher.run(request, record):
            if isinstance(event, TokenEvent):
                text += "".join(event.tokens)
                if when == "in-mid-answer" and len(text) == 4 * 3:
                    pause()
        assert text == expected_text(request.prompt, seed=0, max_tokens=MAX_TOKENS)
        assert len(engine.started()) == 1
    client.close()


@pytest.mark.parametrize("when", ["before-the-request", "in-mid-prefill"])
async def test_a_chunk_is_not_given_up_during_a_pause(base_port: int, when: str) -> None:
    profile = EngineProfile(prefill_rate=1_000.0)
    client = HttpClient()
    async with open_engines(1, port=base_port + 910, profile=profile) as (engine,):
        calls = ResumingEngine(
            engine=HttpEngine(client=client, timers=engine.timers),
            metrics=EntryMetrics(),
            timers=engine.timers,
        )
        before = 0.0 if when == "before-the-request" else 0.5
        engine.timers.after(before, lambda: engine.link.pause(PAUSE_SECONDS / SPEED))
        chunk = await calls.prefill_chunk(engine.upstream, make_prefill_call("part-1"))
        assert (chunk.part, chunk.tokens) == ("part-1", 1_000)
        assert engine.started("part") == ["part-1"]
    client.close()


async def test_a_chunk_of_an_engine_that_stays_silent_is_given_up(base_port: int) -> None:
    client = HttpClient()
    async with open_engines(1, port=base_port + 920, profile=EngineProfile()) as (engine,):
        calls = ResumingEngine(
            engine=HttpEngine(client=client, timers=engine.timers),
            metrics=EntryMetrics(),
            timers=engine.timers,
        )
        engine.link.pause(60.0 / SPEED)
        began = engine.timers.now()
        with pytest.raises(UpstreamLost):
            await calls.prefill_chunk(engine.upstream, make_prefill_call("part-1"))
        assert engine.timers.now() - began < 2 * SILENCE_TIMEOUT_SECONDS + 1.0
    client.close()


async def test_an_engine_that_restarted_during_its_pause_is_given_up_soon(base_port: int) -> None:
    client = HttpClient()
    async with open_engines(1, port=base_port + 930, profile=EngineProfile()) as (engine,):
        calls = ResumingEngine(
            engine=HttpEngine(client=client, timers=engine.timers),
            metrics=EntryMetrics(),
            timers=engine.timers,
        )
        began = engine.timers.now()
        # The request is refused, so that the questions for its stream find nothing.
        engine.standin.faults.apply(FaultOrder(kind="leaving"))
        engine.link.pause(PAUSE_SECONDS / SPEED)
        with pytest.raises(UpstreamLost):
            async for _ in calls.complete(engine.upstream, make_call("attempt-1")):
                pass
        assert engine.timers.now() - began < PAUSE_SECONDS + 2.0
        assert engine.started() == []
    client.close()
