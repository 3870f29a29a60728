"""Which gateways of a failure domain watch the store, and which of them this one follows."""

from __future__ import annotations

from typing import Final
from typing import final

import msgspec

from baobabpulley.gateway.peers.gossip import GossipProtocol
from baobabpulley.gateway.peers.gossip_peers import GossipPeer
from baobabpulley.policy.relays import choose_relays
from baobabpulley.policy.rendezvous import ranked
from baobabpulley.timers import TimerService

WATCHERS_PER_DOMAIN: Final = 2
# A gateway that sent no gossip for this long is not followed; keepalives come every 0.5 s.
_HEARD_SECONDS: Final = 1.2
# A gateway that failed to relay is not followed for this long; twice as long if it fails again.
_EXCLUSION_SECONDS: Final = 3.0
_MAX_EXCLUSION_SECONDS: Final = 12.0


class _Exclusion(msgspec.Struct, frozen=True):
    """A gateway isn't followed for ``seconds``, ``until`` a time in monotonic seconds."""

    until: float
    seconds: float


@final
class StoreWatchers:
    """Choose the gateways of this failure domain that watch the store."""

    __slots__ = ("_exclusions", "_failure_domain", "_gossip", "_node", "_timers")

    def __init__(
        self, *, node: str, failure_domain: str, gossip: GossipProtocol, timers: TimerService
    ) -> None:
        self._node = node
        self._failure_domain = failure_domain
        self._gossip = gossip
        self._timers = timers
        # By control address.
        self._exclusions: dict[str, _Exclusion] = {}

    def relay(self, *, store_reachable: bool, current: str | None = None) -> str | None:
        """Return the control address of the gateway to follow, or ``None`` to watch the store.

        The ``current`` one is kept as long as it is one of the watchers.
        """
        now = self._timers.now()
        peers = {
            node: peer
            for node, peer in self._heard().items()
            if peer.control not in self._exclusions or now >= self._exclusions[peer.control].until
        }
        unreachable = {node for node, peer in peers.items() if not peer.store_reachable}
        if not store_reachable:
            unreachable.add(self._node)
        watchers = choose_relays(
            {self._node, *peers}, count=WATCHERS_PER_DOMAIN, unreachable=unreachable
        )
        if self._node in watchers:
            return None
        addresses = [peers[node].control for node in ranked(self._node, watchers)]
        return current if current in addresses else addresses[0]

    @property
    def store_failed_peer(self) -> bool:
        """Whether the store recently failed another gateway of this failure domain."""
        return not all(peer.store_reachable for peer in self._heard().values())

    def _heard(self) -> dict[str, GossipPeer]:
        """Return the live gateways of this failure domain by node."""
        now = self._timers.now()
        return {
            node: peer
            for node, peer in self._gossip.peers.items()
            if peer.failure_domain == self._failure_domain
            and now - peer.received_at <= _HEARD_SECONDS
        }

    def exclude(self, address: str) -> None:
        """Don't follow a gateway for some seconds, as it failed to relay.

        One that fails again within the time of its last exclusion is excluded for twice as long.
        """
        now = self._timers.now()
        self._exclusions = {
            other: exclusion
            for other, exclusion in self._exclusions.items()
            if now < exclusion.until + exclusion.seconds
        }
        last = self._exclusions.get(address)
        seconds = _EXCLUSION_SECONDS if last is None else 2 * last.seconds
        self._exclusions[address] = _Exclusion(
            until=now + min(seconds, _MAX_EXCLUSION_SECONDS),
            seconds=min(seconds, _MAX_EXCLUSION_SECONDS),
        )
