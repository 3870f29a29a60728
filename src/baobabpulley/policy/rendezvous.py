"""Rendezvous hashing, which chooses the owner of a key among several nodes.

All processes that know the same nodes rank them equally. When a node joins or leaves, only the keys
that it gains or loses change their owner.
"""

from __future__ import annotations

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest


def ranked(key: str, ids: Iterable[str]) -> tuple[str, ...]:
    """Return the ids of the nodes by descending weight for the key; the first is the owner.

    >>> ranked("engine-3", ["vm-0", "vm-1", "vm-2"])
    ('vm-1', 'vm-0', 'vm-2')
    >>> ranked("engine-3", ["vm-1", "vm-0"])
    ('vm-1', 'vm-0')
    """
    return tuple(sorted(set(ids), key=lambda id: (_weight(key, id), id), reverse=True))


def owner_of(key: str, ids: Iterable[str]) -> str | None:
    """Return the id of the key's owner, or ``None`` if there are no ids.

    >>> owner_of("engine-3", ["vm-1", "vm-0"])
    'vm-1'
    >>> owner_of("engine-3", []) is None
    True
    """
    return max(ids, key=lambda id: (_weight(key, id), id), default=None)


def _weight(key: str, id: str) -> int:
    return xxh3_64_intdigest(f"{key}\0{id}".encode())
