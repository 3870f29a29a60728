"""Tests of upstreams that answer with neither a length nor chunks and end with the connection."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections import Counter
from collections.abc import AsyncIterator
from collections.abc import Callable
from pathlib import Path
from typing import final

import platform_upstream as upstreams
import pytest
from fair_clock import FairClock
from gateway_builders import KITCHEN
from gateway_builders import LEDGER
from gateway_builders import Reply
from gateway_builders import World
from gateway_builders import configuration
from gateway_builders import open_world
from gateway_builders import read_reply
from gateway_builders import request_bytes
from gateway_builders import route
from gateway_builders import send
from gateway_builders import wait_until
from platform_upstream import Behaviour
from platform_upstream import Call
from platform_upstream import UpstreamStandin
from platform_upstream import raw_answer
from platform_upstream import unframed
from platform_upstream import unframed_stream

from baobabpulley.gateway.daemon import Gateway
from baobabpulley.platform import names

# Longer than the silence after which a gateway looks for another upstream.
PAUSE_SECONDS = 1.4
SHORT_DEADLINE_MS = 1200
MEGABYTE = 1024 * 1024
BLOCK_BYTES = 65_536
# A gateway of 430 MB serves many requests at once, so one connection may not hold more than this.
MAX_BYTES = 24 * MEGABYTE
STREAM_HEADER = "Content-Type: text/event-stream"
ALL_EVENTS = [0, 1, 2, 3]
JUNK = b"HTTP/1.1 200 Answer\r\nContent-Length: 4\r\n\r\njunk"


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


async def add_upstreams(world: World, *behaviours: Behaviour, service: str = LEDGER) -> None:
    for number, behaviour in enumerate(behaviours, start=1):
        upstream = await world.add_upstream(f"i-{service}-{number}", service=service)
        upstream.behaviour = behaviour


def calls(world: World) -> list[Call]:
    return [call for upstream in world.upstreams.values() for call in upstream.journal]


def connections(world: World) -> int:
    return sum(upstream.connections for upstream in world.upstreams.values())


async def send_on_one_connection(gateway: Gateway, *paths: str) -> list[Reply]:
    """Send requests one after another on a kept connection."""
    host, port = gateway.node.callers.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    replies = []
    for path in paths:
        writer.write(request_bytes(path))
        replies.append(await asyncio.wait_for(read_reply(reader), 20))
    writer.close()
    return replies


HEAD = f"HTTP/1.1 200 Answer\r\n{names.ATTEMPT}: ATTEMPT\r\n{names.SEAL}: s\r\n\r\n".encode()

WHOLE = [
    pytest.param(unframed(b"the whole answer"), id="plain"),
    pytest.param(unframed(b"the ", b"whole ", b"answer", pause=0.02), id="in-pieces"),
    pytest.param(unframed(b"the whole answer", headers=("Connection: close",)), id="announced"),
    pytest.param(unframed(b"the whole answer", version="1.0"), id="http-1.0"),
    pytest.param(raw_answer(HEAD + b"the whole answer"), id="one-segment"),
]


@pytest.mark.parametrize("behaviour", WHOLE)
async def test_a_whole_answer_reaches_its_caller_framed_and_its_connection_is_not_reused(
    world: World, behaviour: Behaviour
) -> None:
    await add_upstreams(world, behaviour)
    gateway = await world.add_gateway()
    replies = await send_on_one_connection(gateway, "/order/1", "/lookup/2", "/order/3")
    for reply in replies:
        assert (reply.status, reply.body, reply.complete) == (200, b"the whole answer", True)
        assert reply.headers["content-length"] == "16"
        assert names.SEAL.lower() in reply.headers
    assert (len(calls(world)), connections(world)) == (3, 3)


@pytest.mark.parametrize("size", [0, 3 * MEGABYTE], ids=["empty", "large"])
async def test_an_answer_of_any_size_is_whole(world: World, size: int) -> None:
    await add_upstreams(world, unframed(b"x" * size))
    gateway = await world.add_gateway()
    replies = await send_on_one_connection(gateway, "/order/1", "/lookup/2")
    assert [(reply.status, len(reply.body), reply.complete) for reply in replies] == [
        (200, size, True)
    ] * 2


async def test_answers_that_pause_are_whole_and_run_once(world: World) -> None:
    await add_upstreams(world, unframed(b"first ", b"second", pause=PAUSE_SECONDS / 2))
    await add_upstreams(
        world, unframed_stream(events=4, pause_after=2, pause=PAUSE_SECONDS), service=KITCHEN
    )
    gateway = await world.add_gateway()
    replies = await asyncio.gather(
        *(send(gateway, path) for path in ("/order/1", "/lookup/2", "/draft/3"))
    )
    assert [(reply.status, reply.complete) for reply in replies] == [(200, True)] * 3
    assert [reply.body for reply in replies[:2]] == [b"first second"] * 2
    assert replies[2].events == ALL_EVENTS
    assert len(calls(world)) == 3


async def test_an_upstreams_own_failure_is_passed_on_whole(world: World) -> None:
    await add_upstreams(world, unframed(b"failed", status=500), unframed(b"failed", status=500))
    gateway = await world.add_gateway()
    reply = await send(gateway, "/order/1")
    assert (reply.status, reply.body, reply.complete) == (500, b"failed", True)
    assert len(calls(world)) == 1


@pytest.mark.parametrize("then_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("path", ["/order/1", "/lookup/1"])
async def test_a_refusal_without_length_is_followed_by_another_upstream(
    world: World, path: str, then_reset: bool
) -> None:
    refuse = unframed(
        b"full", status=503, headers=(f"{names.NOT_EXECUTED}: 1",), then_reset=then_reset
    )
    behaviour = upstreams.first_then(refuse, then=unframed(b"answer"))
    await add_upstreams(world, behaviour, behaviour)
    gateway = await world.add_gateway()
    reply = await send(gateway, path)
    assert (reply.status, reply.body, reply.complete) == (200, b"answer", True)
    assert len(calls(world)) == 2


# Each of these may have run, and none is a whole answer.
RESETS = [
    pytest.param(raw_answer(b"", then_reset=True), id="before-the-head"),
    pytest.param(raw_answer(HEAD[:30], then_reset=True), id="within-the-head"),
    pytest.param(unframed(then_reset=True), id="behind-the-head"),
    pytest.param(unframed(b"the who", then_reset=True), id="within-the-body"),
    pytest.param(unframed(b"the whole answer", then_reset=True), id="behind-the-body"),
    pytest.param(unframed(b"the who", version="1.0", then_reset=True), id="http-1.0"),
    pytest.param(unframed(b"fai", status=500, then_reset=True), id="within-a-failure"),
    pytest.param(raw_answer(HEAD, then_reset=True), id="with-the-head"),
    pytest.param(raw_answer(HEAD + b"the who", then_reset=True), id="with-the-body"),
    pytest.param(unframed(b"x" * 3 * MEGABYTE, then_reset=True), id="within-a-large-body"),
    pytest.param(raw_answer(HEAD[:30]), id="closed-within-the-head"),
    pytest.param(raw_answer(b""), id="closed-before-the-head"),
]


@pytest.mark.parametrize("behaviour", RESETS)
async def test_an_order_that_was_reset_is_neither_whole_nor_sent_again(
    world: World, behaviour: Behaviour
) -> None:
    await add_upstreams(world, behaviour, behaviour)
    gateway = await world.add_gateway()
    reply = await send(gateway, "/order/1")
    assert reply.status == 502
    assert names.SEAL.lower() not in reply.headers
    assert len(calls(world)) == 1


@pytest.mark.parametrize("behaviour", RESETS)
async def test_a_lookup_that_was_reset_is_answered_by_another_upstream(
    world: World, behaviour: Behaviour
) -> None:
    behaviour = upstreams.first_then(behaviour, then=unframed(b"the whole answer"))
    await add_upstreams(world, behaviour, behaviour)
    gateway = await world.add_gateway()
    reply = await send(gateway, "/lookup/1")
    assert (reply.status, reply.body, reply.complete) == (200, b"the whole answer", True)
    assert len({call.headers[names.EXPECTED_INSTANCE.lower()] for call in calls(world)}) == 2


@pytest.mark.parametrize("version", ["1.0", "1.1"])
async def test_a_whole_stream_is_passed_on_as_complete(world: World, version: str) -> None:
    await add_upstreams(world, unframed_stream(events=4, version=version), service=KITCHEN)
    gateway = await world.add_gateway()
    replies = await send_on_one_connection(gateway, "/draft/1", "/draft/2")
    assert [(reply.status, reply.complete, reply.events) for reply in replies] == [
        (200, True, ALL_EVENTS)
    ] * 2
    assert (len(calls(world)), connections(world)) == (2, 2)


BREAKS = [
    pytest.param(unframed_stream(events=4, ends_after=2, ending=b"id: 2\nda"), id="closed"),
    pytest.param(unframed_stream(events=4, ends_after=2, ending=b"id: 2\n"), id="behind-a-line"),
    pytest.param(unframed_stream(events=4, ends_after=0, ending=b"i"), id="in-the-first-event"),
    pytest.param(unframed_stream(events=4, ends_after=2, ending=b": al"), id="in-a-comment"),
    pytest.param(
        unframed_stream(events=4, ends_after=2, ending=b"id: 3\ndata: piece 3\n"),
        id="behind-a-skipped-event",
    ),
    pytest.param(
        unframed_stream(events=4, ends_after=2, ending=b"id: 2\nda", then_reset=True), id="reset"
    ),
    pytest.param(
        unframed_stream(events=4, ends_after=2, then_reset=True), id="reset-between-events"
    ),
    pytest.param(
        unframed_stream(events=4, ends_after=0, then_reset=True), id="reset-behind-the-head"
    ),
    pytest.param(unframed_stream(events=4, then_reset=True), id="reset-behind-the-last-event"),
    pytest.param(unframed_stream(events=4, ends_after=2, ending=JUNK), id="bytes-of-no-event"),
    pytest.param(
        unframed_stream(
            events=4, ends_after=2, ending=b"id: 2\nda", pause_after=1, pause=0.3, version="1.0"
        ),
        id="http-1.0",
    ),
]


@pytest.mark.parametrize("behaviour", BREAKS)
async def test_a_broken_stream_goes_on_at_another_upstream_with_each_event_once(
    world: World, behaviour: Behaviour
) -> None:
    behaviour = upstreams.first_then(behaviour, then=unframed_stream(events=4))
    await add_upstreams(world, behaviour, behaviour, service=KITCHEN)
    gateway = await world.add_gateway()
    reply = await send(gateway, "/draft/1")
    assert (reply.status, reply.complete, reply.events) == (200, True, ALL_EVENTS)
    assert reply.body == b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in ALL_EVENTS)
    assert len({call.headers[names.EXPECTED_INSTANCE.lower()] for call in calls(world)}) == 2


@pytest.mark.parametrize("behaviour", BREAKS)
async def test_a_broken_stream_that_may_not_be_resumed_is_cut_and_not_sent_again(
    world: World, behaviour: Behaviour
) -> None:
    plain = route("/draft/", KITCHEN, names.KIND_STREAM, **{"resumable-streams": False})
    world.store.put(names.CONFIGURATION_KEY, configuration(2, routes=[plain]))
    await add_upstreams(world, behaviour, behaviour, service=KITCHEN)
    gateway = await world.add_gateway()
    reply = await send(gateway, "/draft/1")
    assert (reply.status, reply.complete) in {(200, False), (502, True)}
    assert reply.events == ALL_EVENTS[: len(reply.events)]
    assert len(calls(world)) == 1


async def test_a_stream_that_breaks_at_every_upstream_is_not_ended_as_complete(
    world: World,
) -> None:
    behaviour = unframed_stream(events=4, ends_after=2, ending=b"id: 2\nda")
    await add_upstreams(world, behaviour, behaviour, service=KITCHEN)
    gateway = await world.add_gateway()
    reply = await send(gateway, "/draft/1")
    assert (reply.complete, reply.events) == (False, [0, 1])


async def test_a_stream_closed_in_order_between_two_events_is_passed_on_as_it_came(
    world: World,
) -> None:
    # Nothing in an event says that it is the last one, so an orderly end between two events can't
    # be told from the end of the stream.
    behaviour = unframed_stream(events=4, ends_after=2)
    await add_upstreams(world, behaviour, behaviour, service=KITCHEN)
    gateway = await world.add_gateway()
    reply = await send(gateway, "/draft/1")
    assert (reply.status, reply.complete, reply.events) == (200, True, [0, 1])
    assert len(calls(world)) == 1


def answer_and_more(more: Behaviour, ended: list[Call]) -> Behaviour:
    """Return a behaviour that sends a framed answer, does ``more`` and then is in ``ended``."""

    async def run(upstream: UpstreamStandin, call: Call) -> None:
        await call.write(call.sealed(b"own answer"))
        await more(upstream, call)
        ended.append(call)

    return run


@pytest.mark.parametrize(
    "more",
    [
        pytest.param(unframed(b"second answer"), id="closed"),
        pytest.param(unframed(b"second answer", then_reset=True), id="reset"),
        pytest.param(raw_answer(HEAD + b"second answer"), id="same-segment"),
    ],
)
async def test_a_second_answer_without_length_reaches_nobody(world: World, more: Behaviour) -> None:
    ended: list[Call] = []
    await add_upstreams(world, answer_and_more(more, ended))
    gateway = await world.add_gateway()
    for number in range(4):
        reply = await send(gateway, f"/order/{number}")
        assert (reply.status, reply.body, reply.complete) == (200, b"own answer", True)
        # A request that crosses the second answer fails, as the next test shows.
        await wait_until(lambda: len(ended) == len(calls(world)))
        await asyncio.sleep(0.01 * (number + 1))


async def test_a_late_second_answer_on_an_idle_connection_reaches_nobody(world: World) -> None:
    answered, late = asyncio.Event(), asyncio.Event()

    async def answer_again_later(upstream: UpstreamStandin, call: Call) -> None:
        await call.write(call.sealed(b"own answer"))
        await answered.wait()
        answered.clear()
        await unframed(b"second answer")(upstream, call)
        late.set()

    await add_upstreams(world, answer_again_later)
    gateway = await world.add_gateway()
    for number in range(4):
        reply = await send(gateway, f"/order/{number}")
        assert (reply.status, reply.body, reply.complete) == (200, b"own answer", True)
        answered.set()
        # Then the gateway's kernel has the second answer, before the next request.
        await late.wait()
        late.clear()
    assert connections(world) == 4


async def test_an_answer_without_length_where_the_next_one_is_due_reaches_nobody(
    world: World,
) -> None:
    """The second answer of one request arrives once the next request has been sent."""
    held: list[Call] = []

    async def answer_before(upstream: UpstreamStandin, call: Call) -> None:
        if not held:
            held.append(call)
            await call.write(call.sealed(b"own answer"))
            return
        await unframed(b"second answer")(upstream, held[0])

    await add_upstreams(world, answer_before)
    gateway = await world.add_gateway()
    assert (await send(gateway, "/order/1")).body == b"own answer"
    reply = await send(gateway, "/order/2")
    assert reply.status == 502
    assert connections(world) == 1


@final
class EndlessAnswer:
    """A behaviour that sends an unframed answer without end; ``sent`` is its size in bytes."""

    def __init__(self, make_block: Callable[[int], bytes], *, headers: tuple[str, ...]) -> None:
        self._make_block = make_block
        self._headers = headers
        self.sent = 0

    async def __call__(self, upstream: UpstreamStandin, call: Call) -> None:
        await call.write(call.head(200, f"{names.SEAL}: s", *self._headers))
        for number in itertools.count():
            if call.writer.is_closing():
                return
            block = self._make_block(number)
            await call.write(block)
            self.sent += len(block)
            await asyncio.sleep(0)


def numbered_event(number: int) -> bytes:
    return b"id: %d\ndata: %s\n\n" % (number, b"x" * BLOCK_BYTES)


@pytest.mark.parametrize(
    ("path", "make_block"),
    [
        pytest.param("/lookup/1", lambda _: b"x" * BLOCK_BYTES, id="body"),
        pytest.param("/draft/1", lambda _: b"x" * BLOCK_BYTES, id="one-event"),
        pytest.param("/draft/1", lambda _: b": %s\n\n" % (b"x" * BLOCK_BYTES), id="comments"),
        pytest.param("/draft/1", lambda _: numbered_event(0), id="same-event"),
        pytest.param("/draft/1", numbered_event, id="events"),
    ],
)
async def test_an_answer_without_end_is_bounded_in_time_and_not_ended_as_complete(
    world: World, path: str, make_block: Callable[[int], bytes]
) -> None:
    is_stream = path.startswith("/draft/")
    behaviour = EndlessAnswer(make_block, headers=(STREAM_HEADER,) if is_stream else ())
    service = KITCHEN if is_stream else LEDGER
    await add_upstreams(world, behaviour, behaviour, service=service)
    gateway = await world.add_gateway()
    clock = FairClock()
    reply = await send(gateway, path, **{names.REMAINING_MS: str(SHORT_DEADLINE_MS)})
    assert clock.seconds < SHORT_DEADLINE_MS / 1000 + 0.2
    assert (reply.status, reply.complete) != (200, True)
    assert len(calls(world)) <= 2
    await wait_until(lambda: all(call.writer.is_closing() for call in calls(world)), seconds=1.0)


async def test_a_stream_without_end_to_a_caller_that_does_not_read_is_bounded_in_memory(
    world: World,
) -> None:
    behaviour = EndlessAnswer(numbered_event, headers=(STREAM_HEADER,))
    await add_upstreams(world, behaviour, service=KITCHEN)
    gateway = await world.add_gateway()
    host, port = gateway.node.callers.split(":")
    _, writer = await asyncio.open_connection(host, int(port), limit=BLOCK_BYTES)
    writer.write(request_bytes("/draft/1", **{names.REMAINING_MS: str(SHORT_DEADLINE_MS)}))
    await wait_until(lambda: bool(calls(world)))
    await wait_until(
        lambda: not gateway.listener.active_requests, seconds=SHORT_DEADLINE_MS / 1000 + 0.5
    )
    writer.close()
    assert behaviour.sent <= MAX_BYTES


async def test_a_caller_that_pauses_in_a_large_stream_gets_it_whole_from_one_upstream(
    world: World,
) -> None:
    count = 8 * MEGABYTE // BLOCK_BYTES

    async def send_large(upstream: UpstreamStandin, call: Call) -> None:
        await unframed(*map(numbered_event, range(count)), headers=(STREAM_HEADER,))(upstream, call)

    await add_upstreams(world, send_large, send_large, service=KITCHEN)
    gateway = await world.add_gateway()
    host, port = gateway.node.callers.split(":")
    caller = socket.create_connection((host, int(port)))
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BLOCK_BYTES)
    reader, writer = await asyncio.open_connection(sock=caller, limit=BLOCK_BYTES)
    writer.write(request_bytes("/draft/1"))
    await asyncio.sleep(PAUSE_SECONDS)
    reply = await read_reply(reader)
    writer.close()
    assert (reply.status, reply.complete, reply.events) == (200, True, list(range(count)))
    assert len(calls(world)) == 1


@pytest.mark.parametrize(
    "headers",
    [
        pytest.param({"version": "1.0"}, id="http-1.0"),
        pytest.param({"extra": "Connection: close"}, id="close"),
        pytest.param({"extra": "Connection: Close, TE"}, id="close-in-a-list"),
    ],
)
async def test_a_connection_that_ends_with_a_framed_answer_is_not_reused(
    world: World, headers: dict[str, str]
) -> None:
    async def answer_and_close(upstream: UpstreamStandin, call: Call) -> None:
        await asyncio.sleep(0.05)
        extra = [headers["extra"]] if "extra" in headers else []
        head = call.head(
            200, f"{names.SEAL}: s", *extra, length=6, version=headers.get("version", "1.1")
        )
        await call.write(head + b"answer")
        # The end of the connection crosses a request that is sent on it meanwhile.
        asyncio.get_running_loop().call_later(0.02, call.close)

    await add_upstreams(world, answer_and_close)
    gateway = await world.add_gateway()
    replies = [await send(gateway, f"/order/{number}") for number in range(3)]
    assert [(reply.status, reply.body) for reply in replies] == [(200, b"answer")] * 3


async def test_a_connection_that_http_1_0_keeps_is_reused(world: World) -> None:
    async def answer(upstream: UpstreamStandin, call: Call) -> None:
        seal, kept = f"{names.SEAL}: s", "Connection: keep-alive"
        await call.write(call.head(200, seal, kept, length=6, version="1.0") + b"answer")

    await add_upstreams(world, answer)
    gateway = await world.add_gateway()
    replies = [await send(gateway, f"/order/{number}") for number in range(3)]
    assert [(reply.status, reply.body) for reply in replies] == [(200, b"answer")] * 3
    assert connections(world) == 1


@pytest.mark.parametrize("ending", ["silent", "closed"])
async def test_a_replacement_that_has_only_comments_gives_the_answer_no_head(
    world: World, ending: str
) -> None:
    """The head and its seal are those of the upstream whose events the caller gets."""

    async def send_comments(upstream: UpstreamStandin, call: Call) -> None:
        seal = f"{names.SEAL}: s.{upstream.name}"
        await call.write(call.head(200, seal, STREAM_HEADER) + b": alive\n\n")
        if ending == "silent":
            await asyncio.sleep(30.0)
        else:
            await call.write(b": ali")
            call.close()

    pausing = upstreams.pause_first(PAUSE_SECONDS, unframed_stream(events=4))
    behaviour = upstreams.first_then(pausing, then=send_comments)
    await add_upstreams(world, behaviour, behaviour, service=KITCHEN)
    gateway = await world.add_gateway()
    reply = await send(gateway, "/draft/1")
    first = min(calls(world), key=lambda call: call.received_at)
    sealed_by = reply.headers[names.SEAL.lower()].removeprefix("s.")
    assert (reply.complete, reply.events) == (True, ALL_EVENTS)
    assert sealed_by == first.headers[names.EXPECTED_INSTANCE.lower()]
    assert b"alive" not in reply.body


@pytest.mark.parametrize("renewals", ["unframed", "refused", "silent"])
async def test_a_prompt_of_several_engines_survives_renewals_of_its_tickets(
    world: World, renewals: str
) -> None:
    """Tickets are reserved and renewed by answers without a length, or aren't renewed at all."""
    behaviour = unframed_stream(events=4, pause_after=1, pause=1.2)
    await add_upstreams(world, *[behaviour] * 4, service=KITCHEN)
    for upstream in world.upstreams.values():
        upstream.frames_orders = False
    gateway = await world.add_gateway()
    options = {names.TOKEN_COUNTS: "300000,100"}
    request = asyncio.create_task(send(gateway, "/draft/1", **options))
    await wait_until(lambda: len(calls(world)) == 1)
    for upstream in world.upstreams.values():
        upstream.order_status = 409 if renewals == "refused" else 200
        upstream.order_delay_seconds = 60.0 if renewals == "silent" else 0.0
    reply = await request
    assert (reply.status, reply.complete, reply.events) == (200, True, ALL_EVENTS)
    assert len(calls(world)) == 1
    orders = [order for upstream in world.upstreams.values() for order in upstream.orders]
    renewed = Counter(order["identifier"] for order in orders if order["operation"] == "reserve")
    assert min(renewed.values()) >= 3


async def test_an_unframed_stream_that_ends_before_its_first_event_is_not_whole(
    world: World,
) -> None:
    behaviour = upstreams.first_then(
        upstreams.unframed_stream(events=4, ends_after=0), then=upstreams.unframed_stream(events=4)
    )
    for number in range(2):
        engine = await world.add_upstream(f"i-{number}", service=KITCHEN)
        engine.behaviour = behaviour
    gateway = await world.add_gateway()
    reply = await send(gateway, "/draft/7")
    assert (reply.status, reply.complete, reply.events) == (200, True, [0, 1, 2, 3])
