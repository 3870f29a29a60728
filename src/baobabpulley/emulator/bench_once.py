"""Measure the cost of once-only orders, and how long a stream pauses at an engine failure."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from pathlib import Path
from typing import Final
from typing import final

import msgspec

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch
from baobabpulley.adapters.http_engine import SILENCE_TIMEOUT_SECONDS
from baobabpulley.emulator.caller import Caller
from baobabpulley.emulator.caller import Completion
from baobabpulley.emulator.fleet import MODEL
from baobabpulley.emulator.fleet import PLAIN_SERVICE
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.fleet import FleetPlan
from baobabpulley.emulator.fleet import caller_token
from baobabpulley.errors import BaobabError
from baobabpulley.standins.text import expected_text
from baobabpulley.standins.text import make_prompt

TEAM: Final = "souk"
ORDER_KINDS: Final = ("plain", "ticket", "key")
CONNECTIONS: Final = 8
REQUEST_TIMEOUT_SECONDS: Final = 30.0
STREAM_TOKENS: Final = 400
PROMPT_TOKENS: Final = 500
ENGINES: Final = 3


class OrderCost(msgspec.Struct, frozen=True):
    """Cost of orders of one kind in real milliseconds; ``*_cpu`` is CPU time an order."""

    kind: str
    orders: int
    p50: float
    p95: float
    entry_cpu: float
    store_cpu: float


class InterruptionResult(msgspec.Struct, frozen=True):
    """Gaps between tokens when an engine is killed or stops sending on its connections.

    Times are model seconds. ``bound`` is the silence timeout of engine streams, ``right`` the
    number of complete and correct streams. ``longest`` has the longest gap of each stream on the
    failed engine, ``calm`` is the longest gap of all other streams.
    """

    fault: str
    bound: float
    streams: int
    right: int
    longest: tuple[float, ...]
    calm: float


class OnceReport(msgspec.Struct, frozen=True):
    """Figures of one run."""

    seed: int
    speed: float
    orders: tuple[OrderCost, ...]
    pauses: tuple[InterruptionResult, ...]


@final
class OnceBench:
    """Benchmark of once-only orders and of interrupted streams."""

    __slots__ = ("_orders", "_random", "_seed", "_speed", "_streams")

    def __init__(self, *, orders: int, streams: int, speed: float, seed: int) -> None:
        self._orders = orders
        self._streams = streams
        self._speed = speed
        self._seed = seed
        self._random = random.Random(seed)

    async def run(self, *, base_port: int) -> OnceReport:
        """Start a fleet, time orders of each kind in turn, then fail engines in mid-stream."""
        plan = FleetPlan(
            base_port=base_port, domains=("fes",), entries=2, engines=ENGINES, speed=self._speed
        )
        with tempfile.TemporaryDirectory() as directory:
            async with Fleet(plan=plan, directory=Path(directory)) as fleet:
                orders = await self._measure_orders(fleet)
                pauses = [
                    await self._measure_interruption(fleet, fault) for fault in ("silent", "kill")
                ]
        return OnceReport(
            seed=self._seed, speed=self._speed, orders=tuple(orders), pauses=tuple(pauses)
        )

    async def _measure_orders(self, fleet: Fleet) -> list[OrderCost]:
        rounds = 4
        times: dict[str, list[float]] = {kind: [] for kind in ORDER_KINDS}
        cpu_used = {kind: [0.0, 0.0] for kind in ORDER_KINDS}
        measured = (fleet.processes["entry-0"], fleet.processes["store"])
        for turn in range(rounds + 1):
            for kind in self._random.sample(ORDER_KINDS, len(ORDER_KINDS)):
                before = [process.cpu_seconds for process in measured]
                durations = await self._place_orders(fleet, kind, self._orders // rounds, turn)
                if turn:
                    # The first turn is a warm-up that opens connections; it is not counted.
                    times[kind] += durations
                    for index, process in enumerate(measured):
                        cpu_used[kind][index] += process.cpu_seconds - before[index]
        return [_cost(kind, times[kind], *cpu_used[kind]) for kind in ORDER_KINDS]

    async def _place_orders(self, fleet: Fleet, kind: str, count: int, turn: int) -> list[float]:
        numbers = iter(range(count))

        async def place_some() -> list[float]:
            client = HttpClient()
            durations = []
            for number in numbers:
                started = time.monotonic()
                await _place_order(
                    client, fleet.entries["entry-0"], kind, f"{kind}-{turn}-{number}"
                )
                durations.append(time.monotonic() - started)
            client.close()
            return durations

        durations_by_client = await asyncio.gather(*(place_some() for _ in range(CONNECTIONS)))
        return [duration for durations in durations_by_client for duration in durations]

    async def _measure_interruption(self, fleet: Fleet, fault: str) -> InterruptionResult:
        streams = [
            _TimedStream(
                fleet.entries[f"entry-{index % 2}"],
                name=f"{fault}-{index}",
                seed=self._seed * 1_000 + index,
            )
            for index in range(self._streams)
        ]
        running = [asyncio.create_task(stream.read()) for stream in streams]
        while not all(stream.started for stream in streams):  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        engine = "engine-0"
        journal = await fleet.request(fleet.address_of(engine), "GET", "/journal")
        on_failed_engine = {line.get("request") for line in journal["lines"]}
        failed_at = time.monotonic()
        if fault == "kill":
            fleet.processes[engine].kill()
        else:
            await fleet.inject_fault(fleet.address_of(engine), fault)
        correct = await asyncio.gather(*running)
        gaps = {stream.name: stream.max_token_gap(failed_at) * self._speed for stream in streams}
        return InterruptionResult(
            fault=fault,
            bound=SILENCE_TIMEOUT_SECONDS,
            streams=len(streams),
            right=sum(correct),
            longest=tuple(
                sorted(round(gaps[name], 3) for name in gaps if name in on_failed_engine)
            ),
            calm=round(max(gaps[name] for name in gaps if name not in on_failed_engine), 3),
        )


@final
class _TimedStream:
    """One streamed completion, with the arrival time of each token."""

    __slots__ = ("_address", "_arrivals", "_seed", "name")

    def __init__(self, address: str, *, name: str, seed: int) -> None:
        self.name = name
        self._address = address
        self._seed = seed
        self._arrivals: list[float] = []

    @property
    def started(self) -> bool:
        """Whether the first token has arrived."""
        return bool(self._arrivals)

    def max_token_gap(self, since: float) -> float:
        """Return the longest gap between tokens that ended after ``since``, in real seconds."""
        pairs = zip(self._arrivals, self._arrivals[1:], strict=False)
        return max((later - earlier for earlier, later in pairs if later > since), default=0.0)

    async def read(self) -> bool:
        """Read the whole stream; return whether it is complete and correct."""
        caller = Caller(token=caller_token(TEAM), model=MODEL)
        prompt = make_prompt(tokens=PROMPT_TOKENS, seed=self._seed)
        completion: Completion = await caller.complete(
            self._address,
            prompt=prompt,
            max_tokens=STREAM_TOKENS,
            seed=self._seed,
            headers={"X-Request-Id": self.name},
            on_token=lambda: self._arrivals.append(time.monotonic()),
        )
        expected = expected_text(prompt, seed=self._seed, max_tokens=STREAM_TOKENS)
        return completion.ok and completion.text == expected


async def _place_order(client: HttpClient, address: str, kind: str, name: str) -> None:
    headers = {"Authorization": f"Bearer {caller_token(TEAM)}"}
    if kind == "ticket":
        issued = await _post(client, address, "/v1/tickets", headers, b"", expected=200)
        headers["Call-Ticket"] = msgspec.json.decode(issued)["ticket"]
    elif kind == "key":
        headers["Idempotency-Key"] = name
    body = msgspec.json.encode({"id": name})
    await _post(client, address, f"/services/{PLAIN_SERVICE}/orders", headers, body, expected=201)


async def _post(
    client: HttpClient,
    address: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    *,
    expected: int,
) -> bytes:
    status, response = await fetch(
        client,
        address=address,
        method="POST",
        path=path,
        headers=headers,
        body=body,
        timeout=REQUEST_TIMEOUT_SECONDS,
    )
    if status != expected:
        raise BaobabError(f"POST {path} returned {status}, expected {expected}: {response[:200]!r}")
    return response


def _cost(kind: str, durations: list[float], entry_cpu: float, store_cpu: float) -> OrderCost:
    count = len(durations)
    ordered = sorted(durations)
    return OrderCost(
        kind=kind,
        orders=count,
        p50=round(1e3 * ordered[count // 2], 2),
        p95=round(1e3 * ordered[int(0.95 * count)], 2),
        entry_cpu=round(1e3 * entry_cpu / count, 3),
        store_cpu=round(1e3 * store_cpu / count, 3),
    )


def table(report: OnceReport) -> str:
    """Return the report as two text tables: orders by kind, and pauses by fault."""
    lines = [
        f"{'orders':<10}{'count':>8}{'p50 ms':>9}{'p95 ms':>9}{'entry CPU ms':>14}{'store':>8}"
    ]
    lines += [
        f"{row.kind:<10}{row.orders:>8}{row.p50:>9.2f}{row.p95:>9.2f}"
        f"{row.entry_cpu:>14.2f}{row.store_cpu:>8.2f}"
        for row in report.orders
    ]
    lines.append(
        f"{'fault':<10}{'streams':>8}{'right':>7}{'hit':>5}{'pause p50/max s':>18}{'calm s':>9}"
    )
    for row in report.pauses:
        middle = row.longest[len(row.longest) // 2]
        pause = f"{middle:.2f} / {row.longest[-1]:.2f}"
        lines.append(
            f"{row.fault:<10}{row.streams:>8}{row.right:>7}{len(row.longest):>5}"
            f"{pause:>18}{row.calm:>9.2f}"
        )
    return "\n".join(lines)
