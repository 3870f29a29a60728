"""Which upstreams of a large service one gateway places its requests on.

Load pattern: 340 gateways of 20 failure domains stand before 1,000 engines of a service; each would
spend its processor on looking at all of them for every request, and most requests would cross
between failure domains. Each gateway looks at its own, even subset instead, that of its failure
domain first, and at all only if that has no room.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.rendezvous import ranked

# Upstreams of one service that a gateway looks at: enough for several prompts with all helpers.
MAX_SUBSET_SIZE: Final = 96


def upstream_subset(
    node: str, upstreams: Sequence[ListedUpstream], *, failure_domain: str
) -> Sequence[ListedUpstream]:
    """Return the upstreams that a gateway of a failure domain looks at first.

    Those of its own failure domain come before others; most stay when some come or go.
    """
    if len(upstreams) <= MAX_SUBSET_SIZE:
        return upstreams
    by_id = {one.id: one for one in upstreams}
    near = [id for id, one in by_id.items() if one.failure_domain == failure_domain]
    chosen = ranked(node, near)[:MAX_SUBSET_SIZE]
    if len(chosen) < MAX_SUBSET_SIZE:
        far = ranked(node, by_id.keys() - set(near))
        chosen += far[: MAX_SUBSET_SIZE - len(chosen)]
    return [by_id[id] for id in chosen]
