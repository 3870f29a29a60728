"""Which keepers of a failure domain hold the watch on the settings and relay it to the others."""

from __future__ import annotations

from collections.abc import Iterable

from baobabpulley.model.upstreams import Vm
from baobabpulley.policy.rendezvous import ranked

RELAY_KEY = "settings"


def relays(keepers: Iterable[Vm], *, count: int) -> tuple[Vm, ...]:
    """Return the first ``count`` keepers by rendezvous hashing.

    >>> vms = [Vm(id=f"vm-{n}", role="entry", failure_domain="fes", address="") for n in range(5)]
    >>> [vm.id for vm in relays(vms, count=2)] == [vm.id for vm in relays(vms[::-1], count=2)]
    True
    """
    by_id = {vm.id: vm for vm in keepers}
    return tuple(by_id[id] for id in ranked(RELAY_KEY, by_id)[:count])
