"""Health, readiness and metrics of an entry."""

from __future__ import annotations

from baobabpulley.adapters.metrics import render_metrics
from baobabpulley.entry.web import EntryHandler
from baobabpulley.entry.web import route
from baobabpulley.errors import NotReady


@route("/healthz")
class HealthHandler(EntryHandler):
    """``GET /healthz``: liveness of the process."""

    def get(self) -> None:
        self.finish({"status": "ok"})


@route("/readyz")
class ReadyHandler(EntryHandler):
    """``GET /readyz``: whether the load balancer may send requests."""

    def get(self) -> None:
        if self.context.lifecycle.draining:
            raise NotReady("this entry is shutting down")
        if not self.context.view.ready:
            raise NotReady("no settings have arrived at this entry yet")
        self.finish({"status": "ready", "revision": self.context.view.settings_state.revision})


@route("/metrics")
class MetricsHandler(EntryHandler):
    """``GET /metrics``: metrics in the Prometheus text format."""

    def get(self) -> None:
        self.context.metrics.revision.set(self.context.view.settings_state.revision)
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(render_metrics(self.context.metrics.registry))
