"""Build a keeper and run it until it is signalled to stop."""

from __future__ import annotations

import signal
from importlib import import_module
from typing import Any
from typing import Final
from typing import cast

import msgspec
from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.web import Application
from tornado.web import RequestHandler

from baobabpulley.adapters.addresses import split_address
from baobabpulley.adapters.etcd_store import EtcdStore
from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_engine import HttpEngine
from baobabpulley.adapters.http_vm_list import HttpVmList
from baobabpulley.adapters.metrics import KeeperMetrics
from baobabpulley.adapters.metrics import render_metrics
from baobabpulley.adapters.pynng_peers import PynngPeers
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.context import keeper_parts
from baobabpulley.keeper.settings_relay import SettingsRelay
from baobabpulley.logs import configure_logs
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.settings import Address
from baobabpulley.settings import LogsSection
from baobabpulley.settings import NodeSection
from baobabpulley.settings import PeersSection
from baobabpulley.settings import Settings
from baobabpulley.settings import section
from baobabpulley.shutdown import cancel_remaining_tasks
from baobabpulley.shutdown import stop_event
from baobabpulley.timers import TimerService

# Modules that register keeper parts when they are imported.
_PART_MODULES: Final = (
    "settings_watch",
    "settings_relay",
    "vm_relay",
    "changes",
    "fleet_state",
    "membership",
    "order_issuer",
    "limit_repair",
    "reservations",
    "sweep",
)

# Settings sections are registered on import, so the imports must precede any reading of settings.
for _name in _PART_MODULES:
    import_module(f"baobabpulley.keeper.{_name}")


@section("keeper", "keeper")
class KeeperSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of this keeper, of the configuration store and of the platform's VM list.

    ``also_reached_at`` are further addresses at which others reach this keeper, for example behind
    network address translation.
    """

    address: Address
    store: Address
    vm_list: Address
    also_reached_at: tuple[Address, ...] = ()


def build_keeper(settings: Settings) -> KeeperContext:
    """Return the context of a keeper whose parts are not started; requires a running loop."""
    node = settings.get(NodeSection)
    own = settings.get(KeeperSection)
    timers = TimerService(speed=node.speed)
    client = HttpClient()
    metrics = KeeperMetrics()

    def alarm(kind: str, message: str) -> None:
        logger.warning("alarm {}: {}", kind, message)
        metrics.alarms.labels(kind=kind).inc()

    peers = PynngPeers(
        node=node.id,
        section=settings.get(PeersSection),
        timers=timers,
        address=own.address,
        also_reached_at=own.also_reached_at,
    )
    metrics.control.add_link("http", client.traffic)
    metrics.control.set_peer_traffic(peers.traffic)
    context = KeeperContext(
        settings=settings,
        node=node,
        address=own.address,
        timers=timers,
        peers=peers,
        store=EtcdStore(client=client, address=own.store, timers=timers),
        vm_list=HttpVmList(client=client, address=own.vm_list, timers=timers),
        engine=HttpEngine(client=client, timers=timers),
        view=FleetView(failure_domain=node.failure_domain, alarm=alarm),
        metrics=metrics,
    )
    for name in keeper_parts.names:
        context.parts[name] = keeper_parts.lookup(name)(context)
    return context


async def run_keeper(settings: Settings) -> None:
    """Run a keeper until SIGTERM or SIGINT, then hand over its ledgers and stop."""
    node = settings.get(NodeSection)
    configure_logs(settings.get(LogsSection), node=node.id)
    stop = stop_event()
    # Sending an order relies on the default action of SIGALRM, see `kill_after`.
    signal.signal(signal.SIGALRM, signal.SIG_DFL)
    context = build_keeper(settings)
    assert isinstance(context.peers, PynngPeers)
    for part in context.parts.values():
        await part.start()
    # Requests are accepted only once all parts have registered their handlers. Starting a part may
    # wait for the platform.
    context.peers.start()
    server = _start_server(context)
    await stop.wait()
    # Ledgers are handed over before the last heartbeat reports that this keeper is stopping.
    for part in reversed(context.parts.values()):
        await part.stop()
    server.stop()
    context.timers.cancel_all()
    await cancel_remaining_tasks()
    context.peers.close()


def _start_server(context: KeeperContext) -> HTTPServer:
    own = {"context": context}
    routes: list[Any] = [
        ("/healthz", _HealthHandler, own),
        ("/readyz", _ReadyHandler, own),
        ("/metrics", _MetricsHandler, own),
    ]
    server = HTTPServer(Application(routes))
    host, port = split_address(context.node.http)
    server.listen(port, host)
    return server


class _Handler(RequestHandler):
    def initialize(self, context: KeeperContext) -> None:
        self._context = context


class _HealthHandler(_Handler):
    def get(self) -> None:
        self.finish({"status": "ok"})


class _ReadyHandler(_Handler):
    def get(self) -> None:
        ready = self._context.view.ready
        self.set_status(200 if ready else 503)
        self.finish({"ready": ready, "revision": self._context.view.settings_state.revision})


class _MetricsHandler(_Handler):
    def get(self) -> None:
        metrics = self._context.metrics
        settings_state = self._context.view.settings_state
        metrics.revision.set(settings_state.revision)
        metrics.set_rejected_revisions(settings_state.rejected_revisions)
        relay = cast(SettingsRelay, self._context.parts["settings_relay"])
        metrics.store_confirmation_age.set(
            relay.confirmation.age(now=self._context.timers.boot_time())
        )
        if isinstance(self._context.store, EtcdStore):
            metrics.store_calls.set(self._context.store.calls)
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(render_metrics(self._context.registry))
