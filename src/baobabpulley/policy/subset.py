"""Deterministic subsetting of the upstreams of a large service.

With 340 gateways in 20 failure domains and 1,000 engines of a service, comparing all engines for
every request would take too much CPU time, and most requests would cross failure domains. Each
gateway considers its own evenly chosen subset instead, preferring its failure domain, and all
upstreams only if the subset has no capacity left.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.rendezvous import ranked

# Enough upstreams of one service for several prompts with the full number of helpers.
MAX_SUBSET_SIZE: Final = 96


def upstream_subset(
    node: str, upstreams: Sequence[ListedUpstream], *, failure_domain: str
) -> Sequence[ListedUpstream]:
    """Return the upstreams that the gateway ``node`` considers first.

    Upstreams of its own failure domain come before others. Rendezvous hashing keeps most of the
    subset when upstreams join or leave.
    """
    if len(upstreams) <= MAX_SUBSET_SIZE:
        return upstreams
    by_id = {upstream.id: upstream for upstream in upstreams}
    near = [id for id, upstream in by_id.items() if upstream.failure_domain == failure_domain]
    chosen = ranked(node, near)[:MAX_SUBSET_SIZE]
    if len(chosen) < MAX_SUBSET_SIZE:
        far = ranked(node, by_id.keys() - set(near))
        chosen += far[: MAX_SUBSET_SIZE - len(chosen)]
    return [by_id[id] for id in chosen]
