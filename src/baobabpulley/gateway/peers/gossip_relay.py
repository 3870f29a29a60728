"""Collect the gossip of a failure domain and pass it on to others, if this gateway is a relay."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import final

from baobabpulley.gateway.peers.gossip_messages import GossipMessage
from baobabpulley.gateway.peers.gossip_messages import bundle_messages
from baobabpulley.gateway.peers.gossip_peers import GossipPeer
from baobabpulley.policy.gossip_routes import relay_targets
from baobabpulley.policy.gossip_routes import sends_directly


@final
class GossipRelay:
    """The routes of gossip as this gateway sees them, and what it has to relay next.

    ``targets`` are the control addresses to which this gateway relays its failure domain's
    messages. ``is_direct`` is whether the gateways send to all others, without relays.
    """

    __slots__ = ("_failure_domain", "_node", "_pending", "is_direct", "targets")

    def __init__(self, *, node: str, failure_domain: str) -> None:
        self._node = node
        self._failure_domain = failure_domain
        self._pending: dict[str, GossipMessage] = {}
        self.targets: tuple[str, ...] = ()
        self.is_direct = True

    def update_routes(self, live: Iterable[GossipPeer], *, gateways: int) -> None:
        """Set the routes for the live peers; ``gateways`` is the number of gateways known."""
        by_domain: dict[str, list[str]] = defaultdict(list)
        by_domain[self._failure_domain].append(self._node)
        controls = {}
        for peer in live:
            by_domain[peer.failure_domain].append(peer.node)
            controls[peer.node] = peer.control
        self.is_direct = sends_directly(gateways)
        nodes = {} if self.is_direct else relay_targets(self._node, self._failure_domain, by_domain)
        self.targets = tuple(controls[node] for node in nodes.values())
        if not self.targets:
            self._pending.clear()

    def add(self, message: GossipMessage) -> bool:
        """Add a message of this failure domain; return whether it is to be relayed at once."""
        if not self.targets or message.failure_domain != self._failure_domain:
            return False
        earlier = self._pending.get(message.node)
        if earlier is not None and earlier.incarnation == message.incarnation:
            message = earlier.updated_by(message)
        self._pending[message.node] = message
        return message.is_urgent

    def take_bundles(self) -> list[bytes]:
        """Return the encoded bundles to send to all targets now."""
        bundles = bundle_messages(list(self._pending.values()))
        self._pending.clear()
        return bundles
