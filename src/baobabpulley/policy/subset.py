"""Which upstreams of a large service one gateway places its requests on.

Load pattern: 340 gateways stand before 500 engines of a service; each would spend its processor
on looking at all of them for every request. Each gateway looks at its own, even subset instead,
and at all only if that has no room.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.rendezvous import ranked

# Upstreams of one service that a gateway looks at: enough for several prompts with all helpers.
MAX_CONSIDERED: Final = 96


def subset_of(node: str, upstreams: Sequence[ListedUpstream]) -> Sequence[ListedUpstream]:
    """Return the upstreams that a gateway looks at first; most stay when others come or go."""
    if len(upstreams) <= MAX_CONSIDERED:
        return upstreams
    by_id = {one.id: one for one in upstreams}
    return [by_id[id] for id in ranked(node, by_id)[:MAX_CONSIDERED]]
