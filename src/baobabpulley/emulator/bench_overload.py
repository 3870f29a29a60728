"""``baobabpulley bench overload``: more load than the fleet can carry, and what comes after."""

from __future__ import annotations

import asyncio
import tempfile
from collections import Counter
from pathlib import Path
from typing import Final

import msgspec

from baobabpulley.emulator.bench_mix import PREFILL_TOKENS_PER_SECOND
from baobabpulley.emulator.bench_mix import Sections
from baobabpulley.emulator.bench_mix import balancer_weights
from baobabpulley.emulator.bench_mix import fetch_attempt_count
from baobabpulley.emulator.bench_mix import mix_plan
from baobabpulley.emulator.bench_mix import run_trace
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.load import LEAD_SECONDS
from baobabpulley.emulator.load import Sample
from baobabpulley.emulator.mix_report import Percentiles
from baobabpulley.emulator.mix_report import outcome_of
from baobabpulley.emulator.mix_report import percentiles
from baobabpulley.emulator.trace import SHORTEST_LONG
from baobabpulley.emulator.trace import Mix
from baobabpulley.emulator.trace import TraceItem
from baobabpulley.emulator.trace import make_trace

RECOVERY_SECONDS: Final = 5.0
# The store's fault is bounded too, in case nothing ends it.
OUTAGE_MARGIN_SECONDS: Final = 60.0
PROBE_SECONDS: Final = 4.0
PROBE_LOAD: Final = 0.2
REFUSAL_CODES: Final = ("overloaded", "no_upstream", "team_limit", "not_ready")


class PhaseResult(msgspec.Struct):
    """One phase at ``load`` of the capacity. Goodput is in prompt tokens a model second.

    ``refusal`` is how long refused callers waited; ``attempts`` are per request not refused.
    ``longs`` is the time to first token of whole prompts past 100,000 tokens over the ideal, and
    ``longs_whole`` the share of such prompts that were whole.
    ``probe_before`` and ``probe_after`` are first tokens of shorts before the load, and from
    five model seconds after its end.
    """

    load: float
    goodput: float
    whole: int
    outcomes: dict[str, int]
    refusal: Percentiles
    attempts: float
    shorts: Percentiles
    longs: Percentiles
    longs_whole: float
    probe_before: Percentiles
    probe_after: Percentiles


async def run_overload(
    *,
    seed: int,
    speed: float,
    seconds: float,
    loads: tuple[float, ...],
    base_port: int,
    engines: int,
    entries: int = 4,
    killed_domain: str = "",
    outage: float = 0.0,
    mix: Mix | None = None,
    sections: Sections | None = None,
) -> list[PhaseResult]:
    """Run one phase for each load on one fleet, after killing domain ``killed_domain`` if given.

    Before each phase but the first the store is down for ``outage`` model seconds, and comes
    back in the middle of the phase's load.
    """
    plan = mix_plan(
        base_port=base_port, speed=speed, engines=engines, entries=entries, sections=sections
    )
    with tempfile.TemporaryDirectory() as directory:
        async with Fleet(plan=plan, directory=Path(directory)) as fleet:
            if killed_domain:
                kill_domain(fleet, killed_domain)
            results = []
            for number, load in enumerate(loads):
                down = outage if number else 0.0
                result, _ = await run_phase(
                    fleet,
                    seed=seed + number,
                    seconds=seconds,
                    load=load,
                    mix=mix or Mix(),
                    outage=down,
                )
                results.append(result)
    return results


