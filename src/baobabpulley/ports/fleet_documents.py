"""Documents that the platform's store holds for the gateways."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

import msgspec

from baobabpulley.model.routes import RoutingTable
from baobabpulley.model.servers import ListedUpstream


class MemberEntry(msgspec.Struct, frozen=True):
    """A gateway: where its control port is, and where it hears the news of others."""

    node: str
    control: str
    news: str


class FleetDocuments(ABC):
    """Keys and formats; nothing here decides. Each reader raises `InvalidDocument`."""

    @abstractmethod
    def kind_of(self, key: str) -> tuple[str | None, str]:
        """Return ``configuration``, ``upstream``, ``member`` or ``None``, and the entry's name."""

    @abstractmethod
    def configuration(self, value: bytes) -> RoutingTable:
        """Return the routing table of a stored configuration."""

    @abstractmethod
    def upstream(self, name: str, value: bytes) -> ListedUpstream:
        """Return what an upstream says of itself."""

    @abstractmethod
    def member(self, value: bytes) -> MemberEntry:
        """Return a gateway's entry."""

    @abstractmethod
    def member_item(self, member: MemberEntry) -> tuple[str, bytes]:
        """Return the key and the value of a gateway's entry."""
