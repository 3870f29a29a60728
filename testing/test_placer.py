"""Waiting in lanes: who goes first, who is refused, and what is given back."""

from __future__ import annotations

import asyncio

import pytest
from builders import make_report
from builders import make_request
from builders import make_view

from baobabpulley.entry.placer import Placement
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


class _Bench:
    """A placer, its view and its clock."""

    def __init__(self, *, engines: int, lanes: LanesSection | None = None) -> None:
        self.timers = ManualTimers()
        self.view: FleetView = make_view(engines=engines)
        self.placer = make_placer(
            vm="vm-0",
            view=self.view,
            routing=RoutingSection(),
            lanes=lanes or LanesSection(),
            admission=AdmissionSection(),
            timers=self.timers,
        )
        self.order: list[str] = []

    async def place(self, request: CompletionRequest) -> Placement:
        """Place a request in the lane of its length and note when its turn came."""
        lane = SHORT if request.prompt_tokens <= 8_000 else LONG
        placement = await self.placer.place(request, lane=lane, excluded=frozenset())
        self.order.append(request.request_id)
        return placement

    async def run_shorts(self, count: int) -> None:
        """Place shorts, each of which ends at once."""
        for _ in range(count):
            placement = await self.place(make_request(tokens=8_000))
            self.placer.record_first_token(placement)
            self.placer.record_end(placement)

    def set_entry_vms(self, *names: str) -> None:
        """Have the VM list name these entry VMs beside the engines."""
        engines = [
            Vm(row.id, "upstream", row.failure_domain, row.address, service=row.service)
            for row in self.view.upstreams.values()
        ]
        entries = [Vm(id, "entry", self.view.failure_domain, "127.0.0.1:9") for id in names]
        self.view.set_vms((*engines, *entries))

    def start(self, request: CompletionRequest) -> asyncio.Task[Placement]:
        """Begin to place a request."""
        return asyncio.create_task(self.place(request))


async def settle() -> None:
    for _ in range(10):
        await asyncio.sleep(0)


async def test_one_long_prefill_at_a_time_and_shorts_do_not_wait_for_it() -> None:
    bench = _Bench(engines=1)
    first = await bench.place(make_request(tokens=100_000))
    second = bench.start(make_request(tokens=50_000))
    await settle()
    assert not second.done()
    short = await bench.place(make_request(tokens=3_000))
    assert short.attempt.priority < first.attempt.priority
    bench.placer.record_first_token(first)
    await settle()
    assert second.done()


async def test_without_the_single_long_setting_longs_share_an_engine() -> None:
    bench = _Bench(engines=1, lanes=LanesSection(single_long=False))
    await bench.place(make_request(tokens=100_000))
    await bench.place(make_request(tokens=50_000))
    assert bench.placer.waiting == 0


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
    bench = _Bench(engines=1, lanes=LanesSection(long_order=order, long_wait_bound=bound))
    running = await bench.place(make_request(tokens=9_000))
    large = make_request(tokens=200_000, seconds=1_000)
    small = make_request(tokens=10_000, seconds=1_000)
    tasks = [bench.start(large)]
    await settle()
    await bench.timers.advance(0.05)
    tasks.append(bench.start(small))
    await settle()
    await bench.timers.advance(0.06)
    bench.placer.record_first_token(running)
    await settle()
    expected = small if first == "small" else large
    assert bench.order[1:] == [expected.request_id]
    for task in tasks:
        task.cancel()


async def test_heavy_team_does_not_hold_up_another_teams_shorts() -> None:
    bench = _Bench(engines=1)
    running = [await bench.place(make_request(tokens=8_000)) for _ in range(2)]
    heavy = [make_request(tokens=4_000, team="heavy") for _ in range(8)]
    light = make_request(tokens=4_000, team="light")
    tasks = [bench.start(request) for request in (*heavy, light)]
    await settle()
    for placement in running:
        bench.placer.record_first_token(placement)
        await settle()
    assert light.request_id in bench.order[2:6]
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
    tokens = {team: sum(int(s[1:]) for s in served if s[0] == team) for team in "ab"}
    assert 1.8 <= tokens["a"] / tokens["b"] <= 2.2


async def test_queue_past_the_bound_refuses_at_once_as_not_run() -> None:
    bench = _Bench(engines=1)
    tasks = [bench.start(make_request(tokens=8_000)) for _ in range(12)]
    await settle()
    refused = [task for task in tasks if task.done() and task.exception() is not None]
    errors = [task.exception() for task in refused]
    assert refused
    assert all(isinstance(error, Overloaded) and error.retry_after for error in errors)
    assert bench.placer.waiting == len(tasks) - len(refused) - len(bench.order)
    # Those that went to the engine at once are waited for too.
    assert (len(tasks) - len(refused)) * 8_000 <= 2.0 * 20_000
    for task in tasks:
        task.cancel()


async def test_long_that_cannot_end_beside_the_shorts_is_refused_at_once() -> None:
    bench = _Bench(engines=1)
    await bench.run_shorts(24)
    with pytest.raises(Overloaded):
        await bench.place(make_request(tokens=100_000, seconds=50.0))


async def test_long_that_returns_to_its_lane_is_not_refused() -> None:
    bench = _Bench(engines=1)
    await bench.run_shorts(24)
    request = make_request(tokens=100_000, seconds=50.0)
    back = await bench.placer.place(
        request, lane=LONG, excluded=frozenset(), queued_at=bench.timers.now()
    )
    assert back.upstream.id == "engine-0"


