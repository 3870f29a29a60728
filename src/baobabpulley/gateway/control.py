"""HTTP handlers for readiness probes, snapshots and changes for other gateways, and metrics."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest
from tornado.httpserver import HTTPServer
from tornado.web import Application
from tornado.web import RequestHandler

from baobabpulley.adapters.addresses import split_address
from baobabpulley.gateway.store.compression import COMPRESSED_TYPE
from baobabpulley.gateway.store.compression import compress
from baobabpulley.gateway.store.confirmation_header import format_confirmation
from baobabpulley.gateway.store.fleet_snapshot import as_sent
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.gateway.store.store_link import StoreLink
from baobabpulley.gateway.store.store_relay import ChangePublisher
from baobabpulley.model.revisions import era_of
from baobabpulley.model.revisions import ordered_revision
from baobabpulley.policy.store_confirmation import StoreConfirmation
from baobabpulley.timers import TimerService


class ReadinessHandler(RequestHandler):
    """Respond 200 if the load balancer should send new connections here, else 503."""

    def initialize(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    def get(self) -> None:
        self.set_status(200 if self._ready() else 503)


class ConfirmedHandler(RequestHandler):
    """Handler whose response says when the store confirmed it."""

    def initialize(self, confirmation: StoreConfirmation, timers: TimerService) -> None:
        self._confirmation = confirmation
        self._timers = timers
        self._requested_at = timers.boot_time()

    def set_default_headers(self) -> None:
        # Each gateway gets such a response once or twice a second.
        for name in ("Server", "Date"):
            self.clear_header(name)

    def compute_etag(self) -> None:
        """Return no entity tag, which no gateway asks for."""

    def _set_confirmation(self) -> None:
        confirmed_at = self._confirmation.confirmed_at
        for name, value in format_confirmation(
            confirmed_at, requested_at=self._requested_at
        ).items():
            self.set_header(name, value)


class SnapshotHandler(ConfirmedHandler):
    """Return the gateway's `FleetSnapshot` as MessagePack, compressed if that is accepted.

    Gateways of earlier versions neither ask for compression nor offer it.
    """

    def initialize(  # type: ignore[override]
        self, fleet_state: FleetState, confirmation: StoreConfirmation, timers: TimerService
    ) -> None:
        super().initialize(confirmation, timers)
        self._fleet_state = fleet_state

    def get(self) -> None:
        self._set_confirmation()
        data = msgspec.msgpack.encode(as_sent(self._fleet_state.snapshot()))
        if self.request.headers.get("Accept") == COMPRESSED_TYPE:
            self.set_header("Content-Type", COMPRESSED_TYPE)
            self.write(compress(data))
        else:
            self.set_header("Content-Type", "application/msgpack")
            self.write(data)


class ChangesHandler(ConfirmedHandler):
    """Return the gateway's changes after the revision ``after`` as a `FleetUpdate`."""

    def initialize(  # type: ignore[override]
        self, publisher: ChangePublisher, link: StoreLink, timers: TimerService
    ) -> None:
        super().initialize(link.confirmation, timers)
        self._publisher = publisher
        self._link = link

    async def get(self) -> None:
        after = self.get_query_argument("after")
        # Gateways of earlier versions know no eras: their numbers are taken for those of this one.
        own_era = era_of(self._publisher.revision)
        era = self.get_query_argument("era", str(own_era))
        if not (after.isdecimal() and era.isdecimal()):
            self.send_error(400)
            return
        update = await self._publisher.update_since(
            ordered_revision(int(after), era=int(era)),
            removal_delay=self._link.removal_delay,
            connected=lambda: self._link.connected,
        )
        self._set_confirmation()
        self.set_header("Content-Type", COMPRESSED_TYPE)
        self.write(self._publisher.encode(update))


class MetricsHandler(RequestHandler):
    """Return the metrics in the Prometheus text format."""

    def initialize(self, registry: CollectorRegistry) -> None:
        self._registry = registry

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.write(generate_latest(self._registry))


def serve_http(address: str, routes: list[tuple[str, type[RequestHandler], Any]]) -> HTTPServer:
    """Serve routes on an address, without an access log."""
    application = Application(routes, log_function=lambda handler: None)  # type: ignore[arg-type]
    server = HTTPServer(application)
    host, port = split_address(address)
    server.listen(port, host)
    return server
