"""Tests of what the dispatcher does after a failed attempt and what it reports to the caller."""

from __future__ import annotations

import pytest
from builders import make_request
from builders import make_view
from fakes import ScriptedEngine
from fakes import ScriptedForwarder

from baobabpulley.adapters.metrics import EntryMetrics
from baobabpulley.entry.backpressure import EntryBackpressure
from baobabpulley.entry.dispatch import Dispatcher
from baobabpulley.entry.placer import make_placer
from baobabpulley.errors import BaobabError
from baobabpulley.errors import DeadlineBeforeStart
from baobabpulley.errors import NoUpstream
from baobabpulley.errors import Overloaded
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamOverloaded
from baobabpulley.errors import UpstreamRefused
from baobabpulley.errors import UpstreamReserved
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.model.decisions import DecisionRecord
from baobabpulley.model.requests import CompletionRequest
from baobabpulley.model.requests import TokenEvent
from baobabpulley.policy.admission import AdmissionSection
from baobabpulley.policy.lanes import LanesSection
from baobabpulley.policy.retries import RetriesSection
from baobabpulley.policy.routing import RoutingSection
from baobabpulley.timers import TimerService


def make_dispatcher(
    engine: ScriptedEngine,
    *,
    engines: int = 6,
    retries: RetriesSection | None = None,
    dialect: str = "chunked",
    segment_tokens: int = 8_192,
    forwarder: ScriptedForwarder | None = None,
) -> Dispatcher:
    lanes = LanesSection(segment_tokens=segment_tokens)
    timers = TimerService(speed=100.0)
    view = make_view(engines=engines, dialect=dialect)
    return Dispatcher(
        holder="entry-0",
        engine=engine,
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
        retries=retries or RetriesSection(),
        metrics=EntryMetrics(),
        timers=timers,
        forwarder=forwarder,  # type: ignore[arg-type]
    )


def fresh_request(tokens: int = 1_000) -> CompletionRequest:
    now = TimerService(speed=100.0).now()
    return make_request(tokens=tokens, arrived=now, seconds=3_000.0)


async def run(dispatcher: Dispatcher, request: CompletionRequest) -> str:
    record = DecisionRecord(request_id=request.request_id, team=request.team)
    return "".join(
        [
            "".join(event.tokens)
            async for event in dispatcher.run(request, record)
            if isinstance(event, TokenEvent)
        ]
    )


FULL_ANSWER = "".join(f"{index:03} " for index in range(8))


@pytest.mark.parametrize(
    "failure",
    [
        (0, UpstreamUnreachable("no connection")),
        (0, UpstreamRefused("no")),
        (0, UpstreamLost("died in mid-prefill")),
        (3, UpstreamLost("died in mid-decode")),
    ],
    ids=["unreached", "refused", "lost_in_prefill", "lost_in_decode"],
)
async def test_failed_attempt_is_retried_on_another_engine(failure: tuple[int, Exception]) -> None:
    engine = ScriptedEngine([failure, (8 - failure[0], None)])
    assert await run(make_dispatcher(engine), fresh_request()) == FULL_ANSWER
    assert len({upstream for upstream, _ in engine.calls}) == 2
    assert engine.calls[1][1].offset == failure[0]


@pytest.mark.parametrize("engines", [1, 2])
async def test_started_answer_resumes_on_the_engine_that_lost_it_if_there_is_no_other(
    engines: int,
) -> None:
    engine = ScriptedEngine(
        [(3, UpstreamLost("silent")), (2, UpstreamLost("silent again")), (3, None)]
    )
    dispatcher = make_dispatcher(engine, engines=engines)
    assert await run(dispatcher, fresh_request()) == FULL_ANSWER
    assert [call.offset for _, call in engine.calls] == [0, 3, 5]
    assert len({upstream for upstream, _ in engine.calls}) == engines


async def test_started_answer_of_a_departed_engine_ends_within_its_attempts() -> None:
    engine = ScriptedEngine([(3, UpstreamLost("died")), *[(0, UpstreamUnreachable("gone"))] * 20])
    retries = RetriesSection(max_attempts=3)
    with pytest.raises(UpstreamLost):
        await run(make_dispatcher(engine, engines=1, retries=retries), fresh_request())
    assert len(engine.calls) == 3


async def test_engine_that_refused_is_not_tried_again() -> None:
    engine = ScriptedEngine([(0, UpstreamRefused("no"))])
    with pytest.raises(NoUpstream):
        await run(make_dispatcher(engine, engines=1), fresh_request())
    assert len(engine.calls) == 1


async def test_second_overload_is_not_retried_and_says_not_run() -> None:
    engine = ScriptedEngine([(0, UpstreamOverloaded("full"))] * 4)
    with pytest.raises(Overloaded) as caught:
        await run(make_dispatcher(engine), fresh_request())
    assert len(engine.calls) == 2
    assert caught.value.ran is False
    assert caught.value.retry_after


