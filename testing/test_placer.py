"""Tests of queueing in lanes: order, refusals and the release of places."""

from __future__ import annotations

import asyncio

import pytest
from builders import make_report
from builders import make_request
from builders import make_view

from baobabpulley.entry.backpressure import EntryBackpressure
from baobabpulley.entry.placements import Placement
from baobabpulley.entry.placer import make_placer
from baobabpulley.errors import DeadlineBeforeStart
from baobabpulley.errors import NoUpstream
from baobabpulley.errors import Overloaded
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.messages import CacheDelta
from baobabpulley.model.requests import CompletionRequest
from baobabpulley.model.upstreams import Vm
from baobabpulley.policy.admission import AdmissionSection
from baobabpulley.policy.fairness import DeficitQueue
from baobabpulley.policy.lanes import LONG
from baobabpulley.policy.lanes import SHORT
from baobabpulley.policy.lanes import LanesSection
from baobabpulley.policy.routing import RoutingSection
from baobabpulley.timers import ManualTimers


class _PlacerHarness:
    """A placer with its fleet view and manual timers."""

    def __init__(self, *, engines: int, lanes: LanesSection | None = None) -> None:
        self.timers = ManualTimers()
        self.view: FleetView = make_view(engines=engines)
        self.placer = make_placer(
            vm="vm-0",
            view=self.view,
            routing=RoutingSection(),
            lanes=lanes or LanesSection(),
            admission=AdmissionSection(),
            backpressure=EntryBackpressure(timers=self.timers),
            timers=self.timers,
        )
        self.order: list[str] = []

    async def place(self, request: CompletionRequest) -> Placement:
        """Place a request in the lane of its length and append its id to ``order``."""
        lane = SHORT if request.prompt_tokens <= 8_000 else LONG
        placement = await self.placer.place(request, lane=lane, excluded=frozenset())
        self.order.append(request.request_id)
        return placement

    async def run_short_requests(self, count: int) -> None:
        """Place short requests, each of which ends at once."""
        for _ in range(count):
            placement = await self.place(make_request(tokens=8_000))
            self.placer.record_first_token(placement)
            self.placer.record_end(placement)

    def set_entry_vms(self, *names: str) -> None:
        """Set the VM list to the engines and the entry VMs with these names."""
        engines = [
            Vm(row.id, "upstream", row.failure_domain, row.address, service=row.service)
            for row in self.view.upstreams.values()
        ]
        entries = [Vm(id, "entry", self.view.failure_domain, "127.0.0.1:9") for id in names]
        self.view.set_vms((*engines, *entries))

    def start(self, request: CompletionRequest) -> asyncio.Task[Placement]:
        """Start a task that places a request."""
        return asyncio.create_task(self.place(request))


async def settle() -> None:
    for _ in range(10):
        await asyncio.sleep(0)


async def test_one_long_prefill_at_a_time_and_shorts_do_not_wait_for_it() -> None:
    harness = _PlacerHarness(engines=1)
    first = await harness.place(make_request(tokens=100_000))
    second = harness.start(make_request(tokens=50_000))
    await settle()
    assert not second.done()
    short = await harness.place(make_request(tokens=3_000))
    assert short.attempt.priority < first.attempt.priority
    harness.placer.record_first_token(first)
    await settle()
    assert second.done()


async def test_without_the_single_long_setting_longs_share_an_engine() -> None:
    harness = _PlacerHarness(engines=1, lanes=LanesSection(single_long=False))
    await harness.place(make_request(tokens=100_000))
    await harness.place(make_request(tokens=50_000))
    assert harness.placer.waiting == 0


@pytest.mark.parametrize(
    ("order", "bound", "first"),
    [
        ("response_ratio", 60.0, "small"),
        ("arrival", 60.0, "large"),
        ("response_ratio", 0.1, "large"),
    ],
    ids=["response_ratio", "arrival", "past_the_wait_bound"],
)
async def test_waiting_longs_run_in_the_configured_order(
    order: str, bound: float, first: str
) -> None:
    harness = _PlacerHarness(engines=1, lanes=LanesSection(long_order=order, long_wait_bound=bound))
    running = await harness.place(make_request(tokens=9_000))
    large = make_request(tokens=200_000, seconds=1_000)
    small = make_request(tokens=10_000, seconds=1_000)
    tasks = [harness.start(large)]
    await settle()
    await harness.timers.advance(0.05)
    tasks.append(harness.start(small))
    await settle()
    await harness.timers.advance(0.06)
    harness.placer.record_first_token(running)
    await settle()
    expected = small if first == "small" else large
    assert harness.order[1:] == [expected.request_id]
    for task in tasks:
        task.cancel()


