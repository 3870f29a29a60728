"""Keepers and entries in one process, with a fake store, a fake network and manual timers."""

from __future__ import annotations

import random
from typing import Any
from typing import cast

import msgspec
from fake_store import STEP_SECONDS
from fake_store import FakeStore
from fake_store import StoreState

from baobabpulley.adapters.metrics import KeeperMetrics
from baobabpulley.entry.keeper_link import KeeperLink
from baobabpulley.entry.keeper_link import KeeperLinkSection
from baobabpulley.errors import PeerUnavailable
from baobabpulley.keeper import changes
from baobabpulley.keeper import limit_repair
from baobabpulley.keeper import settings_watch
from baobabpulley.keeper.changes import CommitmentsSection
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.context import KeeperPart
from baobabpulley.keeper.context import keeper_parts
from baobabpulley.keeper.settings_relay import RelaySection
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.messages import FleetStateRequest
from baobabpulley.model.settings_state import SettingsState
from baobabpulley.model.upstreams import LoadReport
from baobabpulley.model.upstreams import Upstream
from baobabpulley.model.upstreams import Vm
from baobabpulley.ports.peers import Handler
from baobabpulley.ports.peers import Listener
from baobabpulley.ports.peers import Peers
from baobabpulley.settings import NodeSection
from baobabpulley.settings import Settings
from baobabpulley.timers import ManualTimers

PARTS = ("vm_relay", "settings_relay", "settings_watch", "settings_changes", "limit_repair")
assert changes and limit_repair and settings_watch


class FakePeers(Peers):
    """One process's sockets in a network whose processes can freeze, die and be partitioned."""

    def __init__(self, cluster: Cluster, *, address: str, domain: str, timers: Any) -> None:
        self._cluster = cluster
        self.address = address
        self.domain = domain
        self.timers = timers
        self.frozen = False
        self.dead = False
        # In model time.
        self.reply_delay_seconds = 0.0
        self.handlers: dict[type[msgspec.Struct], Handler] = {}
        self.listeners: dict[tuple[str, Listener], None] = {}
        self.undelivered: list[tuple[Listener, msgspec.Struct]] = []

    def can_reach(self, other: FakePeers | None) -> bool:
        """Whether messages pass between this process and ``other``."""
        if other is None or other.dead or self.dead:
            return False
        return frozenset((self.domain, other.domain)) not in self._cluster.partitioned_links

    async def request(self, address: str, request: Any, *, reply_type: Any, timeout: float) -> Any:
        target = self._cluster.peers.get(address)
        if not self.can_reach(target) or target.frozen or target.reply_delay_seconds > timeout:
            await self.timers.sleep(timeout)
            raise PeerUnavailable(f"{address} does not respond")
        if target.reply_delay_seconds:
            await self.timers.sleep(target.reply_delay_seconds)
        reply = await target.handlers[type(request)](_copied(request), self.address)
        if not self.can_reach(target):
            raise PeerUnavailable(f"{address} does not respond")
        return _copied(reply)

    def register_handler(self, kind: type[msgspec.Struct], handler: Handler) -> None:
        self.handlers[kind] = handler

    def publish(self, message: msgspec.Struct) -> None:
        for other in self._cluster.all_peers:
            for address, listener in other.listeners:
                if address != self.address or not self.can_reach(other):
                    continue
                if self._cluster.random.random() < self._cluster.publish_loss_ratio:
                    continue
                if other.frozen:
                    other.undelivered.append((listener, _copied(message)))
                else:
                    listener(_copied(message), self.address)

    def subscribe(self, address: str, listener: Listener) -> None:
        self.listeners[address, listener] = None

    def unsubscribe(self, address: str, listener: Listener) -> None:
        self.listeners.pop((address, listener), None)

    def close(self) -> None:
        self.dead = True


class FakeOrderIssuer(KeeperPart):
    """An order issuer and its lease: all keepers believe that they hold it, or none does."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self.lease = self

    async def start(self) -> None:
        return

    def holds(self) -> bool:
        return self._cluster.leases_held


class Member:
    """A keeper or an entry, with the newest revisions and the highest limits it has applied."""

    def __init__(self, *, name: str, peers: FakePeers, view: FleetView) -> None:
        self.name = name
        self.peers = peers
        self.view = view
        self.seen_revisions: dict[str, int] = {}
        self.limits: dict[str, Any] = {}
        self.context: KeeperContext | None = None

    @property
    def settings_state(self) -> SettingsState:
        """The settings in force."""
        return self.view.settings_state

    def check(self) -> None:
        """Fail if a key's revision or a limit is lower than before."""
        for entry in self.settings_state.newer_than(0):
            assert entry.mod_revision >= self.seen_revisions.get(
                entry.key, 0
            ), f"{self.name} reverted {entry.key}"
            self.seen_revisions[entry.key] = entry.mod_revision
        for team, before in self.limits.items():
            assert self.settings_state.limit(team).covers(before), f"{self.name} lowered {team}"
        self.limits = dict(self.settings_state.limits)


