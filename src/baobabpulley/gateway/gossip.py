"""What gateways tell each other, in datagrams: their loads and how far they follow the store.

A lost or late datagram costs accuracy and nothing else; nothing waits for one.
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
    """One gateway's state, and its loads as far as they have to be told now.

    ``life`` is new with each start of its process.
    """

    node: str
    life: str
    number: int
    failure_domain: str
    control: str
    revision: int
    configuration_revision: int
    shares: tuple[LoadShare, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(GossipMessage)


class GossipPeer:
    """Another gateway as it was last heard; ``received_at`` is monotonic seconds."""

    __slots__ = ("control", "failure_domain", "life", "number", "received_at", "revision")

    def __init__(self, news: GossipMessage, *, received_at: float) -> None:
        self.control = news.control
        self.failure_domain = news.failure_domain
        self.life = news.life
        self.number = news.number
        self.revision = news.revision
        self.received_at = received_at


@final
class GossipProtocol(asyncio.DatagramProtocol):
    """Send this gateway's news to all others and take in theirs."""

    __slots__ = (
        "_delta",
        "_fleet_state",
        "_incarnation",
        "_last_received_at",
        "_loads",
        "_node",
        "_on_newer_revision",
        "_peers",
        "_publish_scheduled",
        "_published_revision",
        "_section",
        "_sent_at",
        "_sequence",
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
        on_newer_revision: Callable[[], None],
    ) -> None:
        self._node = node
        self._section = section
        self._fleet_state = fleet_state
        self._loads = loads
        self._timers = timers
        self._on_newer_revision = on_newer_revision
        self._incarnation = secrets.token_hex(4)
        self._sequence = 0
        self._sent_at = 0.0
        self._delta = GossipDelta()
        self._published_revision = -1
        self._peers: dict[str, GossipPeer] = {}
        self._last_received_at: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._publish_scheduled = False
        self.traffic = Traffic()

    @property
    def peers(self) -> dict[str, GossipPeer]:
        """Other gateways by node, those long unheard included."""
        return self._peers

    @property
    def gateway_count(self) -> int:
        """How many gateways there are, this one included."""
        now = self._timers.now()
        live = sum(
            now - one.received_at <= self._section.heard_within for one in self._peers.values()
        )
        return max(1 + live, len(self._fleet_state.members))

    def last_received_at(self, failure_domain: str) -> float | None:
        """Return when a gateway of a failure domain was last heard, ``None`` if never."""
        return self._last_received_at.get(failure_domain)

    def configure(self, section: GatewayPeersSection) -> None:
        """Take over changed settings."""
        self._section = section

    def live_peers(self) -> list[GossipPeer]:
        """Return the gateways heard of late, those that know most first."""
        since = self._timers.now() - self._section.heard_within
        live = [one for one in self._peers.values() if one.received_at >= since]
        return sorted(live, key=lambda one: -one.revision)

    async def start(self) -> None:
        """Open the socket and begin to tell."""
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
        # asyncio's own datagram transport does not derive from the class it documents.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        try:
            news = _decoder.decode(data)
        except msgspec.DecodeError as error:
            logger.bind(event="bad_news", sender=str(addr[0])).warning("dropped news: {}", error)
            return
        self.receive(news)

    def error_received(self, exc: Exception) -> None:
        logger.bind(event="news_unsent").debug("a datagram was not sent: {}", exc)

    def receive(self, news: GossipMessage) -> None:
        """Take in another gateway's news, unless newer ones were heard."""
        if news.node == self._node.id:
            return
        now = self._timers.now()
        before = self._peers.get(news.node)
        if before is not None and before.life == news.life and before.number >= news.number:
            return
        if before is not None and before.life != news.life:
            self._loads.forget(news.node)
        self._peers[news.node] = GossipPeer(news, received_at=now)
        self._last_received_at[news.failure_domain] = now
        self._loads.receive(news.node, news.shares, now=now)
        if news.revision > self._fleet_state.revision:
            self._on_newer_revision()

    def next_message(self) -> GossipMessage | None:
        """Return what to tell now, ``None`` if that is nothing and no sign of life is due."""
        now = self._timers.now()
        shares = self._delta.take_due(self._loads.shares(now=now), now=now)
        revision = self._fleet_state.revision
        quiet = not shares and revision == self._published_revision
        if quiet and now - self._sent_at < self._section.quiet_period:
            return None
        self._published_revision, self._sent_at = revision, now
        self._sequence += 1
        return GossipMessage(
            node=self._node.id,
            life=self._incarnation,
            failure_domain=self._node.failure_domain,
            number=self._sequence,
            control=self._node.control,
            revision=revision,
            configuration_revision=self._fleet_state.configuration_revision,
            shares=shares,
        )

    def _publish_soon(self) -> None:
        """Tell of a long prompt before another gateway gives its engines to the next one."""
        if not self._publish_scheduled:
            self._publish_scheduled = True
            asyncio.get_running_loop().call_soon(self._publish)

    def _publish(self) -> None:
        self._publish_scheduled = False
        news = self.next_message()
        if news is None or self._transport is None:
            return
        data = _encoder.encode(news)
        for address in self._addresses():
            self._transport.sendto(data, split_address(address))
            self.traffic.sent += len(data)

    def _addresses(self) -> set[str]:
        members = self._fleet_state.members.values()
        found = {member.news for member in members if member.node != self._node.id}
        controls = {one.control for one in self._peers.values()} | set(self._section.seeds)
        controls.discard(self._node.control)
        found |= {f"{split_address(one)[0]}:{self._node.news_port}" for one in controls}
        return found
