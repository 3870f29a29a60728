"""Inject faults of all kinds into a local fleet, chosen by a seed, several at a time."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final
from typing import final

from baobabpulley.emulator.fleet import START_TIMEOUT_SECONDS
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.journals import engines
from baobabpulley.emulator.journals import services
from baobabpulley.errors import BaobabError
from baobabpulley.registry import Registry

DAEMONS: Final = ("entry", "keeper")
PROCESSES: Final = (*DAEMONS, "engine")
# All durations are in model seconds.
MAX_DOWN_SECONDS: Final = 4.0
MAX_FREEZE_SECONDS: Final = 8.0
MAX_STORE_OUTAGE_SECONDS: Final = 12.0
MAX_SLOWDOWN_SECONDS: Final = 5.0
STORE_DELAY_SECONDS: Final = 0.4
SERVICE_DELAY_SECONDS: Final = 1.0
WRONG_EVENT_RESPONSES: Final = 2
POLL_PERIOD_SECONDS: Final = 0.2
EXIT_TIMEOUT_SECONDS: Final = 120.0


@final
class Injector:
    """Inject random faults; each ends by itself.

    ``counts`` are the injected faults by kind, ``incarnations`` the restarts of each process,
    and ``failed_exits`` names processes that did not exit with code 0 after ``SIGTERM``.
    """

    __slots__ = (
        "_faulty_until",
        "_random",
        "_tasks",
        "counts",
        "failed_exits",
        "fleet",
        "incarnations",
    )

    def __init__(self, fleet: Fleet, *, seed: int) -> None:
        self.fleet = fleet
        self.counts: Counter[str] = Counter()
        self.incarnations: Counter[str] = Counter()
        self.failed_exits: list[str] = []
        self._random = random.Random(seed)
        self._faulty_until: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, *, seconds: float, mean_interval: float) -> None:
        """Inject faults for ``seconds``, one per ``mean_interval`` on average; then end all."""
        end = time.monotonic() + seconds / self.fleet.plan.speed
        while time.monotonic() < end:
            await self.sleep(self._random.expovariate(1.0 / mean_interval))
            name = self._random.choice(fault_kinds.names)
            self.counts[name] += 1
            self._tasks.add(asyncio.create_task(fault_kinds.lookup(name)(self)))
        await asyncio.gather(*self._tasks)
        for vm in (*engines(self.fleet), *services(self.fleet)):
            await self.fleet.inject_fault(vm.address, "none")
        await self.fleet.inject_fault(self.fleet.store_address, "none")

    def was_faulty(self, name: str, *, since: float) -> bool:
        """Whether a process was down or suspended at any time since ``since`` (monotonic time)."""
        return self._faulty_until.get(name, 0.0) > since

    def pick_process(self, kinds: tuple[str, ...]) -> str | None:
        """Choose a healthy process and mark it as faulty; return ``None`` if there is none."""
        now = time.monotonic()
        healthy = [
            name
            for name in sorted(self.fleet.processes)
            if name.startswith(kinds) and self._faulty_until.get(name, 0.0) <= now
        ]
        if not healthy:
            return None
        name = self._random.choice(healthy)
        self._faulty_until[name] = float("inf")
        return name

    def mark_recovered(self, name: str) -> None:
        """Record that a process works again."""
        self._faulty_until[name] = time.monotonic()

    async def start(self, name: str) -> None:
        """Restart a process and wait until it responds."""
        self.incarnations[name] += 1
        fleet = self.fleet
        fleet.processes[name].start()
        if name.startswith("engine"):
            address, path = fleet.address_of(name), "/v1/state"
        else:
            address, path = {**fleet.entries, **fleet.keepers}[name], "/healthz"
        await self._wait_until_up(address, path)
        self.mark_recovered(name)

    def random_duration(self, bound: float) -> float:
        """Return a random duration between 0 and ``bound``."""
        return self._random.uniform(0.0, bound)

    def random_choice(self, *options: str) -> str:
        """Return one of ``options`` at random."""
        return self._random.choice(options)

    async def sleep(self, seconds: float) -> None:
        """Sleep for model seconds."""
        await asyncio.sleep(seconds / self.fleet.plan.speed)

    async def _wait_until_up(self, address: str, path: str) -> None:
        end = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < end:
            with contextlib.suppress(BaobabError):
                await self.fleet.request(address, "GET", path)
                return
            await self.sleep(POLL_PERIOD_SECONDS)


Fault = Callable[[Injector], Awaitable[None]]
fault_kinds: Registry[Fault] = Registry("fault")


@fault_kinds.register("kill")
async def kill(injector: Injector) -> None:
    """Kill an entry, a keeper or an engine, and restart it."""
    name = injector.pick_process(PROCESSES)
    if name is None:
        return
    injector.fleet.processes[name].kill()
    await injector.sleep(injector.random_duration(MAX_DOWN_SECONDS))
    await injector.start(name)


@fault_kinds.register("freeze")
async def freeze(injector: Injector) -> None:
    """Suspend an entry, a keeper or an engine, and resume it."""
    name = injector.pick_process(PROCESSES)
    if name is None:
        return
    injector.fleet.processes[name].send(signal.SIGSTOP)
    await injector.sleep(injector.random_duration(MAX_FREEZE_SECONDS))
    injector.fleet.processes[name].send(signal.SIGCONT)
    injector.mark_recovered(name)


@fault_kinds.register("shutdown")
async def shutdown(injector: Injector) -> None:
    """Send ``SIGTERM`` to an entry or a keeper, and restart it once it has exited."""
    name = injector.pick_process(DAEMONS)
    if name is None:
        return
    process = injector.fleet.processes[name]
    process.send(signal.SIGTERM)
    remaining = EXIT_TIMEOUT_SECONDS
    while process.running and remaining > 0:
        await injector.sleep(POLL_PERIOD_SECONDS)
        remaining -= POLL_PERIOD_SECONDS
    if process.running or process.returncode != 0:
        injector.failed_exits.append(f"{name}: {process.returncode}")
        process.kill()
    await injector.start(name)


@fault_kinds.register("silence")
async def silence(injector: Injector) -> None:
    """Make an upstream, or the store, send nothing more on its open connections."""
    fleet = injector.fleet
    addresses = [vm.address for vm in (*engines(fleet), *services(fleet))]
    await fleet.inject_fault(injector.random_choice(*addresses, fleet.store_address), "silent")


@fault_kinds.register("store outage")
async def store_outage(injector: Injector) -> None:
    """Make the store refuse all calls for some time."""
    seconds = injector.random_duration(MAX_STORE_OUTAGE_SECONDS)
    await injector.fleet.inject_fault(injector.fleet.store_address, "down", seconds=seconds)
    await injector.sleep(seconds)


@fault_kinds.register("slow store")
async def slow_store(injector: Injector) -> None:
    """Delay the responses of the store for some time."""
    await injector.fleet.inject_fault(
        injector.fleet.store_address, "delay", seconds=STORE_DELAY_SECONDS
    )
    await injector.sleep(injector.random_duration(MAX_SLOWDOWN_SECONDS))
    await injector.fleet.inject_fault(injector.fleet.store_address, "delay", seconds=0.0)


@fault_kinds.register("lost store answers")
async def lost_store_answers(injector: Injector) -> None:
    """Make the next two writes to the store take effect without a response."""
    await injector.fleet.inject_fault(injector.fleet.store_address, "lose_answer", count=2)


@fault_kinds.register("lost service call")
async def lost_service_call(injector: Injector) -> None:
    """Make all services lose a call before or after it ran, or delay responses for some time."""
    kind = injector.random_choice("lose_answer", "lose_request", "delay_answer")
    for vm in services(injector.fleet):
        await injector.fleet.inject_fault(vm.address, kind, seconds=SERVICE_DELAY_SECONDS)
    await injector.sleep(injector.random_duration(MAX_SLOWDOWN_SECONDS))
    if kind == "delay_answer":
        for vm in services(injector.fleet):
            await injector.fleet.inject_fault(vm.address, kind, seconds=0.0)


@fault_kinds.register("wrong events")
async def wrong_events(injector: Injector) -> None:
    """Make all engines send another attempt's events, or duplicates, in some responses."""
    kind = injector.random_choice("cross", "repeat")
    for vm in engines(injector.fleet):
        await injector.fleet.inject_fault(vm.address, kind, count=WRONG_EVENT_RESPONSES)