class Cluster:
    """A number of keepers in each failure domain, with one entry on each keeper's VM.

    No message passes between the pairs of failure domains in ``partitioned_links``.
    """

    def __init__(self, *, keepers: dict[str, int], seed: int = 0, memory: int = 1_000_000) -> None:
        self.state = StoreState(seed=seed)
        self.random = random.Random(seed)
        self.partitioned_links: set[frozenset[str]] = set()
        self.publish_loss_ratio = 0.0
        self.leases_held = True
        self.alarms: list[tuple[str, str]] = []
        self.peers: dict[str, FakePeers] = {}
        self.members: dict[str, Member] = {}
        self.memory = memory
        self.vms = tuple(
            Vm(id=f"{domain}-{n}", role="entry", failure_domain=domain, address=f"{domain}:{n}")
            for domain, count in keepers.items()
            for n in range(count)
        )
        self._now = 1000.0

    @property
    def all_peers(self) -> list[FakePeers]:
        """The sockets of all running processes."""
        return [member.peers for member in self.members.values()]

    async def start(self) -> None:
        """Start all keepers and entries."""
        for vm in self.vms:
            await self.start_keeper(vm)
            self.start_entry(vm)

    async def start_keeper(self, vm: Vm) -> Member:
        """Start a new keeper process without any state."""
        timers = ManualTimers(start=self._now)
        peers = FakePeers(self, address=vm.address, domain=vm.failure_domain, timers=timers)
        view = FleetView(failure_domain=vm.failure_domain, alarm=self._alarm)
        self._fill(view, vm.failure_domain)
        node = NodeSection(
            id=f"keeper-{vm.id}", vm=vm.id, failure_domain=vm.failure_domain, http="127.0.0.1:1"
        )
        sections = {"node": node, "relay": RelaySection(), "promises": CommitmentsSection()}
        context = KeeperContext(
            settings=Settings(daemon="keeper", sections=sections),
            node=node,
            address=vm.address,
            timers=timers,
            peers=peers,
            store=FakeStore(
                self.state, timers=timers, domain=vm.failure_domain, address=vm.address
            ),
            vm_list=cast(Any, None),
            engine=cast(Any, None),
            view=view,
            metrics=KeeperMetrics(),
        )

        async def describe(message: Any, sender: str) -> msgspec.Struct:
            return view.state_response(message, now=timers.now())

        peers.register_handler(FleetStateRequest, describe)
        self.peers[vm.address] = peers
        member = Member(name=f"keeper-{vm.id}", peers=peers, view=view)
        member.context = context
        self.members[member.name] = member
        for name in PARTS:
            context.parts[name] = keeper_parts.lookup(name)(context)
        context.parts["tender"] = FakeOrderIssuer(self)
        for part in context.parts.values():
            await part.start()
        return member

    def start_entry(self, vm: Vm) -> Member:
        """Start a new entry process without any state."""
        timers = ManualTimers(start=self._now)
        peers = FakePeers(self, address="", domain=vm.failure_domain, timers=timers)
        view = FleetView(failure_domain=vm.failure_domain, alarm=self._alarm)
        section = KeeperLinkSection(address=vm.address)
        KeeperLink(section=section, peers=peers, view=view, timers=timers).start()
        member = Member(name=f"entry-{vm.id}", peers=peers, view=view)
        self.members[member.name] = member
        return member

    def kill(self, name: str) -> None:
        """End a process at once."""
        member = self.members.pop(name)
        member.peers.close()
        member.peers.timers.cancel_all()

    def freeze(self, name: str) -> None:
        """Stop a process; model time passes and its connections stay open."""
        self.members[name].peers.frozen = True

    async def thaw(self, name: str) -> None:
        """Resume a process: messages published meanwhile are delivered first."""
        peers = self.members[name].peers
        peers.frozen = False
        for listener, message in peers.undelivered:
            listener(message, "")
        peers.undelivered.clear()
        await peers.timers.advance(self._now - peers.timers.now())

    async def advance(self, seconds: float) -> None:
        """Advance model time on all processes that are not frozen; check each after every step."""
        end = self._now + seconds - STEP_SECONDS / 2
        while self._now < end:
            self._now += STEP_SECONDS
            for member in tuple(self.members.values()):
                if not member.peers.frozen:
                    await member.peers.timers.advance(self._now - member.peers.timers.now())
                    member.check()

    def lagging(self, key: str, revision: int) -> list[str]:
        """Return the running processes that have an older revision of a key in force."""
        return [
            member.name
            for member in self.members.values()
            if not member.peers.frozen
            and getattr(member.settings_state.entry(key), "mod_revision", 0) < revision
        ]

    def _alarm(self, kind: str, message: str) -> None:
        self.alarms.append((kind, message))

    def _fill(self, view: FleetView, domain: str) -> None:
        upstream = Vm(
            id=f"engine-{domain}", role="upstream", failure_domain=domain, address="", service="x"
        )
        view.set_vms((*self.vms, upstream))
        assert isinstance(view.upstreams[upstream.id], Upstream)
        view.set_load(make_load_report(upstream.id, memory=self.memory), measured_at=self._now)


def make_load_report(upstream: str, *, memory: int) -> LoadReport:
    """Return the load report of an idle engine."""
    return LoadReport(
        upstream=upstream,
        incarnation="a",
        sequence=1,
        queued=0,
        queued_high=0,
        running=0,
        long_prefills=0,
        memory_total=memory,
        memory_held=0,
        prefill_rate=1.0,
    )


def _copied(message: Any) -> Any:
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=type(message))
