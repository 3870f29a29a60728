"""The processes of a failure domain that watch the store and relay changes to the others.

A watch is answered once for each change and each process that holds one. With hundreds of
processes, the start of a hundred upstreams would cost the store tens of thousands of calls.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from typing import Final

from baobabpulley.policy.rendezvous import ranked

RELAY_KEY: Final = "settings"


def choose_relays(
    ids: Iterable[str], *, count: int, unreachable: Collection[str] = frozenset()
) -> tuple[str, ...]:
    """Return the first ``count`` processes by rendezvous hashing, at most half (rounded up).

    Because of the limit, there are processes without a watch even in a small failure domain. They
    compare revisions with other peers, detect in this way a watcher that has stopped relaying, and
    replace it. Processes for which the store is ``unreachable`` come after all others.

    >>> choose_relays([], count=2)
    ()
    >>> ids = [f"vm-{n}" for n in range(5)]
    >>> choose_relays(ids, count=2) == choose_relays(ids[::-1], count=2)
    True
    >>> [len(choose_relays(ids[:n], count=2)) for n in range(1, 5)]
    [1, 1, 2, 2]
    >>> first, second = choose_relays(ids, count=2)
    >>> first in choose_relays(ids, count=2, unreachable={first})
    False
    """
    order = ranked(RELAY_KEY, ids)
    half = (len(order) + 1) // 2
    # Sorting is stable, so the order by hash is kept within both groups.
    return tuple(sorted(order, key=lambda id: id in unreachable)[: min(count, half)])
