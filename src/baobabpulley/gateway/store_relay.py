"""Relay the store's changes to the gateways of the failure domain that don't watch it themselves.

A gateway without a watch keeps one request for changes pending at a gateway that has one. Updates
are compressed: a configuration of 1,600 routes that goes to eight followers at once would otherwise
keep the link of a gateway busy for half a second.
"""

from __future__ import annotations

import asyncio
import contextlib
import zlib
from collections.abc import Callable
from typing import Final
from typing import final

import msgspec

from baobabpulley.adapters.http_client import MAX_WHOLE_BODY_BYTES
from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch
from baobabpulley.errors import UpstreamLost
from baobabpulley.gateway.fleet_state import FleetState
from baobabpulley.gateway.gossip import GossipProtocol
from baobabpulley.gateway.gossip_peers import GossipPeer
from baobabpulley.model.documents import StoredEntry
from baobabpulley.policy.relays import choose_relays
from baobabpulley.policy.rendezvous import ranked
from baobabpulley.timers import TimerService

CHANGES_PATH: Final = "/changes"
# Content type of compressed MessagePack.
COMPRESSED_TYPE: Final = "application/zlib"
WATCHERS_PER_DOMAIN: Final = 2
# A request for changes is answered after this time even if there are none.
MAX_WAIT_SECONDS: Final = 2.0
_RESPONSE_TIMEOUT_SECONDS: Final = 0.7
# A gateway that sent no gossip for this long is not followed; keepalives come every 0.5 s.
_HEARD_SECONDS: Final = 1.2
# A gateway that failed to relay is not followed for this long.
_EXCLUSION_SECONDS: Final = 3.0


class FleetUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Changes up to a store revision, or all entries of that revision if ``is_full``.

    Removals are delayed by ``removal_delay`` seconds. ``connected`` is whether the store answers
    the sender.
    """

    revision: int
    entries: tuple[StoredEntry, ...]
    is_full: bool
    removal_delay: float
    connected: bool


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(FleetUpdate)
_FASTEST_COMPRESSION: Final = 1


def compress(data: bytes) -> bytes:
    """Compress what a gateway sends to others."""
    return zlib.compress(data, level=_FASTEST_COMPRESSION)


def decompress(data: bytes) -> bytes:
    """Return what a gateway sent; raise `UpstreamLost` if it is damaged or too long."""
    try:
        inflater = zlib.decompressobj()
        content = inflater.decompress(data, MAX_WHOLE_BODY_BYTES)
    except zlib.error as error:
        raise UpstreamLost(f"a gateway's state cannot be decompressed: {error}") from error
    if not inflater.eof:
        raise UpstreamLost(
            f"a gateway's state ends early or has more than {MAX_WHOLE_BODY_BYTES} bytes"
        )
    return content


@final
class ChangePublisher:
    """Answer requests for changes as soon as there are any."""

    __slots__ = ("_changed", "_encoded", "_fleet_state", "_timers")

    def __init__(self, *, fleet_state: FleetState, timers: TimerService) -> None:
        # The latest update and its encoding: most followers ask for the same.
        self._encoded: tuple[FleetUpdate, bytes] | None = None
        self._fleet_state = fleet_state
        self._timers = timers
        self._changed = asyncio.Event()
        fleet_state.listen(self._wake)

    async def update_since(
        self, revision: int, *, removal_delay: Callable[[], float], connected: Callable[[], bool]
    ) -> FleetUpdate:
        """Return the changes after a revision; wait for the next one if there are none."""
        if self._fleet_state.revision <= revision:
            seconds = self._timers.to_real_seconds(MAX_WAIT_SECONDS)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), seconds)
        changes = self._fleet_state.changes_since(revision)
        entries = self._fleet_state.registered_snapshot().entries if changes is None else changes
        return FleetUpdate(
            revision=self._fleet_state.revision,
            entries=entries,
            is_full=changes is None,
            removal_delay=removal_delay(),
            connected=connected(),
        )

    def encode(self, update: FleetUpdate) -> bytes:
        """Return an update as it is sent."""
        if self._encoded is None or self._encoded[0] != update:
            self._encoded = (update, compress(_encoder.encode(update)))
        return self._encoded[1]

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


@final
class StoreWatchers:
    """Choose the gateways of this failure domain that watch the store."""

    __slots__ = ("_excluded_until", "_failure_domain", "_gossip", "_node", "_timers")

    def __init__(
        self, *, node: str, failure_domain: str, gossip: GossipProtocol, timers: TimerService
    ) -> None:
        self._node = node
        self._failure_domain = failure_domain
        self._gossip = gossip
        self._timers = timers
        # By control address, in monotonic seconds.
        self._excluded_until: dict[str, float] = {}

    def relay(self, *, store_reachable: bool, current: str | None = None) -> str | None:
        """Return the control address of the gateway to follow, or ``None`` to watch the store.

        The ``current`` one is kept as long as it is one of the watchers.
        """
        peers = self._peers()
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
        return not all(peer.store_reachable for peer in self._peers().values())

    def _peers(self) -> dict[str, GossipPeer]:
        """Return the gateways of this failure domain that may be followed, by node."""
        now = self._timers.now()
        return {
            node: peer
            for node, peer in self._gossip.peers.items()
            if peer.failure_domain == self._failure_domain
            and now - peer.received_at <= _HEARD_SECONDS
            and now >= self._excluded_until.get(peer.control, 0.0)
        }

    def exclude(self, address: str) -> None:
        """Don't follow a gateway for some seconds, as it failed to relay."""
        now = self._timers.now()
        self._excluded_until = {
            other: until for other, until in self._excluded_until.items() if until > now
        }
        self._excluded_until[address] = now + _EXCLUSION_SECONDS


async def fetch_update(
    client: HttpClient, address: str, *, after: int, timers: TimerService
) -> FleetUpdate:
    """Return a gateway's changes after a revision, once there are any.

    Raise `UpstreamUnreachable` or `UpstreamLost`.
    """
    status, body = await fetch(
        client,
        address=address,
        method="GET",
        path=f"{CHANGES_PATH}?after={after}",
        timeout=timers.to_real_seconds(MAX_WAIT_SECONDS + _RESPONSE_TIMEOUT_SECONDS),
    )
    if status != 200:
        raise UpstreamLost(f"{address} answered {status} to a request for changes")
    try:
        return _decoder.decode(decompress(body))
    except msgspec.DecodeError as error:
        raise UpstreamLost(f"{address} sent invalid changes: {error}") from error
