"""Measure the entry's overhead: short completions a second, CPU time and added latency.

The CPU time of a completion is compared with that of a bare forwarding server under the same load
at the same time, so that other work on the machine affects both alike.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Final
from typing import final

import msgspec
from hdrh.histogram import HdrHistogram

from baobabpulley.emulator.bench_client import HISTOGRAM_DIGITS
from baobabpulley.emulator.bench_client import MAX_LATENCY_MICROSECONDS
from baobabpulley.emulator.bench_client import ClientResult
from baobabpulley.emulator.bench_client import ClientWorkload
from baobabpulley.emulator.fleet import HOST
from baobabpulley.emulator.fleet import MODEL
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.fleet import FleetPlan
from baobabpulley.emulator.fleet import caller_token
from baobabpulley.errors import BaobabError

# Model seconds in a real second. At this speed and with the fast engines below, the engines' own
# time does not hide the entry's, and timeouts between processes still suit a busy machine.
SPEED: Final = 4.0
ENGINE_OPTIONS: Final = ("--prefill-rate", "100000", "--decode-rate", "250")
WARM_UP_SECONDS: Final = 1.5
# The next four are real seconds: settings are in model time, so they are multiplied by `SPEED`.
KEEP_ALIVE_SECONDS: Final = 60.0
DEADLINE_SECONDS: Final = 20.0
SHORT_WAIT_SECONDS: Final = 2.0
REFRESH_SECONDS: Final = 0.25
HALF_LOAD_RATIO: Final = 0.5
# Rate of direct calls to an engine, relative to the rate of calls through the entry.
DIRECT_RATE_RATIO: Final = 0.2
# Half of the 250 short completions a second that an entry is required to serve on one core.
COMPARISON_REQUESTS_PER_SECOND: Final = 125.0
COMPARISON_SECONDS: Final = 4.0

_HOP: Final = "hop"
_HOP_PORT_OFFSET: Final = 2
_TARGETS: Final = ("entry-0", _HOP)


@final
class PathPlan:
    """Parameters of the run; ``seconds`` are real seconds."""

    __slots__ = ("base_port", "clients", "connections", "engines", "seconds", "seed")

    def __init__(
        self,
        *,
        base_port: int,
        seconds: float,
        clients: int,
        engines: int,
        connections: int,
        seed: int,
    ) -> None:
        self.base_port = base_port
        self.seconds = seconds
        self.clients = clients
        self.engines = engines
        self.connections = connections
        self.seed = seed


class LatencyStats(msgspec.Struct, frozen=True):
    """Time to first token in milliseconds."""

    count: int
    mean: float
    p50: float
    p95: float
    p99: float


class PathReport(msgspec.Struct, frozen=True):
    """Figures of a run.

    ``per_second`` are the completions a second of one entry at full load, ``entry_cores`` the
    cores that it used then, ``client_cores`` those of the busiest client. ``added_*`` are the
    milliseconds to the first token that the entry adds to a direct call in the same run, at half
    of that load. ``entry_cpu`` and ``hop_cpu`` are milliseconds of CPU time of a completion
    through the entry and through a bare forwarding server, both at
    `COMPARISON_REQUESTS_PER_SECOND` at the same time.
    """

    seed: int
    per_second: float
    per_cpu_second: float
    entry_cores: float
    entry_cpu: float
    hop_cpu: float
    entry_to_hop: float
    client_cores: float
    half_rate: float
    entry: LatencyStats
    direct: LatencyStats
    added_mean: float
    added_p50: float
    added_p95: float
    failed: int


async def measure_path(plan: PathPlan) -> PathReport:
    """Measure one entry at full load, at half load with direct calls, and against a bare server."""
    fleet_plan = FleetPlan(
        base_port=plan.base_port,
        domains=("fes",),
        entries=1,
        engines=plan.engines,
        plain_services=0,
        speed=SPEED,
        engine_options=ENGINE_OPTIONS,
        entry_sections={
            "admission": {"max_short_wait": str(SHORT_WAIT_SECONDS * SPEED)},
            "callers": {
                "header_timeout": str(KEEP_ALIVE_SECONDS * SPEED),
                "deadline_base": str(DEADLINE_SECONDS * SPEED),
            },
            "keeper": {"refresh": str(REFRESH_SECONDS * SPEED)},
            "logs": {"level": "WARNING"},
        },
    )
    with tempfile.TemporaryDirectory() as directory:
        async with Fleet(plan=fleet_plan, directory=Path(directory)) as fleet:
            return await _measure(fleet, plan)


async def _measure(fleet: Fleet, plan: PathPlan) -> PathReport:
    await _start_hop(fleet, plan)
    await _run_all([_workload(fleet, plan, target, seconds=WARM_UP_SECONDS) for target in _TARGETS])
    cpu = fleet.processes["entry-0"].cpu_seconds
    full = await _run_all([_workload(fleet, plan, index=index) for index in range(plan.clients)])
    cpu = fleet.processes["entry-0"].cpu_seconds - cpu
    completed = sum(result.whole for result in full)
    elapsed = max(result.elapsed for result in full)
    half = HALF_LOAD_RATIO * completed / elapsed
    via_entry_workloads = [
        _workload(fleet, plan, index=index, rate=half / plan.clients)
        for index in range(plan.clients)
    ]
    direct_workload = _workload(fleet, plan, "engine-0", rate=DIRECT_RATE_RATIO * half)
    *via_entry, direct = await _run_all([*via_entry_workloads, direct_workload])
    entry_times, direct_times = _merge_latencies(via_entry), _merge_latencies([direct])
    (entry_cpu, hop_cpu), compared = await _compare_cpu(fleet, plan)
    return PathReport(
        seed=plan.seed,
        per_second=round(completed / elapsed, 1),
        per_cpu_second=round(completed / cpu, 1),
        entry_cores=round(cpu / elapsed, 3),
        entry_cpu=round(1e3 * entry_cpu, 3),
        hop_cpu=round(1e3 * hop_cpu, 3),
        entry_to_hop=round(entry_cpu / hop_cpu, 3),
        client_cores=round(max(result.cpu / result.elapsed for result in full), 3),
        half_rate=round(half, 1),
        entry=entry_times,
        direct=direct_times,
        added_mean=round(entry_times.mean - direct_times.mean, 3),
        added_p50=round(entry_times.p50 - direct_times.p50, 3),
        added_p95=round(entry_times.p95 - direct_times.p95, 3),
        failed=sum(result.failed for result in [*full, *via_entry, direct, *compared]),
    )


async def _start_hop(fleet: Fleet, plan: PathPlan) -> None:
    engines = [fleet.address_of(f"engine-{index}") for index in range(plan.engines)]
    address = _address_of(fleet, plan, _HOP)
    fleet.add(_HOP, "bench", "hop", "--address", address, *engines).start()
    await fleet.wait_for(address, "/healthz")


async def _compare_cpu(fleet: Fleet, plan: PathPlan) -> tuple[list[float], list[ClientResult]]:
    """Return the CPU seconds a completion of each of `_TARGETS`, and the clients' results."""
    workloads = [
        _workload(
            fleet, plan, target, seconds=COMPARISON_SECONDS, rate=COMPARISON_REQUESTS_PER_SECOND
        )
        for target in _TARGETS
    ]
    before = [fleet.processes[target].cpu_seconds for target in _TARGETS]
    results = await _run_all(workloads)
    after = [fleet.processes[target].cpu_seconds for target in _TARGETS]
    usages = zip(before, after, results, strict=True)
    return [(end - start) / max(1, result.whole) for start, end, result in usages], results


