"""Measure the control plane's cost per node: CPU, memory and traffic by number of peers.

Keepers, entries, the store and the VM list are real processes on loopback; the engines are
stand-ins that only publish load, many in a process. There are no client requests, so that all work
of keepers and entries is control-plane work. Seconds are real seconds.
"""

from __future__ import annotations

import asyncio
import os
import re
import time
from collections import Counter
from pathlib import Path
from typing import Final
from typing import final

import msgspec
import numpy as np

from baobabpulley.adapters.http_client import fetch
from baobabpulley.emulator.fleet import ENGINE_SERVICE
from baobabpulley.emulator.fleet import HOST
from baobabpulley.emulator.fleet import MODEL
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.fleet import FleetPlan
from baobabpulley.model.limits import Limit
from baobabpulley.model.upstreams import Vm

# Offset from the base port, beyond the ports of the fleet's own processes.
FIRST_ENGINE_PORT_OFFSET: Final = 1_000
ENGINES_PER_PROCESS: Final = 125
# All processes start at once, and each requests the full settings from all others.
READY_TIMEOUT_SECONDS: Final = 60.0
# Messages between an entry and the keeper on the same VM; they are no traffic between VMs.
INTRA_VM_KINDS: Final = frozenset({"fleet.question", "cache.news"})
TEAM_LIMIT: Final = Limit(1_000_000, 4_000_000)
BYTES_PER_KIB: Final = 1024
BYTES_PER_MIB: Final = 1024 * 1024


class ControlCase(msgspec.Struct, frozen=True):
    """One fleet size to measure.

    ``settle`` is the wait in seconds before the measurement, ``window`` its length. Each keeper's
    VM also runs an entry, unless ``entries`` is false.
    """

    keepers: int
    engines: int
    domains: int
    teams: int
    entries: bool
    settle: float
    window: float
    news_period: float
    seed: int


class DaemonCost(msgspec.Struct, frozen=True):
    """Cost of one process: share of a core, MiB of memory, and KiB a second between VMs."""

    core: float
    memory: float
    received: float
    sent: float


class NodeCost(msgspec.Struct, frozen=True):
    """Cost of one VM.

    ``sizes`` and ``messages`` are the keeper's traffic by kind of message: KiB a second in both
    directions, and messages a second.
    """

    keeper: DaemonCost
    entry: DaemonCost | None
    sizes: dict[str, float]
    messages: dict[str, float]

    @property
    def daemons(self) -> tuple[DaemonCost, ...]:
        """The costs of the VM's processes."""
        return (self.keeper,) if self.entry is None else (self.keeper, self.entry)

    @property
    def core(self) -> float:
        """The share of a core that all processes of the VM use together."""
        return sum(daemon.core for daemon in self.daemons)

    @property
    def traffic(self) -> float:
        """KiB a second to and from other VMs, of all processes of the VM."""
        return sum(daemon.received + daemon.sent for daemon in self.daemons)


class _Sample(msgspec.Struct, frozen=True):
    """Counters of one process at a time.

    ``at`` and ``cpu`` (CPU time) are seconds, ``memory`` MiB. ``sizes`` are bytes by kind (or link,
    if there is no kind) and direction, ``messages`` a count by kind.
    """

    at: float
    cpu: float
    sizes: Counter[tuple[str, str]]
    messages: Counter[str]
    memory: float


