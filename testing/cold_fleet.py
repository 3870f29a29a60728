"""Gateways that send to one cold upstream, in emulated time and without a network."""

from __future__ import annotations

import random
from typing import final

from baobabpulley.policy.cold_permits import ColdLimit
from baobabpulley.policy.cold_upstreams import ColdUpstreams

UPSTREAM = "i-1"
# Small fleets have short intervals; large ones none below half a second.
STEP_SECONDS = 0.005
STEP_OF_LARGE_FLEET_SECONDS = 0.02
LARGE_FLEET = 23
COLD_SECONDS = 300.0
# The rate of one upstream, and what the deployment allows at most: 14 x 1.5 + 5.
LIMIT = ColdLimit(rate=14.0, bound=26.0)


@final
class ColdGateway:
    """One gateway, with the members that it knows."""

    def __init__(self, node: str, *, now: float) -> None:
        self.node = node
        self.members: frozenset[str] = frozenset()
        self.restart(now=now)

    def restart(self, *, now: float) -> None:
        """Forget what was sent, as a new process does; the upstream is known to be cold."""
        self.cold = ColdUpstreams(started=now)
        self.cold.record(UPSTREAM, born=1, remaining=COLD_SECONDS, now=now)

    def send(self, *, limit: ColdLimit, now: float) -> bool:
        """Send a request if that is permitted now, and return whether it was."""
        if not self.cold.may_send(
            UPSTREAM, node=self.node, members=self.members, limit=limit, now=now
        ):
            return False
        self.cold.record_sent(UPSTREAM, now=now)
        return True


@final
class ColdFleet:
    """Gateways with more requests than the upstream may get; ``sent`` has times and nodes."""

    def __init__(self, count: int, *, seed: int, limit: ColdLimit = LIMIT) -> None:
        self.random = random.Random(seed)
        self.limit = limit
        self.now = 100.0
        self.gateways = [self._make(number) for number in range(count)]
        self.sent: list[tuple[float, str]] = []
        self.connect(*self.gateways)

    def connect(self, *gateways: ColdGateway) -> None:
        """Let these gateways know each other, and nobody else."""
        members = frozenset(gateway.node for gateway in gateways)
        for gateway in gateways:
            gateway.members = members

    def add(self) -> ColdGateway:
        """Start a gateway that knows all members; nobody knows it yet."""
        gateway = self._make(len(self.gateways))
        self.gateways.append(gateway)
        gateway.members = frozenset(each.node for each in self.gateways)
        return gateway

    def run(self, seconds: float) -> None:
        """Let all gateways send whatever is permitted, in random order."""
        end = self.now + seconds
        is_large = len(self.gateways) >= LARGE_FLEET
        while self.now < end:
            for gateway in self.random.sample(self.gateways, len(self.gateways)):
                if gateway.send(limit=self.limit, now=self.now):
                    self.sent.append((self.now, gateway.node))
            self.now += STEP_OF_LARGE_FLEET_SECONDS if is_large else STEP_SECONDS

    def most_in_a_second(self) -> int:
        """Return the highest number of requests in any sliding second, its ends included."""
        times = [at for at, _ in self.sent]
        first, most = 0, 0
        for last, at in enumerate(times):
            while at - times[first] > 1.0:
                first += 1
            most = max(most, last - first + 1)
        return most

    def _make(self, number: int) -> ColdGateway:
        node = f"front-{self.random.randrange(10**6)}-{number}"
        return ColdGateway(node, now=self.now)
