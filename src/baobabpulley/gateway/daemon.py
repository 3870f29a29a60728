"""Assemble a gateway from its components and run it until it is signalled to stop."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import final

from loguru import logger
from tornado.httpserver import HTTPServer

from baobabpulley.adapters.addresses import split_address
from baobabpulley.adapters.allocator import return_large_blocks
from baobabpulley.adapters.client_stream import ClientStream
from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.gateway.callers.connection_closes import ConnectionCloses
from baobabpulley.gateway.callers.listener import CallerListener
from baobabpulley.gateway.callers.memory_guard import MemoryGuard
from baobabpulley.gateway.control import ChangesHandler
from baobabpulley.gateway.control import MetricsHandler
from baobabpulley.gateway.control import ReadinessHandler
from baobabpulley.gateway.control import SnapshotHandler
from baobabpulley.gateway.control import serve_http
from baobabpulley.gateway.exchanges.attempts import UpstreamCaller
from baobabpulley.gateway.exchanges.connection_watch import ConnectionWatch
from baobabpulley.gateway.exchanges.exchange import ExchangeServer
from baobabpulley.gateway.freeze_watch import FreezeWatch
from baobabpulley.gateway.gauges import GaugeSources
from baobabpulley.gateway.gauges import register_gauges
from baobabpulley.gateway.graceful_shutdown import GracefulShutdown
from baobabpulley.gateway.metrics import GatewayMetrics
from baobabpulley.gateway.peers.account_use_reports import AccountUseReports
from baobabpulley.gateway.peers.crash_evidence import CrashEvidence
from baobabpulley.gateway.peers.gossip import GossipProtocol
from baobabpulley.gateway.peers.retry_loans import RetryLoans
from baobabpulley.gateway.peers.upstream_reports import UpstreamReports
from baobabpulley.gateway.placement.candidates import CandidateList
from baobabpulley.gateway.placement.cold_record import ColdRecord
from baobabpulley.gateway.placement.placer import Placer
from baobabpulley.gateway.placement.tickets import TicketManager
from baobabpulley.gateway.placement.upstream_record import UpstreamRecord
from baobabpulley.gateway.reload import SettingsReload
from baobabpulley.gateway.sections import ColdSection
from baobabpulley.gateway.sections import EnginesSection
from baobabpulley.gateway.sections import GatewayNodeSection
from baobabpulley.gateway.sections import GatewayPeersSection
from baobabpulley.gateway.sections import GatewayShutdownSection
from baobabpulley.gateway.sections import MemorySection
from baobabpulley.gateway.sections import RetryBudgetSection
from baobabpulley.gateway.sections import StoreSection
from baobabpulley.gateway.shutdown_gate import ShutdownGate
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.gateway.store.member_registration import MemberRegistration
from baobabpulley.gateway.store.peer_snapshots import PeerSnapshots
from baobabpulley.gateway.store.snapshot_fetcher import SNAPSHOT_PATH
from baobabpulley.gateway.store.snapshot_fetcher import SnapshotFetcher
from baobabpulley.gateway.store.store_link import StoreLink
from baobabpulley.gateway.store.store_relay import CHANGES_PATH
from baobabpulley.gateway.store.store_relay import ChangePublisher
from baobabpulley.gateway.store.store_watchers import StoreWatchers
from baobabpulley.gateway.tunnels.tunnel_server import TUNNEL_PATH
from baobabpulley.gateway.tunnels.tunnel_server import TunnelHandler
from baobabpulley.gateway.tunnels.tunnel_server import TunnelServer
from baobabpulley.gateway.tunnels.upstream_connector import UpstreamConnector
from baobabpulley.model.routes import RequestBounds
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.platform.documents import PlatformDocuments
from baobabpulley.platform.memory_reservations import PlatformMemoryReservations
from baobabpulley.platform.names import READINESS
from baobabpulley.platform.store import PlatformStore
from baobabpulley.platform.wire import PlatformWire
from baobabpulley.policy.account_use import AccountUse
from baobabpulley.policy.fleet_load import LoadTracker
from baobabpulley.policy.memory_budget import MemoryBudget
from baobabpulley.policy.node_retry_budget import NodeRetryBudget
from baobabpulley.policy.store_confirmation import StoreConfirmation
from baobabpulley.policy.upstream_silence import SilentEngines
from baobabpulley.settings import Settings
from baobabpulley.shutdown import cancel_remaining_tasks
from baobabpulley.shutdown import stop_event
from baobabpulley.timers import TimerService


@final
class Gateway:
    """The components of one gateway process."""

    def __init__(self, settings: Settings, *, path: Path) -> None:
        self.settings = settings
        self.node = settings.get(GatewayNodeSection)
        self.timers = timers = TimerService()
        memory = settings.get(MemorySection)
        self.budget = MemoryBudget(machine_mb=memory.machine_mb, descriptors=memory.descriptors)
        if memory.machine_mb:
            return_large_blocks()
        self.client = HttpClient(self.budget, connect=self._connect)
        self.fleet_state = FleetState(
            PlatformDocuments(), returned_within=settings.get(StoreSection).returned_within
        )
        self.store = PlatformStore(
            client=HttpClient(),
            address=settings.get(StoreSection).address,
            watch_wait=settings.get(StoreSection).call_wait,
        )
        self._registration = MemberRegistration(
            node=self.node,
            store=self.store,
            documents=PlatformDocuments(),
            lease_seconds=settings.get(StoreSection).member_lease,
            fleet_state=self.fleet_state,
            timers=timers,
        )
        self.loads = LoadTracker()
        self.metrics = GatewayMetrics()
        self.evidence = CrashEvidence(node=self.node.id, timers=timers)
        self.reports = UpstreamReports(
            node=self.node.id, fleet_state=self.fleet_state, timers=timers
        )
        silent_engines = SilentEngines()
        budget = settings.get(RetryBudgetSection)
        self.retry_budget = NodeRetryBudget(
            ratio=budget.ratio, slack=budget.slack, window=budget.window
        )
        loans = self.metrics.retry_loans
        self.loans = RetryLoans(
            node=self.node.id,
            budget=self.retry_budget,
            timers=timers,
            enabled=budget.lending,
            count=lambda service, step: loans.labels(service=service, step=str(step)).inc(),
        )
        account_use = AccountUse()
        self.gossip = GossipProtocol(
            node=self.node,
            section=settings.get(GatewayPeersSection),
            fleet_state=self.fleet_state,
            loads=self.loads,
            evidence=self.evidence,
            reports=self.reports,
            loans=self.loans,
            timers=timers,
            on_newer_revision=lambda revision: self._peer_snapshots.record_newer(revision),
            store_reachable=lambda: self.link.store_reachable,
            cut_off=lambda: self.connector.is_cut_off,
            silent_engines=silent_engines,
            account_use=AccountUseReports(account_use, is_waiting=lambda: self.placer.waiting > 0),
        )
        self.connector = UpstreamConnector(
            node=self.node.id,
            fleet_state=self.fleet_state,
            gossip=self.gossip,
            timers=timers,
            on_cut_off=self._leave_broken_links,
        )
        self.tunnels = TunnelServer(
            fleet_state=self.fleet_state,
            budget=self.budget,
            is_draining=lambda: self.listener.draining,
            is_cut_off=lambda: self.connector.is_cut_off,
            timers=timers,
        )
        watchers = StoreWatchers(
            node=self.node.id,
            failure_domain=self.node.failure_domain,
            gossip=self.gossip,
            timers=timers,
        )
        confirmation = StoreConfirmation(in_force_within=settings.get(StoreSection).in_force_within)
        self.link = StoreLink(
            store=self.store,
            fleet_state=self.fleet_state,
            client=self.client,
            section=settings.get(StoreSection),
            timers=timers,
            watchers=watchers,
            confirmation=confirmation,
        )
        self._peer_snapshots = PeerSnapshots(
            node=self.node,
            fleet_state=self.fleet_state,
            gossip=self.gossip,
            link=self.link,
            snapshots=SnapshotFetcher(
                client=self.client,
                fleet_state=self.fleet_state,
                confirmation=confirmation,
                timers=timers,
            ),
            seeds=lambda: self.settings.get(GatewayPeersSection).seeds,
            timers=timers,
        )
        self.changes = ChangePublisher(
            fleet_state=self.fleet_state, confirmation=confirmation, timers=timers
        )
        # It listens before the candidates and the queue, which look up what it has recorded.
        self.cold = ColdRecord(
            node=self.node.id,
            fleet_state=self.fleet_state,
            timers=timers,
            section=settings.get(ColdSection),
            count_missing=lambda name: self.metrics.permits_missing.labels(service=name).inc(),
            last_evacuation_end=self.fleet_state.evacuations.last_end,
        )
        self.record = UpstreamRecord(
            failure_domain=self.node.failure_domain,
            fleet_state=self.fleet_state,
            last_seen=self.gossip.last_seen,
            reports=self.reports,
            timers=timers,
            silent_engines=silent_engines,
            cold=self.cold,
        )
        candidates = CandidateList(
            node=self.node.id,
            failure_domain=self.node.failure_domain,
            fleet_state=self.fleet_state,
            loads=self.loads,
            record=self.record,
            timers=timers,
        )
        self.placer = Placer(
            candidates=candidates,
            fleet_state=self.fleet_state,
            loads=self.loads,
            record=self.record,
            timers=timers,
            max_waiting=settings.get(EnginesSection).max_waiting,
            use=account_use,
        )
        self._shutdown = ShutdownGate(timers=timers)
        self.watch = ConnectionWatch(
            client=self.client,
            timers=timers,
            on_silence=lambda since: self.connector.check_soon(silent_since=since),
        )
        closed = self.metrics.connections_closed
        self.listener = CallerListener(
            handler=self._exchange_server().serve,
            bounds=self._bounds,
            closes=ConnectionCloses(
                identify=PlatformWire().request_id,
                count=lambda reason: closed.labels(reason=reason).inc(),
            ),
            timers=timers,
            guard=MemoryGuard(
                self.budget,
                timers=timers,
                count=lambda action: self.metrics.memory_actions.labels(action=action).inc(),
            ),
        )
        self._graceful_shutdown = GracefulShutdown(
            listener=self.listener, tunnels=self.tunnels, gate=self._shutdown, timers=timers
        )
        self.reload = SettingsReload(path=path, daemon="gateway", apply=self._apply, timers=timers)
        register_gauges(
            self.metrics,
            GaugeSources(
                connector=self.connector,
                evidence=self.evidence,
                fleet_state=self.fleet_state,
                gossip=self.gossip,
                link=self.link,
                listener=self.listener,
                placer=self.placer,
                record=self.record,
                store=self.store,
                tunnels=self.tunnels,
                watch=self.watch,
            ),
        )
        self._listed: dict[str, ListedUpstream] = {}
        self.fleet_state.listen(self._forget_removed)
        self._servers: tuple[HTTPServer, ...] = ()
        self._freeze_watch = FreezeWatch(timers=timers, on_freeze=self._replace_connections)

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send new connections to this gateway."""
        return self.fleet_state.table is not None and not self.listener.draining

    async def start(self) -> None:
        """Start to listen, and to follow the store and the peers."""
        node = self.node
        host = split_address(node.control)[0]
        metrics = {"registry": self.metrics.registry}
        changes = {"publisher": self.changes, "link": self.link, "timers": self.timers}
        snapshot = {
            "fleet_state": self.fleet_state,
            "confirmation": self.link.confirmation,
            "timers": self.timers,
        }
        self._servers = (
            serve_http(
                node.readiness, [(READINESS, ReadinessHandler, {"ready": lambda: self.ready})]
            ),
            serve_http(
                node.control,
                [
                    (SNAPSHOT_PATH, SnapshotHandler, snapshot),
                    (CHANGES_PATH, ChangesHandler, changes),
                    (TUNNEL_PATH, TunnelHandler, {"tunnels": self.tunnels}),
                ],
            ),
            serve_http(f"{host}:{node.metrics_port}", [("/metrics", MetricsHandler, metrics)]),
        )
        await self.gossip.start()
        self.evidence.start()
        self.reports.start()
        self.link.start()
        self.cold.start()
        self.placer.start()
        self.watch.start()
        self.connector.start()
        self.reload.start()
        self._freeze_watch.start()
        self._peer_snapshots.start()
        asyncio.get_running_loop().create_task(self._registration.run(), name="membership")
        address, port = split_address(node.callers)
        self.listener.listen(port, address, backlog=1024)
        logger.bind(event="start").info("gateway started")

    async def drain(self) -> None:
        """Finish what is running, and accept nothing new; see `GracefulShutdown`."""
        await self._graceful_shutdown.run(self.settings.get(GatewayShutdownSection))

    def _forget_removed(self) -> None:
        """Drop the records of removed upstreams; a restarted upstream has a new id."""
        listed = dict(self.fleet_state.upstreams)
        addresses = {server.address for server in listed.values()}
        for name, upstream in self._listed.items():
            if name not in listed:
                self.record.forget(upstream)
                if upstream.address not in addresses:
                    self.client.drop_idle(upstream.address)
        self._listed = listed

    def close(self) -> None:
        """Stop listening and close every connection."""
        for server in self._servers:
            server.stop()
        self.listener.stop()
        self.listener.close_all()
        self.gossip.close()
        self.tunnels.close()
        self.client.close()
        self.timers.cancel_all()

    def _exchange_server(self) -> ExchangeServer:
        wire = PlatformWire()
        return ExchangeServer(
            fleet_state=self.fleet_state,
            placer=self.placer,
            caller=UpstreamCaller(
                client=self.client,
                wire=wire,
                record=self.record,
                watch=self.watch,
                timers=self.timers,
            ),
            wire=wire,
            record=self.record,
            retry_budget=self.retry_budget,
            loans=self.loans,
            metrics=self.metrics,
            gossip=self.gossip,
            tickets=TicketManager(
                reservations=PlatformMemoryReservations(client=self.client),
                record=self.record,
                section=self.settings.get(EnginesSection),
                timers=self.timers,
            ),
            evidence=self.evidence,
            shutdown=self._shutdown,
            timers=self.timers,
            budget=self.budget,
            is_cut_off=lambda: self.connector.is_cut_off,
        )

    def _apply(self, settings: Settings) -> None:
        """Apply new settings; a change of addresses needs a restart."""
        if settings.get(GatewayNodeSection) != self.node:
            logger.bind(event="reload").warning("[node] changed: restart the process to apply it")
        section = settings.get(RetryBudgetSection)
        self.retry_budget.configure(ratio=section.ratio, slack=section.slack, window=section.window)
        self.loans.enabled = section.lending
        memory = settings.get(MemorySection)
        self.budget.configure(machine_mb=memory.machine_mb, descriptors=memory.descriptors)
        self.gossip.configure(settings.get(GatewayPeersSection))
        self.cold.configure(settings.get(ColdSection))
        self.settings = settings

    def _bounds(self) -> RequestBounds:
        table = self.fleet_state.table
        return RequestBounds() if table is None else table.bounds

    async def _connect(self, address: str, *, timeout: float) -> ClientStream:
        return await self.connector.connect(address, timeout=timeout)

    def _leave_broken_links(self, since: float) -> None:
        """Use no connection to an upstream that was last heard before this gateway was cut off.

        What failed since then is no fault of the upstreams.
        """
        self.client.set_all_aside(heard_before=self.timers.to_real_seconds(since))
        self.record.forget_failures()

    def _replace_connections(self) -> None:
        """Replace idle connections and the watch, as a freeze may have broken them."""
        self.client.close()
        self.link.restart()


async def run_gateway(settings: Settings, *, path: Path) -> None:
    """Run a gateway until SIGTERM or SIGINT, then drain it."""
    stop = stop_event()
    gateway = Gateway(settings, path=path)
    await gateway.start()
    await stop.wait()
    await gateway.drain()
    gateway.close()
    await cancel_remaining_tasks()
