"""The keepers of a failure domain that watch the settings and relay changes to the others."""

from __future__ import annotations

from collections.abc import Iterable

from baobabpulley.model.upstreams import Vm
from baobabpulley.policy.rendezvous import ranked

RELAY_KEY = "settings"


def choose_relays(keepers: Iterable[Vm], *, count: int) -> tuple[Vm, ...]:
    """Return the first ``count`` keepers by rendezvous hashing, at most half of them (rounded up).

    Every open watch counts as a call of the store, so only some keepers watch. Because of the
    limit, there are keepers without a watch even in a small failure domain. They pull the settings
    at intervals, detect in this way a watcher that has stopped relaying, and replace it.

    >>> len(choose_relays([], count=2))
    0

    >>> vms = [Vm(id=f"vm-{n}", role="entry", failure_domain="fes", address="") for n in range(5)]
    >>> choose_relays(vms, count=2) == choose_relays(vms[::-1], count=2)
    True
    >>> [len(choose_relays(vms[:n], count=2)) for n in range(1, 5)]
    [1, 1, 2, 2]
    """
    by_id = {vm.id: vm for vm in keepers}
    half = (len(by_id) + 1) // 2
    return tuple(by_id[id] for id in ranked(RELAY_KEY, by_id)[: min(count, half)])
