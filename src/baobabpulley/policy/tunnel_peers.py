"""Which peers are asked for a connection to an upstream.

Load pattern: most gateways of a failure domain are cut off at once, and each of their requests
needs a connection through one of the others: all of these share the load, whatever their domain.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Final
from typing import final

# Peers asked for one connection at most.
MAX_PEERS_ASKED: Final = 3
FAILED_SECONDS: Final = 1.0
# A peer of an earlier version knows no tunnels; it may be replaced by a later one.
UNSUPPORTED_SECONDS: Final = 30.0


@final
class TunnelPeers:
    """Peers that failed to open a tunnel lately; times are monotonic seconds."""

    __slots__ = ("_avoided_until", "_random")

    def __init__(self, *, seed: int | None = None) -> None:
        self._avoided_until: dict[str, float] = {}
        self._random = random.Random(seed)

    def choose(self, nodes: Iterable[str], *, now: float) -> list[str]:
        """Return the peers to ask, one after the other."""
        self._avoided_until = {
            node: until for node, until in self._avoided_until.items() if until > now
        }
        usable = [node for node in nodes if node not in self._avoided_until]
        return self._random.sample(usable, min(MAX_PEERS_ASKED, len(usable)))

    def record_failure(self, node: str, *, is_unsupported: bool, now: float) -> None:
        """Record that a peer opened no tunnel."""
        seconds = UNSUPPORTED_SECONDS if is_unsupported else FAILED_SECONDS
        self._avoided_until[node] = now + seconds
