"""``baobabpulley bench mix``: compare variants of the settings under long and short prompts."""

from __future__ import annotations

import asyncio
import configparser
import tempfile
import time
from pathlib import Path
from typing import Final

from prometheus_client.parser import text_string_to_metric_families

from baobabpulley.adapters.http_client import fetch
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.fleet import FleetPlan
from baobabpulley.emulator.load import Sample
from baobabpulley.emulator.load import start_load
from baobabpulley.emulator.mix_report import MixResult
from baobabpulley.emulator.mix_report import summarise
from baobabpulley.emulator.trace import PREFIX_TOKENS
from baobabpulley.emulator.trace import PromptMix
from baobabpulley.emulator.trace import TraceItem
from baobabpulley.emulator.trace import make_trace
from baobabpulley.emulator.trace import team_names
from baobabpulley.emulator.trace import without_long_prompts
from baobabpulley.model.limits import Limit
from baobabpulley.registry import Registry

PREFILL_TOKENS_PER_SECOND: Final = 20_000.0
SETTLE_SECONDS: Final = 3.0
PROFILE_SECTIONS: Final = ("routing", "lanes", "admission", "retries")

Sections = dict[str, dict[str, str]]

variants: Registry[Sections] = Registry("mix variant")

for _name, _sections in {
    "least_wait": {},
    "two_choices": {"routing": {"policy": "two_choices"}},
    "least_in_flight": {"routing": {"policy": "least_in_flight"}},
    "round_robin": {"routing": {"policy": "round_robin"}},
    "unprotected": {
        "routing": {"policy": "round_robin", "corrected": "false", "prefix_aware": "false"},
        "lanes": {
            "short_priority": "false",
            "single_long": "false",
            "long_order": "arrival",
            "engine_backlog": "1000",
        },
    },
    "no_priority": {"lanes": {"short_priority": "false"}},
    "no_single_long": {"lanes": {"single_long": "false"}},
    "arrival_order": {"lanes": {"long_order": "arrival"}},
    "no_correction": {"routing": {"corrected": "false"}},
    "no_step": {"routing": {"step_tokens": "0", "beside_long_tokens": "0"}},
    "away_from_longs": {"routing": {"beside_long_tokens": "4096"}},
    "no_dealing": {"routing": {"foreign_tokens": "0"}},
    "no_pacing": {"lanes": {"segment_tokens": "1000000"}},
    "no_prefixes": {"routing": {"prefix_aware": "false"}},
}.items():
    variants.register(_name)(_sections)


def register_profile(path: Path) -> str:
    """Register the `PROFILE_SECTIONS` of a settings file as a variant; return its name."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(path.read_text(encoding="utf-8"))
    variants.register(path.stem)(
        {name: dict(parser[name]) for name in PROFILE_SECTIONS if parser.has_section(name)}
    )
    return path.stem


def mix_plan(
    *,
    base_port: int,
    speed: float,
    engines: int = 16,
    entries: int = 4,
    sections: Sections | None = None,
    whole_prefills: bool = False,
) -> FleetPlan:
    """Return the plan of a fleet whose team limits are too high to refuse any request.

    With ``whole_prefills``, engines cannot interrupt a prefill.
    """
    return FleetPlan(
        base_port=base_port,
        speed=speed,
        engines=engines,
        entries=entries,
        plain_services=0,
        entry_sections=sections or {},
        engine_options=("--chunk", "1000000") if whole_prefills else (),
        dialect="whole" if whole_prefills else "chunked",
        limits={team: Limit(1_000_000, 100_000_000) for team in team_names()},
    )


def balancer_weights(fleet: Fleet) -> dict[str, float]:
    """Return each entry's load-balancer weight: the engines per entry of its failure domain."""
    plan = fleet.plan
    engines = [plan.domain_of_engine(index) for index in range(plan.engines)]
    domains = [plan.domain_of(index) for index in range(plan.entries)]
    return {
        name: engines.count(domain) / domains.count(domain)
        for name, domain in zip(fleet.entries, domains, strict=True)
    }


