"""Interface for the documents that the platform's store holds for the gateways."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

import msgspec

from baobabpulley.model.routes import RoutingTable
from baobabpulley.model.servers import ListedUpstream


class GatewayMember(msgspec.Struct, frozen=True):
    """A gateway's entry in the member list.

    ``control`` is the address of its control port, ``news`` the one at which it receives the load
    gossip of other gateways.
    """

    node: str
    control: str
    news: str


class FleetDocuments(ABC):
    """Store keys and value formats, without policy.

    Methods that decode a value raise `InvalidDocument` if it is invalid.
    """

    @abstractmethod
    def classify_key(self, key: str) -> tuple[str | None, str]:
        """Return the kind of a key, ``None`` if it is unknown, and the entry's name.

        The kinds are ``configuration``, ``upstream``, ``member`` and ``evacuation``. The name of an
        evacuation is that of its failure domain; its value has no meaning.
        """

    @abstractmethod
    def configuration(self, value: bytes) -> RoutingTable:
        """Decode a stored configuration."""

    @abstractmethod
    def upstream(self, name: str, value: bytes) -> ListedUpstream:
        """Decode an upstream's registration."""

    @abstractmethod
    def member(self, value: bytes) -> GatewayMember:
        """Decode a gateway's entry in the member list."""

    @abstractmethod
    def encode_member(self, member: GatewayMember) -> tuple[str, bytes]:
        """Return the store key and the encoded value of a gateway's entry."""
