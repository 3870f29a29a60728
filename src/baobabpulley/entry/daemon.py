"""Build an entry process and run it until a stop signal."""

from __future__ import annotations

from importlib import import_module
from typing import Final

from loguru import logger
from tornado.httpserver import HTTPServer

from baobabpulley.adapters.envelope import Sealer
from baobabpulley.adapters.envelope import make_sealer
from baobabpulley.adapters.etcd_store import EtcdStore
from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_engine import HttpEngine
from baobabpulley.adapters.http_service import HttpPlainService
from baobabpulley.adapters.metrics import EntryMetrics
from baobabpulley.adapters.no_store import NoStore
from baobabpulley.adapters.pynng_peers import PynngPeers
from baobabpulley.entry.backpressure import EntryBackpressure
from baobabpulley.entry.backpressure_engine import BackpressureEngine
from baobabpulley.entry.claims import Claims
from baobabpulley.entry.claims import ClaimsSection
from baobabpulley.entry.context import EntryContext
from baobabpulley.entry.dispatch import Dispatcher
from baobabpulley.entry.forwarding import RequestForwarder
from baobabpulley.entry.keeper_link import KeeperLink
from baobabpulley.entry.keeper_link import KeeperLinkSection
from baobabpulley.entry.lifecycle import Lifecycle
from baobabpulley.entry.lifecycle import ShutdownSection
from baobabpulley.entry.listener import start_listener
from baobabpulley.entry.memory import EntryMemory
from baobabpulley.entry.placer import make_placer
from baobabpulley.entry.resume_tokens import ResumeTokens
from baobabpulley.entry.resuming_engine import ResumingEngine
from baobabpulley.entry.service_caller import ServiceCaller
from baobabpulley.entry.service_caller import ServicesSection
from baobabpulley.entry.tickets import Tickets
from baobabpulley.entry.tickets import TicketsSection
from baobabpulley.logs import configure_logs
from baobabpulley.model.decisions import DecisionLog
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.policy.admission import AdmissionSection
from baobabpulley.policy.burn import BurnCounters
from baobabpulley.policy.burn import BurnSection
from baobabpulley.policy.lanes import LanesSection
from baobabpulley.policy.retries import RetriesSection
from baobabpulley.policy.routing import RoutingSection
from baobabpulley.ports.config_store import ConfigStore
from baobabpulley.settings import LogsSection
from baobabpulley.settings import NodeSection
from baobabpulley.settings import PeersSection
from baobabpulley.settings import Settings
from baobabpulley.shutdown import cancel_remaining_tasks
from baobabpulley.shutdown import stop_event
from baobabpulley.timers import TimerService

# Modules that register their routes on import.
_HANDLER_MODULES: Final = (
    "burn",
    "callers",
    "explain",
    "health",
    "models",
    "operators",
    "plain_handlers",
    "resume",
    "ticket_handlers",
)


