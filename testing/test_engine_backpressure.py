"""Tests of upstreams of the product's own interface that refuse work with a Retry-After."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import final

import pytest
from builders import MODEL
from builders import make_request
from builders import make_view

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_engine import HttpEngine
from baobabpulley.adapters.http_service import HttpPlainService
from baobabpulley.adapters.metrics import EntryMetrics
from baobabpulley.entry.backpressure import EntryBackpressure
from baobabpulley.entry.backpressure_engine import BackpressureEngine
from baobabpulley.entry.dispatch import Dispatcher
from baobabpulley.entry.placer import make_placer
from baobabpulley.entry.resuming_engine import ResumingEngine
from baobabpulley.entry.service_caller import ServiceCaller
from baobabpulley.entry.service_caller import ServicesSection
from baobabpulley.errors import UpstreamRefused
from baobabpulley.model.calls import PlainCall
from baobabpulley.model.decisions import DecisionRecord
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.upstreams import Upstream
from baobabpulley.model.upstreams import Vm
from baobabpulley.policy.admission import AdmissionSection
from baobabpulley.policy.lanes import LanesSection
from baobabpulley.policy.retries import RetriesSection
from baobabpulley.policy.routing import RoutingSection
from baobabpulley.ports.plain_service import PlainService
from baobabpulley.ports.plain_service import ServiceCall
from baobabpulley.ports.plain_service import ServiceResponse
from baobabpulley.standins.engine import EngineStandin
from baobabpulley.standins.engine_core import EngineProfile
from baobabpulley.standins.faults import FaultOrder
from baobabpulley.standins.service import ServiceStandin
from baobabpulley.timers import TimerService

SPEED = 4.0
RETRY_AFTER_SECONDS = 3.0
MAX_REFUSED_REQUESTS = 2
REQUEST_PERIOD_SECONDS = 0.05
UPSTREAMS = 3
LOOKUP = PlainCall(
    service="ledger",
    team="souk",
    method="GET",
    path="/catalogue/saffron",
    body=b"",
    content_type="application/json",
)


@final
class CountingService(PlainService):
    """Count the calls that upstreams refuse."""

    def __init__(self, services: PlainService) -> None:
        self._services = services
        self.refused: Counter[str] = Counter()

    async def call(self, upstream: Upstream, call: ServiceCall) -> ServiceResponse:
        try:
            return await self._services.call(upstream, call)
        except UpstreamRefused:
            self.refused[upstream.id] += 1
            raise


def make_fleet_view(service: str, addresses: list[str]) -> FleetView:
    view = make_view(engines=0)
    view.set_vms(
        tuple(
            Vm(f"{service}-{number}", "upstream", "fes", address, service=service)
            for number, address in enumerate(addresses)
        )
    )
    return view


def make_dispatcher(view: FleetView, timers: TimerService) -> Dispatcher:
    lanes, metrics = LanesSection(), EntryMetrics()
    backpressure = EntryBackpressure(timers=timers)
    engine = ResumingEngine(
        engine=HttpEngine(client=HttpClient(), timers=timers), metrics=metrics, timers=timers
    )
    return Dispatcher(
        holder="entry-0",
        engine=BackpressureEngine(engine=engine, backpressure=backpressure),
        view=view,
        placer=make_placer(
            vm="vm-0",
            view=view,
            routing=RoutingSection(),
            lanes=lanes,
            admission=AdmissionSection(),
            backpressure=backpressure,
            timers=timers,
        ),
        lanes=lanes,
        retries=RetriesSection(),
        metrics=metrics,
        timers=timers,
    )


async def test_an_engine_gets_no_requests_until_its_retry_after_is_over(base_port: int) -> None:
    timers = TimerService(speed=SPEED)
    engines = [
        EngineStandin(
            id=f"kitchen-{number}",
            address=f"127.0.0.1:{base_port + 960 + number}",
            models=(MODEL,),
            profile=EngineProfile(),
            timers=timers,
        )
        for number in range(UPSTREAMS)
    ]
    for engine in engines:
        engine.start()
    dispatcher = make_dispatcher(
        make_fleet_view("kitchen", [engine.address for engine in engines]), timers
    )
    busy = engines[0]
    busy.faults.apply(FaultOrder(kind="busy", seconds=RETRY_AFTER_SECONDS))

    async def complete() -> None:
        request = make_request(tokens=1_000, arrived=timers.now(), seconds=60.0)
        record = DecisionRecord(request_id=request.request_id, team=request.team)
        async for _ in dispatcher.run(request, record):
            pass

    tasks = []
    while busy.faults.busy_seconds > 0:
        tasks.append(asyncio.create_task(complete()))
        await timers.sleep(REQUEST_PERIOD_SECONDS)
    results = await asyncio.gather(*tasks, return_exceptions=True)
    for engine in engines:
        await engine.stop()
    refused = sum(line["outcome"] == "overloaded" for line in busy.journal)
    failed = [result for result in results if result is not None]
    assert 1 <= refused <= MAX_REFUSED_REQUESTS, f"{len(failed)} of {len(results)} failed"
    assert failed == []


@pytest.mark.parametrize("seconds", [RETRY_AFTER_SECONDS, 10.0])
async def test_a_service_gets_no_requests_until_its_retry_after_is_over(
    base_port: int, seconds: float
) -> None:
    timers = TimerService(speed=SPEED)
    standins = [
        ServiceStandin(
            id=f"ledger-{number}", address=f"127.0.0.1:{base_port + 970 + number}", timers=timers
        )
        for number in range(UPSTREAMS)
    ]
    for standin in standins:
        standin.start()
    services = CountingService(HttpPlainService(client=HttpClient(), timers=timers))
    caller = ServiceCaller(
        services=services,
        view=make_fleet_view("ledger", [standin.address for standin in standins]),
        section=ServicesSection(),
        retries=RetriesSection(),
        backpressure=EntryBackpressure(timers=timers),
        metrics=EntryMetrics(),
        timers=timers,
    )
    busy = standins[0]
    busy.faults.apply(FaultOrder(kind="busy", seconds=seconds))
    while busy.faults.busy_seconds > 0:
        assert (await caller.run_idempotent(LOOKUP)).status == 200
        await timers.sleep(REQUEST_PERIOD_SECONDS)
    for standin in standins:
        await standin.stop()
    assert 1 <= services.refused["ledger-0"] <= MAX_REFUSED_REQUESTS
