"""A small fleet under mixed load, overload and loss of engines, entries and failure domains."""

from __future__ import annotations

import asyncio
import statistics
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

import pytest
import pytest_asyncio

from baobabpulley.emulator.bench_mix import PREFILL_TOKENS_PER_SECOND
from baobabpulley.emulator.bench_mix import fetch_attempt_count
from baobabpulley.emulator.bench_mix import mix_plan
from baobabpulley.emulator.bench_mix import mix_trace
from baobabpulley.emulator.bench_mix import run_trace
from baobabpulley.emulator.bench_overload import REFUSAL_CODES
from baobabpulley.emulator.bench_overload import goodput
from baobabpulley.emulator.bench_overload import run_phase
from baobabpulley.emulator.bench_overload import running_fleet_trace
from baobabpulley.emulator.caller import Caller
from baobabpulley.emulator.fleet import MODEL
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.fleet import caller_token
from baobabpulley.emulator.load import Sample
from baobabpulley.emulator.load import start_load
from baobabpulley.emulator.mix_report import outcome_of
from baobabpulley.emulator.mix_report import percentiles
from baobabpulley.emulator.mix_report import summarise
from baobabpulley.emulator.trace import PromptMix
from baobabpulley.emulator.trace import without_long_prompts
from baobabpulley.entry.forwarding import FORWARDED_HEADER
from baobabpulley.standins.text import make_prompt

SPEED = 4.0
MIX = PromptMix(longest=120_000)
ALLOWED = {"ok", "deadline_before_start", "deadline_exceeded", *REFUSAL_CODES}
# Time that the clients and a busy machine may add, in model seconds (real seconds x SPEED).
GRACE_SECONDS = 20.0

pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet(base_port: int, tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[Fleet]:
    plan = mix_plan(base_port=base_port, speed=SPEED, engines=6, entries=3)
    async with Fleet(plan=plan, directory=tmp_path_factory.mktemp("mix")) as running:
        yield running


def deadline_of(sample: Sample) -> float:
    """Return the deadline, in model seconds, that an entry sets for a request of this length."""
    return 20.0 + 0.0003 * sample.tokens + 0.2 * 8


async def fetch_journal(fleet: Fleet, engine: str) -> dict[str, Any]:
    """Fetch an engine's journal of requests and orders."""
    journal: dict[str, Any] = await fleet.request(fleet.address_of(engine), "GET", "/journal")
    return journal


def running_engines(fleet: Fleet) -> list[str]:
    """Return the names of the engines whose process is running."""
    return [
        name
        for name, process in fleet.processes.items()
        if name.startswith("engine") and process.running
    ]


async def test_long_prompts_hardly_slow_short_ones_down(fleet: Fleet) -> None:
    # Medians of three pairs of runs: the runs of a pair are not simultaneous, and one stall of the
    # machine of 0.3 s is enough to distort a pair.
    slowdowns, tail_ratios = zip(
        *[await measure_slowdown(fleet, seed=seed) for seed in (3, 4, 5)], strict=True
    )
    assert statistics.median(slowdowns) <= 1.25, slowdowns
    assert statistics.median(tail_ratios) <= 1.6, tail_ratios


async def measure_slowdown(fleet: Fleet, *, seed: int) -> tuple[float, float]:
    """Compare the first-token times of the same short prompts with and without long prompts.

    Return the median slowdown and the ratio of the 95th percentiles.
    """
    trace = mix_trace(fleet, seed=seed, seconds=10.0, load=0.7, mix=MIX)
    baseline = await run_trace(fleet, without_long_prompts(trace))
    mixed = await run_trace(fleet, trace)
    result = summarise(
        variant="least_wait",
        seed=seed,
        load=0.7,
        mixed=mixed,
        baseline=baseline,
        prefill_tokens_per_second=PREFILL_TOKENS_PER_SECOND,
        attempts_per_request=1.0,
        cpu_shares={},
        best_cached_share=0.0,
    )
    assert result.outcomes == {"ok": len(trace)}
    assert result.slowdown.count == len(baseline)
    baseline_percentiles = percentiles(sample.first_token for sample in baseline)
    return result.slowdown.p50, result.up_to_8k.p95 / baseline_percentiles.p95


async def test_overload_after_an_outage_keeps_goodput_and_refuses_without_running(
    fleet: Fleet,
) -> None:
    trace = mix_trace(fleet, seed=1, seconds=5.0, load=1.0, mix=MIX)
    full_goodput = goodput(
        [sample for sample in await run_trace(fleet, trace) if sample.ok], seconds=5.0
    )
    overload, samples = await run_phase(fleet, seed=2, seconds=5.0, load=5.0, mix=MIX, outage=12.0)
    assert overload.goodput >= 0.9 * full_goodput
    assert set(overload.outcomes) <= ALLOWED
    assert overload.attempts <= 1.1
    assert overload.refusal.count > 30
    assert overload.refusal.p95 < overload.shorts.p50
    assert overload.probe_after.p50 <= 1.5 * overload.probe_before.p50
    refused = {sample.request_id for sample in samples if sample.ran is False}
    journals = [await fetch_journal(fleet, engine) for engine in running_engines(fleet)]
    reached = {line.get("request") for journal in journals for line in journal["lines"]}
    assert len(refused) >= overload.refusal.count
    assert not refused & reached
    assert {sample.request_id for sample in samples if sample.ok} <= reached


async def test_no_request_hangs_after_engines_are_killed_under_load(fleet: Fleet) -> None:
    trace = mix_trace(fleet, seed=7, seconds=16.0, load=0.6, mix=MIX)
    attempts_before = await fetch_attempt_count(fleet)
    run = await start_load(trace, addresses=fleet.entries, speed=SPEED)
    await asyncio.sleep(2.5)
    fleet.processes["engine-0"].kill()
    await asyncio.sleep(1.5)
    fleet.processes["engine-1"].kill()
    samples = await run.wait()
    attempts_made = await fetch_attempt_count(fleet) - attempts_before
    fleet.processes["engine-0"].start()
    fleet.processes["engine-1"].start()
    await fleet.wait_for(fleet.address_of("engine-0"), "/v1/state")
    await fleet.wait_for(fleet.address_of("engine-1"), "/v1/state")
    late = [sample for sample in samples if sample.total > deadline_of(sample) + GRACE_SECONDS]
    outcomes = Counter(outcome_of(sample) for sample in samples)
    assert late == []
    assert set(outcomes) <= ALLOWED
    assert outcomes["ok"] >= 0.9 * len(samples)
    assert attempts_made <= 1.1 * len(samples)


async def test_entry_killed_under_load_fails_only_what_was_in_flight_there(fleet: Fleet) -> None:
    trace = mix_trace(fleet, seed=9, seconds=12.0, load=0.5, mix=MIX)
    run = await start_load(trace, addresses=fleet.entries, speed=SPEED)
    await asyncio.sleep(1.5 + 6.0 / SPEED)
    fleet.processes["entry-1"].kill()
    samples = await run.wait()
    fleet.processes["entry-1"].start()
    await fleet.wait_for(fleet.entries["entry-1"], "/readyz")
    failed = [sample for sample in samples if not sample.ok]
    assert failed
    assert {sample.entry for sample in failed} == {"entry-1"}
    completed = [sample for sample in samples if sample.entry == "entry-1" and sample.ok]
    assert completed
    # No request that ended before the kill is among the failures. The time of the kill is estimated
    # by the last completion at that entry.
    last_completion = max(sample.at + sample.total for sample in completed)
    assert all(sample.at + sample.total >= last_completion - GRACE_SECONDS for sample in failed)
    assert all(sample.code in ("connection", "cut") for sample in failed)


async def test_failure_domain_without_engines_forwards_requests_once(fleet: Fleet) -> None:
    local_engines = [
        vm.id for vm in fleet.vms if vm.id.startswith("engine") and vm.failure_domain == "fes"
    ]
    for name in local_engines:
        fleet.processes[name].kill()
    caller = Caller(token=caller_token("stall-0"), model=MODEL)
    entry = fleet.entries["entry-0"]
    prompts = [make_prompt(tokens=size, seed=900 + size) for size in (500, 3_000, 40_000)]
    answers = [await caller.complete(entry, prompt=prompt) for prompt in prompts]
    assert [answer.code for answer in answers] == [""] * 3
    assert all(len(answer.text) == 32 for answer in answers)
    forwarded = {FORWARDED_HEADER: "rabat"}
    refused = await caller.complete(entry, prompt=prompts[0], headers=forwarded)
    assert (refused.code, refused.ran) == ("no_upstream", False)


async def test_other_failure_domains_keep_serving_after_one_is_lost(fleet: Fleet) -> None:
    for name in ("entry-0", "keeper-0"):
        fleet.processes[name].kill()
    trace = running_fleet_trace(fleet, seed=11, seconds=8.0, load=2.0, mix=MIX)
    samples = await run_trace(fleet, trace)
    outcomes = Counter(outcome_of(sample) for sample in samples)
    assert set(outcomes) <= ALLOWED
    assert outcomes["ok"] > 0.3 * len(samples)