@final
class ControlReport:
    """Tables of the measured cases, and a linear fit over them."""

    __slots__ = ("_rows",)

    def __init__(self) -> None:
        self._rows: list[tuple[ControlCase, list[NodeCost]]] = []

    def add(self, case: ControlCase, nodes: list[NodeCost]) -> str:
        """Add a case and return its table rows: one for each role and one for the node."""
        self._rows.append((case, nodes))
        lines = [] if len(self._rows) > 1 else [_TABLE_HEADER]
        size = f"| {case.keepers} | {case.engines} | {case.domains} | {case.teams} "
        lines.append(size + _role_line("keeper", [node.keeper for node in nodes]))
        entries = [node.entry for node in nodes if node.entry is not None]
        if entries:
            lines.append(size + _role_line("entry", entries))
        cores = [node.core for node in nodes]
        traffic = [node.traffic for node in nodes]
        lines.append(
            f"{size}| node | {100 * _average(cores):.2f} | {100 * max(cores):.2f} | | "
            f"{_average(traffic):.2f} both ways | worst {max(traffic):.2f} |"
        )
        return "\n".join(lines)

    def traffic_by_kind(self) -> str:
        """Return a table of a keeper's traffic in the last case, by kind of message."""
        _, nodes = self._rows[-1]
        lines = ["", "| kind at a keeper | KiB/s, mean | messages/s |", "|---|---|---|"]
        kinds = sorted({kind for node in nodes for kind in node.sizes})
        for kind in kinds:
            size = _average([node.sizes.get(kind, 0.0) for node in nodes])
            count = _average([node.messages.get(kind, 0.0) for node in nodes])
            lines.append(f"| {kind} | {size:.2f} | {count:.2f} |")
        return "\n".join(lines)

    def slopes(self) -> str:
        """Return a table with a least-squares fit of each figure of a keeper.

        The predictors are the other keepers of its failure domain and the engines that it collects
        load from.
        """
        if len(self._rows) < 3:
            return "slopes: fewer than three cases"
        design = [[1.0, *_predictors(case)] for case, _ in self._rows]
        lines = [
            "",
            "| figure | base | per peer keeper | per engine collected |",
            "|---|---|---|---|",
        ]
        for name in DaemonCost.__struct_fields__:
            values = [
                _average([getattr(node.keeper, name) for node in nodes]) for _, nodes in self._rows
            ]
            fit, *_ = np.linalg.lstsq(np.array(design), np.array(values), rcond=None)
            lines.append(f"| {name} | {fit[0]:.5f} | {fit[1]:.5f} | {fit[2]:.5f} |")
        return "\n".join(lines)


_TABLE_HEADER: Final = (
    "| keepers | engines | failure domains | teams | role | core %, mean | core %, worst | MiB "
    "| KiB/s in | KiB/s out |\n|---|---|---|---|---|---|---|---|---|---|"
)


async def measure_control(case: ControlCase, *, base_port: int, directory: Path) -> list[NodeCost]:
    """Start the processes of a case, return the cost of each node over the window, stop them."""
    plan = FleetPlan(
        base_port=base_port,
        domains=tuple(f"domain-{index}" for index in range(case.domains)),
        entries=case.keepers,
        limits={f"team-{index}": TEAM_LIMIT for index in range(case.teams)},
    )
    kinds = ("keeper", "entry") if case.entries else ("keeper",)
    fleet = Fleet(plan=plan, directory=directory)
    try:
        await fleet.start_platform()
        _start_engines(fleet, case)
        await fleet.start_daemons(*kinds)
        await asyncio.gather(
            *(
                fleet.wait_for(
                    _http_address(fleet, kind, index), "/readyz", timeout=READY_TIMEOUT_SECONDS
                )
                for kind in kinds
                for index in range(case.keepers)
            )
        )
        await asyncio.sleep(case.settle)
        before = [await _sample_node(fleet, kinds, index) for index in range(case.keepers)]
        await asyncio.sleep(case.window)
        after = [await _sample_node(fleet, kinds, index) for index in range(case.keepers)]
    finally:
        fleet.kill_all()
        fleet.client.close()
    return [_node_cost(*pair) for pair in zip(before, after, strict=True)]


