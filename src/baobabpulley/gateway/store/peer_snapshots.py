"""Fetch the fleet's state from a peer while the store's answers are missing or late."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final
from typing import final

from baobabpulley.gateway.peers.gossip import RELAY_HEARD_SECONDS
from baobabpulley.gateway.peers.gossip import GossipProtocol
from baobabpulley.gateway.sections import GatewayNodeSection
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.gateway.store.snapshot_fetcher import SnapshotFetcher
from baobabpulley.gateway.store.store_link import StoreLink
from baobabpulley.timers import TimerService

_CHECK_PERIOD_SECONDS: Final = 0.3
# If a peer has been on a newer store revision for this long, the watch is assumed to be stalled.
_MAX_BEHIND_SECONDS: Final = 0.4


@final
class PeerSnapshots:
    """Fetch a peer's snapshot before the first configuration, and while peers stay ahead.

    ``seeds`` returns the control addresses of gateways to ask before any is known.
    """

    __slots__ = (
        "_behind",
        "_fetching",
        "_fleet_state",
        "_gossip",
        "_link",
        "_node",
        "_seeds",
        "_snapshots",
        "_timers",
    )

    def __init__(
        self,
        *,
        node: GatewayNodeSection,
        fleet_state: FleetState,
        gossip: GossipProtocol,
        link: StoreLink,
        snapshots: SnapshotFetcher,
        seeds: Callable[[], tuple[str, ...]],
        timers: TimerService,
    ) -> None:
        self._node = node
        self._fleet_state = fleet_state
        self._gossip = gossip
        self._link = link
        self._snapshots = snapshots
        self._seeds = seeds
        self._timers = timers
        # A store revision that a peer reached before this gateway, and when that was heard.
        self._behind: tuple[int, float] | None = None
        self._fetching: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to check whether a snapshot is needed."""
        self._timers.every(_CHECK_PERIOD_SECONDS, self._check, name="peer snapshots")

    def record_newer(self, revision: int) -> None:
        """Record that a peer is on a newer revision of the store."""
        if self._behind is None:
            self._behind = (revision, self._timers.now())

    def _check(self) -> None:
        starting = self._fleet_state.table is None
        behind = self._is_behind()
        if not (starting or behind):
            return
        if self._fetching is not None and not self._fetching.done():
            return
        if behind and self._link.connected:
            # The store serves other gateways, so the watch of this one may have stalled.
            self._link.restart()
        self._fetching = asyncio.get_running_loop().create_task(self._fetch())

    def _is_behind(self) -> bool:
        """Whether a peer reached a revision a while ago that this gateway still has not."""
        if self._behind is None:
            return False
        revision, since = self._behind
        if self._fleet_state.revision >= revision:
            self._behind = None
            return False
        return self._timers.now() - since > _MAX_BEHIND_SECONDS

    async def _fetch(self) -> None:
        revision = self._fleet_state.revision
        newer = [peer for peer in self._gossip.live_peers() if peer.revision > revision]
        # Sorting is stable: the newest first of the own failure domain, then of the others. A peer
        # that has fallen silent may be cut off, and would hold up the question to a sound one.
        recent = self._timers.now() - RELAY_HEARD_SECONDS
        newer.sort(
            key=lambda peer: (
                peer.received_at < recent,
                peer.failure_domain != self._node.failure_domain,
            )
        )
        known = [peer.control for peer in newer]
        others = [address for address in (*known, *self._seeds()) if address != self._node.control]
        await self._snapshots.fetch_newer(dict.fromkeys(others))
