"""Put an entry together and run it until it is told to stop."""

from __future__ import annotations

import asyncio
import secrets
import signal
from importlib import import_module
from typing import Final

from tornado.httpserver import HTTPServer
from tornado.web import Application

from baobabpulley.adapters.addresses import split_address
from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_engine import HttpEngine
from baobabpulley.adapters.metrics import EntryMetrics
from baobabpulley.adapters.pynng_peers import PynngPeers
from baobabpulley.entry.callers import CallersSection
from baobabpulley.entry.context import EntryContext
from baobabpulley.entry.dispatch import Dispatcher
from baobabpulley.entry.gang_acquire import GangAcquirer
from baobabpulley.entry.gangs import EntryGangs
from baobabpulley.entry.hold_renewal import HoldRenewal
from baobabpulley.entry.homes import Homes
from baobabpulley.entry.keeper_link import KeeperLink
from baobabpulley.entry.keeper_link import KeeperLinkSection
from baobabpulley.entry.lifecycle import Lifecycle
from baobabpulley.entry.lifecycle import ShutdownSection
from baobabpulley.entry.reservations import EntryReservations
from baobabpulley.entry.reserving_engine import ReservingEngine
from baobabpulley.entry.web import routes
from baobabpulley.logs import configure_logs
from baobabpulley.model.decisions import DecisionLog
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.policy.lanes import LanesSection
from baobabpulley.policy.reservation_book import ReservationsSection
from baobabpulley.policy.routing import routing_policies
from baobabpulley.settings import LogsSection
from baobabpulley.settings import NodeSection
from baobabpulley.settings import PeersSection
from baobabpulley.settings import Settings
from baobabpulley.timers import TimerService

# Modules that register routes when they are imported.
_HANDLER_MODULES: Final = ("callers", "health")

MAX_ACCEPTED_BODY: Final = 1 << 30


def build_entry(settings: Settings) -> EntryContext:
    """Return an entry's parts, not yet started; the event loop must run."""
    node = settings.get(NodeSection)
    timers = TimerService(speed=node.speed)
    peers = PynngPeers(node=node.id, section=settings.get(PeersSection), timers=timers)
    metrics = EntryMetrics()

    def alarm(kind: str, message: str) -> None:
        del message
        metrics.alarms.labels(kind=kind).inc()

    view = FleetView(failure_domain=node.failure_domain, alarm=alarm)
    lanes = settings.get(LanesSection)
    section = settings.get(ReservationsSection)
    holder = f"{node.id}.{secrets.token_hex(4)}"
    reservations = EntryReservations(
        holder=holder,
        homes=Homes(peers=peers, view=view),
        view=view,
        section=section,
        timers=timers,
    )
    engine = HttpEngine(client=HttpClient(), timers=timers)
    holds = HoldRenewal(holder=holder, engine=engine, timers=timers)
    gangs = EntryGangs(
        engine=engine,
        view=view,
        reservations=reservations,
        acquirer=GangAcquirer(
            reservations=reservations, view=view, timers=timers, stale_load=section.stale_load
        ),
        holds=holds,
        lanes=lanes,
        metrics=metrics,
        timers=timers,
    )
    dispatcher = Dispatcher(
        holder=holder,
        engine=ReservingEngine(
            engine=engine,
            reservations=reservations,
            holds=holds,
            short_tokens=lanes.short_tokens,
            timers=timers,
        ),
        view=view,
        policy=routing_policies.lookup("least_in_flight")(),
        lanes=lanes,
        metrics=metrics,
        timers=timers,
        gangs=gangs,
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
        reservations=reservations,
        holds=holds,
        decisions=DecisionLog(),
        metrics=metrics,
        lifecycle=Lifecycle(section=settings.get(ShutdownSection), timers=timers),
    )


def start_server(context: EntryContext) -> HTTPServer:
    """Listen for callers."""
    for name in _HANDLER_MODULES:
        import_module(f"baobabpulley.entry.{name}")
    callers = context.settings.get(CallersSection)
    server = HTTPServer(
        Application(routes(context)),
        # The handlers bound bodies themselves, so that callers get a typed answer.
        max_body_size=MAX_ACCEPTED_BODY,
        max_header_size=callers.max_header_bytes,
        body_timeout=context.timers.real(callers.body_timeout),
        idle_connection_timeout=context.timers.real(callers.header_timeout),
    )
    host, port = split_address(context.node.http)
    server.listen(port, host)
    return server


async def run_entry(settings: Settings) -> None:
    """Run an entry until SIGTERM or SIGINT, then drain it."""
    node = settings.get(NodeSection)
    configure_logs(settings.get(LogsSection), node=node.id)
    context = build_entry(settings)
    server = start_server(context)
    await context.keeper.refresh()
    context.keeper.start()
    context.reservations.start()
    context.holds.start()
    await stop_signal()
    await context.lifecycle.drain()
    server.stop()
    await server.close_all_connections()
    context.timers.cancel_all()
    context.peers.close()


async def stop_signal() -> None:
    """Wait for SIGTERM or SIGINT; further ones are ignored."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
