"""Metrics of the control traffic that a process sends and receives."""

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
    """Counts of messages and bytes of one kind, without TCP and IP headers."""

    __slots__ = ("messages", "received", "sent")

    def __init__(self) -> None:
        self.messages = 0
        self.received = 0
        self.sent = 0


@final
class ControlTraffic(Collector):
    """Collector for a process's bytes by link; for messages between processes also by kind."""

    __slots__ = ("_links", "_peers")

    def __init__(self) -> None:
        self._links: dict[str, Traffic] = {}
        self._peers: dict[str, Traffic] = {}

    def add_link(self, link: str, traffic: Traffic) -> None:
        """Report the bytes of one kind of connection under the label ``link``."""
        self._links[link] = traffic

    def set_peer_traffic(self, traffic: defaultdict[str, Traffic]) -> None:
        """Report the messages between the fleet's processes; ``traffic`` is by kind of message."""
        self._peers = traffic

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield the current values."""
        byte_counts = GaugeMetricFamily(
            "baobab_control_bytes",
            "Bytes of the control traffic so far",
            labels=["link", "kind", "direction"],
        )
        message_counts = GaugeMetricFamily(
            "baobab_control_messages", "Messages between processes so far", labels=["kind"]
        )
        links = [(link, "", traffic) for link, traffic in self._links.items()]
        kinds = [(PEER_LINK, kind, traffic) for kind, traffic in self._peers.items()]
        for link, kind, traffic in links + kinds:
            byte_counts.add_metric([link, kind, "in"], traffic.received)
            byte_counts.add_metric([link, kind, "out"], traffic.sent)
        for _, kind, traffic in kinds:
            message_counts.add_metric([kind], traffic.messages)
        yield byte_counts
        yield message_counts
