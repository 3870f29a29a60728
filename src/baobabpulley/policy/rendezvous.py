"""Rendezvous hashing: which of several nodes is the home of a key.

Every process that knows the same nodes ranks them alike; a node that comes or goes moves only
the keys that it gains or loses.
"""

from __future__ import annotations

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest


def ranked(key: str, ids: Iterable[str]) -> tuple[str, ...]:
    """Return the ids from the key's first home to its last.

    >>> ranked("engine-3", ["vm-0", "vm-1", "vm-2"])
    ('vm-1', 'vm-0', 'vm-2')
    >>> ranked("engine-3", ["vm-1", "vm-0"])
    ('vm-1', 'vm-0')
    """
    return tuple(sorted(set(ids), key=lambda id: (_weight(key, id), id), reverse=True))


def owner_of(key: str, ids: Iterable[str]) -> str | None:
    """Return the key's home, or ``None`` if there are no ids.

    >>> owner_of("engine-3", ["vm-1", "vm-0"])
    'vm-1'
    >>> owner_of("engine-3", []) is None
    True
    """
    return max(ids, key=lambda id: (_weight(key, id), id), default=None)


def _weight(key: str, id: str) -> int:
    return xxh3_64_intdigest(f"{key}\0{id}".encode())
