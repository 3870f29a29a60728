"""Gossip between gateways over UDP: their loads, and the store revisions that they have reached.

Gossip is best effort: a lost or late datagram makes load figures less accurate, and nothing waits
for one.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from typing import Any
from typing import cast
from typing import final

import msgspec
from loguru import logger

from baobabpulley.adapters.addresses import split_address
from baobabpulley.adapters.traffic import Traffic
from baobabpulley.gateway.fleet_state import FleetState
from baobabpulley.gateway.sections import GatewayNodeSection
from baobabpulley.gateway.sections import GatewayPeersSection
from baobabpulley.policy.fleet_load import LoadShare
from baobabpulley.policy.fleet_load import LoadTracker
from baobabpulley.policy.gossip_delta import GossipDelta
from baobabpulley.timers import TimerService


class GossipMessage(msgspec.Struct, frozen=True, array_like=True):
    """State of one gateway, and those of its loads that are due for publication.

    ``incarnation`` is a random id of the process: it changes at each start. ``sequence`` numbers
    its messages. ``control`` is the address of the gateway's control port.
    ``revision`` is the store revision that the gateway has reached, ``configuration_revision`` that
    of its configuration. ``shares`` are its loads, one for each upstream. ``store_reachable`` is
    false if the store failed the gateway recently.
    """

    node: str
    incarnation: str = msgspec.field(name="life")
    sequence: int = msgspec.field(name="number")
    failure_domain: str
    control: str
    revision: int
    configuration_revision: int
    shares: tuple[LoadShare, ...] = ()
    store_reachable: bool = True


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(GossipMessage)


class GossipPeer:
    """State of another gateway as of its last message.

    ``received_at`` is the time at which the message was received, in monotonic seconds.
    """

    __slots__ = (
        "control",
        "failure_domain",
        "incarnation",
        "received_at",
        "revision",
        "sequence",
        "store_reachable",
    )

    def __init__(self, message: GossipMessage, *, received_at: float) -> None:
        self.control = message.control
        self.failure_domain = message.failure_domain
        self.incarnation = message.incarnation
        self.sequence = message.sequence
        self.revision = message.revision
        self.store_reachable = message.store_reachable
        self.received_at = received_at


@final
class GossipProtocol(asyncio.DatagramProtocol):
    """Send gossip to all other gateways and receive theirs.

    ``on_newer_revision`` is called with each newer store revision that another gateway has reached.
    ``store_reachable`` returns what this gateway tells the others of the store.
    """

    __slots__ = (
        "_delta",
        "_fleet_state",
        "_incarnation",
        "_last_seen",
        "_loads",
        "_node",
        "_on_newer_revision",
        "_peers",
        "_publish_scheduled",
        "_published_revision",
        "_section",
        "_sent_at",
        "_sequence",
        "_store_reachable",
        "_timers",
        "_transport",
        "traffic",
    )

    def __init__(
        self,
        *,
        node: GatewayNodeSection,
        section: GatewayPeersSection,
        fleet_state: FleetState,
        loads: LoadTracker,
        timers: TimerService,
        on_newer_revision: Callable[[int], None],
        store_reachable: Callable[[], bool] = lambda: True,
    ) -> None:
        self._node = node
        self._section = section
        self._fleet_state = fleet_state
        self._loads = loads
        self._timers = timers
        self._on_newer_revision = on_newer_revision
        self._store_reachable = store_reachable
        self._incarnation = secrets.token_hex(4)
        self._sequence = 0
        self._sent_at = 0.0
        self._delta = GossipDelta()
        self._published_revision = -1
        self._peers: dict[str, GossipPeer] = {}
        self._last_seen: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._publish_scheduled = False
        self.traffic = Traffic()

    @property
    def peers(self) -> dict[str, GossipPeer]:
        """Other gateways by node, including those that no longer send."""
        return self._peers

    @property
    def gateway_count(self) -> int:
        """Number of gateways, including this one.

        It is that of the live gateways, or of the registered members if there are more.
        """
        now = self._timers.now()
        live = sum(
            now - peer.received_at <= self._section.heard_within for peer in self._peers.values()
        )
        return max(1 + live, len(self._fleet_state.members))

    def last_seen(self, failure_domain: str) -> float | None:
        """Return when a message from a failure domain was last received, or ``None``."""
        return self._last_seen.get(failure_domain)

    def configure(self, section: GatewayPeersSection) -> None:
        """Apply changed settings."""
        self._section = section

    def live_peers(self) -> list[GossipPeer]:
        """Return the gateways that sent a message recently, by descending revision."""
        since = self._timers.now() - self._section.heard_within
        live = [peer for peer in self._peers.values() if peer.received_at >= since]
        return sorted(live, key=lambda peer: -peer.revision)

    async def start(self) -> None:
        """Open the socket and start to publish."""
        host = split_address(self._node.control)[0]
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(host, self._node.news_port)
        )
        self._timers.every(self._section.news_period, self._publish, name="news")
        self._loads.listen(self._publish_soon)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # asyncio's datagram transport doesn't derive from the documented base class.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        try:
            message = _decoder.decode(data)
        except msgspec.DecodeError as error:
            logger.bind(event="bad_news", sender=str(addr[0])).warning(
                "dropped a malformed gossip message: {}", error
            )
            return
        self.receive(message)

    def error_received(self, exc: Exception) -> None:
        logger.bind(event="news_unsent").debug("a gossip datagram could not be sent: {}", exc)

    def receive(self, message: GossipMessage) -> None:
        """Process another gateway's message; ignore one that is older than the last received."""
        if message.node == self._node.id:
            return
        now = self._timers.now()
        known = self._peers.get(message.node)
        if (
            known is not None
            and known.incarnation == message.incarnation
            and known.sequence >= message.sequence
        ):
            return
        if known is not None and known.incarnation != message.incarnation:
            self._loads.forget(message.node)
        self._peers[message.node] = GossipPeer(message, received_at=now)
        self._last_seen[message.failure_domain] = now
        self._loads.receive(message.node, message.shares, now=now)
        if message.revision > self._fleet_state.revision:
            self._on_newer_revision(message.revision)

    def next_message(self) -> GossipMessage | None:
        """Return the next message, or ``None`` if nothing changed and no keepalive is due."""
        now = self._timers.now()
        shares = self._delta.take_due(self._loads.shares(now=now), now=now)
        revision = self._fleet_state.revision
        unchanged = not shares and revision == self._published_revision
        if unchanged and now - self._sent_at < self._section.quiet_period:
            return None
        self._published_revision, self._sent_at = revision, now
        self._sequence += 1
        return GossipMessage(
            node=self._node.id,
            incarnation=self._incarnation,
            failure_domain=self._node.failure_domain,
            sequence=self._sequence,
            control=self._node.control,
            revision=revision,
            configuration_revision=self._fleet_state.configuration_revision,
            shares=shares,
            store_reachable=self._store_reachable(),
        )

    def _publish_soon(self) -> None:
        """Publish a long prompt's load before another gateway chooses the same engines."""
        if not self._publish_scheduled:
            self._publish_scheduled = True
            asyncio.get_running_loop().call_soon(self._publish)

    def _publish(self) -> None:
        self._publish_scheduled = False
        message = self.next_message()
        if message is None or self._transport is None:
            return
        data = _encoder.encode(message)
        for address in self._addresses():
            self._transport.sendto(data, split_address(address))
            self.traffic.sent += len(data)

    def _addresses(self) -> set[str]:
        members = self._fleet_state.members.values()
        addresses = {member.news for member in members if member.node != self._node.id}
        controls = {peer.control for peer in self._peers.values()} | set(self._section.seeds)
        controls.discard(self._node.control)
        addresses |= {f"{split_address(control)[0]}:{self._node.news_port}" for control in controls}
        return addresses
