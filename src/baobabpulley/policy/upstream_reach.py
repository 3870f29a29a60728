"""Whether this gateway is cut off from all upstreams, judged by its own connections and by peers.

Load pattern: a network partition takes the paths between one gateway, or those of a failure domain,
and all upstreams for seconds, while callers, the store and the other gateways still reach it. Its
connections hang, are reset, or live on while new ones are refused. A server that is silent for a
second, or down, must not be taken for that: only a peer that reaches an upstream which this gateway
doesn't reach shows that the fault lies between the two.
"""

from __future__ import annotations

from typing import Final
from typing import final

# So many upstreams that only peers reach are needed for the verdict, or all if fewer are listed.
PROOFS_NEEDED: Final = 2
PROOF_WINDOW_SECONDS: Final = 2.0
# If an upstream was reached directly this recently, the failure of another one is its own.
RECENTLY_REACHED_SECONDS: Final = 0.25
# No peer is asked again for an upstream that none of them reached, for this long.
UNREACHED_BY_PEERS_SECONDS: Final = 1.0


@final
class UpstreamReach:
    """Which connections show that this gateway is cut off; times are monotonic seconds."""

    __slots__ = (
        "_cut_off_since",
        "_failing_since",
        "_proofs",
        "_reached_at",
        "_unreached_by_peers",
    )

    def __init__(self) -> None:
        self._cut_off_since: float | None = None
        self._failing_since: float | None = None
        self._proofs: dict[str, float] = {}
        self._reached_at = float("-inf")
        self._unreached_by_peers: dict[str, float] = {}

    @property
    def is_cut_off(self) -> bool:
        """Whether this gateway is taken to reach no upstream directly."""
        return self._cut_off_since is not None

    @property
    def cut_off_since(self) -> float | None:
        """When the first connection failed of those that led to the verdict, if it stands."""
        return self._cut_off_since

    @property
    def proofs(self) -> tuple[str, ...]:
        """Upstreams that only peers reached lately."""
        return tuple(self._proofs)

    def was_reached_since(self, time: float) -> bool:
        """Whether an upstream was reached directly after a time."""
        return self._reached_at > time

    def record_reached(self, *, now: float) -> bool:
        """Record a direct connection; return whether it ends the verdict."""
        ended = self.is_cut_off
        self._reached_at = now
        self._cut_off_since = self._failing_since = None
        self._proofs.clear()
        return ended

    def record_unreached(self, upstream: str, *, now: float) -> bool:
        """Record that a direct connection failed; return whether a peer is to try it at once."""
        if self._failing_since is None or now - self._failing_since > PROOF_WINDOW_SECONDS:
            self._failing_since = now
        if now - self._reached_at <= RECENTLY_REACHED_SECONDS:
            return False
        asked_at = self._unreached_by_peers.get(upstream)
        return asked_at is None or now - asked_at > UNREACHED_BY_PEERS_SECONDS

    def record_unreached_by_peer(self, upstream: str, *, now: float) -> None:
        """Record that peers don't reach an upstream either: it is not this gateway's links."""
        since = now - UNREACHED_BY_PEERS_SECONDS
        self._unreached_by_peers = {
            id: at for id, at in self._unreached_by_peers.items() if at > since
        }
        self._unreached_by_peers[upstream] = now

    def record_reached_by_peer(self, upstream: str, *, listed: int, now: float) -> bool:
        """Record that a peer reached an upstream which this gateway didn't.

        Return whether the verdict begins. ``listed`` is the number of upstreams.
        """
        since = now - PROOF_WINDOW_SECONDS
        self._proofs = {id: at for id, at in self._proofs.items() if at > since}
        self._proofs[upstream] = now
        if self.is_cut_off or len(self._proofs) < min(PROOFS_NEEDED, listed):
            return False
        self._cut_off_since = now if self._failing_since is None else self._failing_since
        return True
