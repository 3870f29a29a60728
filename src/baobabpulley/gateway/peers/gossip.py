"""Gossip between gateways over UDP: their loads, the store revisions that they have reached,
evidence of prompts that crash engines, what upstreams told them, loans of retries, and what client
accounts used.

Messages go directly to the gateways of the own failure domain, and through relays to the others.

Gossip is best effort: a lost or late datagram makes load figures less accurate, and nothing waits
for one.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from typing import Any
from typing import Final
from typing import cast
from typing import final

from loguru import logger

from baobabpulley.adapters.addresses import split_address
from baobabpulley.adapters.traffic import Traffic
from baobabpulley.decoding import DECODE_ERRORS
from baobabpulley.gateway.peers.account_use_reports import AccountUseReports
from baobabpulley.gateway.peers.crash_evidence import CrashEvidence
from baobabpulley.gateway.peers.gossip_messages import GossipBundle
from baobabpulley.gateway.peers.gossip_messages import GossipMessage
from baobabpulley.gateway.peers.gossip_messages import decode
from baobabpulley.gateway.peers.gossip_messages import encode
from baobabpulley.gateway.peers.gossip_messages import unpack
from baobabpulley.gateway.peers.gossip_peers import GossipPeer
from baobabpulley.gateway.peers.gossip_relay import GossipRelay
from baobabpulley.gateway.peers.retry_loans import RetryLoans
from baobabpulley.gateway.peers.upstream_reports import UpstreamReports
from baobabpulley.gateway.sections import GatewayNodeSection
from baobabpulley.gateway.sections import GatewayPeersSection
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.model.revisions import era_of
from baobabpulley.model.revisions import number_of
from baobabpulley.policy.fleet_load import LoadTracker
from baobabpulley.policy.gossip_delta import GossipDelta
from baobabpulley.policy.rendezvous import ranked
from baobabpulley.policy.upstream_silence import SilentEngines
from baobabpulley.timers import TimerService

# A relay collects messages for this long, so that few datagrams leave its failure domain.
RELAY_PERIOD_SECONDS: Final = 0.2
# A gateway that wasn't heard for this long relays nothing; keepalives come every 0.5 s.
RELAY_HEARD_SECONDS: Final = 1.2
# So many gateways inform a peer that has started or returned; some may not reach it.
INFORMERS: Final = 3
# A peer that is neither a member nor heard for this long is forgotten.
FORGET_SECONDS: Final = 30.0


@final
class GossipProtocol(asyncio.DatagramProtocol):
    """Send gossip to the other gateways and receive theirs.

    Those of the own failure domain, and those that haven't been heard, get it directly.
    ``traffic`` counts all bytes sent, ``remote_traffic`` those sent to other failure domains.

    ``on_newer_revision`` is called with each newer store revision that another gateway has reached.
    ``store_reachable`` returns what this gateway tells the others of the store, and ``cut_off``
    whether it reaches no upstream itself.
    """

    __slots__ = (
        "_account_use",
        "_cut_off",
        "_delta",
        "_evidence",
        "_fleet_state",
        "_incarnation",
        "_last_seen",
        "_loads",
        "_loans",
        "_node",
        "_on_newer_revision",
        "_peers",
        "_publish_scheduled",
        "_published_state",
        "_relay",
        "_reports",
        "_section",
        "_sent_at",
        "_sequence",
        "_silent",
        "_store_reachable",
        "_timers",
        "_transport",
        "_unheard_sent_at",
        "remote_traffic",
        "traffic",
    )

    def __init__(
        self,
        *,
        node: GatewayNodeSection,
        section: GatewayPeersSection,
        fleet_state: FleetState,
        loads: LoadTracker,
        evidence: CrashEvidence,
        reports: UpstreamReports,
        loans: RetryLoans,
        timers: TimerService,
        on_newer_revision: Callable[[int], None],
        store_reachable: Callable[[], bool] = lambda: True,
        cut_off: Callable[[], bool] = lambda: False,
        silent_engines: SilentEngines | None = None,
        account_use: AccountUseReports | None = None,
    ) -> None:
        self._node = node
        self._section = section
        self._fleet_state = fleet_state
        self._loads = loads
        self._evidence = evidence
        self._reports = reports
        self._loans = loans
        self._timers = timers
        self._on_newer_revision = on_newer_revision
        self._store_reachable = store_reachable
        self._cut_off = cut_off
        self._silent = silent_engines or SilentEngines()
        self._account_use = account_use or AccountUseReports()
        self._incarnation = secrets.token_hex(4)
        self._sequence = 0
        self._sent_at = 0.0
        self._delta = GossipDelta()
        self._published_state = (-1, False)
        self._peers: dict[str, GossipPeer] = {}
        self._last_seen: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._publish_scheduled = False
        self._unheard_sent_at = 0.0
        self._relay = GossipRelay(node=node.id, failure_domain=node.failure_domain)
        self.traffic = Traffic()
        self.remote_traffic = Traffic()

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

    def live_nodes(self) -> list[str]:
        """Return the nodes of the gateways that sent a message recently, and of this one."""
        return [self._node.id, *(peer.node for peer in self.live_peers())]

    async def start(self) -> None:
        """Open the socket and start to publish."""
        host = split_address(self._node.control)[0]
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(host, self._node.news_port)
        )
        self.start_publishing()

    def start_publishing(self) -> None:
        """Start to publish on the open socket."""
        self._timers.every(self._section.news_period, self._publish, name="news")
        self._timers.every(RELAY_PERIOD_SECONDS, self._relay_news, name="news relay")
        self._loads.listen(self.publish_soon)
        self._evidence.listen(self.publish_soon)
        self._loans.listen(self.publish_soon)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # asyncio's datagram transport doesn't derive from the documented base class.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        try:
            message = decode(data)
            messages = unpack(message) if isinstance(message, GossipBundle) else [message]
        except DECODE_ERRORS as error:
            logger.bind(event="bad_news", sender=str(addr[0])).warning(
                "dropped a malformed gossip message: {}", error
            )
            return
        accepted = [received for received in messages if self.receive(received)]
        if isinstance(message, GossipBundle):
            self._pass_on(message)
        elif accepted and self._relay.add(message):
            self._send_bundles()

    def error_received(self, exc: Exception) -> None:
        logger.bind(event="news_unsent").debug("a gossip datagram could not be sent: {}", exc)

    def receive(self, message: GossipMessage) -> bool:
        """Process another gateway's message; return whether it is newer than the last received."""
        if message.node == self._node.id:
            return False
        now = self._timers.now()
        known = self._peers.get(message.node)
        if known is not None and known.supersedes(message):
            return False
        if known is not None and known.incarnation != message.incarnation:
            self._loads.forget(message.node)
            self._account_use.forget(message.node)
        if known is None or known.incarnation != message.incarnation or self._is_late(known, now):
            self._inform_newcomer(message.node)
        self._peers[message.node] = GossipPeer(message, received_at=now, known=known)
        self._last_seen[message.failure_domain] = now
        self._loads.receive(message.node, message.shares, now=now)
        if message.crashes or message.survivals:
            self._evidence.receive(message.crashes, message.survivals)
        self._reports.receive_leaving(message.node, message.leaving, era=message.era)
        self._reports.receive_backpressure(message.node, message.backpressure)
        self._silent.receive(message.silent, now=now)
        if message.retry_wants or message.retry_loans:
            self._loans.receive(message, nodes=self.live_nodes(), shares=self.gateway_count)
        self._account_use.receive(message.node, message.account_use, now=now)
        if message.ordered_revision > self._fleet_state.revision:
            self._on_newer_revision(message.ordered_revision)
        return True

    def _is_late(self, peer: GossipPeer, now: float) -> bool:
        """Whether a peer wasn't heard for so long that it may lack what the others said."""
        return now - peer.received_at > RELAY_HEARD_SECONDS

    def _inform_newcomer(self, node: str) -> None:
        """Send the evidence again if this is one of the gateways that inform this newcomer.

        Reports are sent again by all gateways that have them, but for those that hear another.
        """
        self._reports.inform_newcomer()
        if (
            self._evidence.quarantined
            and self._node.id in ranked(node, self.live_nodes())[:INFORMERS]
        ):
            self._evidence.resend()

    def next_message(self, *, is_urgent: bool = False) -> GossipMessage | None:
        """Return the next message, or ``None`` if nothing changed and no keepalive is due."""
        now = self._timers.now()
        shares = self._delta.take_due(self._loads.shares(now=now), now=now)
        crashes = self._evidence.take_due_crashes(gateways=self.gateway_count)
        survivals = self._evidence.take_due_survivals()
        leaving = self._reports.take_due_leaving()
        backpressure = self._reports.take_due_backpressure()
        revision = self._fleet_state.revision
        cut_off = self._cut_off()
        # Those that are silent here only would be avoided by all.
        silent = () if cut_off else self._silent.take_reports(now=now)
        wants, loans = self._loans.take_due_wants(), self._loans.take_due_loans()
        account_use = self._account_use.take_due(now=now)
        reports = (crashes, survivals, leaving, backpressure, silent, account_use)
        unchanged = (
            not any((shares, *reports, wants, loans))
            and (revision, cut_off) == self._published_state
        )
        if unchanged and now - self._sent_at < self._section.quiet_period:
            return None
        self._published_state, self._sent_at = (revision, cut_off), now
        self._sequence += 1
        return GossipMessage(
            node=self._node.id,
            incarnation=self._incarnation,
            failure_domain=self._node.failure_domain,
            sequence=self._sequence,
            control=self._node.control,
            revision=number_of(revision),
            configuration_revision=number_of(self._fleet_state.configuration_revision),
            shares=shares,
            store_reachable=self._store_reachable(),
            is_urgent=is_urgent,
            crashes=crashes,
            survivals=survivals,
            leaving=leaving,
            backpressure=backpressure,
            silent=silent,
            retry_wants=wants,
            retry_loans=loans,
            account_use=account_use,
            era=era_of(revision),
            cut_off=cut_off,
        )

    def publish_soon(self) -> None:
        """Publish what changes the choice of other gateways at once, like a long prompt's load."""
        if not self._publish_scheduled:
            self._publish_scheduled = True
            asyncio.get_running_loop().call_soon(self._publish_urgently)

    def _publish_urgently(self) -> None:
        self._publish_scheduled = False
        self._publish(is_urgent=True)

    def _publish(self, *, is_urgent: bool = False) -> None:
        message = self.next_message(is_urgent=is_urgent)
        if message is None or self._transport is None:
            return
        data = encode(message)
        for address in self._direct_addresses():
            self._send(data, address)
        if self._relay.add(message):
            self._send_bundles()

    def _relay_news(self) -> None:
        self._update_routes()
        self._send_bundles()

    def _send_bundles(self) -> None:
        """Send what was collected for other failure domains to the relays there."""
        for bundle in self._relay.take_bundles():
            for control in self._relay.targets:
                self._send(bundle, self._news_address(control))
                self.remote_traffic.sent += len(bundle)

    def _pass_on(self, bundle: GossipBundle) -> None:
        """Pass another failure domain's messages on to the gateways of this one."""
        if not bundle.pass_on:
            return
        data = encode(GossipBundle(bundle.messages, pass_on=False))
        for peer in self._recent_peers():
            if peer.failure_domain == self._node.failure_domain:
                self._send(data, self._news_address(peer.control))

    def _send(self, data: bytes, address: str) -> None:
        if self._transport is not None:
            self._transport.sendto(data, split_address(address))
            self.traffic.sent += len(data)

    def _update_routes(self) -> None:
        """Forget peers that left long ago, and find out for which failure domains to relay."""
        now = self._timers.now()
        members = self._fleet_state.members
        self._peers = {
            node: peer
            for node, peer in self._peers.items()
            if node in members or now - peer.received_at <= FORGET_SECONDS
        }
        self._relay.update_routes(self._recent_peers(), gateways=self.gateway_count)

    def _recent_peers(self) -> list[GossipPeer]:
        since = self._timers.now() - RELAY_HEARD_SECONDS
        return [peer for peer in self._peers.values() if peer.received_at >= since]

    def _direct_addresses(self) -> set[str]:
        """Return the addresses that get the next message without a relay."""
        now = self._timers.now()
        addresses = self._addresses()
        if self._relay.is_direct:
            return addresses
        remote = {
            self._news_address(peer.control)
            for peer in self._recent_peers()
            if peer.failure_domain != self._node.failure_domain
        }
        near = {
            self._news_address(peer.control)
            for peer in self._peers.values()
            if peer.failure_domain == self._node.failure_domain
        }
        if now - self._unheard_sent_at < self._section.quiet_period:
            return near & addresses
        self._unheard_sent_at = now
        return addresses - remote

    def _addresses(self) -> set[str]:
        members = self._fleet_state.members.values()
        addresses = {member.news for member in members if member.node != self._node.id}
        controls = {peer.control for peer in self._peers.values()} | set(self._section.seeds)
        controls.discard(self._node.control)
        return addresses | {self._news_address(control) for control in controls}

    def _news_address(self, control: str) -> str:
        return f"{split_address(control)[0]}:{self._node.news_port}"
