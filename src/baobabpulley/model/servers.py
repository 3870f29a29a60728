"""Upstreams as the platform lists them."""

from __future__ import annotations

import msgspec


class ListedUpstream(msgspec.Struct, frozen=True):
    """One upstream that registered itself; ``id`` is of one incarnation, mostly."""

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    born: int = 0
