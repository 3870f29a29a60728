"""Gateways over upstreams that pause or refuse requests under a planned load."""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from pathlib import Path
from typing import Final
from typing import final

import platform_upstream as upstreams
from gateway_builders import DEADLINE_MS
from gateway_builders import KITCHEN
from gateway_builders import LEDGER
from gateway_builders import World
from gateway_builders import configuration
from gateway_builders import open_world
from gateway_builders import request_bytes
from gateway_builders import route
from gateway_builders import wait_until
from platform_upstream import Call
from platform_upstream import UpstreamStandin

from baobabpulley.emulator.upstream_pauses import FIRST_EVENT_OBJECTIVE_SECONDS
from baobabpulley.emulator.upstream_pauses import LOOKUP_PATH
from baobabpulley.emulator.upstream_pauses import ORDER_PATH
from baobabpulley.emulator.upstream_pauses import STREAM_PATH
from baobabpulley.emulator.upstream_pauses import PauseJournal
from baobabpulley.emulator.upstream_pauses import PausePlan
from baobabpulley.emulator.upstream_pauses import PlannedRequest
from baobabpulley.emulator.upstream_pauses import RequestResult
from baobabpulley.emulator.upstream_pauses import UpstreamArrival
from baobabpulley.gateway.daemon import Gateway
from baobabpulley.gateway.sections import RetryBudgetSection
from baobabpulley.platform import names

STREAM_DEADLINE_MS: Final = 10_000
# Up to this many gateways are in one failure domain, more are spread over several.
GATEWAYS_PER_DOMAIN: Final = 6
TOKEN_COUNTS: Final = "5000,1000"
RESPONSE_TIMEOUT_SECONDS: Final = 20.0
WATCH_PERIOD_SECONDS: Final = 0.1
MS_PER_SECOND: Final = 1000


@final
class PausingUpstream:
    """An upstream with slots that is sound but for the faults of a plan."""

    def __init__(
        self, standin: UpstreamStandin, *, faulty: bool, journal: PauseJournal, began: float
    ) -> None:
        self._plan = journal.plan
        self._journal = journal
        self._began = began
        self._faulty = faulty
        self._slots = asyncio.Semaphore(self._plan.speed.slots)
        standin.behaviour = self.answer

    async def answer(self, upstream: UpstreamStandin, call: Call) -> None:
        """Wait for the end of a pause, then refuse, or queue for a slot and answer."""
        left = self._plan.faults.refusal_left(self._now()) if self._faulty else 0.0
        self._record_arrival(upstream, call, refused=left > 0)
        await self._work(0.0)
        if left > 0:
            seconds = math.ceil(MS_PER_SECOND * left) / MS_PER_SECOND
            await upstreams.refuse_with_retry_after(f"{seconds:.3f}")(upstream, call)
            return
        async with self._slots:
            if upstream.service == KITCHEN:
                await self._stream(upstream, call)
            else:
                await self._work(self._plan.speed.call)
                await upstreams.answer_complete(upstream, call)

    def _record_arrival(self, upstream: UpstreamStandin, call: Call, *, refused: bool) -> None:
        silent = self._faulty and self._plan.faults.pause_left(self._now()) > 0
        self._journal.arrivals.append(
            UpstreamArrival(
                request=call.attempt,
                gateway=self._journal.gateways[call.attempt],
                upstream=upstream.name,
                at=self._now(),
                faulty=self._faulty,
                refused=refused,
                beyond_slots=self._slots.locked() and not silent and not refused,
            )
        )

    async def _stream(self, upstream: UpstreamStandin, call: Call) -> None:
        speed = self._plan.speed
        last = call.headers.get(names.LAST_EVENT.lower())
        begin = 0 if last is None else int(last) + 1
        end = int(call.target.removeprefix(STREAM_PATH))
        await self._work(speed.first_event)
        seal = f"{names.SEAL}: s.{upstream.name}"
        framing = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        await call.write(call.head(200, seal, *framing))
        for number in range(begin, end):
            if number > begin:
                await self._work(speed.event_gap)
            await call.write_chunk(b"id: %d\ndata: piece %d\n\n" % (number, number))
        await call.write(b"0\r\n\r\n")

    async def _work(self, seconds: float) -> None:
        """Work for so long; nothing goes on during a pause."""
        faults = self._plan.faults
        while self._faulty:
            await asyncio.sleep(faults.pause_left(self._now()))
            step = min(seconds, faults.until_pause(self._now()))
            if step >= seconds:
                break
            await asyncio.sleep(step)
            seconds -= step
        await asyncio.sleep(seconds)

    def _now(self) -> float:
        return time.monotonic() - self._began


