"""Metrics of entries and keepers, in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final
from typing import final

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client import generate_latest

from baobabpulley.adapters.traffic import ControlTraffic

LATENCY_BUCKETS_SECONDS: Final = (
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
    6.4,
    12.8,
    25.6,
    51.2,
    102.4,
    204.8,
)


@final
class EntryMetrics:
    """Metrics of an entry; durations are in model seconds."""

    __slots__ = (
        "alarms",
        "attempts",
        "backpressured",
        "control",
        "first_token",
        "refusals",
        "registry",
        "rejected_messages",
        "requests",
        "resumes",
        "revision",
    )

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.control = ControlTraffic()
        self.registry.register(self.control)
        self.requests = Counter(
            "baobab_requests", "Requests by outcome", ["team", "outcome"], registry=self.registry
        )
        self.attempts = Counter(
            "baobab_attempts", "Attempts at upstreams", ["service"], registry=self.registry
        )
        self.backpressured = Gauge(
            "baobab_upstreams_backpressured",
            "Upstreams that asked for no requests and get none now",
            registry=self.registry,
        )
        self.refusals = Counter(
            "baobab_refusals", "Requests that did not run", ["code"], registry=self.registry
        )
        self.alarms = Counter("baobab_alarms", "Alarms by kind", ["kind"], registry=self.registry)
        self.resumes = Counter(
            "baobab_resumes", "Streams resumed on a new connection", registry=self.registry
        )
        self.rejected_messages = Counter(
            "baobab_rejected_messages",
            "Messages between processes that failed a check",
            registry=self.registry,
        )
        self.first_token = Histogram(
            "baobab_first_token_seconds",
            "Time to first token by lane",
            ["lane"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.revision = Gauge(
            "baobab_settings_revision", "Settings revision in force", registry=self.registry
        )


@final
class KeeperMetrics:
    """Metrics of a keeper."""

    __slots__ = (
        "alarms",
        "control",
        "keys_taken_over",
        "orders",
        "registry",
        "rejected_revisions",
        "revision",
        "store_calls",
        "store_confirmation_age",
        "swept_holds",
    )

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.alarms = Counter("baobab_alarms", "Alarms by kind", ["kind"], registry=self.registry)
        self.orders = Counter(
            "baobab_orders", "Orders given to engines", ["kind"], registry=self.registry
        )
        self.revision = Gauge(
            "baobab_settings_revision", "Settings revision in force", registry=self.registry
        )
        self.keys_taken_over = Counter(
            "baobab_keys_taken_over",
            "Engines, teams and gang queues whose book the home before gave to this keeper",
            registry=self.registry,
        )
        self.swept_holds = Counter(
            "baobab_swept_holds", "Holds freed because nobody kept them", registry=self.registry
        )
        self.store_calls = Gauge(
            "baobab_store_calls", "Calls made to the configuration store", registry=self.registry
        )
        self.store_confirmation_age = Gauge(
            "baobab_store_confirmation_age",
            "Seconds since the store last confirmed the settings in force",
            registry=self.registry,
        )
        self.control = ControlTraffic()
        self.registry.register(self.control)
        self.rejected_revisions = Gauge(
            "baobab_rejected_document_revision",
            "Revision of a stored document that is kept out",
            ["key"],
            registry=self.registry,
        )

    def set_rejected_revisions(self, revisions: Mapping[str, int]) -> None:
        """Replace the reported revisions of rejected documents, by document key."""
        self.rejected_revisions.clear()
        for key, revision in revisions.items():
            self.rejected_revisions.labels(key=key).set(revision)


def render_metrics(registry: CollectorRegistry) -> bytes:
    """Return all metrics of a registry in the Prometheus text format."""
    return generate_latest(registry)