async def test_wait_that_outlasts_the_deadline_ends_before_it() -> None:
    bench = _Bench(engines=1)
    await bench.place(make_request(tokens=9_000))
    request = make_request(tokens=10_000, seconds=1.3)
    request.deadline = bench.timers.now() + 2.0
    with pytest.raises(DeadlineBeforeStart):
        await asyncio.wait_for(bench.place(request), timeout=30.0)
    assert bench.placer.waiting == 0


async def test_cancelled_waiter_frees_its_place() -> None:
    bench = _Bench(engines=1)
    first = await bench.place(make_request(tokens=100_000))
    waiting = bench.start(make_request(tokens=100_000))
    await settle()
    bench.placer.record_first_token(first)
    waiting.cancel()
    await settle()
    assert bench.placer.waiting == 0
    # The place that the cancelled one had got is free again.
    await asyncio.wait_for(bench.place(make_request(tokens=100_000)), timeout=30.0)


async def test_suspected_engine_gets_work_again_after_its_next_report() -> None:
    bench = _Bench(engines=1)
    bench.placer.suspect("engine-0", seconds=100.0)
    with pytest.raises(NoUpstream):
        await bench.place(make_request(tokens=1_000))
    await bench.timers.advance(1.0)
    bench.view.set_load(make_report("engine-0"), measured_at=bench.timers.now())
    await bench.place(make_request(tokens=1_000))


async def test_engine_reserved_for_others_gets_shorts_and_for_a_moment_no_long() -> None:
    bench = _Bench(engines=2)
    for id in ("engine-0", "engine-1"):
        bench.placer.pause_long_requests(id)
        other = bench.start(make_request(tokens=100_000))
        await settle()
        # The other engine takes it; once both are reserved it waits.
        assert other.done() == (id == "engine-0")
        if other.done():
            assert other.result().upstream.id == "engine-1"
            bench.placer.record_end(other.result())
    await bench.place(make_request(tokens=3_000))
    await bench.timers.advance(1.1)
    await settle()
    assert other.done()


async def test_engine_that_fails_again_without_a_report_is_left_alone_for_longer() -> None:
    bench = _Bench(engines=1)
    for seconds in (3.0, 6.0, 12.0):
        bench.placer.suspect("engine-0", seconds=3.0)
        bench.placer.suspect("engine-0", seconds=3.0)
        await bench.timers.advance(seconds - 0.1)
        with pytest.raises(NoUpstream):
            await bench.place(make_request(tokens=1_000))
        await bench.timers.advance(0.2)
        await bench.place(make_request(tokens=1_000))


@pytest.mark.parametrize(
    "report",
    [make_report("engine-0", models=()), make_report("engine-0", memory_total=50_000)],
    ids=["model_not_loaded", "too_little_memory"],
)
async def test_engine_that_cannot_run_it_is_not_fit(report: object) -> None:
    bench = _Bench(engines=1)
    bench.view.set_load(report, measured_at=bench.timers.now())  # type: ignore[arg-type]
    with pytest.raises(NoUpstream):
        await bench.place(make_request(tokens=60_000))


async def test_missed_cache_events_halve_what_a_cached_prefix_weighs_in_routing() -> None:
    bench = _Bench(engines=2)
    request = make_request(tokens=2_000)
    warm = await bench.place(request)
    bench.placer.record_first_token(warm)
    bench.placer.record_end(warm)
    known = warm.upstream.id
    # More than half of the cached tokens wait there, and less than all of them.
    bench.view.set_load(make_report(known, queued_high=1_000), measured_at=bench.timers.now())
    placements = [await bench.place(request)]
    bench.placer.record_end(placements[0])
    bench.placer.receive(CacheDelta(known, "a", 9, gap=True), "keeper-0")
    placements.append(await bench.place(request))
    bench.placer.record_end(placements[1])
    bench.placer.record_usage(placements[0], cached_tokens=1_536)
    placements.append(await bench.place(request))
    assert [placement.upstream.id == known for placement in placements] == [True, False, True]
    assert [placement.cached_tokens for placement in placements] == [1_536, 0, 1_536]


async def test_long_keeps_to_its_entrys_own_engines_where_a_short_takes_another_entrys() -> None:
    bench = _Bench(engines=2)
    bench.set_entry_vms("vm-0", "vm-1")
    bench.view.set_load(
        make_report("engine-0", queued_high=4_000, queued=4_000), measured_at=1_000.0
    )
    short = await bench.place(make_request(tokens=3_000))
    bench.placer.record_end(short)
    long = await bench.place(make_request(tokens=100_000))
    second = await bench.place(make_request(tokens=100_000))
    chosen = [placement.upstream.id for placement in (short, long, second)]
    assert chosen == ["engine-1", "engine-0", "engine-1"]


async def test_engines_are_reassigned_when_the_entry_vms_change() -> None:
    bench = _Bench(engines=2)
    chosen = []
    for other in ("vm-1", "vm") * 6:
        bench.set_entry_vms("vm-0", other)
        placement = await bench.place(make_request(tokens=3_000))
        bench.placer.record_end(placement)
        chosen.append(placement.upstream.id)
    assert chosen == ["engine-0", "engine-1"] * 6
