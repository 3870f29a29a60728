"""Tests of what an entry does with engines that ask for no requests."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator
from collections.abc import Sequence

import pytest
from builders import MODEL
from builders import SERVICE
from builders import make_call
from builders import make_report
from builders import make_request
from builders import make_view
from fakes import ScriptedEngine
from fakes import ScriptedForwarder
from loguru import logger

from baobabpulley.adapters.http_engine import parse_upstream_error
from baobabpulley.adapters.metrics import EntryMetrics
from baobabpulley.entry.backpressure import EntryBackpressure
from baobabpulley.entry.backpressure_engine import BackpressureEngine
from baobabpulley.entry.dispatch import Dispatcher
from baobabpulley.entry.gang_acquire import GangAcquirer
from baobabpulley.entry.gang_acquire import GangPlan
from baobabpulley.entry.placer import make_placer
from baobabpulley.entry.resuming_engine import ResumingEngine
from baobabpulley.errors import BaobabError
from baobabpulley.errors import NoUpstream
from baobabpulley.errors import UpstreamBackpressure
from baobabpulley.errors import UpstreamLeaving
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamSkipped
from baobabpulley.model.decisions import DecisionRecord
from baobabpulley.model.requests import CompletionEvent
from baobabpulley.model.requests import CompletionRequest
from baobabpulley.model.requests import TokenEvent
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.admission import AdmissionSection
from baobabpulley.policy.lanes import LanesSection
from baobabpulley.policy.retries import RetriesSection
from baobabpulley.policy.routing import RoutingSection
from baobabpulley.policy.upstream_backpressure import MAX_BACKPRESSURE_SECONDS
from baobabpulley.policy.upstream_backpressure import MIN_BACKPRESSURE_SECONDS
from baobabpulley.policy.upstream_backpressure import UNREADABLE_BACKPRESSURE_SECONDS
from baobabpulley.ports.engine import EngineCall
from baobabpulley.ports.engine import PrefillCall
from baobabpulley.timers import ManualTimers
from baobabpulley.timers import TimerService

SPEED = 100.0
# Far longer than a test takes.
PAUSE_SECONDS = 280.0
SHORT_PAUSE_SECONDS = 50.0
NO_RETRIES = RetriesSection(burst=0, share=0.0)
BUSY = UpstreamBackpressure("busy", asked_pause=PAUSE_SECONDS)
BUSY_BUT_MAY_HAVE_RUN = UpstreamLost("503", asked_pause=PAUSE_SECONDS)
ENGINE = Upstream("engine-0", SERVICE, "fes", "127.0.0.1:1")
FULL_ANSWER = "".join(f"{index:03} " for index in range(8))


class World:
    """A dispatcher whose engines follow a script."""

    def __init__(
        self,
        script: Sequence[tuple[int, Exception | None]],
        *,
        engines: int = 3,
        retries: RetriesSection = NO_RETRIES,
        dialect: str = "chunked",
        forwarder: ScriptedForwarder | None = None,
    ) -> None:
        lanes = LanesSection(segment_tokens=8_192)
        self.timers = TimerService(speed=SPEED)
        self.view = make_view(engines=engines, dialect=dialect)
        self.engine = ScriptedEngine(script)
        self.backpressure = EntryBackpressure(timers=self.timers)
        self.dispatcher = Dispatcher(
            holder="entry-0",
            engine=BackpressureEngine(engine=self.engine, backpressure=self.backpressure),
            view=self.view,
            placer=make_placer(
                vm="vm-0",
                view=self.view,
                routing=RoutingSection(),
                lanes=lanes,
                admission=AdmissionSection(),
                backpressure=self.backpressure,
                timers=self.timers,
            ),
            lanes=lanes,
            retries=retries,
            metrics=EntryMetrics(),
            timers=self.timers,
            forwarder=forwarder,  # type: ignore[arg-type]
        )

    @property
    def called(self) -> list[str]:
        """The engines of the attempts so far."""
        return [upstream for upstream, _ in self.engine.calls]

    def request(self, *, tokens: int, seconds: float) -> CompletionRequest:
        return make_request(tokens=tokens, arrived=self.timers.now(), seconds=seconds)

    async def check_used_after_pause(self, upstream: str) -> None:
        """Check that an engine gets requests after its short pause if the others want none."""
        await self.timers.sleep(SHORT_PAUSE_SECONDS)
        for other in self.view.upstreams.values():
            if other.id != upstream:
                self.backpressure.record(other, BUSY)
        assert await self.complete() == FULL_ANSWER
        assert self.called[-1] == upstream

    async def complete(self, *, tokens: int = 1_000, seconds: float = 3_000.0) -> str:
        request = self.request(tokens=tokens, seconds=seconds)
        record = DecisionRecord(request_id=request.request_id, team=request.team)
        return "".join(
            [
                "".join(event.tokens)
                async for event in self.dispatcher.run(request, record)
                if isinstance(event, TokenEvent)
            ]
        )


@pytest.mark.parametrize("error", [BUSY, BUSY_BUT_MAY_HAVE_RUN], ids=["refused", "may_have_run"])
async def test_an_engine_that_asked_for_no_requests_gets_none_whatever_it_reports(
    error: BaobabError,
) -> None:
    world = World([(0, error)], retries=RetriesSection())
    assert await world.complete() == FULL_ANSWER
    refusing = world.called[0]
    world.view.set_load(make_report(refusing), measured_at=world.timers.now())
    for _ in range(12):
        assert await world.complete() == FULL_ANSWER
    assert world.called.count(refusing) == 1


@pytest.mark.parametrize("error_type", [UpstreamBackpressure, UpstreamLost])
async def test_an_engine_gets_requests_as_soon_as_its_pause_is_over(
    error_type: type[UpstreamBackpressure | UpstreamLost],
) -> None:
    error = error_type("busy", asked_pause=SHORT_PAUSE_SECONDS)
    world = World([(0, error)], engines=2, retries=RetriesSection(suspect=1_000.0))
    assert await world.complete() == FULL_ANSWER
    await world.check_used_after_pause(world.called[0])


async def test_refusals_that_ask_for_a_pause_cost_no_retry() -> None:
    world = World([(0, BUSY), (0, BUSY)])
    assert await world.complete() == FULL_ANSWER
    assert len(set(world.called)) == 3


async def test_attempts_that_may_have_run_cost_a_retry() -> None:
    world = World([(0, BUSY_BUT_MAY_HAVE_RUN)])
    with pytest.raises(UpstreamLost):
        await world.complete()
    assert len(world.called) == 1


async def test_a_request_has_few_attempts_even_if_they_cost_no_retry() -> None:
    world = World([(0, BUSY)] * 20, engines=10)
    with pytest.raises(UpstreamBackpressure):
        await world.complete()
    assert len(world.called) == RetriesSection().max_attempts


async def test_each_engine_refuses_once_when_requests_follow_each_other() -> None:
    world = World([(0, BUSY)] * 1_000, engines=10)
    for _ in range(100):
        with pytest.raises(BaobabError):
            await world.complete()
    assert sorted(world.called) == sorted({*world.called})


@pytest.mark.parametrize("engines", [1, 3, 4])
async def test_callers_are_told_the_earliest_end_if_all_engines_asked(engines: int) -> None:
    pauses = [PAUSE_SECONDS, 100.0, 150.0, 200.0]
    script = [(0, UpstreamBackpressure("busy", asked_pause=pause)) for pause in pauses]
    world = World(script, engines=engines)
    earliest = min(pauses[:engines])
    delays = set()
    for _ in range(5):
        with pytest.raises(NoUpstream) as caught:
            await world.complete()
        assert caught.value.retry_after is not None
        delays.add(caught.value.retry_after)
    assert len(world.called) == engines
    assert len(delays) == 5
    assert earliest * 0.9 < min(delays) <= max(delays) <= 2 * earliest


async def test_callers_with_little_time_are_told_the_earliest_end_too() -> None:
    world = World([], engines=1)
    world.backpressure.record(ENGINE, BUSY)
    with pytest.raises(NoUpstream) as caught:
        await world.complete(seconds=10.0)
    assert PAUSE_SECONDS * 0.9 < (caught.value.retry_after or 0.0) <= 2 * PAUSE_SECONDS


async def test_queued_requests_are_refused_at_once_when_all_engines_ask() -> None:
    # The engine has no room for a second long prompt beside the first.
    world = World([(0, BUSY)], engines=1)
    world.view.set_load(
        make_report(long_prefills=1, running=1), measured_at=world.timers.now() + 1_000.0
    )
    queued = [asyncio.create_task(world.complete(tokens=20_000)) for _ in range(3)]
    await world.timers.sleep(1.0)
    assert world.called == []
    world.backpressure.record(ENGINE, BUSY)
    began = world.timers.now()
    results = await asyncio.gather(*queued, return_exceptions=True)
    assert {type(result) for result in results} == {NoUpstream}
    assert world.timers.now() - began < PAUSE_SECONDS / 4
    assert world.called == []


async def test_a_request_goes_to_another_failure_domain_if_all_engines_here_asked() -> None:
    forwarder = ScriptedForwarder()
    world = World([(0, BUSY)], engines=1, forwarder=forwarder)
    assert await world.complete() == "elsewhere"
    assert await world.complete() == "elsewhere"
    assert len(world.called) == 1


async def test_the_next_chunk_of_a_paced_prompt_is_not_sent_to_an_engine_that_asked() -> None:
    retries = RetriesSection(suspect=1_000.0)
    world = World([(1, None)], engines=2, dialect="whole", retries=retries)
    complete = world.engine.complete
    busy: list[str] = []

    def ask_for_pause_then_complete(
        upstream: Upstream, call: EngineCall
    ) -> AsyncIterator[CompletionEvent]:
        if not busy:
            busy.append(upstream.id)
            error = UpstreamBackpressure("busy", asked_pause=SHORT_PAUSE_SECONDS)
            world.backpressure.record(upstream, error)
        return complete(upstream, call)

    world.engine.complete = ask_for_pause_then_complete  # type: ignore[method-assign]
    assert await world.complete(tokens=20_000) == FULL_ANSWER
    assert world.called.count(busy[0]) == 1
    await world.check_used_after_pause(busy[0])


async def test_a_request_that_was_not_sent_to_its_engine_costs_no_retry() -> None:
    skipped = UpstreamSkipped("asked since it was placed", asked_pause=PAUSE_SECONDS)
    world = World([(0, skipped)], retries=RetriesSection(burst=0, share=0.0, max_attempts=1))
    assert await world.complete() == FULL_ANSWER
    assert len(set(world.called)) == 2


async def test_nothing_new_is_sent_to_an_engine_that_asked_since_it_was_chosen() -> None:
    world = World([])
    engine = BackpressureEngine(engine=world.engine, backpressure=world.backpressure)
    world.backpressure.record(ENGINE, BUSY)
    with pytest.raises(UpstreamSkipped):
        async for _ in engine.complete(ENGINE, make_call("a-1")):
            pass
    with pytest.raises(UpstreamSkipped):
        await engine.prefill_chunk(ENGINE, make_prefill())
    assert world.called == []


def make_prefill() -> PrefillCall:
    return PrefillCall(
        part="part-1",
        request_id="r-1",
        holder="entry-0",
        model=MODEL,
        text="spice",
        imports=(),
        priority=1,
        deadline=10.0,
    )


class BusyEngine(ScriptedEngine):
    """An engine that answers chunks and questions for lost streams with 503 and Retry-After."""

    def __init__(self) -> None:
        super().__init__([(0, BUSY_BUT_MAY_HAVE_RUN)] * 10)
        self.asked: list[str] = []

    async def prefill_chunk(self, upstream, call):  # type: ignore[no-untyped-def]
        self.asked.append("chunk")
        raise BUSY_BUT_MAY_HAVE_RUN

    async def resume_chunk(self, upstream, *, part):  # type: ignore[no-untyped-def]
        self.asked.append("resume_chunk")
        raise BUSY_BUT_MAY_HAVE_RUN

    async def resume(self, upstream, *, attempt, offset):  # type: ignore[no-untyped-def]
        self.asked.append("resume")
        raise BUSY_BUT_MAY_HAVE_RUN
        yield


async def test_an_engine_that_asked_is_not_asked_to_resume() -> None:
    timers = TimerService(speed=SPEED)
    busy = BusyEngine()
    engine = ResumingEngine(engine=busy, metrics=EntryMetrics(), timers=timers)
    with pytest.raises(UpstreamLost):
        async for _ in engine.complete(ENGINE, make_call("a-1")):
            pass
    with pytest.raises(UpstreamLost):
        await engine.prefill_chunk(ENGINE, make_prefill())
    assert busy.asked == ["chunk"]


class Turns:
    """Reservations that grant everything at once."""

    def __init__(self) -> None:
        self.claimed: list[str] = []

    async def request_turn(self, reservation: str, *, waited: float, ideal: float) -> bool:
        return True

    async def claim(self, reservation, claim, *, gang):  # type: ignore[no-untyped-def]
        self.claimed.append(claim.upstream)
        return type("Granted", (), {"granted": True})

    def end_turn(self, reservation: str) -> None:
        return

    def release_claims(self, reservation: str, upstreams: tuple[str, ...]) -> None:
        return


def make_acquirer() -> tuple[GangAcquirer, GangPlan, EntryBackpressure, Turns]:
    timers = TimerService(speed=SPEED)
    view = make_view(engines=3)
    for number in range(3):
        view.set_load(make_report(f"engine-{number}"), measured_at=timers.now())
    backpressure, turns = EntryBackpressure(timers=timers), Turns()
    acquirer = GangAcquirer(
        reservations=turns,  # type: ignore[arg-type]
        view=view,
        backpressure=backpressure,
        timers=timers,
        stale_load=1_000.0,
    )
    plan = GangPlan(
        reservation="gang-1",
        service=SERVICE,
        model=MODEL,
        needs=(500, 500),
        ideal=1.0,
        arrived=timers.now(),
        give_up_at=timers.now() + 3_000.0,
    )
    return acquirer, plan, backpressure, turns


async def test_no_memory_is_reserved_for_a_gang_on_an_engine_that_asked() -> None:
    acquirer, plan, backpressure, turns = make_acquirer()
    backpressure.record(ENGINE, BUSY)
    members = await acquirer.acquire(plan)
    assert [member.id for member in members] == turns.claimed == ["engine-1", "engine-2"]


async def test_a_gang_is_refused_at_once_if_all_engines_asked() -> None:
    acquirer, plan, backpressure, turns = make_acquirer()
    for candidate in acquirer.all_candidates(SERVICE, MODEL):
        backpressure.record(candidate.upstream, BUSY)
    with pytest.raises(NoUpstream) as caught:
        await acquirer.acquire(plan)
    assert turns.claimed == []
    assert PAUSE_SECONDS * 0.9 < (caught.value.retry_after or 0.0) <= 2 * PAUSE_SECONDS


@pytest.mark.parametrize(
    ("asked", "seconds"),
    [
        (3.0, 3.0),
        (0.75, 0.75),
        (0.0, MIN_BACKPRESSURE_SECONDS),
        (-5.0, MIN_BACKPRESSURE_SECONDS),
        (86_400.0, MAX_BACKPRESSURE_SECONDS),
        (math.inf, MAX_BACKPRESSURE_SECONDS),
        (math.nan, UNREADABLE_BACKPRESSURE_SECONDS),
    ],
)
async def test_any_time_that_an_engine_asks_for_is_bounded_and_logged_once(
    asked: float, seconds: float
) -> None:
    timers = ManualTimers()
    backpressure = EntryBackpressure(timers=timers)
    lines: list[dict[str, object]] = []
    sink = logger.add(lambda line: lines.append(line.record["extra"]))  # type: ignore[attr-defined]
    error = parse_upstream_error("engine-0", b"busy", asked_pause=asked)
    assert backpressure.record(ENGINE, error)
    assert backpressure.record(ENGINE, error)
    logger.remove(sink)
    shown = asked if math.isfinite(asked) else None
    assert lines == [
        {
            "event": "upstream_backpressure",
            "upstream": "engine-0",
            "service": SERVICE,
            "asked": shown,
            "seconds": seconds,
        }
    ]
    assert backpressure.upstreams() == {"engine-0"}
    await timers.advance(seconds - 0.01)
    assert backpressure.upstreams() == {"engine-0"}
    await timers.advance(0.02)
    assert backpressure.upstreams() == frozenset()


@pytest.mark.parametrize(
    ("code", "error_type"), [("overloaded", UpstreamBackpressure), ("leaving", UpstreamLeaving)]
)
def test_a_refusal_keeps_the_time_that_the_engine_asks_for(
    code: str, error_type: type[BaobabError]
) -> None:
    body = b'{"error": {"code": "%s", "message": "no", "ran": false}}' % code.encode()
    error = parse_upstream_error("engine-0", body, asked_pause=2.0)
    assert type(error) is error_type
    assert error.asked_pause == 2.0
    without = parse_upstream_error("engine-0", body)
    assert without.asked_pause is None