async def test_heavy_team_does_not_hold_up_another_teams_shorts() -> None:
    harness = _PlacerHarness(engines=1)
    running = [await harness.place(make_request(tokens=8_000)) for _ in range(2)]
    heavy = [make_request(tokens=4_000, team="heavy") for _ in range(8)]
    light = make_request(tokens=4_000, team="light")
    tasks = [harness.start(request) for request in (*heavy, light)]
    await settle()
    for placement in running:
        harness.placer.record_first_token(placement)
        await settle()
    assert light.request_id in harness.order[2:6]
    for task in tasks:
        task.cancel()


def test_deficit_round_robin_shares_tokens_by_weight() -> None:
    queue = DeficitQueue[str](
        quantum=100, cost=lambda item: int(item[1:]), weight=lambda team: 2.0 if team == "a" else 1
    )
    for _ in range(40):
        queue.push("a", "a50")
        queue.push("b", "b100")
    served = [queue.take() or "" for _ in range(40)]
    tokens = {team: sum(int(item[1:]) for item in served if item[0] == team) for team in "ab"}
    assert 1.8 <= tokens["a"] / tokens["b"] <= 2.2


async def test_queue_past_the_bound_refuses_at_once_as_not_run() -> None:
    harness = _PlacerHarness(engines=1)
    tasks = [harness.start(make_request(tokens=8_000)) for _ in range(12)]
    await settle()
    refused = [task for task in tasks if task.done() and task.exception() is not None]
    errors = [task.exception() for task in refused]
    assert refused
    assert all(isinstance(error, Overloaded) and error.retry_after for error in errors)
    assert harness.placer.waiting == len(tasks) - len(refused) - len(harness.order)
    # Requests that were placed at once count towards the bound too.
    assert (len(tasks) - len(refused)) * 8_000 <= 2.0 * 20_000
    for task in tasks:
        task.cancel()


async def test_long_that_cannot_end_beside_the_shorts_is_refused_at_once() -> None:
    harness = _PlacerHarness(engines=1)
    await harness.run_short_requests(24)
    with pytest.raises(Overloaded):
        await harness.place(make_request(tokens=100_000, seconds=50.0))


async def test_long_that_returns_to_its_lane_is_not_refused() -> None:
    harness = _PlacerHarness(engines=1)
    await harness.run_short_requests(24)
    request = make_request(tokens=100_000, seconds=50.0)
    placement = await harness.placer.place(
        request, lane=LONG, excluded=frozenset(), queued_at=harness.timers.now()
    )
    assert placement.upstream.id == "engine-0"


async def test_wait_that_outlasts_the_deadline_ends_before_it() -> None:
    harness = _PlacerHarness(engines=1)
    await harness.place(make_request(tokens=9_000))
    request = make_request(tokens=10_000, seconds=1.3)
    request.deadline = harness.timers.now() + 2.0
    with pytest.raises(DeadlineBeforeStart):
        await asyncio.wait_for(harness.place(request), timeout=30.0)
    assert harness.placer.waiting == 0


async def test_cancelled_waiter_frees_its_place() -> None:
    harness = _PlacerHarness(engines=1)
    first = await harness.place(make_request(tokens=100_000))
    waiting = harness.start(make_request(tokens=100_000))
    await settle()
    harness.placer.record_first_token(first)
    waiting.cancel()
    await settle()
    assert harness.placer.waiting == 0
    # The place that was granted to the cancelled request is free again.
    await asyncio.wait_for(harness.place(make_request(tokens=100_000)), timeout=30.0)


