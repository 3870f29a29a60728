"""Measure how soon a settings change is applied by every keeper, with real processes."""

from __future__ import annotations

import asyncio
import os
import random
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final
from typing import final

import msgspec
import numpy

from baobabpulley.adapters.pynng_peers import PynngPeers
from baobabpulley.emulator.fleet import HOST
from baobabpulley.emulator.fleet import SECRET
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.fleet import FleetPlan
from baobabpulley.model.documents import document_key
from baobabpulley.model.settings_messages import SettingsUpdate
from baobabpulley.ports.config_store import Swap
from baobabpulley.settings import PeersSection
from baobabpulley.timers import TimerService

CHANGE_TIMEOUT_SECONDS: Final = 30.0
SETTLE_SECONDS: Final = 4.0
IDLE_SECONDS: Final = 5.0
MAX_PAUSE_SECONDS: Final = 0.05
DOCUMENT_BYTES: Final = 500

COLUMNS: Final = (
    "keepers",
    "way",
    "p50, ms",
    "p99, ms",
    "worst, ms",
    "bytes of news a change and keeper",
    "keeper's core share, idle",
    "keeper's core share, changes",
    "store calls a second, idle",
    "waiting watches",
)

DISTRIBUTION_MODES: Final[dict[str, dict[str, str]]] = {
    "deltas, at most two watches a failure domain": {},
    "full snapshots, at most two watches a failure domain": {"full_snapshots": "true"},
    "deltas, a watch of each keeper": {"direct_watches": "true"},
}

Row = tuple[str, ...]


@final
class ConvergePlan:
    """Parameters of the run; ports are allocated upwards from ``base_port``."""

    __slots__ = ("base_port", "changes", "documents", "seed")

    def __init__(self, *, base_port: int, changes: int, documents: int, seed: int) -> None:
        self.base_port = base_port
        self.changes = changes
        self.documents = documents
        self.seed = seed


@final
class RevisionObserver:
    """Follow the revisions that keepers publish, and wait until all have reached one.

    ``update_bytes`` is the size of all received updates that carry entries.
    """

    __slots__ = ("_applied", "_changed", "update_bytes")

    def __init__(self, names: list[str]) -> None:
        self._applied = dict.fromkeys(names, 0)
        self._changed = asyncio.Event()
        self.update_bytes = 0

    @property
    def lowest_revision(self) -> int:
        """The lowest of the revisions that the keepers last published."""
        return min(self._applied.values())

    def receive(self, message: msgspec.Struct, sender: str) -> None:
        """Record the revision of a keeper's published update."""
        if not isinstance(message, SettingsUpdate) or sender not in self._applied:
            return
        if message.entries:
            self.update_bytes += len(msgspec.msgpack.encode(message))
        newest = max((entry.mod_revision for entry in message.entries), default=0)
        self._applied[sender] = max(self._applied[sender], message.revision, newest)
        self._changed.set()

    async def wait(self, revision: int) -> None:
        """Wait until every keeper has published ``revision`` or a later one.

        Raise `TimeoutError` after `CHANGE_TIMEOUT_SECONDS`.
        """
        async with asyncio.timeout(CHANGE_TIMEOUT_SECONDS):
            while self.lowest_revision < revision:
                self._changed.clear()
                await self._changed.wait()


async def measure_all(plan: ConvergePlan, *, sizes: list[int], show: Callable[[Row], None]) -> None:
    """Measure each distribution mode at each number of keepers; pass each row to ``show``."""
    for keepers in sizes:
        for mode, options in DISTRIBUTION_MODES.items():
            with tempfile.TemporaryDirectory() as directory:
                fleet = Fleet(
                    plan=FleetPlan(
                        base_port=plan.base_port,
                        entries=keepers,
                        engines=0,
                        plain_services=0,
                        keeper_sections={"settings_relay": options},
                        daemons=("keeper",),
                    ),
                    directory=Path(directory),
                )
                async with fleet:
                    show((str(keepers), mode, *await _measure(fleet, plan)))


async def _measure(fleet: Fleet, plan: ConvergePlan) -> Row:
    names = [name for name in fleet.processes if name.startswith("keeper")]
    for index in range(len(names)):
        await fleet.wait_for(f"{HOST}:{plan.base_port + 800 + index}", "/readyz")
    rng = random.Random(plan.seed)
    await _write_documents(fleet, plan, rng)
    timers = TimerService()
    section = PeersSection(secret=SECRET)
    peers = PynngPeers(node="bench", section=section, timers=timers)
    observer = RevisionObserver(names)
    for vm in fleet.vms:
        peers.subscribe(vm.address, observer.receive)
    await asyncio.sleep(SETTLE_SECONDS)
    idle_share, calls, watches = await _measure_idle(fleet, names)
    observer.update_bytes = 0
    started, cpu_before = time.monotonic(), _cpu_seconds(fleet, names)
    times = [await _time_change(fleet, observer, rng) for _ in range(plan.changes)]
    share = (_cpu_seconds(fleet, names) - cpu_before) / (time.monotonic() - started) / len(names)
    peers.close()
    milliseconds = numpy.array(times) * 1000.0
    return (
        f"{numpy.percentile(milliseconds, 50):.1f}",
        f"{numpy.percentile(milliseconds, 99):.1f}",
        f"{milliseconds.max():.1f}",
        f"{observer.update_bytes / plan.changes / len(names):.0f}",
        f"{idle_share:.2%}",
        f"{share:.2%}",
        f"{calls:.2f}",
        str(watches),
    )


async def _time_change(fleet: Fleet, observer: RevisionObserver, rng: random.Random) -> float:
    """Write a document; return the real seconds until every keeper has published the change."""
    await asyncio.sleep(rng.uniform(0.0, MAX_PAUSE_SECONDS))
    key = document_key("souk", "changing")
    current = await fleet.store.get(key)
    swap = Swap(
        key=key, value=_document(rng), expected_revision=current.mod_revision if current else 0
    )
    started = time.monotonic()
    outcome = await fleet.store.swap(swap)
    assert outcome.applied
    await observer.wait(outcome.revision)
    return time.monotonic() - started


async def _write_documents(fleet: Fleet, plan: ConvergePlan, rng: random.Random) -> None:
    for number in range(plan.documents):
        key = document_key("souk", f"document-{number}")
        await fleet.store.swap(Swap(key=key, value=_document(rng), expected_revision=0))


def _document(rng: random.Random) -> bytes:
    return msgspec.json.encode({"text": rng.randbytes(DOCUMENT_BYTES // 2).hex()})


async def _measure_idle(fleet: Fleet, names: list[str]) -> tuple[float, float, int]:
    cpu_before = _cpu_seconds(fleet, names)
    before = await fleet.request(fleet.store_address, "GET", "/counts")
    await asyncio.sleep(IDLE_SECONDS)
    after = await fleet.request(fleet.store_address, "GET", "/counts")
    calls = sum(after["calls"].values()) - sum(before["calls"].values())
    share = (_cpu_seconds(fleet, names) - cpu_before) / IDLE_SECONDS / len(names)
    return share, calls / IDLE_SECONDS, after["watches"]


def _cpu_seconds(fleet: Fleet, names: list[str]) -> float:
    ticks = 0
    for name in names:
        stat = Path(f"/proc/{fleet.processes[name].pid}/stat").read_text(encoding="utf-8")
        fields = stat.rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")