def render_report(report: PathReport) -> str:
    """Return the report as a table with a figure a line."""
    rows = [
        ("completions a second at full load", f"{report.per_second:.0f}"),
        ("completions a CPU second of the entry", f"{report.per_cpu_second:.0f}"),
        ("cores used by the entry", f"{report.entry_cores:.2f}"),
        ("processor time a completion, ms", f"{report.entry_cpu:.2f}"),
        ("the same of a bare forwarding server, ms", f"{report.hop_cpu:.2f}"),
        ("entry over bare server", f"{report.entry_to_hop:.2f}"),
        ("cores used by the busiest client", f"{report.client_cores:.2f}"),
        ("rate at half load, a second", f"{report.half_rate:.0f}"),
        ("first token through the entry p50/p95, ms", _format_p50_p95(report.entry)),
        ("first token of a direct call p50/p95, ms", _format_p50_p95(report.direct)),
        ("first token added mean/p50/p95, ms", _format_added(report)),
        ("failed", str(report.failed)),
    ]
    return "\n".join(f"{name:<44} {value:>20}" for name, value in rows)


def _workload(
    fleet: Fleet,
    plan: PathPlan,
    target: str = "entry-0",
    *,
    index: int = 0,
    seconds: float | None = None,
    rate: float = 0.0,
) -> ClientWorkload:
    direct = target != "entry-0"
    return ClientWorkload(
        address=_address_of(fleet, plan, target),
        token=caller_token("souk"),
        model=MODEL,
        connections=plan.connections,
        seconds=seconds or plan.seconds,
        rate=rate,
        direct=direct,
        seed=plan.seed * 1_000 + index + 500 * direct,
    )


async def _run_all(workloads: list[ClientWorkload]) -> list[ClientResult]:
    return list(await asyncio.gather(*(_run(workload) for workload in workloads)))


async def _run(workload: ClientWorkload) -> ClientResult:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "baobabpulley",
        "bench",
        "client",
        msgspec.json.encode(workload).decode(),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    if process.returncode != 0:
        raise BaobabError(
            f"bench client exited with code {process.returncode}; see its error output"
        )
    return msgspec.json.decode(output, type=ClientResult)


def _merge_latencies(results: list[ClientResult]) -> LatencyStats:
    merged = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, HISTOGRAM_DIGITS)
    for result in results:
        merged.decode_and_add(result.first_token.encode())
    return LatencyStats(
        count=merged.total_count,
        mean=round(merged.get_mean_value() / 1e3, 3),
        p50=merged.get_value_at_percentile(50.0) / 1e3,
        p95=merged.get_value_at_percentile(95.0) / 1e3,
        p99=merged.get_value_at_percentile(99.0) / 1e3,
    )


def _address_of(fleet: Fleet, plan: PathPlan, target: str) -> str:
    if target == _HOP:
        return f"{HOST}:{plan.base_port + _HOP_PORT_OFFSET}"
    return fleet.entries.get(target) or fleet.address_of(target)


def _format_p50_p95(times: LatencyStats) -> str:
    return f"{times.p50:.2f} / {times.p95:.2f}"


def _format_added(report: PathReport) -> str:
    return f"{report.added_mean:.2f} / {report.added_p50:.2f} / {report.added_p95:.2f}"
