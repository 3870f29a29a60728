"""Reservations of engine memory, recorded by the upstream's owner keeper."""

from __future__ import annotations

import msgspec


class MemoryClaim(msgspec.Struct, frozen=True):
    """Tokens of KV cache memory requested on one upstream."""

    upstream: str
    tokens: int


class Reservation(msgspec.Struct, frozen=True):
    """A grant of memory on the upstreams of ``claims``, all or none.

    ``holder`` is the id of the entry. ``lifetime`` is the time until the reservation expires
    unless it is renewed, in model seconds.
    """

    id: str
    holder: str
    claims: tuple[MemoryClaim, ...]
    lifetime: float
