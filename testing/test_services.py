"""Plain services through an entry: routes, retries, call tickets and idempotency keys."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from builders import wait_until
from entry_builders import LedgerFleet
from entry_builders import open_client
from entry_builders import send_order
from entry_builders import send_request

from baobabpulley.errors import OutcomeExpired
from baobabpulley.policy.outcomes import OutcomeCache
from baobabpulley.ports.plain_service import ServiceResponse
from baobabpulley.standins.faults import FaultOrder

CATALOGUE = "/services/ledger/catalogue"


_port_offsets = itertools.count(step=20)


@pytest.fixture
async def ledger(base_port: int, tmp_path: Path) -> AsyncIterator[LedgerFleet]:
    running = LedgerFleet(port=base_port + next(_port_offsets), directory=tmp_path)
    running.start()
    yield running
    await running.stop()


async def test_lookup_succeeds_while_an_upstream_is_down(ledger: LedgerFleet) -> None:
    ledger.list_unreachable_upstream()
    async with open_client() as http:
        for number in range(10):
            status, answer = await send_request(
                http,
                ledger.entries[0].address,
                "GET",
                f"/services/ledger/catalogue/saffron-{number}",
            )
            assert status == 200
            assert answer["item"] == f"saffron-{number}"


@pytest.mark.parametrize(
    ("method", "path", "status", "code"),
    [
        ("GET", "/services/ledger/orders", 404, "not_found"),
        ("GET", "/services/baker/catalogue/x", 404, "not_found"),
        ("GET", "/services/ledger/catalogue/../orders", 400, "bad_request"),
        ("GET", "/services/ledger/catalogue/%2e%2e/orders", 400, "bad_request"),
    ],
    ids=["method", "service", "dotted", "encoded"],
)
async def test_call_without_a_route_is_refused_as_not_run(
    ledger: LedgerFleet, method: str, path: str, status: int, code: str
) -> None:
    async with open_client() as http:
        actual, answer = await send_request(http, ledger.entries[0].address, method, path)
    assert (actual, answer["error"]["code"], answer["error"]["ran"]) == (status, code, False)
    assert ledger.executed_orders == []


async def test_order_whose_answer_is_lost_has_an_unknown_outcome_and_is_not_sent_again(
    ledger: LedgerFleet,
) -> None:
    for service in ledger.services:
        service.faults.apply(FaultOrder(kind="lose_answer", count=5))
    async with open_client() as http:
        status, answer = await send_order(http, ledger.entries[0].address, 1)
    assert (status, answer["error"]["code"], answer["error"]["ran"]) == (
        504,
        "outcome_unknown",
        None,
    )
    assert ledger.executed_orders == [{"id": 1}]


async def test_order_fails_over_when_it_cannot_have_run(ledger: LedgerFleet) -> None:
    ledger.list_unreachable_upstream()
    async with open_client() as http:
        for number in range(4):
            status, _ = await send_order(http, ledger.entries[0].address, number)
            assert status == 201
    assert sorted(order["id"] for order in ledger.executed_orders) == [0, 1, 2, 3]


async def test_ticket_repeated_through_every_entry_gives_the_first_answer(
    ledger: LedgerFleet,
) -> None:
    async with open_client() as http:
        first, second = (entry.address for entry in ledger.entries)
        _, issued = await send_request(http, first, "POST", "/v1/tickets")
        answers = [
            await send_order(http, address, 7, Call_Ticket=issued["ticket"])
            for address in (second, first, second)
        ]
    assert [status for status, _ in answers] == [201, 201, 201]
    assert answers[0] == answers[1] == answers[2]
    assert ledger.executed_orders == [{"id": 7}]


async def test_ticketed_call_runs_and_keyed_call_is_refused_while_the_store_is_down(
    ledger: LedgerFleet,
) -> None:
    ledger.store.faults.apply(FaultOrder(kind="down", seconds=60.0))
    async with open_client() as http:
        address = ledger.entries[0].address
        _, issued = await send_request(http, address, "POST", "/v1/tickets")
        ticketed, _ = await send_order(http, address, 1, Call_Ticket=issued["ticket"])
        keyed, answer = await send_order(http, address, 2, Idempotency_Key="two")
    assert ticketed == 201
    assert (keyed, answer["error"]["ran"]) == (503, False)
    assert "ticket" in answer["error"]["remedy"]
    assert ledger.executed_orders == [{"id": 1}]


async def test_ticket_of_a_replaced_entry_has_an_unknown_outcome(ledger: LedgerFleet) -> None:
    async with open_client() as http:
        first, second = ledger.entries
        _, issued = await send_request(http, first.address, "POST", "/v1/tickets")
        await first.kill()
        after_kill = await send_order(http, second.address, 1, Call_Ticket=issued["ticket"])
        first.start(vms=ledger.vms)
        after_restart = await send_order(http, first.address, 1, Call_Ticket=issued["ticket"])
    for status, answer in (after_kill, after_restart):
        assert (status, answer["error"]["code"]) == (504, "outcome_unknown")
    assert ledger.executed_orders == []


async def test_tickets_of_an_entry_that_shut_down_are_served_by_its_successor(
    ledger: LedgerFleet,
) -> None:
    first, second = ledger.entries
    async with open_client() as http:
        tickets = [
            (await send_request(http, first.address, "POST", "/v1/tickets"))[1]["ticket"]
            for _ in range(3)
        ]
        placed = await send_order(http, first.address, 0, Call_Ticket=tickets[0])
        await first.shut_down()
        for _ in range(2):
            assert await send_order(http, second.address, 0, Call_Ticket=tickets[0]) == placed
        unused = await send_order(http, second.address, 1, Call_Ticket=tickets[1])
        first.start(vms=ledger.vms)
        assert await send_order(http, first.address, 1, Call_Ticket=tickets[1]) == unused
        # On its own shutdown the successor hands over the tickets that it had taken over.
        await second.shut_down()
        assert await send_order(http, first.address, 0, Call_Ticket=tickets[0]) == placed
        await first.kill()
        second.start(vms=ledger.vms)
        _, after_kill = await send_order(http, second.address, 2, Call_Ticket=tickets[2])
    assert (placed[0], unused[0]) == (201, 201)
    assert after_kill["error"]["code"] == "outcome_unknown"
    assert [line["id"] for line in ledger.executed_orders] == [0, 1]


@pytest.mark.parametrize("header", ["Call_Ticket", "Idempotency_Key"], ids=["ticket", "key"])
async def test_another_call_under_the_same_ticket_or_key_is_refused(
    ledger: LedgerFleet, header: str
) -> None:
    async with open_client() as http:
        address = ledger.entries[0].address
        _, issued = await send_request(http, address, "POST", "/v1/tickets")
        headers = {header: issued["ticket"]}
        await send_order(http, address, 1, **headers)
        status, answer = await send_order(http, address, 2, **headers)
    assert (status, answer["error"]["code"]) == (409, "call_mismatch")
    assert ledger.executed_orders == [{"id": 1}]


async def test_ticket_of_another_team_or_a_forged_one_is_refused(ledger: LedgerFleet) -> None:
    async with open_client() as http:
        address = ledger.entries[0].address
        _, issued = await send_request(http, address, "POST", "/v1/tickets")
        forged = issued["ticket"][:-4] + "AAAA"
        for team, ticket in (("stall", issued["ticket"]), ("souk", forged), ("souk", "x")):
            status, answer = await send_order(http, address, 1, team=team, Call_Ticket=ticket)
            assert (status, answer["error"]["code"]) == (403, "ticket_invalid")
    assert ledger.executed_orders == []


async def test_key_claimed_with_a_lost_answer_runs_once(ledger: LedgerFleet) -> None:
    ledger.store.faults.apply(FaultOrder(kind="lose_answer", count=2))
    async with open_client() as http:
        for entry in (*ledger.entries, *ledger.entries):
            status, answer = await send_order(http, entry.address, 3, Idempotency_Key="k")
            assert status == 201, answer
    assert ledger.executed_orders == [{"id": 3}]


async def test_a_repeat_outlasts_a_pause_of_the_store_while_the_first_call_runs(
    ledger: LedgerFleet,
) -> None:
    for service in ledger.services:
        service.faults.apply(FaultOrder(kind="delay", seconds=0.4))
    async with open_client() as http:
        first = asyncio.create_task(
            send_order(http, ledger.entries[0].address, 4, Idempotency_Key="pause")
        )
        await wait_until(lambda: len(ledger.executed_orders) == 1)
        repeat = asyncio.create_task(
            send_order(http, ledger.entries[1].address, 4, Idempotency_Key="pause")
        )
        await asyncio.sleep(0.1)
        ledger.store.faults.apply(FaultOrder(kind="down", seconds=0.2))
        answers = await asyncio.gather(first, repeat)
    assert [status for status, _ in answers] == [201, 201], answers
    assert ledger.executed_orders == [{"id": 4}]


async def test_a_repeat_ends_in_time_while_the_store_stays_down(ledger: LedgerFleet) -> None:
    for service in ledger.services:
        service.faults.apply(FaultOrder(kind="delay", seconds=0.4))
    async with open_client() as http:
        first = asyncio.create_task(
            send_order(http, ledger.entries[0].address, 4, Idempotency_Key="down")
        )
        await wait_until(lambda: len(ledger.executed_orders) == 1)
        repeat = asyncio.create_task(
            send_order(http, ledger.entries[1].address, 4, Idempotency_Key="down")
        )
        await asyncio.sleep(0.1)
        ledger.store.faults.apply(FaultOrder(kind="down", seconds=60.0))
        (first_status, _), (status, answer) = await asyncio.gather(first, repeat)
    assert first_status == 201
    assert (status, answer["error"]["code"], answer["error"]["ran"]) == (
        504,
        "outcome_unknown",
        None,
    )
    assert ledger.executed_orders == [{"id": 4}]


async def test_concurrent_repeats_of_one_key_run_once(ledger: LedgerFleet) -> None:
    async with open_client() as http:
        addresses = [entry.address for entry in ledger.entries]
        answers = await asyncio.gather(
            *(
                send_order(http, addresses[number % 2], 5, Idempotency_Key="same")
                for number in range(12)
            )
        )
    assert [status for status, _ in answers] == [201] * 12
    assert ledger.executed_orders == [{"id": 5}]


async def test_concurrent_keys_share_store_transactions(ledger: LedgerFleet) -> None:
    async with open_client() as http:
        address = ledger.entries[0].address
        answers = await asyncio.gather(
            *(
                send_order(http, address, number, Idempotency_Key=f"order-{number}")
                for number in range(64)
            )
        )
    assert all(status == 201 for status, _ in answers)
    assert sorted(order["id"] for order in ledger.executed_orders) == list(range(64))
    # Without batching, 64 claims and 64 outcomes would take 128 transactions.
    assert ledger.store.calls["/v3/kv/txn"] <= 64


async def test_outcome_cache_is_bounded_and_reports_expired_outcomes() -> None:
    cache = OutcomeCache(capacity=4)

    async def place() -> ServiceResponse:
        return ServiceResponse(status=201, body=b"placed", content_type="text/plain")

    for number in range(1, 11):
        assert cache.issue() == number
        await cache.run(number, fingerprint="order", run=place)
        await asyncio.sleep(0)
    assert cache.size == 4
    with pytest.raises(OutcomeExpired) as caught:
        await cache.run(3, fingerprint="order", run=place)
    assert caught.value.ran is None
