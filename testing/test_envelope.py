"""Messages between processes: only intact, recent ones for this receiver are accepted."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from typing import Final

import msgspec
import pynng
import pytest

from baobabpulley.adapters import pynng_peers
from baobabpulley.adapters.envelope import BROADCAST
from baobabpulley.adapters.envelope import Sealer
from baobabpulley.adapters.pynng_peers import PynngPeers
from baobabpulley.adapters.pynng_peers import _dial
from baobabpulley.adapters.signing import Signer
from baobabpulley.errors import Forbidden
from baobabpulley.errors import MessageRejected
from baobabpulley.errors import PeerUnavailable
from baobabpulley.model.calls import Ticket
from baobabpulley.model.messages import Acknowledgement
from baobabpulley.settings import PeersSection
from baobabpulley.timers import TimerService

WAIT_SECONDS: Final = 20.0
SECRET: Final = "a-secret-for-tests-only"
OTHER_SECRET: Final = "another-secret-of-a-fleet"
RECEIVER: Final = "127.0.0.1:1"


def sealer(*, secret: str = SECRET, max_bytes: int = 4096) -> Sealer:
    return Sealer(sender="vm-0", secret=secret, max_bytes=max_bytes, max_skew=30.0)


def test_message_for_its_receiver_is_accepted_once() -> None:
    data = sealer().seal(Acknowledgement(), kind="done", receiver=RECEIVER).data
    receiving = sealer()
    assert receiving.open(data, receiver=RECEIVER).message == Acknowledgement()
    with pytest.raises(MessageRejected, match="replayed"):
        receiving.open(data, receiver=RECEIVER)


@pytest.mark.parametrize(
    "data",
    [
        sealer(secret=OTHER_SECRET).seal(Acknowledgement(), kind="done", receiver=RECEIVER).data,
        sealer().seal(Acknowledgement(), kind="done", receiver="127.0.0.1:2").data,
        sealer().seal(Acknowledgement(), kind="done", receiver=BROADCAST).data,
        sealer().seal(Acknowledgement(), kind="done", reply_to=b"x" * 12).data,
        sealer(max_bytes=1 << 20).seal(Acknowledgement(), kind="done", receiver=RECEIVER).data
        + b"\0" * 5000,
        b"",
        b"\0" * 64,
    ],
    ids=["secret", "receiver", "published", "reply", "size", "empty", "zeros"],
)
def test_message_that_fails_a_check_is_rejected(data: bytes) -> None:
    with pytest.raises(MessageRejected):
        sealer().open(data, receiver=RECEIVER)


def test_message_with_any_byte_changed_is_rejected() -> None:
    data = sealer().seal(Acknowledgement(), kind="done", receiver=RECEIVER).data
    for position in range(len(data)):
        changed = bytearray(data)
        changed[position] ^= 1
        with pytest.raises(MessageRejected):
            sealer().open(bytes(changed), receiver=RECEIVER)


def test_stale_message_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    data = sealer().seal(Acknowledgement(), kind="done", receiver=RECEIVER).data
    later = time.time() + 31.0
    monkeypatch.setattr(time, "time", lambda: later)
    with pytest.raises(MessageRejected, match="older"):
        sealer().open(data, receiver=RECEIVER)


def test_reply_to_another_request_is_rejected() -> None:
    requester = sealer()
    first = requester.seal(Acknowledgement(), kind="done", receiver=RECEIVER)
    second = requester.seal(Acknowledgement(), kind="done", receiver=RECEIVER)
    reply = sealer().seal(Acknowledgement(), kind="done", reply_to=first.nonce).data
    with pytest.raises(MessageRejected, match="is for another receiver or another request"):
        requester.open(reply, reply_to=second.nonce)


def test_token_of_another_kind_or_secret_is_rejected() -> None:
    ticket = Ticket(address=RECEIVER, incarnation="a", sequence=1, team="souk")
    signer = Signer(secret=SECRET, kind="call-ticket", struct=Ticket)
    assert signer.open(signer.sign(ticket)) == ticket
    for kind, secret in (("resume", SECRET), ("call-ticket", OTHER_SECRET)):
        with pytest.raises(Forbidden):
            Signer(secret=secret, kind=kind, struct=Ticket).open(signer.sign(ticket))


@pytest.fixture
async def server(base_port: int) -> AsyncIterator[PynngPeers]:
    address = f"127.0.0.1:{base_port + 900}"
    section = PeersSection(secret=SECRET)
    peers = PynngPeers(node="vm-1", section=section, timers=TimerService(), address=address)

    async def acknowledge(message: msgspec.Struct, sender: str) -> msgspec.Struct:
        del message, sender
        return Acknowledgement()

    peers.register_handler(Acknowledgement, acknowledge)
    peers.start()
    yield peers
    peers.close()


async def test_process_counts_rejected_messages_and_keeps_answering(
    server: PynngPeers, base_port: int
) -> None:
    address = f"127.0.0.1:{base_port + 900}"
    replayed = sealer().seal(Acknowledgement(), kind="done", receiver=address).data
    with pynng.Req0(dial=f"tcp://{address}", recv_timeout=300) as other_peer:
        for data in (b"", b"rubbish" * 100, replayed):
            await other_peer.asend(data)
            await asyncio.sleep(0.05)
        await other_peer.arecv()
        await other_peer.asend(replayed)
        with pytest.raises(pynng.Timeout):
            await other_peer.arecv()
    assert server.rejected == 3
    peer = PynngPeers(node="vm-2", section=PeersSection(secret=SECRET), timers=TimerService())
    assert (
        await peer.request(address, Acknowledgement(), reply_type=Acknowledgement, timeout=5.0)
        == Acknowledgement()
    )
    peer.close()


async def test_process_with_another_secret_gets_no_answer(
    server: PynngPeers, base_port: int
) -> None:
    section = PeersSection(secret=OTHER_SECRET)
    other_peer = PynngPeers(node="vm-2", section=section, timers=TimerService())
    with pytest.raises(PeerUnavailable):
        await other_peer.request(
            f"127.0.0.1:{base_port + 900}",
            Acknowledgement(),
            reply_type=Acknowledgement,
            timeout=0.3,
        )
    assert server.rejected == 1
    other_peer.close()


async def test_each_subscriber_of_a_process_receives_each_message(
    server: PynngPeers, base_port: int
) -> None:
    address = f"127.0.0.1:{base_port + 900}"
    peer = PynngPeers(node="vm-2", section=PeersSection(secret=SECRET), timers=TimerService())
    received: list[str] = []
    peer.subscribe(address, lambda message, sender: received.append("first"))
    peer.subscribe(address, lambda message, sender: received.append("second"))
    async with asyncio.timeout(WAIT_SECONDS):
        while len(received) < 2:
            server.publish(Acknowledgement())
            await asyncio.sleep(0.02)
    assert set(received) == {"first", "second"}
    assert peer.rejected == 0
    peer.close()


async def test_closing_leaves_no_socket_to_the_garbage_collector(
    base_port: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    sockets: list[pynng.Socket] = []

    def dial(socket: pynng.Socket, address: str) -> pynng.Socket:
        sockets.append(socket)
        return _dial(socket, address)

    monkeypatch.setattr(pynng_peers, "_dial", dial)
    requester = PynngPeers(node="vm-3", section=PeersSection(secret=SECRET), timers=TimerService())
    unused_address = f"127.0.0.1:{base_port + 901}"
    # Each request that times out retires its socket.
    for _ in range(2):
        with pytest.raises(PeerUnavailable):
            await requester.request(
                unused_address, Acknowledgement(), reply_type=Acknowledgement, timeout=0.05
            )
    requester.close()
    with pytest.raises(PeerUnavailable):
        await requester.request(
            unused_address, Acknowledgement(), reply_type=Acknowledgement, timeout=0.05
        )
    assert len(sockets) == 2
    for socket in sockets:
        with pytest.raises(pynng.Closed):
            socket.new_context()


class SwallowedCancellation:
    """A request whose task is cancelled as the reply arrives, and pynng returns the reply.

    Replaces ``arecv`` so that the cancellation is swallowed and the reply is returned instead.
    """

    def __init__(self, base_port: int, monkeypatch: pytest.MonkeyPatch, *, timeout: float) -> None:
        self._receive = pynng.Context.arecv
        self.arrived = asyncio.Event()
        self.peer = PynngPeers(
            node="vm-2", section=PeersSection(secret=SECRET), timers=TimerService()
        )
        address = f"127.0.0.1:{base_port + 900}"
        monkeypatch.setattr(
            pynng.Context, "arecv", lambda context: self._receive_and_swallow(context)
        )
        request = self.peer.request(
            address, Acknowledgement(), reply_type=Acknowledgement, timeout=timeout
        )
        self.task = asyncio.create_task(request)

    async def _receive_and_swallow(self, context: pynng.Context) -> bytes:
        data: bytes = await self._receive(context)
        if asyncio.current_task() is self.task:
            self.arrived.set()
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.Event().wait()
        return data


async def test_task_cancelled_as_its_reply_arrives_is_cancelled(
    server: PynngPeers, base_port: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    requester = SwallowedCancellation(base_port, monkeypatch, timeout=WAIT_SECONDS)
    await requester.arrived.wait()
    requester.task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await requester.task
    requester.peer.close()


async def test_late_reply_is_a_timeout_and_not_a_cancellation(
    server: PynngPeers, base_port: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    requester = SwallowedCancellation(base_port, monkeypatch, timeout=0.2)
    with pytest.raises(PeerUnavailable):
        await requester.task
    requester.peer.close()