def mix_trace(
    fleet: Fleet, *, seed: int, seconds: float, load: float, mix: PromptMix
) -> list[TraceItem]:
    """Return a trace whose offered load is the fraction ``load`` of the prefill capacity."""
    return make_trace(
        seed=seed,
        seconds=seconds,
        tokens_per_second=load * PREFILL_TOKENS_PER_SECOND * fleet.plan.engines,
        entries=balancer_weights(fleet),
        mix=mix,
    )


async def run_trace(fleet: Fleet, trace: list[TraceItem]) -> list[Sample]:
    """Send a trace to the fleet's entries and return one sample a request."""
    run = await start_load(trace, addresses=fleet.entries, speed=fleet.plan.speed)
    try:
        return await run.wait()
    finally:
        run.kill()


async def fetch_attempt_count(fleet: Fleet) -> float:
    """Return the sum of the running entries' counters of attempts at upstreams."""
    total = 0.0
    for name, address in fleet.entries.items():
        if not fleet.processes[name].running:
            continue
        _, body = await fetch(
            fleet.client, address=address, method="GET", path="/metrics", timeout=5.0
        )
        total += _sum_metric(body.decode(), "baobab_attempts_total")
    return total


async def run_variant(
    name: str,
    *,
    seed: int,
    speed: float,
    seconds: float,
    load: float,
    mix: PromptMix,
    base_port: int,
    whole_prefills: bool = False,
) -> MixResult:
    """Run a trace on a new fleet with a variant's settings, first without its long prompts.

    The run without long prompts is the baseline of the slowdown of short ones.
    """
    plan = mix_plan(
        base_port=base_port,
        speed=speed,
        sections=variants.lookup(name),
        whole_prefills=whole_prefills,
    )
    with tempfile.TemporaryDirectory() as directory:
        async with Fleet(plan=plan, directory=Path(directory)) as fleet:
            trace = mix_trace(fleet, seed=seed, seconds=seconds, load=load, mix=mix)
            baseline = await run_trace(fleet, without_long_prompts(trace))
            await asyncio.sleep(SETTLE_SECONDS / speed)
            before = await fetch_attempt_count(fleet)
            started, cpu = time.monotonic(), _cpu_seconds(fleet)
            mixed = await run_trace(fleet, trace)
            elapsed, used = time.monotonic() - started, _cpu_seconds(fleet)
            count = await fetch_attempt_count(fleet) - before
    domains = {name: plan.domain_of(index) for index, name in enumerate(fleet.entries)}
    return summarise(
        best_cached_share=best_cached_share(trace, domains),
        variant=name,
        seed=seed,
        load=load,
        mixed=mixed,
        baseline=baseline,
        prefill_tokens_per_second=PREFILL_TOKENS_PER_SECOND,
        attempts_per_request=count / len(trace),
        cpu_shares={name: round((used[name] - cpu[name]) / elapsed, 3) for name in cpu},
    )


def best_cached_share(trace: list[TraceItem], domains: dict[str, str]) -> float:
    """Return the upper bound of the share of prompt tokens served from the prefix cache.

    It is reached if each failure domain prefills each shared prefix only once. Prefixes of the
    trace's short prompts count as cached from the start, as the baseline run sends them first.
    """
    prefilled = {(domains[item.entry], item.prefix) for item in trace if item.short}
    cached = 0
    for item in trace:
        domain_prefix = (domains[item.entry], item.prefix)
        cached += PREFIX_TOKENS if item.prefix >= 0 and domain_prefix in prefilled else 0
        prefilled.add(domain_prefix)
    return cached / max(1, sum(item.tokens for item in trace))


def _cpu_seconds(fleet: Fleet) -> dict[str, float]:
    """Return the largest CPU time, in seconds, that a process of each kind has used so far."""
    by_process: dict[str, float] = {}
    for name, process in fleet.processes.items():
        if process.running:
            by_process[name] = process.cpu_seconds
    kinds = ("entry", "keeper", "engine")
    return {
        kind: max(
            (value for name, value in by_process.items() if name.startswith(kind)), default=0.0
        )
        for kind in kinds
    }


def _sum_metric(text: str, name: str) -> float:
    return sum(
        sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name == name
    )
