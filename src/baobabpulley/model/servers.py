"""Upstreams as listed by the platform."""

from __future__ import annotations

import msgspec


class ListedUpstream(msgspec.Struct, frozen=True):
    """An upstream that has registered itself.

    A restarted upstream normally registers under a new ``id``, but this isn't guaranteed.
    ``slots`` is the number of requests that it serves at a time. ``born`` is its start time in
    milliseconds, 0 if unknown. ``cold_seconds`` is for how long it was still cold when it
    registered, ``None`` if it didn't say. ``sequence`` counts its registrations since
    its start, ``None`` if unknown. ``revision`` is the store revision of the registration, 0 if
    unknown.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    born: int = 0
    cold_seconds: float | None = None
    sequence: int | None = None
    revision: int = 0
