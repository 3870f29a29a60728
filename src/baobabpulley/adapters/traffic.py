"""Bytes that a process sends and receives for control, and how they show in its metrics."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import Final
from typing import final

from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

PEER_LINK: Final = "peers"


@final
class Traffic:
    """Counts of bytes and messages of one kind, without what TCP and IP add."""

    __slots__ = ("messages", "received", "sent")

    def __init__(self) -> None:
        self.messages = 0
        self.received = 0
        self.sent = 0


@final
class ControlTraffic(Collector):
    """The bytes of a process by link and, between our own processes, by kind of question."""

    __slots__ = ("_links", "_peers")

    def __init__(self) -> None:
        self._links: dict[str, Traffic] = {}
        self._peers: dict[str, Traffic] = {}

    def add_link(self, link: str, traffic: Traffic) -> None:
        """Show the bytes of one kind of connection."""
        self._links[link] = traffic

    def set_peer_traffic(self, traffic: defaultdict[str, Traffic]) -> None:
        """Show the bytes of the messages between our processes, by kind."""
        self._peers = traffic

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield the metrics in force now."""
        size = GaugeMetricFamily(
            "baobab_control_bytes",
            "Bytes of the control traffic so far",
            labels=["link", "kind", "direction"],
        )
        count = GaugeMetricFamily(
            "baobab_control_messages", "Messages between processes so far", labels=["kind"]
        )
        links = [(link, "", traffic) for link, traffic in self._links.items()]
        kinds = [(PEER_LINK, kind, traffic) for kind, traffic in self._peers.items()]
        for link, kind, traffic in links + kinds:
            size.add_metric([link, kind, "in"], traffic.received)
            size.add_metric([link, kind, "out"], traffic.sent)
        for _, kind, traffic in kinds:
            count.add_metric([kind], traffic.messages)
        yield size
        yield count
