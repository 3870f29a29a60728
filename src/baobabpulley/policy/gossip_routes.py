"""Which gateways pass gossip on between failure domains.

If each of 78 gateways in 5 failure domains sends its loads to each other, 29,000 datagrams a second
take most of the gateways' processor time, and at 340 gateways 550,000. Loads are therefore sent
directly only within a failure domain. For each ordered pair of failure domains one gateway of the
first collects the messages and sends them to one gateway of the second, which passes them on. The
pairs spread over the gateways, so that none has much to pass on. A fleet of few gateways needs no
relays.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from typing import Final

from baobabpulley.policy.rendezvous import owner_of

# Up to this many gateways send to all others directly.
MAX_DIRECT_GATEWAYS: Final = 12


def sends_directly(gateways: int) -> bool:
    """Whether each of ``gateways`` gateways sends to all others."""
    return gateways <= MAX_DIRECT_GATEWAYS


def relay_targets(
    node: str, failure_domain: str, live: Mapping[str, Collection[str]]
) -> dict[str, str]:
    """Return for which failure domains ``node`` relays gossip, and to which gateway there.

    ``live`` are the live gateways of each failure domain, ``node`` among them.

    >>> live = {"fes": ["a", "b"], "rabat": ["c", "d"]}
    >>> sorted(relay_targets("a", "fes", live) | relay_targets("b", "fes", live))
    ['rabat']
    """
    targets = {}
    for other, gateways in live.items():
        if other == failure_domain:
            continue
        pair = f"{failure_domain}>{other}"
        target = owner_of(pair, gateways)
        if target is not None and owner_of(pair, live[failure_domain]) == node:
            targets[other] = target
    return targets
