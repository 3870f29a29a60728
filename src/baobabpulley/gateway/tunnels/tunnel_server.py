"""Tunnels to upstreams that this gateway opens for gateways that are cut off from them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Final
from typing import final

from loguru import logger
from tornado.iostream import IOStream
from tornado.web import RequestHandler

from baobabpulley.adapters.addresses import connect
from baobabpulley.adapters.client_stream import ClientStream
from baobabpulley.adapters.streams import detect_dead_peer
from baobabpulley.adapters.tunnel_pipe import pipe
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.policy.memory_budget import UPSTREAM_BYTES
from baobabpulley.policy.memory_budget import MemoryBudget
from baobabpulley.timers import TimerService

TUNNEL_PATH: Final = "/upstream-connection"
UPSTREAM_ARGUMENT: Final = "upstream"
ADDRESS_ARGUMENT: Final = "address"
NODE_ARGUMENT: Final = "node"
UPGRADE: Final = "upstream-connection"
MAX_TUNNELS: Final = 256
# Shorter than what the other gateway waits, so that it learns which of the two isn't reached.
CONNECT_TIMEOUT_SECONDS: Final = 0.2
# As for connections that aren't tunnels: the kernel drops one whose peer's machine is gone.
UNACKNOWLEDGED_TIMEOUT_SECONDS: Final = 3.0
# Both connections of a tunnel.
TUNNEL_BYTES: Final = 2 * UPSTREAM_BYTES
# One refusal is logged in this time, with the number of those since the last one.
REFUSAL_LOG_PERIOD_SECONDS: Final = 1.0


@final
class TunnelRefused(Exception):
    """A tunnel wasn't opened; ``status`` is that of the response."""

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@final
class TunnelServer:
    """Open tunnels to listed upstreams, over this gateway's own connections only.

    ``is_draining`` and ``is_cut_off`` return whether this gateway opens none now.
    """

    __slots__ = (
        "_budget",
        "_fleet_state",
        "_is_cut_off",
        "_is_draining",
        "_logged_at",
        "_opened",
        "_opening",
        "_refused",
        "_tasks",
        "_timers",
    )

    def __init__(
        self,
        *,
        fleet_state: FleetState,
        budget: MemoryBudget,
        is_draining: Callable[[], bool],
        is_cut_off: Callable[[], bool],
        timers: TimerService,
    ) -> None:
        self._fleet_state = fleet_state
        self._budget = budget
        self._is_draining = is_draining
        self._is_cut_off = is_cut_off
        self._timers = timers
        self._tasks: set[asyncio.Task[None]] = set()
        self._opening = 0
        self._opened = 0
        self._refused = 0
        self._logged_at = float("-inf")

    @property
    def active(self) -> int:
        """Number of open tunnels."""
        return len(self._tasks)

    @property
    def opened(self) -> int:
        """Number of tunnels opened so far."""
        return self._opened

    async def open(self, *, upstream: str, address: str, node: str) -> ClientStream:
        """Return a connection to an upstream for another gateway; raise `TunnelRefused`."""
        try:
            self._check(upstream, address)
            stream = await self._connect(upstream, address)
        except TunnelRefused as refusal:
            self._log_refused(refusal, upstream=upstream, node=node)
            raise
        logger.bind(event="tunnel_opened", upstream=upstream, gateway=node).info(
            "opened a connection to an upstream for another gateway"
        )
        return stream

    def start(self, near: IOStream, far: ClientStream) -> None:
        """Pass bytes between another gateway and an upstream until one of them ends that."""
        self._opened += 1
        timeout = self._timers.to_real_seconds(UNACKNOWLEDGED_TIMEOUT_SECONDS)
        for stream in (near, far):
            detect_dead_peer(stream.socket, timeout)
        near.set_nodelay(True)
        self._budget.change(TUNNEL_BYTES)
        passing = pipe(near, far, dead_after=timeout)
        task = asyncio.get_running_loop().create_task(passing, name="tunnel")
        self._tasks.add(task)
        task.add_done_callback(self._end)

    def close(self) -> None:
        """Close all tunnels."""
        for task in tuple(self._tasks):
            task.cancel()

    def _end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._budget.change(-TUNNEL_BYTES)

    def _check(self, upstream: str, address: str) -> None:
        listed = self._fleet_state.upstreams.get(upstream)
        if listed is None or listed.address != address:
            raise TunnelRefused(HTTPStatus.FORBIDDEN, "no listed upstream")
        if self._is_draining():
            raise TunnelRefused(HTTPStatus.SERVICE_UNAVAILABLE, "shutting down")
        if self._is_cut_off():
            raise TunnelRefused(HTTPStatus.SERVICE_UNAVAILABLE, "cut off from upstreams")
        if self._opening + self.active >= MAX_TUNNELS or self._budget.is_crowded:
            raise TunnelRefused(HTTPStatus.SERVICE_UNAVAILABLE, "no room for a tunnel")

    async def _connect(self, upstream: str, address: str) -> ClientStream:
        timeout = self._timers.to_real_seconds(CONNECT_TIMEOUT_SECONDS)
        self._opening += 1
        try:
            return await connect(address, timeout=timeout)
        except UpstreamUnreachable as error:
            raise TunnelRefused(HTTPStatus.BAD_GATEWAY, error.message) from error
        finally:
            self._opening -= 1

    def _log_refused(self, refusal: TunnelRefused, *, upstream: str, node: str) -> None:
        self._refused += 1
        now = self._timers.now()
        if now - self._logged_at < REFUSAL_LOG_PERIOD_SECONDS:
            return
        count, self._refused, self._logged_at = self._refused, 0, now
        logger.bind(
            event="tunnel_refused",
            upstream=upstream,
            gateway=node,
            status=int(refusal.status),
            refusals=count,
        ).info("opened no connection to an upstream for another gateway: {}", refusal)


class TunnelHandler(RequestHandler):
    """Respond 101 and turn the connection into a tunnel to the upstream that is asked for."""

    def initialize(self, tunnels: TunnelServer) -> None:
        self._tunnels = tunnels
        self._is_left = False

    def on_connection_close(self) -> None:
        self._is_left = True

    async def get(self) -> None:
        try:
            far = await self._tunnels.open(
                upstream=self.get_query_argument(UPSTREAM_ARGUMENT),
                address=self.get_query_argument(ADDRESS_ARGUMENT),
                node=self.get_query_argument(NODE_ARGUMENT, ""),
            )
        except TunnelRefused as refusal:
            self.set_status(refusal.status)
            return
        if self._is_left:
            far.close()
            return
        self.set_status(HTTPStatus.SWITCHING_PROTOCOLS)
        self.set_header("Connection", "Upgrade")
        self.set_header("Upgrade", UPGRADE)
        self.finish()
        near = self.detach()
        if near.closed():
            far.close()
            return
        self._tunnels.start(near, far)
