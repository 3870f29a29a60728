"""Orders on the wire: the check stands between head and body, and a late body is not taken."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import msgspec
import pytest
import pytest_asyncio

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_engine import HttpEngine
from baobabpulley.errors import OrderTooLate
from baobabpulley.model.upstreams import Upstream
from baobabpulley.ports.engine import Order
from baobabpulley.standins.engine import BODY_TIMEOUT
from baobabpulley.standins.engine import EngineStandin
from baobabpulley.standins.engine_core import EngineProfile
from baobabpulley.timers import TimerService

HOST = "127.0.0.1"
SPEED = 10.0
WAIT_SECONDS = 20.0
ORDER = Order(id="7.1.engine-0.load", kind="load", model="recipes", version="1", fence=7)

pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def engine(base_port: int) -> AsyncIterator[EngineStandin]:
    timers = TimerService(speed=SPEED)
    running = EngineStandin(
        id="engine-0",
        address=f"{HOST}:{base_port}",
        models=(),
        profile=EngineProfile(checks_fencing=False),
        timers=timers,
    )
    running.start()
    yield running
    await running.stop()
    timers.cancel_all()


def _orders(engine: EngineStandin) -> list[str]:
    return [line["id"] for line in engine.describe()["lines"] if line["kind"] == "order"]


async def test_error_of_the_check_leaves_the_order_unsent(
    engine: EngineStandin, base_port: int
) -> None:
    adapter = HttpEngine(client=HttpClient(), timers=TimerService(speed=SPEED))
    upstream = Upstream(
        id="engine-0", service="kitchen", failure_domain="fes", address=f"{HOST}:{base_port}"
    )

    def refuse() -> None:
        raise OrderTooLate("the lease has ended")

    with pytest.raises(OrderTooLate):
        await adapter.order(upstream, ORDER, guard=refuse, window=BODY_TIMEOUT)
    # The same way lets an order through whose check passes, so the first one had its chance.
    other = msgspec.structs.replace(ORDER, id="7.2.engine-0.load")
    await adapter.order(upstream, other, guard=lambda: None, window=BODY_TIMEOUT)
    assert _orders(engine) == [other.id]


async def test_engine_takes_no_order_whose_body_comes_past_its_read_timeout(
    engine: EngineStandin, base_port: int
) -> None:
    late = msgspec.structs.replace(ORDER, id="7.3.engine-0.load")
    body = msgspec.json.encode(late)
    reader, writer = await asyncio.open_connection(HOST, base_port)
    head = f"POST /v1/orders HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode())
    await writer.drain()
    # The engine closes first; a body that is written now finds nobody.
    async with asyncio.timeout(WAIT_SECONDS):
        assert await reader.read() == b""
    writer.write(body)
    await asyncio.sleep(0.1)
    assert late.id not in _orders(engine)
    writer.close()
