"""Decode upstream registrations and gateway entries, and tell the store's keys apart.

The private structs mirror the stored JSON; callers only see types of `baobabpulley.model` and
`baobabpulley.ports`.
"""

from __future__ import annotations

from typing import Annotated
from typing import Final
from typing import final

import msgspec

from baobabpulley.adapters.addresses import split_address
from baobabpulley.decoding import DECODE_ERRORS
from baobabpulley.errors import InvalidDocument
from baobabpulley.model.routes import RoutingTable
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.platform import names
from baobabpulley.platform.configuration import decode_configuration
from baobabpulley.platform.names import STATE_DRAINING
from baobabpulley.platform.names import STATE_READY
from baobabpulley.ports.fleet_documents import FleetDocuments
from baobabpulley.ports.fleet_documents import GatewayMember

_MAX_PORT: Final = 65_535
_MAX_BYTE: Final = 255
_MAX_SEQUENCE: Final = 2**63 - 1
_SECONDS_PER_MS: Final = 0.001
_ADDRESS = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"


class _Upstream(msgspec.Struct):
    """An upstream's registration.

    ``state`` says whether it is draining; ``born`` is its start time in milliseconds.
    ``cold_remaining_ms`` is for how many milliseconds it is still cold, and ``sequence`` counts its
    registrations since then.
    """

    service: str
    address: Annotated[str, msgspec.Meta(pattern=_ADDRESS)]
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: str
    born: int = 0
    cold_remaining_ms: msgspec.Raw = msgspec.field(
        name="cold-remaining-ms", default=msgspec.Raw(b"null")
    )
    sequence: msgspec.Raw = msgspec.Raw(b"null")


_KINDS_BY_PREFIX: Final = (
    (names.UPSTREAM_PREFIX, "upstream"),
    (names.MEMBER_PREFIX, "member"),
    (names.EVACUATION_PREFIX, "evacuation"),
)
_upstream_decoder = msgspec.json.Decoder(_Upstream)
_milliseconds_decoder = msgspec.json.Decoder(Annotated[float, msgspec.Meta(ge=0)] | None)
_sequence_decoder = msgspec.json.Decoder(
    Annotated[int, msgspec.Meta(ge=0, le=_MAX_SEQUENCE)] | None
)


def decode_upstream(upstream: str, value: bytes) -> ListedUpstream:
    """Decode an upstream's registration; raise `InvalidDocument`."""
    try:
        entry = _upstream_decoder.decode(value)
    except DECODE_ERRORS as error:
        raise InvalidDocument(
            f"the entry of upstream {upstream[:64]!r} is invalid: {error}"
        ) from error
    if entry.state not in (STATE_READY, STATE_DRAINING):
        raise InvalidDocument(f"the entry of upstream {upstream[:64]!r} has an unknown state")
    if not _can_be_connected_to(entry.address):
        raise InvalidDocument(
            f"the entry of upstream {upstream[:64]!r} has the address {entry.address!r}"
        )
    return ListedUpstream(
        id=upstream,
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        slots=entry.slots,
        leaving=entry.state == STATE_DRAINING,
        born=entry.born,
        cold_seconds=_seconds(entry.cold_remaining_ms),
        sequence=_sequence(entry.sequence),
    )


def _seconds(milliseconds: msgspec.Raw) -> float | None:
    """Return seconds, or ``None`` if none are given or they can't be read.

    A registration that can't be read in this point alone still lists its upstream.
    """
    try:
        value = _milliseconds_decoder.decode(milliseconds)
    except DECODE_ERRORS:
        return None
    return None if value is None else value * _SECONDS_PER_MS


def _sequence(sequence: msgspec.Raw) -> int | None:
    """Return a sequence number, or ``None`` if none is given or it can't be read."""
    try:
        return _sequence_decoder.decode(sequence)
    except DECODE_ERRORS:
        return None


def _can_be_connected_to(address: str) -> bool:
    """Whether the parts of an ``ip:port`` address are in their ranges.

    >>> _can_be_connected_to("10.0.0.1:80"), _can_be_connected_to("10.0.0.1:65536")
    (True, False)
    """
    host, port = split_address(address)
    return all(int(part) <= _MAX_BYTE for part in host.split(".")) and 0 < port <= _MAX_PORT


@final
class PlatformDocuments(FleetDocuments):
    """Store keys and value formats of the platform."""

    __slots__ = ()

    def classify_key(self, key: str) -> tuple[str | None, str]:
        if key == names.CONFIGURATION_KEY:
            return "configuration", key
        for prefix, kind in _KINDS_BY_PREFIX:
            if key.startswith(prefix):
                return kind, key.removeprefix(prefix)
        return None, key

    def configuration(self, value: bytes) -> RoutingTable:
        return decode_configuration(value)

    def upstream(self, name: str, value: bytes) -> ListedUpstream:
        return decode_upstream(name, value)

    def member(self, value: bytes) -> GatewayMember:
        try:
            return msgspec.json.decode(value, type=GatewayMember)
        except DECODE_ERRORS as error:
            raise InvalidDocument(
                f"the entry of a gateway in the member list is invalid: {error}"
            ) from error

    def encode_member(self, member: GatewayMember) -> tuple[str, bytes]:
        return names.MEMBER_PREFIX + member.node, msgspec.json.encode(member)
