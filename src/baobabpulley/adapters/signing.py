"""Signed tokens that callers carry between entries: msgpack, a keyed digest, base64url.

The digest is BLAKE2b in keyed mode from the standard library (RFC 7693), personalised by the
token's kind, so that a token of one kind never passes for another.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from typing import Final
from typing import Generic
from typing import TypeVar
from typing import final

import msgspec

from baobabpulley.errors import Forbidden

DIGEST_BYTES: Final = 16
MAX_TOKEN_CHARS: Final = 2_048

T = TypeVar("T", bound=msgspec.Struct)


@final
class Signer(Generic[T]):
    """Sign and open tokens of one kind; ``kind`` has at most 16 ASCII characters."""

    __slots__ = ("_key", "_kind", "_struct")

    def __init__(self, *, secret: str, kind: str, struct: type[T]) -> None:
        self._key = hashlib.blake2b(secret.encode(), digest_size=32).digest()
        self._kind = kind.encode()
        self._struct = struct

    def sign(self, body: T) -> str:
        """Return the token that carries ``body``."""
        payload = msgspec.msgpack.encode(body)
        return base64.urlsafe_b64encode(self._digest(payload) + payload).decode().rstrip("=")

    def open(self, token: str) -> T:
        """Return what a token carries; raise `Forbidden` without saying why it fails."""
        try:
            data = _decode(token)
            payload = data[DIGEST_BYTES:]
            if hmac.compare_digest(self._digest(payload), data[:DIGEST_BYTES]):
                return msgspec.msgpack.decode(payload, type=self._struct)
        except (binascii.Error, ValueError, msgspec.DecodeError):
            pass
        raise Forbidden("the token is not one of this fleet's")

    def _digest(self, payload: bytes) -> bytes:
        return hashlib.blake2b(
            payload, key=self._key, person=self._kind, digest_size=DIGEST_BYTES
        ).digest()


def _decode(token: str) -> bytes:
    if len(token) > MAX_TOKEN_CHARS or not token.isascii():
        raise ValueError("out of bounds")
    return base64.b64decode(token + "=" * (-len(token) % 4), altchars=b"-_", validate=True)
