"""Outstanding load of engines and plain services, summed over all gateways.

An engine's own load report lags. Two gateways that place long prompts within that lag would both
choose the engine that was idle a moment ago, so each gateway counts what it dispatches and
gossips it to the others.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterable
from typing import Final
from typing import final

import msgspec

# Peer loads received longer ago than this are ignored.
MAX_GOSSIP_AGE_SECONDS: Final = 1.5
# Time constant of the moving average of the rate at which peers start requests.
PEER_RATE_SECONDS: Final = 1.0
# Usual time from a peer's placement of a request until this gateway knows of it.
GOSSIP_LAG_SECONDS: Final = 0.15


class LoadShare(msgspec.Struct, frozen=True, array_like=True):
    """Outstanding work of one gateway at one upstream.

    ``backlog`` is the seconds of prefill still to be done. ``in_flight`` counts requests,
    ``decoding`` those of them past their prefill, and ``helping`` the prompt chunks for which the
    upstream is a helper engine. ``memory_tokens`` covers both requests and chunks.
    """

    upstream: str
    backlog: float
    in_flight: int
    decoding: int = msgspec.field(name="writing")
    helping: int
    memory_tokens: int

    @classmethod
    def empty(cls, upstream: str) -> LoadShare:
        """Return the share of a gateway without outstanding work at an upstream."""
        return cls(upstream, 0.0, 0, 0, 0, 0)

    @property
    def is_empty(self) -> bool:
        """Whether the gateway has no outstanding work at the upstream."""
        return not (self.in_flight or self.helping)

    @property
    def weight(self) -> float:
        """Sort key for gossip: shares of larger weight are published first."""
        return self.backlog + self.in_flight


class _ReceivedShare(msgspec.Struct, frozen=True):
    """Another gateway's share at one upstream, and when it was received."""

    share: LoadShare
    at: float


class Load(msgspec.Struct, frozen=True):
    """Outstanding work of all gateways at one upstream; fields as in `LoadShare`."""

    backlog: float = 0.0
    in_flight: int = 0
    decoding: int = msgspec.field(default=0, name="writing")
    helping: int = 0
    memory_tokens: int = 0


@final
class Dispatch:
    """One request, or one prompt chunk for a helper engine, dispatched to an upstream."""

    __slots__ = ("memory_tokens", "prefilling", "to_helper", "upstream")

    def __init__(
        self,
        *,
        upstream: str,
        memory_tokens: int,
        to_helper: bool,
    ) -> None:
        self.upstream = upstream
        self.memory_tokens = memory_tokens
        self.to_helper = to_helper
        self.prefilling = True


class _OwnLoad:
    """Outstanding dispatches of this gateway at one upstream."""

    __slots__ = ("dispatches", "prefill_until")

    def __init__(self) -> None:
        self.prefill_until = 0.0
        self.dispatches: set[Dispatch] = set()

    def share(self, upstream: str, now: float) -> LoadShare:
        requests = [dispatch for dispatch in self.dispatches if not dispatch.to_helper]
        return LoadShare(
            upstream=upstream,
            backlog=round(max(0.0, self.prefill_until - now), 3),
            in_flight=len(requests),
            decoding=sum(not dispatch.prefilling for dispatch in requests),
            helping=len(self.dispatches) - len(requests),
            memory_tokens=sum(dispatch.memory_tokens for dispatch in self.dispatches),
        )


class _PeerTotal:
    """Outstanding work of the other gateways at one upstream.

    ``prefill_ends`` maps each gateway to the time at which its prefills there are expected to end.
    """

    __slots__ = ("decoding", "helping", "in_flight", "memory_tokens", "prefill_ends")

    def __init__(self) -> None:
        self.in_flight = 0
        self.decoding = 0
        self.helping = 0
        self.memory_tokens = 0
        self.prefill_ends: dict[str, float] = {}

    def add(self, share: LoadShare, *, sign: int) -> None:
        """Add a gateway's share, or subtract it with ``sign=-1``."""
        self.in_flight += sign * share.in_flight
        self.decoding += sign * share.decoding
        self.helping += sign * share.helping
        self.memory_tokens += sign * share.memory_tokens

    def backlog(self, now: float) -> float:
        """Return the seconds of prefill that the gateways still have outstanding."""
        seconds = 0.0
        for until in self.prefill_ends.values():
            if until > now:
                seconds += until - now
        return seconds

    def load(self, now: float) -> Load:
        """Return the shares of the other gateways as one load."""
        return Load(
            self.backlog(now), self.in_flight, self.decoding, self.helping, self.memory_tokens
        )


class _EventRate:
    """Moving average of a rate of events, in events a second."""

    __slots__ = ("_at", "_rate")

    def __init__(self) -> None:
        self._rate = 0.0
        self._at = 0.0

    def add(self, count: int, *, now: float) -> None:
        """Count events."""
        self._rate = self.value(now) + count / PEER_RATE_SECONDS
        self._at = now

    def value(self, now: float) -> float:
        """Return the rate; events count less the longer ago they were."""
        return self._rate * math.exp(-max(0.0, now - self._at) / PEER_RATE_SECONDS)


