"""Authenticated messages between the processes of a fleet.

The sealed bytes are a digest followed by a msgpack envelope that carries the time and a nonce
besides the message. The digest is keyed BLAKE2b from the standard library (RFC 7693).
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
import time
from collections import OrderedDict
from typing import Final
from typing import final

import msgspec

from baobabpulley.errors import MessageRejected
from baobabpulley.ports.peers import message_kinds
from baobabpulley.settings import PeersSection

DIGEST_BYTES: Final = 16
NONCE_BYTES: Final = 12
MAX_REMEMBERED_NONCES: Final = 100_000

BROADCAST: Final = "*"


class _Envelope(msgspec.Struct, array_like=True):
    """Authenticated part of a message; ``wall`` is the sender's time in seconds since the epoch."""

    sender: str
    receiver: str
    kind: str
    wall: float
    nonce: bytes
    reply_to: bytes
    body: msgspec.Raw


class SealedMessage(msgspec.Struct, frozen=True):
    """The bytes to send, and the nonce that a reply must contain in ``reply_to``."""

    data: bytes
    nonce: bytes


class OpenedMessage(msgspec.Struct, frozen=True):
    """A message that passed all checks, its sender, and the nonce to set in a reply."""

    message: msgspec.Struct
    sender: str
    nonce: bytes


_decoder = msgspec.msgpack.Decoder(_Envelope)
_encoder = msgspec.msgpack.Encoder()


@final
class Sealer:
    """Seal outgoing and open incoming messages of one process.

    ``max_bytes`` bounds the size of incoming messages. ``max_skew`` bounds the difference between
    their wall-clock time and the receiver's, in real seconds.
    """

    __slots__ = ("_key", "_max_bytes", "_max_skew", "_nonces", "_sender")

    def __init__(self, *, sender: str, secret: str, max_bytes: int, max_skew: float) -> None:
        self._sender = sender
        self._key = hashlib.blake2b(secret.encode(), digest_size=32).digest()
        self._max_bytes = max_bytes
        self._max_skew = max_skew
        self._nonces: OrderedDict[bytes, float] = OrderedDict()

    def seal(
        self, message: msgspec.Struct, *, kind: str, receiver: str = "", reply_to: bytes = b""
    ) -> SealedMessage:
        """Return the bytes that carry a message of a registered kind.

        ``receiver`` is the address that a request is sent to, or `BROADCAST` for a published
        message; ``reply_to`` is the nonce of the request that a reply belongs to. `open` requires
        both to match, so that a message can't be passed off as another.
        """
        nonce = secrets.token_bytes(NONCE_BYTES)
        envelope = _Envelope(
            sender=self._sender,
            receiver=receiver,
            kind=kind,
            wall=time.time(),
            nonce=nonce,
            reply_to=reply_to,
            body=msgspec.Raw(_encoder.encode(message)),
        )
        payload = _encoder.encode(envelope)
        return SealedMessage(data=self._digest(payload) + payload, nonce=nonce)

    def open(
        self, data: bytes, *, receiver: str | frozenset[str] = "", reply_to: bytes = b""
    ) -> OpenedMessage:
        """Return the message if it is authentic, fresh and meant for this use.

        Its receiver must be ``receiver`` or one of that set, and it must reply to the request with
        the nonce ``reply_to``; empty for a request or a published message. Raises
        `MessageRejected` if the message fails any check.
        """
        if not DIGEST_BYTES < len(data) <= self._max_bytes:
            raise MessageRejected(
                f"a message of {len(data)} bytes has no payload or exceeds {self._max_bytes} bytes"
            )
        payload = data[DIGEST_BYTES:]
        if not hmac.compare_digest(self._digest(payload), data[:DIGEST_BYTES]):
            raise MessageRejected(
                "a message's digest does not match; check that all processes use the same secret"
            )
        try:
            envelope = _decoder.decode(payload)
            kind = message_kinds.lookup(envelope.kind)
            message = msgspec.msgpack.decode(envelope.body, type=kind)
        except Exception as error:
            raise MessageRejected(f"a message is malformed: {error}") from error
        receivers = {receiver} if isinstance(receiver, str) else receiver
        if envelope.receiver not in receivers or envelope.reply_to != reply_to:
            raise MessageRejected(
                f"a message from {envelope.sender} is for another receiver or another request"
            )
        self._check_fresh(envelope)
        return OpenedMessage(message=message, sender=envelope.sender, nonce=envelope.nonce)

    def _digest(self, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, key=self._key, digest_size=DIGEST_BYTES).digest()

    def _check_fresh(self, envelope: _Envelope) -> None:
        now = time.time()
        if abs(now - envelope.wall) > self._max_skew:
            raise MessageRejected(
                f"a message from {envelope.sender} is older or newer than the receiver's clock by "
                f"more than {self._max_skew:g} s; check both machines' clocks"
            )
        if envelope.nonce in self._nonces:
            raise MessageRejected(f"a message from {envelope.sender} was replayed")
        self._nonces[envelope.nonce] = envelope.wall
        while self._nonces and (
            len(self._nonces) > MAX_REMEMBERED_NONCES
            or next(iter(self._nonces.values())) < now - 2 * self._max_skew
        ):
            self._nonces.popitem(last=False)


def make_sealer(section: PeersSection, *, sender: str) -> Sealer:
    """Return a sealer with the settings of ``section``; ``sender`` is this process's id."""
    return Sealer(
        sender=sender,
        secret=section.secret,
        max_bytes=section.max_message_bytes,
        max_skew=section.max_clock_skew,
    )


def kind_of(message: msgspec.Struct) -> str:
    """Return the registered name of a message's type."""
    message_type = type(message)
    name = _KIND_NAMES.get(message_type)
    if name is None:
        for candidate in message_kinds.names:
            _KIND_NAMES[message_kinds.lookup(candidate)] = candidate
        name = _KIND_NAMES[message_type]
    return name


_KIND_NAMES: dict[type[msgspec.Struct], str] = {}
