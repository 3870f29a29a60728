"""Send a trace to entries from separate client processes, and collect the results."""

from __future__ import annotations

import asyncio
import gc
import sys
import time
from typing import Final
from typing import final

import msgspec

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.emulator.caller import Caller
from baobabpulley.emulator.fleet import MODEL
from baobabpulley.emulator.fleet import caller_token
from baobabpulley.emulator.trace import PREFIX_TOKENS
from baobabpulley.emulator.trace import TraceItem
from baobabpulley.standins.text import expected_text
from baobabpulley.standins.text import make_prompt

START_DELAY_SECONDS: Final = 1.5
PREFIX_SEED: Final = 77


class Job(msgspec.Struct):
    """The requests that one client process sends.

    ``start`` is a time of the machine's monotonic clock; ``addresses`` maps entries to addresses.
    """

    start: float
    speed: float
    max_tokens: int
    addresses: dict[str, str]
    items: list[TraceItem]


class Sample(msgspec.Struct):
    """The result of one request. Times are model seconds.

    ``late`` is the delay of the client itself in sending. ``right`` says that the complete text is
    what the engine generates for this prompt. ``cached`` is the number of prompt tokens that were
    in a prefix cache.
    """

    index: int
    at: float
    tokens: int
    entry: str
    team: str
    late: float
    first_token: float
    total: float
    status: int
    code: str
    ran: bool | None
    right: bool
    cached: int = 0
    request_id: str = ""

    @property
    def ok(self) -> bool:
        """Whether the complete, correct response arrived."""
        return self.status == 200 and not self.code and self.right


@final
class LoadRun:
    """A running load test; ``wait`` returns its samples in the order of the trace."""

    __slots__ = ("_processes", "start")

    def __init__(self, *, start: float, processes: list[asyncio.subprocess.Process]) -> None:
        self.start = start
        self._processes = processes

    async def wait(self) -> list[Sample]:
        """Wait for all client processes and return their samples."""
        outputs = await asyncio.gather(*(process.communicate() for process in self._processes))
        decoder = msgspec.json.Decoder(list[Sample])
        samples = [sample for output, _ in outputs for sample in decoder.decode(output)]
        return sorted(samples, key=lambda sample: sample.index)

    def kill(self) -> None:
        """Kill all client processes."""
        for process in self._processes:
            if process.returncode is None:
                process.kill()


async def start_load(
    trace: list[TraceItem],
    *,
    addresses: dict[str, str],
    speed: float,
    max_tokens: int = 8,
    clients: int = 2,
) -> LoadRun:
    """Start ``clients`` processes that share the short prompts, and one for all other prompts."""
    start = time.monotonic() + START_DELAY_SECONDS
    short_items = [item for item in trace if item.short]
    shares = [short_items[index::clients] for index in range(clients)]
    shares.append([item for item in trace if not item.short])
    processes = []
    for share in shares:
        job = Job(start=start, speed=speed, max_tokens=max_tokens, addresses=addresses, items=share)
        if share:
            processes.append(await _start_client(job))
    return LoadRun(start=start, processes=processes)


async def _start_client(job: Job) -> asyncio.subprocess.Process:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "baobabpulley.emulator.load",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdin is not None
    process.stdin.write(msgspec.json.encode(job))
    await process.stdin.drain()
    process.stdin.write_eof()
    return process


async def send_all(job: Job) -> list[Sample]:
    """Send each request at its time (open loop), regardless of the earlier ones."""
    client = HttpClient()
    tasks = []
    for item in sorted(job.items, key=lambda item: item.at):
        due = job.start + item.at / job.speed
        await asyncio.sleep(due - time.monotonic())
        tasks.append(asyncio.create_task(_send(item, job, client, due)))
    return list(await asyncio.gather(*tasks))


async def _send(item: TraceItem, job: Job, client: HttpClient, due: float) -> Sample:
    prompt = _prompt(item)
    caller = Caller(token=caller_token(item.team), model=MODEL, client=client)
    sent = time.monotonic()
    completion = await caller.complete(
        job.addresses[item.entry], prompt=prompt, max_tokens=job.max_tokens, seed=item.index
    )
    expected = expected_text(prompt, seed=item.index, max_tokens=job.max_tokens)
    return Sample(
        index=item.index,
        at=item.at,
        tokens=item.tokens,
        entry=item.entry,
        team=item.team,
        late=(sent - due) * job.speed,
        first_token=(completion.first_token or completion.total) * job.speed,
        total=completion.total * job.speed,
        status=completion.status,
        code=completion.code,
        ran=completion.ran,
        right=completion.text == expected,
        cached=completion.usage.get("cached_tokens", 0),
        request_id=completion.request_id,
    )


def _prompt(item: TraceItem) -> str:
    prefix = ""
    if item.prefix >= 0:
        prefix = make_prompt(tokens=PREFIX_TOKENS, seed=PREFIX_SEED + item.prefix)
    return make_prompt(tokens=item.tokens, seed=item.content, shared_prefix=prefix)


def main() -> None:
    """Read a `Job` from standard input, write the samples to standard output."""
    gc.disable()
    job = msgspec.json.decode(sys.stdin.buffer.read(), type=Job)
    sys.stdout.buffer.write(msgspec.json.encode(asyncio.run(send_all(job))))


if __name__ == "__main__":
    main()
