"""A client process of a bench.

It uses plain sockets, to keep its own CPU time small beside that of the measured server.
"""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections.abc import Callable
from typing import Final
from typing import final

import msgspec
from hdrh.histogram import HdrHistogram

from baobabpulley.adapters.addresses import split_address
from baobabpulley.ports.engine import EngineCall
from baobabpulley.standins.text import make_prompt

MAX_LATENCY_MICROSECONDS: Final = 60_000_000
HISTOGRAM_DIGITS: Final = 3
REQUEST_TIMEOUT_SECONDS: Final = 30.0

_LAST_CHUNK: Final = b"0\r\n\r\n"
_DONE_EVENT: Final = b"data: [DONE]"
_EVENT_PREFIX: Final = b"data: "


class ClientWorkload(msgspec.Struct, frozen=True):
    """Workload of one client: streamed completions of one length.

    With ``rate`` 0 the load is a closed loop: each connection sends its next request once the
    response has ended. Otherwise it is an open loop of Poisson arrivals at ``rate`` a second over
    all connections. With ``direct``, ``address`` is an engine instead of an entry.
    """

    address: str
    token: str
    model: str
    connections: int
    seconds: float
    rate: float = 0.0
    direct: bool = False
    prompt_tokens: int = 256
    max_tokens: int = 2
    seed: int = 0


class ClientResult(msgspec.Struct, frozen=True):
    """Figures of one client.

    ``whole`` counts complete streams. ``elapsed`` and ``cpu`` are real seconds; ``first_token`` is
    an encoded `HdrHistogram` of microseconds.
    """

    whole: int
    failed: int
    elapsed: float
    first_token: str
    cpu: float


@final
class ClientConnection:
    """A keep-alive connection that carries one request at a time."""

    __slots__ = ("_reader", "_writer")

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    async def exchange(self, request: bytes) -> tuple[float, bool]:
        """Send a request; return the seconds to its first event, and whether it completed."""
        started = time.perf_counter()
        first = 0.0
        self._writer.write(request)
        received = b""
        async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
            while not received.endswith(_LAST_CHUNK):
                chunk = await self._reader.read(65_536)
                if not chunk:
                    return first, False
                received += chunk
                if not first and _EVENT_PREFIX in received:
                    first = time.perf_counter() - started
                if first == 0.0 and b"Content-Length" in received:
                    return first, False
        return first, _DONE_EVENT in received


@final
class ClientStats:
    """Counts of streams, and times to first token of complete ones."""

    __slots__ = ("completed", "failed", "first_token")

    def __init__(self) -> None:
        self.completed = 0
        self.failed = 0
        self.first_token = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, HISTOGRAM_DIGITS)

    def add(self, *, first: float, completed: bool) -> None:
        """Record one response; ``first`` is in seconds."""
        self.completed += completed
        self.failed += not completed
        if completed:
            self.first_token.record_value(max(1, round(first * 1e6)))


async def run_client(workload: ClientWorkload) -> ClientResult:
    """Run a workload and return its figures."""
    stats = ClientStats()
    started = time.perf_counter()
    cpu = time.process_time()
    make_builder = _direct_request if workload.direct else _entry_request
    if workload.rate:
        await _send_at_rate(workload, make_builder(workload), stats, end=started + workload.seconds)
    else:
        request, end = make_builder(workload), started + workload.seconds
        loops = (
            _send_back_to_back(workload, request, stats, end=end)
            for _ in range(workload.connections)
        )
        await asyncio.gather(*loops)
    return ClientResult(
        whole=stats.completed,
        failed=stats.failed,
        elapsed=time.perf_counter() - started,
        first_token=stats.first_token.encode().decode(),
        cpu=time.process_time() - cpu,
    )


async def _open(workload: ClientWorkload) -> ClientConnection:
    host, port = split_address(workload.address)
    reader, writer = await asyncio.open_connection(host, port)
    return ClientConnection(reader=reader, writer=writer)


async def _send_back_to_back(
    workload: ClientWorkload, request: Callable[[], bytes], stats: ClientStats, *, end: float
) -> None:
    connection = await _open(workload)
    while time.perf_counter() < end:
        first, completed = await connection.exchange(request())
        stats.add(first=first, completed=completed)
        if not completed:
            connection = await _open(workload)


async def _send_at_rate(
    workload: ClientWorkload, request: Callable[[], bytes], stats: ClientStats, *, end: float
) -> None:
    idle = [await _open(workload) for _ in range(workload.connections)]
    rng = random.Random(workload.seed)
    running: set[asyncio.Task[None]] = set()

    async def send() -> None:
        connection = idle.pop() if idle else await _open(workload)
        first, completed = await connection.exchange(request())
        stats.add(first=first, completed=completed)
        if completed:
            idle.append(connection)

    due = time.perf_counter()
    while due < end:
        due += rng.expovariate(workload.rate)
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        task = asyncio.create_task(send())
        running.add(task)
        task.add_done_callback(running.discard)
    await asyncio.gather(*running)


def _entry_request(workload: ClientWorkload) -> Callable[[], bytes]:
    body = {
        "model": workload.model,
        "prompt": make_prompt(tokens=workload.prompt_tokens, seed=workload.seed),
        "max_tokens": workload.max_tokens,
        "stream": True,
    }
    request = _http_request(workload, msgspec.json.encode(body))
    return lambda: request


def _direct_request(workload: ClientWorkload) -> Callable[[], bytes]:
    prompt = make_prompt(tokens=workload.prompt_tokens, seed=workload.seed)

    def build() -> bytes:
        attempt = secrets.token_hex(8)
        call = EngineCall(
            attempt=attempt,
            request_id=attempt,
            holder="bench",
            model=workload.model,
            prompt=prompt,
            max_tokens=workload.max_tokens,
            seed=0,
            priority=0,
            deadline=600.0,
        )
        return _http_request(workload, msgspec.json.encode(call))

    return build


def _http_request(workload: ClientWorkload, body: bytes) -> bytes:
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: {workload.address}\r\n"
        f"Authorization: Bearer {workload.token}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
