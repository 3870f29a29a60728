"""What control costs a node: share of a core, memory, bytes, by keepers and engines.

Keepers, entries, the store and the VM list are real processes on loopback; the engines are
stand-ins that only publish load, many in a process. No caller asks for anything, so all that a
keeper or an entry does is control. Seconds are real ones.
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

# Past the ports that a fleet's own processes take.
FIRST_ENGINE_PORT_OFFSET: Final = 1_000
ENGINES_PER_PROCESS: Final = 125
# All processes begin at once, and each asks all others for all settings.
READY_TIMEOUT_SECONDS: Final = 60.0
# Questions and news between an entry and the keeper of its own VM, which stay on the VM.
INTRA_VM_KINDS: Final = frozenset({"fleet.question", "cache.news"})
TEAM_LIMIT: Final = Limit(1_000_000, 4_000_000)
BYTES_PER_KIB: Final = 1024
BYTES_PER_MIB: Final = 1024 * 1024


class ControlCase(msgspec.Struct, frozen=True):
    """One size to measure; ``settle`` and ``window`` are seconds.

    Each keeper's VM has an entry beside it, unless ``entries`` is off.
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
    """One process's cost in the window: a share of a core, MiB, and KiB a second between VMs."""

    core: float
    memory: float
    received: float
    sent: float


class NodeCost(msgspec.Struct, frozen=True):
    """The cost of one VM, and its keeper's traffic: bytes both ways, messages, by kind."""

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
        """The share of a core of all processes."""
        return sum(daemon.core for daemon in self.daemons)

    @property
    def traffic(self) -> float:
        """KiB a second of all processes, both ways, to and from other VMs."""
        return sum(daemon.received + daemon.sent for daemon in self.daemons)


class _Sample(msgspec.Struct, frozen=True):
    """Time and processor time in seconds; bytes by link, kind and direction, and messages."""

    at: float
    cpu: float
    sizes: Counter[tuple[str, str]]
    messages: Counter[str]
    memory: float


@final
class ControlReport:
    """A table of cases, and the slopes over them."""

    __slots__ = ("_rows",)

    def __init__(self) -> None:
        self._rows: list[tuple[ControlCase, list[NodeCost]]] = []

    def add(self, case: ControlCase, nodes: list[NodeCost]) -> str:
        """Add a case and return its lines, one a role."""
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
        """Return a table of the last case's traffic at a keeper by kind, both ways."""
        _, nodes = self._rows[-1]
        lines = ["", "| kind at a keeper | KiB/s, mean | messages/s |", "|---|---|---|"]
        kinds = sorted({kind for node in nodes for kind in node.sizes})
        for kind in kinds:
            size = _average([node.sizes.get(kind, 0.0) for node in nodes])
            count = _average([node.messages.get(kind, 0.0) for node in nodes])
            lines.append(f"| {kind} | {size:.2f} | {count:.2f} |")
        return "\n".join(lines)

    def slopes(self) -> str:
        """Return a least-squares plane through the cases for each figure of a keeper.

        The plane is over the other keepers of a failure domain and the engines that one keeper
        collects from.
        """
        if len(self._rows) < 3:
            return "slopes: fewer than three cases"
        ones = [[1.0, *_predictors(case)] for case, _ in self._rows]
        lines = [
            "",
            "| figure | base | per peer keeper | per engine collected |",
            "|---|---|---|---|",
        ]
        for name in DaemonCost.__struct_fields__:
            values = [
                _average([getattr(node.keeper, name) for node in nodes]) for _, nodes in self._rows
            ]
            plane, *_ = np.linalg.lstsq(np.array(ones), np.array(values), rcond=None)
            lines.append(f"| {name} | {plane[0]:.5f} | {plane[1]:.5f} | {plane[2]:.5f} |")
        return "\n".join(lines)


_TABLE_HEADER: Final = (
    "| keepers | engines | failure domains | teams | role | core %, mean | core %, worst | MiB "
    "| KiB/s in | KiB/s out |\n|---|---|---|---|---|---|---|---|---|---|"
)


async def measure_control(case: ControlCase, *, base_port: int, directory: Path) -> list[NodeCost]:
    """Start the processes of a case, measure each node over the window, stop them."""
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
    cpu = _processor_seconds(pid)
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


def _processor_seconds(pid: int) -> float:
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
        grown = sum(
            value - before.sizes[kind, way]
            for (kind, way), value in after.sizes.items()
            if way == direction and kind not in INTRA_VM_KINDS
        )
        return grown / seconds / BYTES_PER_KIB

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
