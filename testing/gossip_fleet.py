"""Gateways that exchange gossip over a simulated network, without sockets or the real clock."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Iterable
from typing import cast
from typing import final

from platform_upstream import UpstreamStandin

from baobabpulley.gateway.peers.crash_evidence import CrashEvidence
from baobabpulley.gateway.peers.gossip import GossipProtocol
from baobabpulley.gateway.peers.retry_loans import LoanStep
from baobabpulley.gateway.peers.retry_loans import RetryLoans
from baobabpulley.gateway.peers.upstream_reports import UpstreamReports
from baobabpulley.gateway.sections import GatewayNodeSection
from baobabpulley.gateway.sections import GatewayPeersSection
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.model.documents import StoredEntry
from baobabpulley.platform import names
from baobabpulley.platform.documents import PlatformDocuments
from baobabpulley.policy.fleet_load import Dispatch
from baobabpulley.policy.fleet_load import LoadTracker
from baobabpulley.policy.node_retry_budget import NodeRetryBudget
from baobabpulley.policy.upstream_silence import SilentEngines
from baobabpulley.ports.fleet_documents import GatewayMember
from baobabpulley.timers import ManualTimers

PORT = 9


@final
class _Transport:
    """The part of a datagram transport that gossip uses."""

    def __init__(self, fleet: GossipFleet, sender: str) -> None:
        self._fleet = fleet
        self._sender = sender

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self._fleet.deliver(self._sender, address[0], data)

    def close(self) -> None:
        pass


@final
class FleetGateway:
    """Gossip and loads of one gateway at the address ``host``; ``steps`` counts its loans."""

    def __init__(self, host: str, domain: str, *, timers: ManualTimers) -> None:
        self.host = host
        self.domain = domain
        self.state = FleetState(PlatformDocuments())
        self.loads = LoadTracker()
        self.evidence = CrashEvidence(node=f"front-{host}", timers=timers)
        self.reports = UpstreamReports(node=f"front-{host}", fleet_state=self.state, timers=timers)
        self.silent_engines = SilentEngines()
        self.budget = NodeRetryBudget(ratio=0.2, slack=240.0, window=10.0)
        self.steps: Counter[LoanStep] = Counter()
        self.loans = RetryLoans(
            node=f"front-{host}",
            budget=self.budget,
            timers=timers,
            enabled=True,
            count=lambda service, step: self.steps.update([step]),
        )
        self.gossip = GossipProtocol(
            node=GatewayNodeSection(
                id=f"front-{host}",
                failure_domain=domain,
                callers=f"{host}:2",
                readiness=f"{host}:3",
                control=f"{host}:1",
                news_port=PORT,
            ),
            section=GatewayPeersSection(),
            fleet_state=self.state,
            loads=self.loads,
            evidence=self.evidence,
            reports=self.reports,
            loans=self.loans,
            timers=timers,
            on_newer_revision=lambda revision: None,
            silent_engines=self.silent_engines,
        )


@final
class GossipFleet:
    """Gateways in several failure domains; all know each other as members.

    ``stopped`` are hosts that neither send nor receive. Datagrams between failure domains in
    ``cut`` are lost, and of all others ``lost_ratio``. ``received`` counts datagrams by host.
    """

    def __init__(self, *, domains: int, per_domain: int) -> None:
        self.timers = ManualTimers()
        self.stopped: set[str] = set()
        self.lost_ratio = 0.0
        self._random = random.Random(0)
        self.cut: set[frozenset[str]] = set()
        self.received: Counter[str] = Counter()
        self.gateways: dict[str, FleetGateway] = {}
        for domain in range(domains):
            for number in range(per_domain):
                host = f"10.{domain}.0.{number}"
                self.gateways[host] = FleetGateway(host, f"domain-{domain}", timers=self.timers)
        members = {
            node: GatewayMember(node, f"{host}:1", f"{host}:{PORT}")
            for host in self.gateways
            for node in (f"front-{host}",)
        }
        for gateway in self.gateways.values():
            gateway.state.members.update(members)
            gateway.reports.start()
            transport = _Transport(self, gateway.host)
            gateway.gossip.connection_made(cast(asyncio.DatagramTransport, transport))
            gateway.gossip.start_publishing()

    def register(
        self, id: str, *, revision: int, hosts: Iterable[str] = (), **changes: object
    ) -> None:
        """Give the gateways at ``hosts``, or all, an upstream's entry of a store revision."""
        changes = {"address": "10.9.0.1:80", "born": 100, **changes}
        value = UpstreamStandin(id, service="kitchen").entry(**changes)  # type: ignore[arg-type]
        self._apply(StoredEntry(names.UPSTREAM_PREFIX + id, value, revision), hosts)

    def remove(self, id: str, *, revision: int, hosts: Iterable[str] = ()) -> None:
        """Remove an upstream's entry at the gateways at ``hosts``, or at all."""
        self._apply(StoredEntry(names.UPSTREAM_PREFIX + id, None, revision), hosts)

    def _apply(self, entry: StoredEntry, hosts: Iterable[str]) -> None:
        for host in tuple(hosts) or tuple(self.gateways):
            state = self.gateways[host].state
            state.apply_changes((entry,), revision=entry.mod_revision, now=self.timers.now())

    def say_leaving(self, host: str, id: str) -> None:
        """Let an upstream say to a gateway that it is leaving."""
        gateway = self.gateways[host]
        gateway.reports.record_leaving(gateway.state.upstreams[id])

    def ask_for_pause(self, host: str, id: str, *, seconds: float) -> None:
        """Let an upstream ask a gateway for no requests."""
        self.gateways[host].reports.record_backpressure(id, seconds=seconds)

    def hinted(self, id: str) -> set[str]:
        """Return the hosts of the gateways with a hint of an upstream's back-pressure."""
        return {
            host
            for host, gateway in self.gateways.items()
            if id in gateway.reports.hinted_upstreams()
        }

    def not_sending_to(self, id: str) -> set[str]:
        """Return the hosts of the gateways that send an upstream no new requests."""
        unused = set()
        for host, gateway in self.gateways.items():
            accepting = gateway.state.accepting(list(gateway.state.upstreams.values()))
            if id not in {upstream.id for upstream in accepting}:
                unused.add(host)
        return unused

    def deliver(self, sender: str, host: str, data: bytes) -> None:
        """Deliver a datagram at once, or lose it."""
        domains = frozenset({self.gateways[sender].domain, self.gateways[host].domain})
        if {sender, host} & self.stopped or domains in self.cut:
            return
        if self._random.random() < self.lost_ratio:
            return
        self.received[host] += 1
        self.gateways[host].gossip.datagram_received(data, (sender, PORT))

    def begin(self, host: str, engine: str, *, is_chunk: bool = False) -> Dispatch:
        """Begin a request of a gateway at an engine."""
        return self.gateways[host].loads.begin(
            engine,
            prefill_seconds=0.0,
            memory_tokens=5_000,
            now=self.timers.now(),
            to_helper=is_chunk,
        )

    def lacking(self, engine: str) -> set[str]:
        """Return the hosts of the gateways that know no load of an engine."""
        now = self.timers.now()
        return {
            host
            for host, gateway in self.gateways.items()
            if host not in self.stopped and not gateway.loads.load(engine, now=now).memory_tokens
        }

    @property
    def bytes_sent(self) -> int:
        """Bytes that all gateways sent."""
        return sum(gateway.gossip.traffic.sent for gateway in self.gateways.values())

    @property
    def remote_bytes_sent(self) -> int:
        """Bytes that relays sent to other failure domains."""
        return sum(gateway.gossip.remote_traffic.sent for gateway in self.gateways.values())
