"""Messages that gateways send to each other in datagrams."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import msgspec

from baobabpulley.model.revisions import ordered_revision
from baobabpulley.policy.fleet_load import LoadShare
from baobabpulley.policy.retry_loans import RetryLoanRow
from baobabpulley.policy.retry_loans import RetryWantRow

# Keeps a bundle within one packet of the usual size, unless a single message is larger.
MAX_BUNDLE_BYTES: Final = 1300
# MessagePack encodes a bundle, which has few fields, with a first byte below this, and a single
# message, which is an array, with a byte from this on.
_FIRST_ARRAY_BYTE: Final = 0x90


class CrashRow(msgspec.Struct, frozen=True, array_like=True):
    """An engine's crash ``age`` seconds before the message was sent.

    ``prompts`` are the shared parts of each prompt whose answer had not begun there. Without any,
    the row says that the engine goes on and its crash was reported by mistake.
    """

    upstream: str
    age: float
    prompts: tuple[tuple[str, ...], ...]


class SurvivalRow(msgspec.Struct, frozen=True, array_like=True):
    """The beginning of an answer to a prompt with a part, ``age`` seconds before it was sent."""

    part: str
    age: float


class LeavingRow(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that said in a response to the sender that it is leaving.

    ``born`` is the start time of the incarnation that said so. ``revision`` is the store revision
    that the sender had reached when it sent the row.
    """

    upstream: str
    born: int
    revision: int