@final
class LoadTracker:
    """Track this gateway's dispatches and the shares of the others; ``now`` is in seconds."""

    __slots__ = ("_listeners", "_oldest_received_at", "_own", "_peer_starts", "_peers", "_totals")

    def __init__(self) -> None:
        self._listeners: list[Callable[[], None]] = []
        self._own: dict[str, _OwnLoad] = defaultdict(_OwnLoad)
        self._peers: dict[str, dict[str, _ReceivedShare]] = defaultdict(dict)
        self._totals: dict[str, _PeerTotal] = defaultdict(_PeerTotal)
        self._peer_starts = _EventRate()
        # Lower bound on the receive times in `_peers`; avoids scans while none can have expired.
        self._oldest_received_at = math.inf

    def listen(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` for each prompt chunk dispatched to a helper engine."""
        self._listeners.append(listener)

    def begin(
        self,
        upstream: str,
        *,
        prefill_seconds: float,
        memory_tokens: int,
        now: float,
        to_helper: bool = False,
    ) -> Dispatch:
        """Add a dispatch; its ``prefill_seconds`` are added to the upstream's backlog."""
        own = self._own[upstream]
        dispatch = Dispatch(
            upstream=upstream,
            memory_tokens=memory_tokens,
            to_helper=to_helper,
        )
        own.prefill_until = max(own.prefill_until, now) + prefill_seconds
        own.dispatches.add(dispatch)
        if to_helper:
            for listener in self._listeners:
                listener()
        return dispatch

    def end_prefill(self, dispatch: Dispatch, *, now: float) -> None:
        """Record that the prefill of a dispatch has ended.

        The backlog drops to zero once no dispatch to the upstream is prefilling.
        """
        own = self._own[dispatch.upstream]
        dispatch.prefilling = False
        if not any(pending.prefilling for pending in own.dispatches):
            own.prefill_until = now

    def end(self, dispatch: Dispatch, *, now: float) -> None:
        """Remove a dispatch that has ended."""
        own = self._own[dispatch.upstream]
        own.dispatches.discard(dispatch)
        self.end_prefill(dispatch, now=now)
        if not own.dispatches:
            del self._own[dispatch.upstream]

    def shares(self, *, now: float) -> tuple[LoadShare, ...]:
        """Return this gateway's share at each upstream."""
        return tuple(own.share(upstream, now) for upstream, own in self._own.items())

    def receive(self, node: str, shares: Iterable[LoadShare], *, now: float) -> None:
        """Apply another gateway's shares at some upstreams; its other shares are kept."""
        peer_shares = self._peers[node]
        started = 0
        for share in shares:
            before = self._drop(node, share.upstream)
            started += max(0, share.in_flight - (0 if before is None else before.in_flight))
            if share.is_empty:
                continue
            peer_shares[share.upstream] = _ReceivedShare(share, now)
            self._oldest_received_at = min(self._oldest_received_at, now)
            total = self._totals[share.upstream]
            total.add(share, sign=1)
            if share.backlog:
                total.prefill_ends[node] = now + share.backlog
        if started:
            self._peer_starts.add(started, now=now)

    def expected_unheard(self, *, now: float) -> float:
        """Return how many requests other gateways are expected to have placed unheard.

        With many gateways, those that place a request within one gossip period know the same loads,
        and would all choose the same engine.
        """
        return GOSSIP_LAG_SECONDS * self._peer_starts.value(now)

    def forget(self, node: str) -> None:
        """Remove all shares of another gateway, which has restarted."""
        for upstream in tuple(self._peers[node]):
            self._drop(node, upstream)

    def load(self, upstream: str, *, now: float) -> Load:
        """Return the load of an upstream over all gateways, without expired shares."""
        if now - self._oldest_received_at > MAX_GOSSIP_AGE_SECONDS:
            self._drop_expired(now)
        total = self._totals.get(upstream, _NO_LOAD)
        own = self._own.get(upstream)
        if own is None:
            return total.load(now)
        share = own.share(upstream, now)
        return Load(
            backlog=share.backlog + total.backlog(now),
            in_flight=share.in_flight + total.in_flight,
            decoding=share.decoding + total.decoding,
            helping=share.helping + total.helping,
            memory_tokens=share.memory_tokens + total.memory_tokens,
        )

    def oldest_share_age(self, upstream: str, *, now: float) -> float:
        """Return the age in seconds of the oldest share of a peer in an upstream's load."""
        received_times = (
            shares[upstream].at for shares in self._peers.values() if upstream in shares
        )
        return now - min(received_times, default=now)

    def _drop_expired(self, now: float) -> None:
        """Remove the shares that were not received again within the maximum age."""
        for node, shares in self._peers.items():
            expired = [
                id for id, received in shares.items() if now - received.at > MAX_GOSSIP_AGE_SECONDS
            ]
            for upstream in expired:
                self._drop(node, upstream)
        for node in [node for node, shares in self._peers.items() if not shares]:
            del self._peers[node]
        receive_times = (
            received.at for shares in self._peers.values() for received in shares.values()
        )
        self._oldest_received_at = min(receive_times, default=math.inf)

    def _drop(self, node: str, upstream: str) -> LoadShare | None:
        """Remove a peer's share at an upstream, and return it if there was one."""
        received = self._peers[node].pop(upstream, None)
        if received is None:
            return None
        total = self._totals[upstream]
        total.add(received.share, sign=-1)
        total.prefill_ends.pop(node, None)
        if not (total.in_flight or total.helping or total.prefill_ends):
            del self._totals[upstream]
        return received.share


_NO_LOAD: Final = _PeerTotal()
