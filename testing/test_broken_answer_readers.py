"""Tests of what each reader of answers makes of one that is not HTTP: a lost answer."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable

import pytest
from evacuation_builders import LEDGER
from platform_upstream import UpstreamStandin
from platform_upstream import raw_answer
from raw_answers import answer
from raw_answers import line
from raw_answers import status

from baobabpulley.adapters.etcd_store import EtcdStore
from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_engine import HttpEngine
from baobabpulley.adapters.http_service import HttpPlainService
from baobabpulley.adapters.http_vm_list import HttpVmList
from baobabpulley.errors import BaobabError
from baobabpulley.errors import StoreResponseLost
from baobabpulley.errors import StoreUnavailable
from baobabpulley.errors import UpstreamLost
from baobabpulley.gateway.store.store_relay import fetch_update
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.model.upstreams import Upstream
from baobabpulley.platform.memory_reservations import PlatformMemoryReservations
from baobabpulley.platform.store import PlatformStore
from baobabpulley.ports.config_store import Swap
from baobabpulley.ports.engine import Order
from baobabpulley.ports.plain_service import ServiceCall
from baobabpulley.timers import TimerService

Read = Callable[[HttpClient, str], Awaitable[object]]

TIMEOUT_SECONDS = 3.0
BROKEN = [
    pytest.param(status(b"000"), id="status-000"),
    pytest.param(line(b"X Note: 1"), id="blank-in-a-name"),
    pytest.param(line(b"\nX-Note: 1"), id="lf-first-in-a-name"),
    pytest.param(answer(status_line=b"HTTP/1.1 103 Answer", lines=(), body=b""), id="interim-only"),
]
CALL = ServiceCall("a-1", "POST", "/", b"", "text/plain", TIMEOUT_SECONDS, "souk")


def engine(client: HttpClient) -> HttpEngine:
    return HttpEngine(client=client, timers=TimerService())


def upstream(address: str) -> Upstream:
    return Upstream(id="i-1", service=LEDGER, failure_domain="fes", address=address)


def platform_store(client: HttpClient, address: str) -> PlatformStore:
    return PlatformStore(client=client, address=address, watch_wait=1.0)


def etcd_store(client: HttpClient, address: str) -> EtcdStore:
    return EtcdStore(client=client, address=address, timers=TimerService())


READERS: dict[str, tuple[Read, type[BaobabError]]] = {
    "platform-store-read": (lambda c, a: platform_store(c, a).get("k"), StoreUnavailable),
    "platform-store-write": (
        lambda c, a: platform_store(c, a).swap(Swap("k", b"v", expected_revision=0)),
        StoreResponseLost,
    ),
    "other-gateway": (
        lambda c, a: fetch_update(c, a, after=0, timers=TimerService(), timeout=TIMEOUT_SECONDS),
        UpstreamLost,
    ),
    "config-store-read": (lambda c, a: etcd_store(c, a).get("k"), StoreUnavailable),
    "config-store-write": (lambda c, a: etcd_store(c, a).grant_lease(5.0), StoreResponseLost),
    "config-store-watch": (
        lambda c, a: anext(aiter(etcd_store(c, a).watch("k", from_revision=1))),
        StoreUnavailable,
    ),
    "vm-list": (
        lambda c, a: HttpVmList(client=c, address=a, timers=TimerService()).read(),
        StoreUnavailable,
    ),
    "engine-state": (lambda c, a: engine(c).state(upstream(a)), UpstreamLost),
    "engine-events": (lambda c, a: anext(aiter(engine(c).events(upstream(a)))), UpstreamLost),
    "engine-order": (
        lambda c, a: engine(c).order(
            upstream(a), Order(id="7.1", kind="load", model="recipes", version="1", fence=7)
        ),
        UpstreamLost,
    ),
    "service": (
        lambda c, a: HttpPlainService(client=c, timers=TimerService()).call(upstream(a), CALL),
        UpstreamLost,
    ),
}


@pytest.fixture
async def client() -> AsyncIterator[HttpClient]:
    opened = HttpClient()
    yield opened
    opened.close()


@pytest.fixture
async def server() -> AsyncIterator[UpstreamStandin]:
    """Answer with the head alone, whatever is asked."""
    started = UpstreamStandin("i-1", service=LEDGER)
    started.reads_bodies = False
    await started.start()
    yield started
    await started.stop()


@pytest.mark.parametrize("broken", BROKEN)
@pytest.mark.parametrize("reader", READERS)
async def test_an_answer_that_is_not_http_is_a_lost_answer(
    client: HttpClient, server: UpstreamStandin, reader: str, broken: bytes
) -> None:
    server.behaviour = raw_answer(broken)
    read, error = READERS[reader]
    with pytest.raises(error) as raised:
        await read(client, server.address)
    assert b"Note" not in str(raised.value).encode()


@pytest.mark.parametrize("broken", BROKEN)
async def test_a_reservation_whose_answer_is_not_http_is_not_held(
    client: HttpClient, server: UpstreamStandin, broken: bytes
) -> None:
    server.behaviour = raw_answer(broken)
    listed = ListedUpstream(server.name, LEDGER, server.address, "fes", 8, False)
    outcome = await PlatformMemoryReservations(client=client).reserve(
        listed, ticket="t", tokens=1, hold_seconds=1.0, timeout=TIMEOUT_SECONDS
    )
    assert (outcome.reserved, outcome.head) == (False, None)
