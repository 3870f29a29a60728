"""What engines and plain services have to do, from the sends of all gateways.

Load pattern: two gateways send long prompts within the lag of an engine's own report; without a
book of sends both choose the engine that was idle a moment ago.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterable
from typing import Final
from typing import final

import msgspec

# Seconds; what a peer said longer ago counts no more.
MAX_NEWS_AGE: Final = 1.5


class LoadShare(msgspec.Struct, frozen=True, array_like=True):
    """What one gateway has at one upstream; ``backlog`` is seconds of prompts still to be read."""

    upstream: str
    backlog: float
    in_flight: int
    writing: int
    helping: int
    memory_tokens: int

    @classmethod
    def nothing(cls, upstream: str) -> LoadShare:
        """Return the share of a gateway that has nothing at an upstream."""
        return cls(upstream, 0.0, 0, 0, 0, 0)

    @property
    def is_nothing(self) -> bool:
        """Whether the gateway has nothing there."""
        return not (self.in_flight or self.helping)

    @property
    def weight(self) -> float:
        """By what one share matters more than another."""
        return self.backlog + self.in_flight


class _Heard(msgspec.Struct, frozen=True):
    """What another gateway said of one upstream, and when it was heard."""

    share: LoadShare
    at: float


class Load(msgspec.Struct, frozen=True):
    """What all gateways together have at one upstream."""

    backlog: float = 0.0
    in_flight: int = 0
    writing: int = 0
    helping: int = 0
    memory_tokens: int = 0


@final
class Send:
    """One request, or one part of a prompt, at one upstream."""

    __slots__ = ("helps", "memory_tokens", "reading", "upstream")

    def __init__(
        self,
        *,
        upstream: str,
        memory_tokens: int,
        helps: bool,
    ) -> None:
        self.upstream = upstream
        self.memory_tokens = memory_tokens
        self.helps = helps
        self.reading = True


class _Own:
    __slots__ = ("read_until", "sends")

    def __init__(self) -> None:
        self.read_until = 0.0
        self.sends: set[Send] = set()

    def share(self, upstream: str, now: float) -> LoadShare:
        requests = [send for send in self.sends if not send.helps]
        return LoadShare(
            upstream=upstream,
            backlog=round(max(0.0, self.read_until - now), 3),
            in_flight=len(requests),
            writing=sum(not send.reading for send in requests),
            helping=len(self.sends) - len(requests),
            memory_tokens=sum(send.memory_tokens for send in self.sends),
        )


class _Total:
    """What the other gateways together have at one upstream; ``reading`` until when each reads."""

    __slots__ = ("helping", "in_flight", "memory_tokens", "reading", "writing")

    def __init__(self) -> None:
        self.in_flight = 0
        self.writing = 0
        self.helping = 0
        self.memory_tokens = 0
        self.reading: dict[str, float] = {}

    def add(self, share: LoadShare, *, sign: int) -> None:
        """Count a gateway's share in, or out by a negative sign."""
        self.in_flight += sign * share.in_flight
        self.writing += sign * share.writing
        self.helping += sign * share.helping
        self.memory_tokens += sign * share.memory_tokens

    def backlog(self, now: float) -> float:
        """Return the seconds of prompts that the gateways still have to be read."""
        seconds = 0.0
        for until in self.reading.values():
            if until > now:
                seconds += until - now
        return seconds

    def load(self, now: float) -> Load:
        """Return the shares of all gateways as one load."""
        return Load(
            self.backlog(now), self.in_flight, self.writing, self.helping, self.memory_tokens
        )


@final
class LoadBook:
    """The sends of this gateway, and the shares of the others; ``now`` is in seconds."""

    __slots__ = ("_listeners", "_oldest", "_others", "_own", "_totals")

    def __init__(self) -> None:
        self._listeners: list[Callable[[], None]] = []
        self._own: dict[str, _Own] = defaultdict(_Own)
        self._others: dict[str, dict[str, _Heard]] = defaultdict(dict)
        self._totals: dict[str, _Total] = defaultdict(_Total)
        # No share that counts was heard before this.
        self._oldest = math.inf

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a listener for each part of a prompt that this gateway sends."""
        self._listeners.append(listener)

    def begin(
        self,
        upstream: str,
        *,
        prefill_seconds: float,
        memory_tokens: int,
        now: float,
        helps: bool = False,
    ) -> Send:
        """Count a send; ``prefill_seconds`` add up to what an upstream still has to read."""
        own = self._own[upstream]
        send = Send(
            upstream=upstream,
            memory_tokens=memory_tokens,
            helps=helps,
        )
        own.read_until = max(own.read_until, now) + prefill_seconds
        own.sends.add(send)
        if helps:
            for listener in self._listeners:
                listener()
        return send

    def read(self, send: Send, *, now: float) -> None:
        """Note that a send's prompt has been read."""
        own = self._own[send.upstream]
        send.reading = False
        if not any(other.reading for other in own.sends):
            own.read_until = now

    def end(self, send: Send, *, now: float) -> None:
        """Note that a send is over."""
        own = self._own[send.upstream]
        own.sends.discard(send)
        self.read(send, now=now)
        if not own.sends:
            del self._own[send.upstream]

    def shares(self, *, now: float) -> tuple[LoadShare, ...]:
        """Return what this gateway has at each upstream."""
        return tuple(own.share(upstream, now) for upstream, own in self._own.items())

    def learn(self, node: str, shares: Iterable[LoadShare], *, now: float) -> None:
        """Take over what another gateway says of some upstreams; others stay as they are."""
        heard = self._others[node]
        for share in shares:
            self._drop(node, share.upstream)
            if share.is_nothing:
                continue
            heard[share.upstream] = _Heard(share, now)
            self._oldest = min(self._oldest, now)
            total = self._totals[share.upstream]
            total.add(share, sign=1)
            if share.backlog:
                total.reading[node] = now + share.backlog

    def forget(self, node: str) -> None:
        """Count another gateway out, as it has started anew."""
        for upstream in tuple(self._others[node]):
            self._drop(node, upstream)

    def load(self, upstream: str, *, now: float) -> Load:
        """Return what all gateways have at an upstream, what was not heard of late left out."""
        if now - self._oldest > MAX_NEWS_AGE:
            self._drop_old(now)
        total = self._totals.get(upstream, _NOTHING)
        own = self._own.get(upstream)
        if own is None:
            return total.load(now)
        share = own.share(upstream, now)
        return Load(
            backlog=share.backlog + total.backlog(now),
            in_flight=share.in_flight + total.in_flight,
            writing=share.writing + total.writing,
            helping=share.helping + total.helping,
            memory_tokens=share.memory_tokens + total.memory_tokens,
        )

    def _drop_old(self, now: float) -> None:
        """Count out what was not heard again of late."""
        for node, shares in self._others.items():
            old = [id for id, heard in shares.items() if now - heard.at > MAX_NEWS_AGE]
            for upstream in old:
                self._drop(node, upstream)
        for node in [node for node, shares in self._others.items() if not shares]:
            del self._others[node]
        times = (heard.at for shares in self._others.values() for heard in shares.values())
        self._oldest = min(times, default=math.inf)

    def _drop(self, node: str, upstream: str) -> None:
        heard = self._others[node].pop(upstream, None)
        if heard is None:
            return
        total = self._totals[upstream]
        total.add(heard.share, sign=-1)
        total.reading.pop(node, None)
        if not (total.in_flight or total.helping or total.reading):
            del self._totals[upstream]


_NOTHING: Final = _Total()
