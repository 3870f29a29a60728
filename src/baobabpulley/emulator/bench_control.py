"""What control costs a keeper: share of a core, memory, bytes, by keepers and engines.

Keepers, the store and the VM list are real processes on loopback; the engines are stand-ins
that only publish load, many in a process. Nothing else runs, so all that a keeper does is
control. Seconds are real ones.
"""

from __future__ import annotations

import asyncio
import os
import re
import time
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
from baobabpulley.emulator.processes import Process
from baobabpulley.model.upstreams import Vm

# Past the ports that a fleet's own processes take.
FIRST_ENGINE_PORT: Final = 1_000
ENGINES_OF_A_PROCESS: Final = 125
KIB: Final = 1024
MIB: Final = 1024 * 1024


class ControlCase(msgspec.Struct, frozen=True):
    """One size to measure; ``settle`` and ``window`` are seconds."""

    keepers: int
    engines: int
    domains: int
    settle: float
    window: float
    news_period: float
    seed: int


class KeeperCost(msgspec.Struct, frozen=True):
    """One keeper's cost in the window: a share of a core, MiB, and KiB a second."""

    core: float
    memory: float
    received: float
    sent: float


class _Sample(msgspec.Struct, frozen=True):
    """Time and processor time in seconds, bytes so far."""

    at: float
    cpu: float
    received: float
    sent: float


@final
class ControlReport:
    """A table of cases, and the slopes over them."""

    __slots__ = ("_rows",)

    def __init__(self) -> None:
        self._rows: list[tuple[ControlCase, list[KeeperCost]]] = []

    def add(self, case: ControlCase, costs: list[KeeperCost]) -> str:
        """Add a case and return its line."""
        self._rows.append((case, costs))
        head = "" if len(self._rows) > 1 else _HEAD
        mean = _mean(costs)
        worst = max(cost.core for cost in costs)
        return (
            f"{head}| {case.keepers} | {case.engines} | {case.domains} "
            f"| {100 * mean.core:.2f} | {100 * worst:.2f} | {mean.memory:.1f} "
            f"| {mean.received:.2f} | {mean.sent:.2f} |"
        )

    def slopes(self) -> str:
        """Return a least-squares plane through the cases for each figure.

        The plane is over the other keepers of a failure domain and the engines that one keeper
        collects from.
        """
        if len(self._rows) < 3:
            return "slopes: fewer than three cases"
        ones = [[1.0, *_sizes(case)] for case, _ in self._rows]
        lines = [
            "",
            "| figure | base | per peer keeper | per engine collected |",
            "|---|---|---|---|",
        ]
        for name in KeeperCost.__struct_fields__:
            values = [getattr(_mean(costs), name) for _, costs in self._rows]
            plane, *_ = np.linalg.lstsq(np.array(ones), np.array(values), rcond=None)
            lines.append(f"| {name} | {plane[0]:.5f} | {plane[1]:.5f} | {plane[2]:.5f} |")
        return "\n".join(lines)


_HEAD: Final = (
    "| keepers | engines | failure domains | core %, mean | core %, worst | MiB "
    "| KiB/s in | KiB/s out |\n|---|---|---|---|---|---|---|---|\n"
)


async def measure_control(
    case: ControlCase, *, base_port: int, directory: Path
) -> list[KeeperCost]:
    """Start the processes of a case, measure each keeper over the window, stop them."""
    plan = FleetPlan(
        base_port=base_port,
        domains=tuple(f"domain-{index}" for index in range(case.domains)),
        entries=case.keepers,
    )
    fleet = Fleet(plan=plan, directory=directory)
    try:
        await fleet.start_platform()
        _start_engines(fleet, case)
        await fleet.start_daemons("keeper")
        keepers = [fleet.processes[f"keeper-{index}"] for index in range(case.keepers)]
        await asyncio.gather(*(fleet.wait_for(_http(fleet, p), "/readyz") for p in keepers))
        await asyncio.sleep(case.settle)
        before = [await _sample(fleet, process) for process in keepers]
        await asyncio.sleep(case.window)
        after = [await _sample(fleet, process) for process in keepers]
        memory = [_resident(process.pid) for process in keepers]
    finally:
        fleet.kill_all()
        fleet.client.close()
    return [_cost(*pair) for pair in zip(before, after, memory, strict=True)]


def _start_engines(fleet: Fleet, case: ControlCase) -> None:
    first_port = fleet.plan.base_port + FIRST_ENGINE_PORT
    for first in range(0, case.engines, ENGINES_OF_A_PROCESS):
        count = min(ENGINES_OF_A_PROCESS, case.engines - first)
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


def _http(fleet: Fleet, keeper: Process) -> str:
    index = int(keeper.name.removeprefix("keeper-"))
    return f"{HOST}:{fleet.plan.base_port + 800 + index}"


async def _sample(fleet: Fleet, keeper: Process) -> _Sample:
    cpu = _processor_seconds(keeper.pid)
    at = time.monotonic()
    _, body = await fetch(
        fleet.client, address=_http(fleet, keeper), method="GET", path="/metrics", timeout=5.0
    )
    return _Sample(at=at, cpu=cpu, received=_bytes(body, "in"), sent=_bytes(body, "out"))


def _bytes(metrics: bytes, direction: str) -> float:
    pattern = rf'baobab_control_bytes{{direction="{direction}",link="\w+"}} (\S+)'
    return sum(float(value) for value in re.findall(pattern, metrics.decode()))


def _processor_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _resident(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="utf-8").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MIB


def _cost(before: _Sample, after: _Sample, memory: float) -> KeeperCost:
    seconds = after.at - before.at
    return KeeperCost(
        core=(after.cpu - before.cpu) / seconds,
        memory=memory,
        received=(after.received - before.received) / seconds / KIB,
        sent=(after.sent - before.sent) / seconds / KIB,
    )


def _mean(costs: list[KeeperCost]) -> KeeperCost:
    columns = zip(*(msgspec.structs.astuple(cost) for cost in costs), strict=True)
    return KeeperCost(*(sum(column) / len(costs) for column in columns))


def _sizes(case: ControlCase) -> tuple[float, float]:
    return case.keepers / case.domains - 1, case.engines / case.keepers