@final
class _Caller:
    """Send one planned request and record what comes back."""

    def __init__(self, world: World, journal: PauseJournal, *, began: float) -> None:
        self._world = world
        self._journal = journal
        self._began = began

    async def send(self, request: PlannedRequest) -> None:
        await asyncio.sleep(self._began + request.at - time.monotonic())
        sent_at = time.monotonic()
        address = self._world.gateways[request.gateway].node.callers
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(_encoded(request))
            result = await asyncio.wait_for(
                _read_result(reader, request, sent_at), RESPONSE_TIMEOUT_SECONDS
            )
        except TimeoutError:
            result = RequestResult(request, 0, False, None, time.monotonic() - sent_at)
        finally:
            writer.close()
        self._journal.results.append(result)


def _encoded(request: PlannedRequest) -> bytes:
    is_stream = request.path == STREAM_PATH
    deadline = STREAM_DEADLINE_MS if is_stream else DEADLINE_MS
    headers = {
        names.ATTEMPT: request.id,
        names.REMAINING_MS: str(deadline),
        names.TOKEN_COUNTS: TOKEN_COUNTS,
    }
    return request_bytes(f"{request.path}{request.events}", **headers)


async def _read_result(
    reader: asyncio.StreamReader, request: PlannedRequest, sent_at: float
) -> RequestResult:
    status, first, whole = 0, None, False
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").lower()
        status = int(head.split(" ")[1])
        if "transfer-encoding: chunked" in head:
            body = b""
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += (await reader.readexactly(size + 2))[:-2]
                first = first or time.monotonic() - sent_at
            ids = [int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")]
            whole = ids == list(range(request.events))
        else:
            length = head.partition("content-length: ")[2].partition("\r\n")[0]
            await reader.readexactly(int(length))
            whole = not request.events
    return RequestResult(request, status, whole, first, time.monotonic() - sent_at)


async def run_plan(plan: PausePlan, folder: Path) -> PauseJournal:
    """Run a plan on a new fleet and return what was seen."""
    journal = PauseJournal(plan)
    async with open_world(folder) as world:
        world.store.put(names.CONFIGURATION_KEY, _configuration())
        await _start_fleet(world, plan)
        began = time.monotonic()
        for service in (KITCHEN, LEDGER):
            of_service = [up for up in world.upstreams.values() if up.service == service]
            faulty = plan.faults.faulty(len(of_service))
            for number, upstream in enumerate(of_service):
                PausingUpstream(upstream, faulty=number < faulty, journal=journal, began=began)
        watch = asyncio.create_task(_watch_kept_out(world, journal, began=began))
        caller = _Caller(world, journal, began=began)
        await asyncio.gather(*(caller.send(request) for request in journal.requests))
        watch.cancel()
    return journal


async def _watch_kept_out(world: World, journal: PauseJournal, *, began: float) -> None:
    """Record until when gateways keep upstreams from work."""
    while True:
        await asyncio.sleep(WATCH_PERIOD_SECONDS)
        if any(_keeps_upstreams_out(gateway) for gateway in world.gateways):
            journal.record_kept_out(at=time.monotonic() - began)


def _keeps_upstreams_out(gateway: Gateway) -> bool:
    listed = list(gateway.fleet_state.upstreams.values())
    return gateway.record.usable(listed) != listed


async def _start_fleet(world: World, plan: PausePlan) -> None:
    domains = max(1, plan.gateways // GATEWAYS_PER_DOMAIN)
    for service, count in ((KITCHEN, plan.engines), (LEDGER, plan.services)):
        for number in range(count):
            await world.add_upstream(
                f"{service}-{number}",
                service=service,
                slots=plan.speed.slots,
                zone=f"domain-{number % domains}",
            )
    defaults = RetryBudgetSection()
    for number in range(plan.gateways):
        gateway = await world.add_gateway(failure_domain=f"domain-{number % domains}")
        gateway.retry_budget.configure(
            ratio=defaults.ratio, slack=defaults.slack, window=defaults.window
        )
    await wait_until(
        lambda: all(
            gateway.gossip.gateway_count == plan.gateways and gateway.fleet_state.table.version == 2
            for gateway in world.gateways
        ),
        seconds=20.0,
    )


def _configuration() -> bytes:
    objective = round(1000 * FIRST_EVENT_OBJECTIVE_SECONDS)
    stream = {"timeout-ms": STREAM_DEADLINE_MS, "target-latency-ms": objective}
    routes = [
        route(STREAM_PATH, KITCHEN, names.KIND_STREAM, **stream),
        route(ORDER_PATH, LEDGER, names.KIND_ONCE),
        route(LOOKUP_PATH, LEDGER, names.KIND_IDEMPOTENT),
    ]
    return configuration(2, routes=routes)