async def run_phase(
    fleet: Fleet, *, seed: int, seconds: float, load: float, mix: Mix, outage: float = 0.0
) -> tuple[PhaseResult, list[Sample]]:
    """Probe, load the fleet, wait five model seconds, probe again.

    The store is down for ``outage`` model seconds after the first probe and for half the load.
    """
    speed = fleet.plan.speed
    before = await _probe(fleet, seed=seed + 500)
    counted = await fetch_attempt_count(fleet)
    trace = running_fleet_trace(fleet, seed=seed, seconds=seconds, load=load, mix=mix)
    if outage:
        await fleet.fault(
            fleet.store_address, "down", seconds=outage + seconds + OUTAGE_MARGIN_SECONDS
        )
        await asyncio.sleep(outage / speed)
    running = asyncio.create_task(run_trace(fleet, trace))
    # The clients begin a moment after they are told; their end is the trace's end.
    await asyncio.sleep(LEAD_SECONDS + seconds / 2 / speed)
    if outage:
        await fleet.fault(fleet.store_address, "none")
    await asyncio.sleep((seconds / 2 + RECOVERY_SECONDS) / speed)
    after = await _probe(fleet, seed=seed + 900)
    samples = await running
    whole = [sample for sample in samples if sample.ok]
    longs = [sample for sample in samples if sample.tokens >= SHORTEST_LONG]
    refused = [sample for sample in samples if sample.code in REFUSAL_CODES]
    made = await fetch_attempt_count(fleet) - counted - after.count
    result = PhaseResult(
        load=load,
        goodput=goodput(whole, seconds=seconds),
        whole=len(whole),
        outcomes=dict(Counter(outcome_of(sample) for sample in samples)),
        refusal=percentiles(sample.total for sample in refused),
        attempts=made / max(1, len(samples) - len(refused)),
        shorts=percentiles(sample.first_token for sample in whole if sample.tokens <= 8_000),
        longs=percentiles(
            s.first_token * PREFILL_TOKENS_PER_SECOND / s.tokens for s in longs if s.ok
        ),
        longs_whole=sum(sample.ok for sample in longs) / max(1, len(longs)),
        probe_before=before,
        probe_after=after,
    )
    return result, samples


def goodput(whole: list[Sample], *, seconds: float) -> float:
    """Return the prompt tokens a model second of whole answers, until the last of them ended."""
    end = max((sample.at + sample.total for sample in whole), default=seconds)
    return sum(sample.tokens for sample in whole) / max(seconds, end)


def kill_domain(fleet: Fleet, domain: str) -> None:
    """Kill every process of a failure domain."""
    for vm in fleet.vms:
        if vm.failure_domain == domain:
            for name in _processes_of(vm.id):
                fleet.processes[name].kill()


def running_fleet_trace(
    fleet: Fleet, *, seed: int, seconds: float, load: float, mix: Mix
) -> list[TraceItem]:
    """Return a trace for the entries that run, at a share of the running engines' capacity."""
    engines = sum(
        1
        for name, process in fleet.processes.items()
        if name.startswith("engine") and process.running
    )
    weights = {
        name: weight
        for name, weight in balancer_weights(fleet).items()
        if fleet.processes[name].running
    }
    return make_trace(
        seed=seed,
        seconds=seconds,
        tokens_per_second=load * PREFILL_TOKENS_PER_SECOND * engines,
        entries=weights,
        mix=mix,
    )


def overload_table(results: list[PhaseResult]) -> str:
    """Return the phases as Markdown."""
    lines = [
        "| load | goodput tokens/s | share of first | whole | outcomes | refused after p99 s | "
        "attempts | shorts p95 s | longs whole | over ideal p50/p95 "
        "| probe p50/p95 before | after |",
        "|---|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for result in results:
        lines.append(
            f"| {result.load} | {result.goodput:.0f} "
            f"| {result.goodput / max(1.0, results[0].goodput):.2f} | {result.whole} "
            f"| {_counts(result.outcomes)} | {result.refusal.p99:.3f} | {result.attempts:.3f} "
            f"| {result.shorts.p95:.2f} | {result.longs_whole:.2f} "
            f"| {result.longs.p50:.2f}/{result.longs.p95:.2f} "
            f"| {result.probe_before.p50:.3f}/{result.probe_before.p95:.3f} "
            f"| {result.probe_after.p50:.3f}/{result.probe_after.p95:.3f} |"
        )
    return "\n".join(lines)


def _processes_of(vm: str) -> tuple[str, ...]:
    index = vm.rpartition("-")[2]
    return (f"entry-{index}", f"keeper-{index}") if vm.startswith("vm-") else (vm,)


def _counts(outcomes: dict[str, int]) -> str:
    return ", ".join(f"{code} {count}" for code, count in sorted(outcomes.items()))


async def _probe(fleet: Fleet, *, seed: int) -> Percentiles:
    mix = Mix(long_share=0.0, middle_share=0.0)
    trace = running_fleet_trace(fleet, seed=seed, seconds=PROBE_SECONDS, load=PROBE_LOAD, mix=mix)
    samples: list[Sample] = await run_trace(fleet, trace)
    return percentiles(sample.first_token for sample in samples if sample.ok)