class BackpressureRow(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that asked the sender for no requests, for ``seconds`` more."""

    upstream: str
    seconds: float


class AccountUseRow(msgspec.Struct, frozen=True, array_like=True):
    """Engine seconds that an account got from the sender beyond its share; see `AccountUse`."""

    account: str
    seconds: float


class GossipMessage(msgspec.Struct, frozen=True, array_like=True):
    """State of one gateway, and those of its loads that are due for publication.

    ``incarnation`` is a random id of the process: it changes at each start. ``sequence`` numbers
    its messages. ``control`` is the address of the gateway's control port.
    ``revision`` is the store revision that the gateway has reached, ``configuration_revision`` that
    of its configuration. ``shares`` are its loads, one for each upstream. ``store_reachable`` is
    false if the store failed the gateway recently. ``is_urgent`` messages are relayed at once.
    ``crashes`` and ``survivals`` are evidence of prompts that crash engines. ``leaving`` are
    upstreams that said to the gateway that they are leaving, ``backpressure`` those that asked it
    for no requests. ``silent`` are engines at which none of the gateway's running streams goes on.
    ``retry_wants`` are the retries that the gateway asks for, ``retry_loans`` those that it lends.
    ``account_use`` is the recent use of client accounts, sent only while requests wait. ``era`` is
    that of all revisions in the message, which are the store's numbers. ``cut_off`` is true while
    the gateway reaches no upstream itself.
    """

    node: str
    incarnation: str = msgspec.field(name="life")
    sequence: int = msgspec.field(name="number")
    failure_domain: str
    control: str
    revision: int
    configuration_revision: int
    shares: tuple[LoadShare, ...] = ()
    store_reachable: bool = True
    is_urgent: bool = False
    crashes: tuple[CrashRow, ...] = ()
    survivals: tuple[SurvivalRow, ...] = ()
    leaving: tuple[LeavingRow, ...] = ()
    backpressure: tuple[BackpressureRow, ...] = ()
    silent: tuple[str, ...] = ()
    retry_wants: tuple[RetryWantRow, ...] = ()
    retry_loans: tuple[RetryLoanRow, ...] = ()
    account_use: tuple[AccountUseRow, ...] = ()
    era: int = 0
    cut_off: bool = False

    @property
    def ordered_revision(self) -> int:
        """The store revision that the gateway has reached, comparable across eras."""
        return ordered_revision(self.revision, era=self.era)

    def _leaving_in(self, era: int) -> Iterable[LeavingRow]:
        """Return the reports of leaving upstreams with revisions of an era.

        Those of an earlier era are older than anything in a later one.
        """
        if era == self.era:
            return self.leaving
        return [msgspec.structs.replace(row, revision=0) for row in self.leaving]

    def updated_by(self, newer: GossipMessage) -> GossipMessage:
        """Return a later message of the same process, with what this one has and it lacks."""
        shares = {share.upstream: share for share in (*self.shares, *newer.shares)}
        crashes = {crash.upstream: crash for crash in (*self.crashes, *newer.crashes)}
        survivals = {survival.part: survival for survival in (*self.survivals, *newer.survivals)}
        leaving = {row.upstream: row for row in (*self._leaving_in(newer.era), *newer.leaving)}
        backpressure = {row.upstream: row for row in (*self.backpressure, *newer.backpressure)}
        silent = dict.fromkeys((*self.silent, *newer.silent))
        wants = {row.id: row for row in (*self.retry_wants, *newer.retry_wants)}
        loans = {row.id: row for row in (*self.retry_loans, *newer.retry_loans)}
        account_use = {row.account: row for row in (*self.account_use, *newer.account_use)}
        return msgspec.structs.replace(
            newer,
            shares=tuple(shares.values()),
            is_urgent=self.is_urgent or newer.is_urgent,
            crashes=tuple(crashes.values()),
            survivals=tuple(survivals.values()),
            leaving=tuple(leaving.values()),
            backpressure=tuple(backpressure.values()),
            silent=tuple(silent),
            retry_wants=tuple(wants.values()),
            retry_loans=tuple(loans.values()),
            account_use=tuple(account_use.values()),
        )


class GossipBundle(msgspec.Struct, frozen=True):
    """Messages of the gateways of one failure domain, relayed to another.

    The first gateway that receives it passes it on to its failure domain if ``pass_on``.
    """

    messages: tuple[msgspec.Raw, ...]
    pass_on: bool = True


_encoder = msgspec.msgpack.Encoder()
_message_decoder = msgspec.msgpack.Decoder(GossipMessage)
_bundle_decoder = msgspec.msgpack.Decoder(GossipBundle)


# Those that every version sends.
_LEAST_FIELDS: Final = GossipMessage.__struct_fields__.index("survivals") + 1


def encode(message: GossipMessage | GossipBundle) -> bytes:
    """Encode a datagram."""
    if isinstance(message, GossipMessage):
        return _encode_message(message)
    return _encoder.encode(message)


def decode(data: bytes) -> GossipMessage | GossipBundle:
    """Decode a datagram; raise `msgspec.DecodeError` if it is malformed."""
    if data and data[0] < _FIRST_ARRAY_BYTE:
        return _bundle_decoder.decode(data)
    return _message_decoder.decode(data)


def unpack(bundle: GossipBundle) -> list[GossipMessage]:
    """Return the messages of a bundle; raise `msgspec.DecodeError` if one is malformed."""
    return [_message_decoder.decode(message) for message in bundle.messages]


def bundle_messages(messages: list[GossipMessage]) -> list[bytes]:
    """Return encoded bundles with all messages, each within `MAX_BUNDLE_BYTES` where possible."""
    bundles: list[list[msgspec.Raw]] = [[]]
    size = 0
    for message in messages:
        data = msgspec.Raw(_encode_message(message))
        if bundles[-1] and size + len(data) > MAX_BUNDLE_BYTES:
            bundles.append([])
            size = 0
        bundles[-1].append(data)
        size += len(data)
    return [_encoder.encode(GossipBundle(tuple(bundle))) for bundle in bundles if bundle]


def _encode_message(message: GossipMessage) -> bytes:
    """Encode a message; the fields behind the evidence of crashes cost nothing while empty."""
    fields = msgspec.structs.astuple(message)
    length = len(fields)
    while length > _LEAST_FIELDS and not fields[length - 1]:
        length -= 1
    return _encoder.encode(fields[:length])