def _start_engines(fleet: Fleet, case: ControlCase) -> None:
    first_port = fleet.plan.base_port + FIRST_ENGINE_PORT_OFFSET
    for first in range(0, case.engines, ENGINES_PER_PROCESS):
        count = min(ENGINES_PER_PROCESS, case.engines - first)
        options = {
            "--address": f"{HOST}:{first_port + first}",
            "--count": count,
            "--first-index": first,
            "--model": MODEL,
            "--news-period": case.news_period,
            "--seed": case.seed,
        }
        arguments = [str(part) for pair in options.items() for part in pair]
        fleet.add(f"publishers-{first}", "standin", "publishers", *arguments).start()
    for index in range(case.engines):
        fleet.vms.append(
            Vm(
                id=f"engine-{index}",
                role="upstream",
                failure_domain=fleet.plan.domain_of(index),
                address=f"{HOST}:{first_port + index}",
                service=ENGINE_SERVICE,
            )
        )


def _http_address(fleet: Fleet, kind: str, index: int) -> str:
    offset = 800 if kind == "keeper" else 600
    return f"{HOST}:{fleet.plan.base_port + offset + index}"


async def _sample_node(fleet: Fleet, kinds: tuple[str, ...], index: int) -> list[_Sample]:
    return [await _sample_process(fleet, kind, index) for kind in kinds]


async def _sample_process(fleet: Fleet, kind: str, index: int) -> _Sample:
    pid = fleet.processes[f"{kind}-{index}"].pid
    cpu = _cpu_seconds(pid)
    at = time.monotonic()
    address = _http_address(fleet, kind, index)
    _, body = await fetch(fleet.client, address=address, method="GET", path="/metrics", timeout=5.0)
    sizes: Counter[tuple[str, str]] = Counter()
    for direction, name, link, value in _BYTES.findall(body.decode()):
        sizes[name or link, direction] += float(value)
    messages = Counter({name: float(value) for name, value in _MESSAGES.findall(body.decode())})
    return _Sample(at=at, cpu=cpu, sizes=sizes, messages=messages, memory=_resident_mib(pid))


_BYTES: Final = re.compile(
    r'baobab_control_bytes{direction="(\w+)",kind="([\w.]*)",link="(\w+)"} (\S+)'
)
_MESSAGES: Final = re.compile(r'baobab_control_messages{kind="([\w.]+)"} (\S+)')


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _resident_mib(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="utf-8").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MIB


def _node_cost(before: list[_Sample], after: list[_Sample]) -> NodeCost:
    costs = [_process_cost(*pair) for pair in zip(before, after, strict=True)]
    first, last = before[0], after[0]
    seconds = last.at - first.at
    sizes: Counter[str] = Counter()
    for (kind, direction), value in last.sizes.items():
        sizes[kind] += (value - first.sizes[kind, direction]) / seconds / BYTES_PER_KIB
    return NodeCost(
        keeper=costs[0],
        entry=costs[1] if len(costs) > 1 else None,
        sizes=dict(sizes),
        messages={
            kind: (value - first.messages[kind]) / seconds for kind, value in last.messages.items()
        },
    )


def _process_cost(before: _Sample, after: _Sample) -> DaemonCost:
    seconds = after.at - before.at

    def rate(direction: str) -> float:
        byte_count = sum(
            value - before.sizes[kind, sample_direction]
            for (kind, sample_direction), value in after.sizes.items()
            if sample_direction == direction and kind not in INTRA_VM_KINDS
        )
        return byte_count / seconds / BYTES_PER_KIB

    return DaemonCost(
        core=(after.cpu - before.cpu) / seconds,
        memory=after.memory,
        received=rate("in"),
        sent=rate("out"),
    )


def _role_line(name: str, costs: list[DaemonCost]) -> str:
    mean = [
        _average([getattr(cost, field) for cost in costs]) for field in DaemonCost.__struct_fields__
    ]
    worst = max(cost.core for cost in costs)
    return (
        f"| {name} | {100 * mean[0]:.2f} | {100 * worst:.2f} | {mean[1]:.1f} "
        f"| {mean[2]:.2f} | {mean[3]:.2f} |"
    )


def _average(values: list[float]) -> float:
    return sum(values) / len(values)


def _predictors(case: ControlCase) -> tuple[float, float]:
    return case.keepers / case.domains - 1, case.engines / case.keepers
