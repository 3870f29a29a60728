"""Tests of what an entry does with plain services' upstreams that ask for no requests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager

import pytest

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_service import HttpPlainService
from baobabpulley.adapters.metrics import EntryMetrics
from baobabpulley.entry.backpressure import EntryBackpressure
from baobabpulley.entry.service_caller import ServiceCaller
from baobabpulley.entry.service_caller import ServicesSection
from baobabpulley.errors import BaobabError
from baobabpulley.errors import NoUpstream
from baobabpulley.errors import OutcomeUnknown
from baobabpulley.errors import UpstreamBackpressure
from baobabpulley.errors import UpstreamLost
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
# Far longer than a test takes.
PAUSE_SECONDS = 280.0
SHORT_PAUSE_SECONDS = 10.0
NO_RETRIES = RetriesSection(burst=0, share=0.0)
BUSY = UpstreamBackpressure("busy", asked_pause=PAUSE_SECONDS)
LOOKUP = PlainCall(
    service="ledger",
    team="souk",
    method="GET",
    path="/catalogue/saffron",
    body=b"",
    content_type="application/json",
)
REFUSED = b'{"error": {"code": "overloaded", "message": "busy", "ran": false}}'
OWN_ERROR = b'{"reason": "maintenance"}'

# An error to raise, a response, or ``None`` to stay silent.
Step = BaobabError | ServiceResponse | None
Call = Callable[[PlainCall], Awaitable[ServiceResponse]]


def respond(*, status: int = 200, asked_pause: float | None = None) -> ServiceResponse:
    return ServiceResponse(
        status=status, body=b"", content_type="text/plain", asked_pause=asked_pause
    )


class ScriptedService(PlainService):
    """Upstreams that respond to each attempt by the next step of a script, and then with 200."""

    def __init__(self, script: tuple[Step, ...]) -> None:
        self._script = list(script)
        self.called: list[str] = []

    async def call(self, upstream: Upstream, call: ServiceCall) -> ServiceResponse:
        self.called.append(upstream.id)
        step = self._script.pop(0) if self._script else respond()
        if step is None:
            await asyncio.Event().wait()
        if isinstance(step, BaobabError):
            raise step
        assert step is not None
        return step


class World:
    """A caller of a service whose upstreams follow a script."""

    def __init__(
        self, *script: Step, upstreams: int = 3, retries: RetriesSection = NO_RETRIES
    ) -> None:
        self.timers = TimerService(speed=SPEED)
        self.view = FleetView(failure_domain="fes")
        self.view.set_vms(
            tuple(
                Vm(f"ledger-{index}", "upstream", "fes", f"127.0.0.1:{index + 1}", service="ledger")
                for index in range(upstreams)
            )
        )
        self.service = ScriptedService(script)
        self.backpressure = EntryBackpressure(timers=self.timers)
        self.caller = ServiceCaller(
            services=self.service,
            view=self.view,
            section=ServicesSection(),
            retries=retries,
            backpressure=self.backpressure,
            metrics=EntryMetrics(),
            timers=self.timers,
        )

    @property
    def called(self) -> list[str]:
        """The upstreams of the attempts so far."""
        return self.service.called

    def call(self, kind: str) -> Call:
        return self.caller.run_idempotent if kind == "idempotent" else self.caller.run_once


@pytest.mark.parametrize("kind", ["idempotent", "once"])
async def test_an_upstream_that_refused_with_a_pause_gets_no_calls(kind: str) -> None:
    world = World(BUSY)
    call = world.call(kind)
    for _ in range(12):
        assert (await call(LOOKUP)).status == 200
    assert world.called.count(world.called[0]) == 1


@pytest.mark.parametrize("kind", ["idempotent", "once"])
async def test_a_response_of_the_service_itself_that_asks_for_a_pause_reaches_the_caller(
    kind: str,
) -> None:
    world = World(respond(status=503, asked_pause=PAUSE_SECONDS))
    call = world.call(kind)
    assert await call(LOOKUP) == respond(status=503)
    for _ in range(12):
        assert (await call(LOOKUP)).status == 200
    assert world.called.count(world.called[0]) == 1


async def test_a_call_that_may_have_run_is_not_repeated_elsewhere() -> None:
    world = World(UpstreamLost("503", asked_pause=PAUSE_SECONDS))
    with pytest.raises(OutcomeUnknown):
        await world.caller.run_once(LOOKUP)
    for _ in range(12):
        await world.caller.run_once(LOOKUP)
    assert world.called.count(world.called[0]) == 1


@pytest.mark.parametrize(
    "step",
    [
        UpstreamBackpressure("busy", asked_pause=SHORT_PAUSE_SECONDS),
        respond(status=503, asked_pause=SHORT_PAUSE_SECONDS),
    ],
    ids=["refused", "responded"],
)
async def test_an_upstream_gets_calls_as_soon_as_its_pause_is_over(step: Step) -> None:
    world = World(step, upstreams=2, retries=RetriesSection(suspect=1_000.0))
    await world.caller.run_idempotent(LOOKUP)
    await world.timers.sleep(SHORT_PAUSE_SECONDS)
    called = len(world.called)
    for _ in range(4):
        await world.caller.run_idempotent(LOOKUP)
    assert world.called[called:].count(world.called[0]) == 2


async def test_refusals_that_ask_for_a_pause_cost_no_retry() -> None:
    world = World(BUSY, BUSY)
    assert (await world.caller.run_idempotent(LOOKUP)).status == 200
    assert len(set(world.called)) == 3


async def test_a_refused_attempt_beside_a_silent_one_costs_no_retry() -> None:
    retries = RetriesSection(burst=1, share=0.0)
    world = World(None, BUSY, retries=retries)
    assert (await world.caller.run_idempotent(LOOKUP)).status == 200
    assert len(set(world.called)) == 3


async def test_attempts_that_may_have_run_cost_a_retry() -> None:
    world = World(UpstreamLost("503", asked_pause=PAUSE_SECONDS))
    with pytest.raises(BaobabError):
        await world.caller.run_idempotent(LOOKUP)
    assert len(world.called) == 1


async def test_a_call_has_few_attempts_even_if_they_cost_no_retry() -> None:
    world = World(*[BUSY] * 20, upstreams=10)
    with pytest.raises(NoUpstream):
        await world.caller.run_idempotent(LOOKUP)
    assert len(world.called) == RetriesSection().max_attempts


@pytest.mark.parametrize("kind", ["idempotent", "once"])
@pytest.mark.parametrize("upstreams", [1, 3, 4])
async def test_callers_are_told_the_earliest_end_if_all_upstreams_asked(
    kind: str, upstreams: int
) -> None:
    pauses = [PAUSE_SECONDS, 100.0, 150.0, 200.0][:upstreams]
    script = [UpstreamBackpressure("busy", asked_pause=pause) for pause in pauses]
    world = World(*script, upstreams=upstreams)
    delays = set()
    for _ in range(5):
        with pytest.raises(NoUpstream) as caught:
            await world.call(kind)(LOOKUP)
        assert caught.value.retry_after is not None
        delays.add(caught.value.retry_after)
    assert len(world.called) == upstreams
    assert len(delays) == 5
    assert min(pauses) * 0.9 < min(delays) <= max(delays) <= 2 * min(pauses)


@asynccontextmanager
async def listen(port: int, head: bytes, body: bytes) -> AsyncIterator[Upstream]:
    """Serve one response to each connection."""

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 503 Busy\r\n" + head + b"\r\n\r\n" + body)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", port)
    async with server:
        yield Upstream("ledger-0", "ledger", "fes", f"127.0.0.1:{port}")


async def call_over_http(upstream: Upstream) -> ServiceResponse:
    service = HttpPlainService(client=HttpClient(), timers=TimerService())
    call = ServiceCall(
        attempt="a-1",
        method="GET",
        path="/catalogue/saffron",
        body=b"",
        content_type="application/json",
        deadline=5.0,
        team="souk",
    )
    return await service.call(upstream, call)


async def test_a_refusal_over_http_keeps_its_retry_after(base_port: int) -> None:
    head = b"Retry-After: 7\r\nContent-Length: %d" % len(REFUSED)
    async with listen(base_port + 980, head, REFUSED) as upstream:
        with pytest.raises(UpstreamBackpressure) as caught:
            await call_over_http(upstream)
    assert caught.value.asked_pause == 7.0


async def test_an_error_of_the_service_itself_keeps_its_retry_after(base_port: int) -> None:
    head = b"Retry-After: 7\r\nContent-Length: %d" % len(OWN_ERROR)
    async with listen(base_port + 981, head, OWN_ERROR) as upstream:
        response = await call_over_http(upstream)
    assert (response.status, response.body, response.asked_pause) == (503, OWN_ERROR, 7.0)


async def test_a_response_that_is_cut_short_keeps_its_retry_after(base_port: int) -> None:
    head = b"Retry-After: 7\r\nContent-Length: 1000"
    async with listen(base_port + 982, head, REFUSED) as upstream:
        with pytest.raises(UpstreamLost) as caught:
            await call_over_http(upstream)
    assert caught.value.asked_pause == 7.0