async def test_suspected_engine_gets_work_again_after_its_next_report() -> None:
    harness = _PlacerHarness(engines=1)
    harness.placer.suspect("engine-0", seconds=100.0)
    with pytest.raises(NoUpstream):
        await harness.place(make_request(tokens=1_000))
    await harness.timers.advance(1.0)
    harness.view.set_load(make_report("engine-0"), measured_at=harness.timers.now())
    await harness.place(make_request(tokens=1_000))


async def test_engine_reserved_for_others_gets_shorts_and_for_a_moment_no_long() -> None:
    harness = _PlacerHarness(engines=2)
    for id in ("engine-0", "engine-1"):
        harness.placer.pause_long_requests(id)
        long = harness.start(make_request(tokens=100_000))
        await settle()
        # The other engine takes the request; once both are reserved it waits.
        assert long.done() == (id == "engine-0")
        if long.done():
            assert long.result().upstream.id == "engine-1"
            harness.placer.record_end(long.result())
    await harness.place(make_request(tokens=3_000))
    await harness.timers.advance(1.1)
    await settle()
    assert long.done()


async def test_engine_that_fails_again_without_a_report_is_left_alone_for_longer() -> None:
    harness = _PlacerHarness(engines=1)
    for seconds in (3.0, 6.0, 12.0):
        harness.placer.suspect("engine-0", seconds=3.0)
        harness.placer.suspect("engine-0", seconds=3.0)
        await harness.timers.advance(seconds - 0.1)
        with pytest.raises(NoUpstream):
            await harness.place(make_request(tokens=1_000))
        await harness.timers.advance(0.2)
        await harness.place(make_request(tokens=1_000))


@pytest.mark.parametrize(
    "report",
    [make_report("engine-0", models=()), make_report("engine-0", memory_total=50_000)],
    ids=["model_not_loaded", "too_little_memory"],
)
async def test_engine_that_cannot_run_it_is_not_fit(report: object) -> None:
    harness = _PlacerHarness(engines=1)
    harness.view.set_load(report, measured_at=harness.timers.now())  # type: ignore[arg-type]
    with pytest.raises(NoUpstream):
        await harness.place(make_request(tokens=60_000))


async def test_missed_cache_events_halve_what_a_cached_prefix_weighs_in_routing() -> None:
    harness = _PlacerHarness(engines=2)
    request = make_request(tokens=2_000)
    first = await harness.place(request)
    harness.placer.record_first_token(first)
    harness.placer.record_end(first)
    caching_engine = first.upstream.id
    # The engine's queue exceeds half of the cached tokens, but not all of them.
    harness.view.set_load(
        make_report(caching_engine, queued_high=1_000), measured_at=harness.timers.now()
    )
    placements = [await harness.place(request)]
    harness.placer.record_end(placements[0])
    harness.placer.receive(CacheDelta(caching_engine, "a", 9, gap=True), "keeper-0")
    placements.append(await harness.place(request))
    harness.placer.record_end(placements[1])
    harness.placer.record_usage(placements[0], cached_tokens=1_536)
    placements.append(await harness.place(request))
    assert [placement.upstream.id == caching_engine for placement in placements] == [
        True,
        False,
        True,
    ]
    assert [placement.cached_tokens for placement in placements] == [1_536, 0, 1_536]


async def test_long_keeps_to_its_entrys_own_engines_where_a_short_takes_another_entrys() -> None:
    harness = _PlacerHarness(engines=2)
    harness.set_entry_vms("vm-0", "vm-1")
    harness.view.set_load(
        make_report("engine-0", queued_high=4_000, queued=4_000), measured_at=1_000.0
    )
    short = await harness.place(make_request(tokens=3_000))
    harness.placer.record_end(short)
    long = await harness.place(make_request(tokens=100_000))
    second = await harness.place(make_request(tokens=100_000))
    chosen = [placement.upstream.id for placement in (short, long, second)]
    assert chosen == ["engine-1", "engine-0", "engine-1"]


async def test_engines_are_reassigned_when_the_entry_vms_change() -> None:
    harness = _PlacerHarness(engines=2)
    chosen = []
    for other_vm in ("vm-1", "vm") * 6:
        harness.set_entry_vms("vm-0", other_vm)
        placement = await harness.place(make_request(tokens=3_000))
        harness.placer.record_end(placement)
        chosen.append(placement.upstream.id)
    assert chosen == ["engine-0", "engine-1"] * 6
