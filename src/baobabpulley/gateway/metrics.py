"""Metrics of a gateway.

Labels are services, kinds of route, error codes, reasons of closes and steps of loans, so their
number is bounded.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from typing import final

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram

# From the response time of a lookup to the first event of the longest prompts.
_BUCKETS_SECONDS: Final = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0, 15.0)


@final
class GatewayMetrics:
    """Counters and histograms that the components update, and gauges computed on each scrape."""

    __slots__ = (
        "attempts",
        "connections_closed",
        "evacuated_attempts",
        "first_event_seconds",
        "longest_pause_seconds",
        "memory_actions",
        "permits_missing",
        "registry",
        "request_seconds",
        "requests",
        "retry_loans",
    )

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "baobab_gateway_requests",
            "Requests answered, by outcome",
            ["service", "kind", "outcome"],
            registry=self.registry,
        )
        self.attempts = Counter(
            "baobab_gateway_attempts",
            "Attempts at upstreams, by outcome",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.retry_loans = Counter(
            "baobab_gateway_retry_loans",
            "Retries wanted from, given to, received from other gateways and used, by step",
            ["service", "step"],
            registry=self.registry,
        )
        self.connections_closed = Counter(
            "baobab_gateway_connections_closed",
            "Callers' connections closed with a request or an answer incomplete, by reason",
            ["reason"],
            registry=self.registry,
        )
        self.evacuated_attempts = Counter(
            "baobab_gateway_evacuated_attempts",
            "Attempts placed in a failure domain that was evacuated before they were sent",
            ["service"],
            registry=self.registry,
        )
        self.permits_missing = Counter(
            "baobab_gateway_cold_permits_missing",
            "Placements elsewhere while a cold upstream that was no more loaded lacked a permit",
            ["service"],
            registry=self.registry,
        )
        self.memory_actions = Counter(
            "baobab_gateway_memory_actions",
            "Bodies refused and connections refused or closed to free memory or descriptors",
            ["action"],
            registry=self.registry,
        )
        self.request_seconds = self._histogram(
            "baobab_gateway_request_seconds", "Time from a request's arrival to its end"
        )
        self.first_event_seconds = self._histogram(
            "baobab_gateway_first_event_seconds", "Time from arrival to a stream's first event"
        )
        self.longest_pause_seconds = self._histogram(
            "baobab_gateway_longest_pause_seconds", "Longest pause between a stream's events"
        )

    def add_gauge(self, name: str, text: str, value: Callable[[], float]) -> None:
        """Add a gauge whose value is computed on each scrape."""
        Gauge(f"baobab_gateway_{name}", text, registry=self.registry).set_function(value)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            name, text, ["service", "kind"], buckets=_BUCKETS_SECONDS, registry=self.registry
        )