def build_entry(settings: Settings) -> EntryContext:
    """Return the components of an entry, not yet started; the event loop must be running."""
    node = settings.get(NodeSection)
    timers = TimerService(speed=node.speed)
    peers = PynngPeers(node=node.id, section=settings.get(PeersSection), timers=timers)
    metrics = EntryMetrics()
    metrics.control.set_peer_traffic(peers.traffic)

    def alarm(kind: str, message: str) -> None:
        logger.warning("alarm {}: {}", kind, message)
        metrics.alarms.labels(kind=kind).inc()

    view = FleetView(failure_domain=node.failure_domain, alarm=alarm)
    client = HttpClient()
    backpressure = EntryBackpressure(timers=timers)
    metrics.backpressured.set_function(lambda: len(backpressure.upstreams()))
    placer = make_placer(
        vm=node.vm,
        view=view,
        routing=settings.get(RoutingSection),
        lanes=settings.get(LanesSection),
        admission=settings.get(AdmissionSection),
        backpressure=backpressure,
        timers=timers,
    )
    peers.subscribe(settings.get(KeeperLinkSection).address, placer.receive)
    memory = EntryMemory(
        settings=settings,
        engine=BackpressureEngine(
            engine=ResumingEngine(
                engine=HttpEngine(client=client, timers=timers), metrics=metrics, timers=timers
            ),
            backpressure=backpressure,
        ),
        backpressure=backpressure,
        peers=peers,
        view=view,
        metrics=metrics,
        timers=timers,
    )
    dispatcher = Dispatcher(
        holder=memory.holder,
        engine=memory.engine,
        view=view,
        placer=placer,
        lanes=settings.get(LanesSection),
        retries=settings.get(RetriesSection),
        metrics=metrics,
        timers=timers,
        forwarder=RequestForwarder(client=client, view=view, timers=timers),
        gangs=memory.gangs,
    )
    services = _service_caller(
        settings, view=view, backpressure=backpressure, metrics=metrics, timers=timers
    )
    return EntryContext(
        settings=settings,
        node=node,
        timers=timers,
        peers=peers,
        view=view,
        keeper=KeeperLink(
            section=settings.get(KeeperLinkSection), peers=peers, view=view, timers=timers
        ),
        dispatcher=dispatcher,
        memory=memory,
        decisions=DecisionLog(),
        metrics=metrics,
        lifecycle=Lifecycle(section=settings.get(ShutdownSection), timers=timers),
        services=services,
        tickets=_tickets(settings, services=services, timers=timers, view=view),
        claims=_claims(settings, services=services, timers=timers),
        sealer=_sealer(settings),
        burn=BurnCounters(section=settings.get(BurnSection)),
        resume_tokens=ResumeTokens(secret=settings.get(PeersSection).secret, timers=timers),
    )


def _sealer(settings: Settings) -> Sealer:
    return make_sealer(settings.get(PeersSection), sender=settings.get(NodeSection).id)


def _service_caller(
    settings: Settings,
    *,
    view: FleetView,
    backpressure: EntryBackpressure,
    metrics: EntryMetrics,
    timers: TimerService,
) -> ServiceCaller:
    return ServiceCaller(
        services=HttpPlainService(client=HttpClient(), timers=timers),
        view=view,
        section=settings.get(ServicesSection),
        retries=settings.get(RetriesSection),
        backpressure=backpressure,
        metrics=metrics,
        timers=timers,
    )


def _tickets(
    settings: Settings, *, services: ServiceCaller, timers: TimerService, view: FleetView
) -> Tickets:
    node, peers = settings.get(NodeSection), settings.get(PeersSection)
    return Tickets(
        address=node.http,
        secret=peers.secret,
        section=settings.get(TicketsSection),
        run_once=services.run_once,
        sealer=_sealer(settings),
        client=HttpClient(),
        timers=timers,
        view=view,
    )


def _claims(settings: Settings, *, services: ServiceCaller, timers: TimerService) -> Claims:
    section = settings.get(ClaimsSection)
    store: ConfigStore = NoStore()
    if section.store is not None:
        store = EtcdStore(client=HttpClient(), address=section.store, timers=timers)
    return Claims(
        entry=settings.get(NodeSection).id,
        owner=settings.get(NodeSection).http,
        store=store,
        section=section,
        run_once=services.run_once,
        timers=timers,
    )


def start_server(context: EntryContext) -> HTTPServer:
    """Start the HTTP server with the routes of all handler modules."""
    for name in _HANDLER_MODULES:
        import_module(f"baobabpulley.entry.{name}")
    return start_listener(context)


async def run_entry(settings: Settings) -> None:
    """Run an entry until SIGTERM or SIGINT, then drain it."""
    node = settings.get(NodeSection)
    configure_logs(settings.get(LogsSection), node=node.id)
    stop = stop_event()
    context = build_entry(settings)
    server = start_server(context)
    context.lifecycle.add_background_work(lambda: context.tickets.running)
    context.lifecycle.add_background_work(lambda: context.claims.running)
    await context.keeper.refresh()
    context.keeper.start()
    context.memory.start()
    await stop.wait()
    await context.lifecycle.drain()
    await context.tickets.hand_over()
    server.stop()
    await server.close_all_connections()
    context.timers.cancel_all()
    await cancel_remaining_tasks()
    context.peers.close()
