"""Tests of sound upstreams of plain services that fall silent for longer than an attempt may."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import final

import pytest
from builders import wait_until

from baobabpulley.adapters.metrics import EntryMetrics
from baobabpulley.entry.backpressure import EntryBackpressure
from baobabpulley.entry.service_caller import ServiceCaller
from baobabpulley.entry.service_caller import ServicesSection
from baobabpulley.errors import BaobabError
from baobabpulley.errors import DeadlineExceeded
from baobabpulley.errors import NoUpstream
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamOverloaded
from baobabpulley.errors import UpstreamStalled
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.model.calls import PlainCall
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.upstreams import Upstream
from baobabpulley.model.upstreams import Vm
from baobabpulley.policy.retries import RetriesSection
from baobabpulley.ports.plain_service import PlainService
from baobabpulley.ports.plain_service import ServiceCall
from baobabpulley.ports.plain_service import ServiceResponse
from baobabpulley.timers import TimerService

SPEED = 20.0
# Longer than `ServicesSection.answer_timeout`, shorter than its ``deadline``.
PAUSE_SECONDS = 2.6
NO_RETRIES = RetriesSection(share=0.0, burst=0)
LOOKUP = PlainCall(
    service="ledger",
    team="souk",
    method="GET",
    path="/catalogue/saffron",
    body=b"",
    content_type="application/json",
)

Step = Callable[[TimerService], Awaitable[None]]


@final
class ScriptedService(PlainService):
    """A service whose nth call does the nth step of a script and then answers with ``n``."""

    def __init__(self, timers: TimerService, *script: Step) -> None:
        self._timers = timers
        self._script = list(script)
        self.called: list[str] = []
        self.cancelled = 0

    async def call(self, upstream: Upstream, call: ServiceCall) -> ServiceResponse:
        number = len(self.called)
        self.called.append(upstream.id)
        try:
            async with self._timers.timeout(call.deadline):
                await self._script[number](self._timers)
        except TimeoutError:
            raise UpstreamStalled(f"no response within {call.deadline:.2f} s") from None
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return ServiceResponse(status=200, body=b"%d" % number, content_type="text/plain")


def pause(seconds: float) -> Step:
    return lambda timers: timers.sleep(seconds)


def fail(error: BaobabError, *, after: float = 0.0) -> Step:
    async def run(timers: TimerService) -> None:
        await timers.sleep(after)
        raise error

    return run


def make_caller(
    *script: Step, upstreams: int = 2, retries: RetriesSection | None = None
) -> tuple[ServiceCaller, ScriptedService, TimerService]:
    view = FleetView(failure_domain="fes")
    view.set_vms(
        tuple(
            Vm(f"ledger-{index}", "upstream", "fes", f"127.0.0.1:{index + 1}", service="ledger")
            for index in range(upstreams)
        )
    )
    timers = TimerService(speed=SPEED)
    service = ScriptedService(timers, *script)
    caller = ServiceCaller(
        services=service,
        view=view,
        section=ServicesSection(),
        retries=retries or RetriesSection(),
        backpressure=EntryBackpressure(timers=timers),
        metrics=EntryMetrics(),
        timers=timers,
    )
    return caller, service, timers


@pytest.mark.parametrize("upstreams", [1, 2])
@pytest.mark.parametrize(
    "retries", [NO_RETRIES, RetriesSection(max_attempts=1)], ids=["budget", "attempts"]
)
async def test_a_lookup_survives_a_pause_while_no_retry_is_allowed(
    upstreams: int, retries: RetriesSection
) -> None:
    caller, service, _ = make_caller(pause(PAUSE_SECONDS), upstreams=upstreams, retries=retries)
    assert (await caller.run_idempotent(LOOKUP)).body == b"0"
    assert len(service.called) == 1


@pytest.mark.parametrize(
    "other",
    [
        pytest.param(pause(60.0), id="silent"),
        pytest.param(fail(UpstreamLost("reset")), id="lost"),
        pytest.param(fail(UpstreamOverloaded("full")), id="refused"),
        pytest.param(fail(UpstreamUnreachable("gone")), id="unreachable"),
    ],
)
async def test_a_lookup_survives_a_pause_when_its_replacement_fails(other: Step) -> None:
    retries = RetriesSection(max_attempts=2)
    caller, service, _ = make_caller(pause(PAUSE_SECONDS), other, retries=retries)
    assert (await caller.run_idempotent(LOOKUP)).body == b"0"
    assert len(set(service.called)) == 2


async def test_a_silent_lookup_is_answered_by_its_replacement() -> None:
    caller, service, timers = make_caller(pause(60.0), pause(0.1))
    began = timers.now()
    assert (await caller.run_idempotent(LOOKUP)).body == b"1"
    assert timers.now() - began < PAUSE_SECONDS
    assert len(set(service.called)) == 2
    assert service.cancelled == 1


async def test_a_retry_budget_that_fills_up_during_the_pause_is_used() -> None:
    retries = RetriesSection(share=1.0, burst=1)
    caller, service, _ = make_caller(
        pause(60.0), pause(60.0), pause(0.0), pause(0.1), retries=retries
    )
    first = asyncio.create_task(caller.run_idempotent(LOOKUP))
    await wait_until(lambda: len(service.called) == 2)
    await caller.run_idempotent(LOOKUP)
    assert (await first).body == b"3"


async def test_a_lookup_that_nobody_answers_ends_at_its_deadline_within_its_attempts() -> None:
    retries = RetriesSection(max_attempts=3)
    caller, service, timers = make_caller(*[pause(60.0)] * 4, retries=retries)
    began = timers.now()
    with pytest.raises(DeadlineExceeded):
        await caller.run_idempotent(LOOKUP)
    assert 9.9 < timers.now() - began < 12.0
    assert (len(service.called), service.cancelled) == (3, 3)


async def test_a_caller_that_leaves_ends_all_attempts() -> None:
    caller, service, _ = make_caller(*[pause(60.0)] * 4)
    task = asyncio.create_task(caller.run_idempotent(LOOKUP))
    await wait_until(lambda: len(service.called) == 2)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert service.cancelled == 2


@pytest.mark.parametrize(
    "script",
    [
        pytest.param([fail(UpstreamLost("reset")), fail(UpstreamOverloaded("full"))], id="lost"),
        pytest.param(
            [fail(UpstreamLost("reset"), after=2.2), fail(UpstreamOverloaded("full"), after=1.0)],
            id="lost-while-replaced",
        ),
    ],
)
async def test_a_lookup_that_may_have_run_is_not_reported_as_not_run(script: list[Step]) -> None:
    caller, service, _ = make_caller(*script, retries=RetriesSection(max_attempts=2))
    with pytest.raises(DeadlineExceeded) as caught:
        await caller.run_idempotent(LOOKUP)
    assert caught.value.ran is not False
    assert len(service.called) == 2


async def test_a_lookup_that_every_upstream_refused_is_reported_as_not_run() -> None:
    script = [fail(UpstreamOverloaded("full"))] * 2
    caller, _, _ = make_caller(*script, retries=RetriesSection(max_attempts=2))
    with pytest.raises(NoUpstream) as caught:
        await caller.run_idempotent(LOOKUP)
    assert caught.value.ran is False
