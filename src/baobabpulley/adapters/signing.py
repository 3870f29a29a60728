"""Signed tokens that entries issue to callers and that any entry can verify.

A token is a digest and a msgpack body in base64url. The digest is keyed BLAKE2b from the standard
library (RFC 7693), personalised with the token's kind so that a token of one kind is never
accepted as another.
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

from baobabpulley.decoding import DECODE_ERRORS
from baobabpulley.errors import Forbidden

DIGEST_BYTES: Final = 16
MAX_TOKEN_CHARS: Final = 2_048

T = TypeVar("T", bound=msgspec.Struct)


@final
class Signer(Generic[T]):
    """Sign and verify tokens of one kind.

    ``kind`` has at most 16 ASCII characters; ``struct`` is the type of the token's body.
    """

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
        """Return the body of a token.

        Raises `Forbidden` with the same message for every failure, so that callers can't probe
        which check failed.
        """
        try:
            data = _decode(token)
            payload = data[DIGEST_BYTES:]
            if hmac.compare_digest(self._digest(payload), data[:DIGEST_BYTES]):
                return msgspec.msgpack.decode(payload, type=self._struct)
        except (binascii.Error, ValueError, *DECODE_ERRORS):
            pass
        raise Forbidden("the token was not issued by this fleet, or is malformed")

    def _digest(self, payload: bytes) -> bytes:
        return hashlib.blake2b(
            payload, key=self._key, person=self._kind, digest_size=DIGEST_BYTES
        ).digest()


def _decode(token: str) -> bytes:
    if len(token) > MAX_TOKEN_CHARS or not token.isascii():
        raise ValueError(f"the token is not ASCII or exceeds {MAX_TOKEN_CHARS} characters")
    return base64.b64decode(token + "=" * (-len(token) % 4), altchars=b"-_", validate=True)