@pytest.mark.parametrize("engines", [1, 6])
async def test_long_refused_for_reservations_of_others_is_placed_without_spending_a_retry(
    engines: int,
) -> None:
    engine = ScriptedEngine([(0, UpstreamReserved("a gang waits"))] * 5)
    retries = RetriesSection(burst=0, share=0.0)
    dispatcher = make_dispatcher(engine, engines=engines, retries=retries)
    assert await run(dispatcher, fresh_request(tokens=20_000)) == FULL_ANSWER
    assert len(engine.calls) == 6


async def test_budget_bounds_attempts_when_all_engines_fail() -> None:
    script = [(0, UpstreamRefused("no"))] * 10_000
    engine = ScriptedEngine(script)
    dispatcher = make_dispatcher(engine, retries=RetriesSection(burst=5))
    for _ in range(200):
        with pytest.raises(BaobabError):
            await run(dispatcher, fresh_request())
    assert 200 < len(engine.calls) <= 200 * 1.1 + 5


@pytest.mark.parametrize(
    "last",
    [UpstreamRefused("no"), UpstreamUnreachable("gone"), UpstreamOverloaded("full")],
    ids=["refused", "unreached", "overloaded"],
)
@pytest.mark.parametrize("delivered", [0, 2], ids=["nothing_sent", "two_tokens_sent"])
async def test_never_says_not_run_after_an_attempt_may_have_run(
    last: Exception, delivered: int
) -> None:
    engine = ScriptedEngine([(delivered, UpstreamLost("died")), (0, last), (0, last), (0, last)])
    with pytest.raises(BaobabError) as caught:
        await run(make_dispatcher(engine), fresh_request())
    assert caught.value.ran is not False


async def test_loss_of_the_last_engine_is_not_reported_as_no_upstream() -> None:
    engine = ScriptedEngine([(0, UpstreamLost("died")), *[(0, UpstreamUnreachable("gone"))] * 20])
    with pytest.raises(UpstreamLost):
        await run(make_dispatcher(engine, engines=1), fresh_request())


async def test_request_lost_before_its_first_token_is_forwarded_to_another_failure_domain() -> None:
    forwarder = ScriptedForwarder()
    engine = ScriptedEngine([(0, UpstreamLost("died"))])
    dispatcher = make_dispatcher(engine, engines=1, forwarder=forwarder)
    assert await run(dispatcher, fresh_request()) == "elsewhere"


@pytest.mark.parametrize("forwarded", [True, False], ids=["passed_already", "begun_to_answer"])
async def test_request_already_forwarded_or_started_is_not_forwarded(forwarded: bool) -> None:
    forwarder = ScriptedForwarder()
    lost = UpstreamLost("died")
    engine = ScriptedEngine(
        [(0 if forwarded else 2, lost), *[(0, UpstreamUnreachable("gone"))] * 20]
    )
    request = fresh_request()
    request.forwarded = forwarded
    with pytest.raises(UpstreamLost):
        await run(make_dispatcher(engine, engines=1, forwarder=forwarder), request)
    assert forwarder.forwarded == []


async def test_refusal_elsewhere_is_not_reported_as_not_run_after_a_local_loss() -> None:
    forwarder = ScriptedForwarder(Overloaded("full"))
    engine = ScriptedEngine([(0, UpstreamLost("died"))])
    with pytest.raises(BaobabError) as caught:
        await run(make_dispatcher(engine, engines=1, forwarder=forwarder), fresh_request())
    assert caught.value.ran is not False


async def test_request_past_its_deadline_reaches_no_engine() -> None:
    engine = ScriptedEngine([])
    request = fresh_request()
    request.deadline = request.arrived
    with pytest.raises(DeadlineBeforeStart):
        await run(make_dispatcher(engine), request)
    assert engine.calls == []


async def test_long_prompt_is_paced_where_a_prefill_cannot_be_interrupted() -> None:
    engine = ScriptedEngine([])
    request = fresh_request(tokens=20_000)
    assert await run(make_dispatcher(engine, dialect="whole"), request) == FULL_ANSWER
    prompts = [call.prompt for _, call in engine.calls]
    assert [len(prompt) for prompt in prompts] == [4 * 8_192, 8 * 8_192, 4 * 20_000]
    assert all(request.prompt.startswith(prompt) for prompt in prompts)
    assert len({upstream for upstream, _ in engine.calls}) == 1
    assert len({call.attempt for _, call in engine.calls}) == 3


@pytest.mark.parametrize("dialect", ["whole", "chunked"])
async def test_shorts_and_interruptible_engines_need_no_pacing(dialect: str) -> None:
    engine = ScriptedEngine([])
    tokens = 1_000 if dialect == "whole" else 20_000
    dispatcher = make_dispatcher(engine, dialect=dialect, segment_tokens=500)
    await run(dispatcher, fresh_request(tokens=tokens))
    assert len(engine.calls) == 1


async def test_refusal_after_a_paced_chunk_is_not_reported_as_not_run() -> None:
    engine = ScriptedEngine([(1, None), *[(0, UpstreamRefused("no"))] * 4])
    dispatcher = make_dispatcher(engine, dialect="whole", retries=RetriesSection(burst=0))
    with pytest.raises(BaobabError) as caught:
        await run(dispatcher, fresh_request(tokens=20_000))
    assert caught.value.ran is not False
