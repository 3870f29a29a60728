"""Orders on the wire: the guard runs between head and body, and a late body is rejected."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
import pytest
import pytest_asyncio

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_engine import HttpEngine
from baobabpulley.emulator.processes import Process
from baobabpulley.errors import OrderTooLate
from baobabpulley.errors import UpstreamRefused
from baobabpulley.model.upstreams import Upstream
from baobabpulley.ports.engine import Order
from baobabpulley.standins.engine import BODY_TIMEOUT_SECONDS
from baobabpulley.standins.engine import EngineStandin
from baobabpulley.standins.engine_core import EngineProfile
from baobabpulley.timers import TimerService

HOST = "127.0.0.1"
SPEED = 10.0
WAIT_SECONDS = 20.0
CREDENTIAL = "a-credential-of-the-fleet"
ORDER = Order(id="7.1.engine-0.load", kind="load", model="recipes", version="1", fence=7)

pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def engine(base_port: int) -> AsyncIterator[EngineStandin]:
    timers = TimerService(speed=SPEED)
    running = EngineStandin(
        id="engine-0",
        address=f"{HOST}:{base_port}",
        models=(),
        profile=EngineProfile(checks_fencing=False, credential=CREDENTIAL),
        timers=timers,
    )
    running.start()
    yield running
    await running.stop()
    timers.cancel_all()


def _orders(engine: EngineStandin) -> list[str]:
    return [line["id"] for line in engine.describe()["lines"] if line["kind"] == "order"]


async def test_order_is_not_sent_when_its_guard_raises(
    engine: EngineStandin, base_port: int
) -> None:
    adapter = HttpEngine(client=HttpClient(), timers=TimerService(speed=SPEED))
    upstream = Upstream(
        id="engine-0", service="kitchen", failure_domain="fes", address=f"{HOST}:{base_port}"
    )

    def refuse() -> None:
        raise OrderTooLate("the lease has ended")

    with pytest.raises(OrderTooLate):
        await adapter.order(upstream, ORDER, guard=refuse, window=BODY_TIMEOUT_SECONDS)
    # The same adapter sends an order whose guard passes, so only the guard stopped the first one.
    accepted = msgspec.structs.replace(ORDER, id="7.2.engine-0.load")
    await adapter.order(
        upstream, accepted, guard=lambda: 60.0, window=BODY_TIMEOUT_SECONDS, credential=CREDENTIAL
    )
    assert _orders(engine) == [accepted.id]


@pytest.mark.parametrize("credential", ["", "a-wrong-one"], ids=["none", "wrong"])
async def test_engine_that_checks_its_sender_refuses_an_order_without_the_credential(
    engine: EngineStandin, base_port: int, credential: str
) -> None:
    adapter = HttpEngine(client=HttpClient(), timers=TimerService(speed=SPEED))
    upstream = Upstream(
        id="engine-0", service="kitchen", failure_domain="fes", address=f"{HOST}:{base_port}"
    )
    forged = msgspec.structs.replace(ORDER, id=f"forged-{credential}", fence=1_000_000)
    with pytest.raises(UpstreamRefused, match="unauthorized"):
        await adapter.order(upstream, forged, window=BODY_TIMEOUT_SECONDS, credential=credential)
    assert forged.id not in _orders(engine)


@pytest.mark.parametrize(
    ("lease_remaining", "exit_code"),
    [(0.3, -signal.SIGALRM), (60.0, 0)],
    ids=["past_its_lease", "in_time"],
)
async def test_holder_frozen_after_its_last_check_sends_nothing_past_its_lease(
    base_port: int, lease_remaining: float, exit_code: int, tmp_path: Path
) -> None:
    """The engine has no body timeout and does not check fencing tokens."""
    received = bytearray()

    async def receive_order(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65_536):
            received.extend(data)
            if ORDER.model.encode() in received:
                break
        writer.close()

    address = f"{HOST}:{base_port + 30}"
    async with await asyncio.start_server(receive_order, HOST, base_port + 30):
        script = Path(__file__).with_name("frozen_sender.py")
        command = [sys.executable, str(script), address, str(lease_remaining)]
        sender = Process(name="sender", command=command, log=tmp_path / "sender.log")
        sender.start()
        await asyncio.to_thread(os.waitid, os.P_PID, sender.pid, os.WSTOPPED | os.WNOWAIT)
        await asyncio.sleep(0.5)
        sender.send(signal.SIGCONT)
        assert await asyncio.to_thread(sender.wait, WAIT_SECONDS) == exit_code
    assert b"POST /v1/orders" in received
    assert (ORDER.model.encode() in received) == (exit_code == 0)


async def test_engine_takes_no_order_whose_body_comes_past_its_read_timeout(
    engine: EngineStandin, base_port: int
) -> None:
    late = msgspec.structs.replace(ORDER, id="7.3.engine-0.load")
    body = msgspec.json.encode(late)
    reader, writer = await asyncio.open_connection(HOST, base_port)
    head = f"POST /v1/orders HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode())
    await writer.drain()
    # The engine closes the connection first; a body written now has no reader.
    async with asyncio.timeout(WAIT_SECONDS):
        assert await reader.read() == b""
    writer.write(body)
    await asyncio.sleep(0.1)
    assert late.id not in _orders(engine)
    writer.close()
