"""``baobabpulley bench overload``: goodput above the fleet's capacity, and recovery from it."""

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
from baobabpulley.emulator.load import START_DELAY_SECONDS
from baobabpulley.emulator.load import Sample
from baobabpulley.emulator.mix_report import Percentiles
from baobabpulley.emulator.mix_report import outcome_of
from baobabpulley.emulator.mix_report import percentiles
from baobabpulley.emulator.trace import MIN_LONG_PROMPT_TOKENS
from baobabpulley.emulator.trace import PromptMix
from baobabpulley.emulator.trace import TraceItem
from baobabpulley.emulator.trace import make_trace

RECOVERY_SECONDS: Final = 5.0
# The store's fault ends by itself this long after the load, if the bench fails to end it.
OUTAGE_MARGIN_SECONDS: Final = 60.0
PROBE_SECONDS: Final = 4.0
PROBE_LOAD: Final = 0.2
REFUSAL_CODES: Final = ("overloaded", "no_upstream", "team_limit", "not_ready")


class PhaseResult(msgspec.Struct):
    """Figures of one phase, whose offered load is the fraction ``load`` of the capacity.

    Times are model seconds. ``goodput`` is prompt tokens a model second of the ``whole`` requests,
    that is of those answered completely and correctly. ``refusal`` is the time until a refusal;
    ``attempts`` are per request not refused. ``shorts`` is the time to first token of prompts up
    to 8,000 tokens. For prompts from 100,000 tokens, ``longs_whole`` is the share answered
    completely, and ``longs`` the time to first token of these over that of an undisturbed prefill.
    ``probe_before`` and ``probe_after`` are times to first token of short prompts before the
    load, and from five model seconds after its end.
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
    mix: PromptMix | None = None,
    sections: Sections | None = None,
) -> list[PhaseResult]:
    """Run one phase for each load on one fleet.

    The processes of failure domain ``killed_domain``, if given, are killed before the first
    phase. In each later phase the store is down from ``outage`` model seconds before the load
    until the middle of the load.
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
                outage_seconds = outage if number else 0.0
                result, _ = await run_phase(
                    fleet,
                    seed=seed + number,
                    seconds=seconds,
                    load=load,
                    mix=mix or PromptMix(),
                    outage=outage_seconds,
                )
                results.append(result)
    return results


async def run_phase(
    fleet: Fleet, *, seed: int, seconds: float, load: float, mix: PromptMix, outage: float = 0.0
) -> tuple[PhaseResult, list[Sample]]:
    """Probe with short prompts, load the fleet, wait `RECOVERY_SECONDS` and probe again.

    If ``outage`` is not 0, the store goes down after the first probe, the load begins ``outage``
    model seconds later, and the store comes back in the middle of the load.
    """
    speed = fleet.plan.speed
    before = await _probe(fleet, seed=seed + 500)
    attempts_before = await fetch_attempt_count(fleet)
    trace = running_fleet_trace(fleet, seed=seed, seconds=seconds, load=load, mix=mix)
    if outage:
        await fleet.inject_fault(
            fleet.store_address, "down", seconds=outage + seconds + OUTAGE_MARGIN_SECONDS
        )
        await asyncio.sleep(outage / speed)
    running = asyncio.create_task(run_trace(fleet, trace))
    # Clients begin `START_DELAY_SECONDS` real seconds after their start, and send for ``seconds``.
    await asyncio.sleep(START_DELAY_SECONDS + seconds / 2 / speed)
    if outage:
        await fleet.inject_fault(fleet.store_address, "none")
    await asyncio.sleep((seconds / 2 + RECOVERY_SECONDS) / speed)
    after = await _probe(fleet, seed=seed + 900)
    samples = await running
    completed = [sample for sample in samples if sample.ok]
    long_samples = [sample for sample in samples if sample.tokens >= MIN_LONG_PROMPT_TOKENS]
    refused = [sample for sample in samples if sample.code in REFUSAL_CODES]
    attempts = await fetch_attempt_count(fleet) - attempts_before - after.count
    result = PhaseResult(
        load=load,
        goodput=goodput(completed, seconds=seconds),
        whole=len(completed),
        outcomes=dict(Counter(outcome_of(sample) for sample in samples)),
        refusal=percentiles(sample.total for sample in refused),
        attempts=attempts / max(1, len(samples) - len(refused)),
        shorts=percentiles(sample.first_token for sample in completed if sample.tokens <= 8_000),
        longs=percentiles(
            sample.first_token * PREFILL_TOKENS_PER_SECOND / sample.tokens
            for sample in long_samples
            if sample.ok
        ),
        longs_whole=sum(sample.ok for sample in long_samples) / max(1, len(long_samples)),
        probe_before=before,
        probe_after=after,
    )
    return result, samples


def goodput(completed: list[Sample], *, seconds: float) -> float:
    """Return prompt tokens a model second of complete answers, up to the end of the last one.

    The time is at least ``seconds``, the length of the trace.
    """
    end = max((sample.at + sample.total for sample in completed), default=seconds)
    return sum(sample.tokens for sample in completed) / max(seconds, end)


def kill_domain(fleet: Fleet, domain: str) -> None:
    """Kill every process of a failure domain."""
    for vm in fleet.vms:
        if vm.failure_domain == domain:
            for name in _processes_of(vm.id):
                fleet.processes[name].kill()


def running_fleet_trace(
    fleet: Fleet, *, seed: int, seconds: float, load: float, mix: PromptMix
) -> list[TraceItem]:
    """Return a trace for running entries at fraction ``load`` of the running engines' capacity."""
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
    """Return a Markdown table with a row a phase."""
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
    mix = PromptMix(long_share=0.0, middle_share=0.0)
    trace = running_fleet_trace(fleet, seed=seed, seconds=PROBE_SECONDS, load=PROBE_LOAD, mix=mix)
    samples: list[Sample] = await run_trace(fleet, trace)
    return percentiles(sample.first_token for sample in samples if sample.ok)
