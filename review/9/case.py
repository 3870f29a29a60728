"""A heartbeat that the store carries out late brings a draining server's older entry back."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from fleet import DESK, TROUBLE, Answer, Fleet, ask, main, request_bytes
from platform_upstream import Call, UpstreamStandin

from baobabpulley.platform import names

DRAIN_SECONDS = 2.0
WORK_SECONDS = 0.09
CALM_SECONDS = 4.0
# The heartbeat was sent this long before the server began to leave.
HEARTBEAT_BEFORE_SECONDS = 0.3
# From the draining report until the store carries the heartbeat out, 2.5 s after it was sent.
LATE_HEARTBEAT_SECONDS = 2.2
# "It continues serving for drain-ms after the store has accepted that report and a little longer".
SERVES_ON_SECONDS = 2.45
LEAVING = 4
STAYING = 4
SEQUENCE = 100
BORN = 1_700_000_000_000


class Sent:
    """One booking: when its client sent it, and what the client got."""

    def __init__(self, attempt: str, at: float) -> None:
        self.attempt, self.at = attempt, at
        self.answer: Answer | None = None
        self.answered_at = 0.0


async def run_order(upstream: UpstreamStandin, call: Call) -> None:
    """Do the work and answer."""
    await asyncio.sleep(WORK_SECONDS)
    await call.write(call.sealed(f"{upstream.name} ran {call.attempt}".encode()))


def write_entry(cluster: Fleet, name: str, *, sequence: int, state: str) -> None:
    """Write a server's entry, as the server's own call to the store does."""
    entry = cluster.upstreams[name].entry(state=state, sequence=sequence, born=BORN)
    cluster.store.put(names.UPSTREAM_PREFIX + name, entry)
    cluster.record.line(f"the store carries out {name}: sequence {sequence}, {state}")


async def leave(cluster: Fleet, name: str) -> None:
    """Stop a server as planned. One heartbeat from before gets no answer and is done late."""
    await asyncio.sleep(HEARTBEAT_BEFORE_SECONDS)
    upstream = cluster.upstreams[name]
    upstream.response_headers = ["Server-Leaving: 1"]
    write_entry(cluster, name, sequence=SEQUENCE + 2, state=names.STATE_DRAINING)
    await asyncio.sleep(LATE_HEARTBEAT_SECONDS)
    if TROUBLE:
        write_entry(cluster, name, sequence=SEQUENCE + 1, state=names.STATE_READY)
    await asyncio.sleep(SERVES_ON_SECONDS - LATE_HEARTBEAT_SECONDS)
    await upstream.stop()
    cluster.store.delete(names.UPSTREAM_PREFIX + name)
    cluster.record.line(f"{name} exited and its entry is removed")


async def send_orders(cluster: Fleet, address: tuple[str, int], until: float) -> list[Sent]:
    """Send bookings, each once."""
    sent: list[Sent] = []

    async def send(booking: Sent, data: bytes) -> None:
        booking.answer = await ask(address, data, seconds=3.0)
        booking.answered_at = time.monotonic()

    tasks = []
    while time.monotonic() < until:
        attempt, data = request_bytes("/booking/1")
        sent.append(Sent(attempt, time.monotonic()))
        tasks.append(asyncio.create_task(send(sent[-1], data)))
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)
    return sent


def told_at(sent: list[Sent], name: str) -> float | None:
    """Return when a client first got this server's answer with Server-Leaving."""
    times = [
        each.answered_at
        for each in sent
        if each.answer is not None
        and "server-leaving" in each.answer.headers
        and each.answer.body.startswith(f"{name} ".encode())
    ]
    return min(times, default=None)


async def run(cluster: Fleet) -> int:
    """Return 1 if a request sent later than drain-ms after Server-Leaving reached that server."""
    await cluster.start_store()
    leaving = [f"i-leaving-{number}" for number in range(LEAVING)]
    for name in (*leaving, *(f"i-staying-{number}" for number in range(STAYING))):
        upstream = await cluster.add_upstream(name, service=DESK, zone="kochi", slots=6)
        upstream.behaviour = run_order
        write_entry(cluster, name, sequence=SEQUENCE, state=names.STATE_READY)
    gateway = await cluster.add_gateway()
    await asyncio.sleep(CALM_SECONDS)
    orders = asyncio.create_task(
        send_orders(cluster, gateway.address, time.monotonic() + 5.0 * LEAVING)
    )
    await asyncio.sleep(1.0)
    for name in leaving:
        await leave(cluster, name)
        await asyncio.sleep(1.5)
    sent = await orders
    broken = judge(cluster, sent, leaving)
    text = f"DRAIN {'broken' if broken else 'held'}: {broken} bookings later than drain-ms"
    cluster.record.line(text)
    print(text)
    return 1 if broken else 0


def judge(cluster: Fleet, sent: list[Sent], leaving: list[str]) -> int:
    """Count the bookings that reached a server too late; record them and their answers."""
    by_attempt = {each.attempt: each for each in sent}
    counts: dict[int, int] = {}
    for each in sent:
        assert each.answer is not None
        counts[each.answer.status] = counts.get(each.answer.status, 0) + 1
    cluster.record.line(f"answers to the bookings by status (0: none): {counts}")
    broken = 0
    for name in leaving:
        told = told_at(sent, name)
        if told is None:
            cluster.record.line(f"{name}: the machine passed on no answer with Server-Leaving")
            continue
        for call in cluster.upstreams[name].journal:
            booking = by_attempt[call.attempt]
            if booking.at - told <= DRAIN_SECONDS:
                continue
            broken += 1
            assert booking.answer is not None
            cluster.record.line(
                f"{name}: booking {call.attempt} sent {booking.at - told:.3f} s after the machine"
                f" had passed on Server-Leaving; run here, its client got {booking.answer.status}"
            )
    return broken


if __name__ == "__main__":
    main(run, str(Path(__file__).parent))
