"""Connect to upstreams directly, or through another gateway where this one is cut off from them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from http import HTTPStatus
from typing import Final
from typing import final

from loguru import logger

from baobabpulley.adapters.addresses import connect
from baobabpulley.adapters.client_stream import ClientStream
from baobabpulley.errors import NoPathToUpstream
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.gateway.peers.gossip import GossipProtocol
from baobabpulley.gateway.peers.gossip_peers import GossipPeer
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.gateway.tunnels.tunnel_client import TunnelUnavailable
from baobabpulley.gateway.tunnels.tunnel_client import open_tunnel
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.tunnel_peers import TunnelPeers
from baobabpulley.policy.upstream_reach import PROOFS_NEEDED
from baobabpulley.policy.upstream_reach import UpstreamReach
from baobabpulley.timers import TimerService

# Upstreams are only milliseconds away.
DIRECT_TIMEOUT_SECONDS: Final = 0.2
# Longer than the peer's own attempt, which it reports.
TUNNEL_TIMEOUT_SECONDS: Final = 0.3
# While this gateway is cut off, an upstream is connected to directly this often.
PROBE_PERIOD_SECONDS: Final = 0.5
# Silent connections lead to a check of the paths this often at most.
CHECK_PERIOD_SECONDS: Final = 1.0

# Called with the time in monotonic seconds since which this gateway is cut off.
CutOffListener = Callable[[float], None]


def _ignore(since: float) -> None:
    pass


@final
class UpstreamConnector:
    """Open connections to addresses; those to listed upstreams may lead through a peer.

    While this gateway is cut off, all new connections to upstreams are opened through peers that
    aren't, and one upstream at a time is tried directly, which ends that.
    """

    __slots__ = (
        "_by_address",
        "_check_task",
        "_checked_at",
        "_fleet_state",
        "_gossip",
        "_node",
        "_on_cut_off",
        "_peers",
        "_random",
        "_reach",
        "_timers",
        "_used",
    )

    def __init__(
        self,
        *,
        node: str,
        fleet_state: FleetState,
        gossip: GossipProtocol,
        timers: TimerService,
        on_cut_off: CutOffListener = _ignore,
    ) -> None:
        self._node = node
        self._fleet_state = fleet_state
        self._gossip = gossip
        self._timers = timers
        self._on_cut_off = on_cut_off
        self._reach = UpstreamReach()
        self._peers = TunnelPeers()
        self._random = random.Random()
        self._by_address: dict[str, ListedUpstream] | None = None
        self._check_task: asyncio.Task[None] | None = None
        self._checked_at = float("-inf")
        self._used = 0
        fleet_state.listen(self._invalidate)

    @property
    def is_cut_off(self) -> bool:
        """Whether this gateway is cut off from all upstreams."""
        return self._reach.is_cut_off

    @property
    def tunnels_used(self) -> int:
        """Number of connections opened through peers so far."""
        return self._used

    def start(self) -> None:
        """Try upstreams directly while this gateway is cut off."""
        self._timers.every(PROBE_PERIOD_SECONDS, self._probe, name="upstream probe")

    async def connect(self, address: str, *, timeout: float) -> ClientStream:
        """Open a connection; raise `UpstreamUnreachable` if it fails.

        ``timeout`` is that of a direct connection, in real seconds. Raise `NoPathToUpstream` if
        this gateway is cut off and no peer could try.
        """
        upstream = self._find(address)
        if upstream is None:
            return await connect(address, timeout=timeout)
        if self.is_cut_off:
            stream = await self._connect_through_peer(upstream)
            if stream is not None:
                return stream
        try:
            return await self._connect_directly(upstream, timeout=timeout)
        except UpstreamUnreachable as error:
            if self.is_cut_off:
                raise NoPathToUpstream(f"no other gateway could try either: {error}") from error
            if not self._reach.record_unreached(upstream.id, now=self._timers.now()):
                raise
            stream = await self._connect_through_peer(upstream)
            if stream is None:
                raise
            self._record_reached_by_peer(upstream)
            return stream

    def check_soon(self, *, silent_since: float) -> None:
        """Check the paths to upstreams, as a connection has been silent since then."""
        now = self._timers.now()
        is_due = now - self._checked_at > CHECK_PERIOD_SECONDS and self._check_task is None
        if self.is_cut_off or not is_due or self._reach.was_reached_since(silent_since):
            return
        if not self._live_peers():
            # Nobody could show that the fault is this gateway's.
            return
        self._checked_at = now
        self._check_task = asyncio.get_running_loop().create_task(self._check(), name="reach check")
        self._check_task.add_done_callback(self._end_check)

    async def _check(self) -> None:
        """Connect to some upstreams until one is reached directly, or the verdict is clear."""
        for upstream in self._sample(PROOFS_NEEDED):
            try:
                stream = await self.connect(
                    upstream.address, timeout=self._timers.to_real_seconds(DIRECT_TIMEOUT_SECONDS)
                )
            except UpstreamUnreachable:
                continue
            is_direct = not stream.is_tunnel
            stream.close()
            if is_direct:
                return

    def _end_check(self, task: asyncio.Task[None]) -> None:
        self._check_task = None
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.opt(exception=error).error("the check of the paths to upstreams failed")

    async def _probe(self) -> None:
        if not self.is_cut_off:
            return
        for upstream in self._sample(1):
            try:
                stream = await self._connect_directly(
                    upstream, timeout=self._timers.to_real_seconds(DIRECT_TIMEOUT_SECONDS)
                )
            except UpstreamUnreachable:
                continue
            stream.close()

    def _sample(self, count: int) -> list[ListedUpstream]:
        listed = list(self._fleet_state.upstreams.values())
        return self._random.sample(listed, min(count, len(listed)))

    async def _connect_directly(self, upstream: ListedUpstream, *, timeout: float) -> ClientStream:
        limit = self._timers.to_real_seconds(DIRECT_TIMEOUT_SECONDS)
        stream = await connect(upstream.address, timeout=min(timeout, limit))
        since = self._reach.cut_off_since
        now = self._timers.now()
        if self._reach.record_reached(now=now):
            seconds = 0.0 if since is None else now - since
            logger.bind(
                event="cut_off_over", upstream=upstream.id, seconds=round(seconds, 3)
            ).warning("an upstream is reached directly again")
            self._gossip.publish_soon()
        return stream

    async def _connect_through_peer(self, upstream: ListedUpstream) -> ClientStream | None:
        """Return a connection through a peer, or ``None`` if no peer could try.

        Raise `UpstreamUnreachable` if peers don't reach the upstream either. One of them may be cut
        off too without knowing yet, so that another one is asked.
        """
        unreached: UpstreamUnreachable | None = None
        peers = self._live_peers()
        for node in self._peers.choose(peers, now=self._timers.now()):
            try:
                return await self._open_tunnel(upstream, node, peers[node].control)
            except UpstreamUnreachable as error:
                if unreached is not None:
                    self._reach.record_unreached_by_peer(upstream.id, now=self._timers.now())
                    raise
                unreached = error
            except TunnelUnavailable as error:
                self._record_unavailable(node, error)
                if error.status is None and not self.is_cut_off:
                    # Peers may be out of reach too; the request isn't held up for all of them.
                    break
        if unreached is not None:
            self._reach.record_unreached_by_peer(upstream.id, now=self._timers.now())
            raise unreached
        return None

    def _live_peers(self) -> dict[str, GossipPeer]:
        """Return the live gateways that don't say that they are cut off themselves, by node."""
        return {peer.node: peer for peer in self._gossip.live_peers() if not peer.cut_off}

    async def _open_tunnel(self, upstream: ListedUpstream, node: str, control: str) -> ClientStream:
        begun = self._timers.now()
        stream = await open_tunnel(
            control,
            upstream,
            node=self._node,
            timeout=self._timers.to_real_seconds(TUNNEL_TIMEOUT_SECONDS),
        )
        self._used += 1
        logger.bind(
            event="tunnel_used",
            upstream=upstream.id,
            peer=node,
            seconds=round(self._timers.now() - begun, 3),
        ).info("connected to an upstream through another gateway")
        return stream

    def _record_unavailable(self, node: str, error: TunnelUnavailable) -> None:
        is_unsupported = error.status == HTTPStatus.NOT_FOUND
        self._peers.record_failure(node, is_unsupported=is_unsupported, now=self._timers.now())
        logger.bind(event="tunnel_failed", peer=node, status=error.status).info(
            "another gateway opened no connection to an upstream: {}", error
        )

    def _record_reached_by_peer(self, upstream: ListedUpstream) -> None:
        now = self._timers.now()
        listed = len(self._fleet_state.upstreams)
        if not self._reach.record_reached_by_peer(upstream.id, listed=listed, now=now):
            return
        since = self._reach.cut_off_since
        assert since is not None
        logger.bind(
            event="cut_off", upstreams=self._reach.proofs, seconds=round(now - since, 3)
        ).warning("peers reach upstreams that this gateway doesn't reach")
        self._on_cut_off(since)
        self._gossip.publish_soon()

    def _find(self, address: str) -> ListedUpstream | None:
        if self._by_address is None:
            listed = self._fleet_state.upstreams.values()
            self._by_address = {upstream.address: upstream for upstream in listed}
        return self._by_address.get(address)

    def _invalidate(self) -> None:
        self._by_address = None
