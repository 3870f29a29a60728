"""Reservations of engine memory, kept by the upstream's home keeper."""

from __future__ import annotations

import msgspec


class MemoryClaim(msgspec.Struct, frozen=True):
    """Tokens of memory asked for on one upstream."""

    upstream: str
    tokens: int


class Reservation(msgspec.Struct, frozen=True):
    """A grant of memory on one or more upstreams, all or none.

    ``holder`` is the id of the entry. ``lifetime`` is the model seconds until it lapses unless
    it is renewed.
    """

    id: str
    holder: str
    claims: tuple[MemoryClaim, ...]
    lifetime: float
