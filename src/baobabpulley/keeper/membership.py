"""Heartbeats between keepers, which determine the keepers that are live.

A keeper sends a heartbeat to each peer of its failure domain from which it has received none for
most of a period. The reply is a heartbeat too, so one exchange serves both peers. Between failure
domains only the delegates, which are the first two live keepers of each domain by rendezvous
hashing, exchange heartbeats. On a connection that has stopped delivering, the exchange times out,
and the next exchange opens a new connection.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from typing import Final
from typing import final

import msgspec

from baobabpulley.errors import BaobabError
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.context import KeeperPart
from baobabpulley.keeper.context import keeper_parts
from baobabpulley.keeper.load_relay import Batch
from baobabpulley.keeper.load_relay import LoadRelay
from baobabpulley.model.messages import Heartbeat
from baobabpulley.model.upstreams import LIVE
from baobabpulley.model.upstreams import Vm
from baobabpulley.policy.control_budget import HEARTBEAT_BYTES
from baobabpulley.policy.control_budget import ControlShare
from baobabpulley.policy.control_budget import share_budget
from baobabpulley.policy.rendezvous import ranked
from baobabpulley.ports.membership import Membership
from baobabpulley.settings import Count
from baobabpulley.settings import Seconds
from baobabpulley.settings import section

DELEGATES: Final = 2
# No heartbeat is sent to a peer from which one was received within this fraction of a period.
FRESH_RATIO: Final = 0.7
# Limit for one delegate's exchanges with other failure domains; their period is lengthened to stay
# within it.
MAX_DOMAIN_EXCHANGES_PER_SECOND: Final = 4.0


@section("membership", "keeper")
class MembershipSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Periods and timeouts of heartbeats, and the budget for control traffic.

    Times are model seconds. A peer that has sent no heartbeat for ``suspect_after`` no longer
    counts as live. With many peers or failure domains the periods are lengthened to stay within
    the budget. ``control_bytes`` is the budget in bytes per second for heartbeats, load
    reports and relayed loads, both directions together.
    """

    period: Seconds = 1.0
    timeout: Seconds = 0.8
    suspect_after: Seconds = 3.0
    between_domains: Seconds = 2.0
    control_bytes: Count = 6_400


@final
class PeerState:
    """Last heartbeat of a peer, and the times of the last reception and of the last failure."""

    __slots__ = ("exchange_pending", "failed_at", "heartbeat", "received_at")

    def __init__(self) -> None:
        self.heartbeat: Heartbeat | None = None
        self.received_at = float("-inf")
        self.failed_at = float("-inf")
        self.exchange_pending = False


@keeper_parts.register("membership")
@final
class HeartbeatMembership(KeeperPart, Membership):
    """Exchange heartbeats and report which keepers are live."""

    __slots__ = (
        "_between_domains_bytes",
        "_between_domains_period",
        "_context",
        "_incarnation",
        "_listeners",
        "_other_parts_bytes",
        "_peers",
        "_relay",
        "_section",
        "_stopping",
        "_ticked_at",
    )

    def __init__(self, context: KeeperContext) -> None:
        self._context = context
        self._section = context.settings.get(MembershipSection)
        self._incarnation = secrets.token_hex(4)
        self._peers: dict[str, PeerState] = {}
        self._relay = LoadRelay(view=context.view, timers=context.timers, peers=context.peers)
        self._listeners: list[Callable[[], None]] = []
        self._ticked_at = context.timers.now()
        self._between_domains_period = self._section.between_domains
        self._between_domains_bytes = 0
        self._stopping = False
        self._other_parts_bytes = 0

    @property
    def relay(self) -> LoadRelay:
        """Relay of the loads and cache events that this keeper has collected."""
        return self._relay

    @property
    def share(self) -> ControlShare:
        """Budget for control traffic, divided among the peers that are live now."""
        return share_budget(
            budget=self._section.control_bytes
            - self._between_domains_bytes
            - self._other_parts_bytes,
            peers=max(0, len(self._context.view.live_keepers) - 1),
            period=self._section.period,
        )

    async def start(self) -> None:
        timers = self._context.timers
        self._context.peers.register_handler(Heartbeat, self._handle_heartbeat)
        timers.every(self._section.period / 2, self._tick, jitter=0.3, name="heartbeats")
        timers.every(
            self._section.between_domains,
            self._exchange_between_domains,
            jitter=0.3,
            name="domains",
        )

    @property
    def settled(self) -> bool:
        """Whether every other keeper of this domain has sent a heartbeat or failed an exchange."""
        own = self._context.node
        others = [
            vm
            for vm in self._listed()
            if vm.failure_domain == own.failure_domain and vm.id != own.vm
        ]
        states = [self.peer(vm.id) for vm in others]
        return all(max(peer.received_at, peer.failed_at) > float("-inf") for peer in states)

    async def stop(self) -> None:
        """Notify all responsive peers that this keeper is stopping."""
        self._stopping = True
        self._publish_live_keepers()
        responsive = [
            vm
            for vm in self._listed()
            if vm.id != self._context.node.vm and self._is_responsive(vm.id)
        ]
        await asyncio.gather(
            *(self._exchange_heartbeats(vm, self._peers[vm.id]) for vm in responsive)
        )

    def live_keepers(self, failure_domain: str) -> tuple[Vm, ...]:
        """Return the live entry VMs of a failure domain, sorted by id."""
        listed = [vm for vm in self._listed() if vm.failure_domain == failure_domain]
        if failure_domain == self._context.node.failure_domain:
            return tuple(vm for vm in listed if self._is_responsive(vm.id))
        reported = self._reported_live(failure_domain)
        if reported is not None:
            listed = [vm for vm in listed if vm.id in reported]
        return tuple(vm for vm in listed if not self._failed_recently(vm.id))

    def is_live(self, id: str) -> bool:
        """Whether the keeper of an entry VM is live."""
        matching = (vm for vm in self._listed() if vm.id == id)
        return any(vm in self.live_keepers(vm.failure_domain) for vm in matching)

    def delegates(self, failure_domain: str) -> tuple[Vm, ...]:
        """Return the keepers, at most two, that exchange heartbeats with other failure domains."""
        live = {vm.id: vm for vm in self.live_keepers(failure_domain)}
        first = ranked(f"delegates:{failure_domain}", live)[:DELEGATES]
        return tuple(live[id] for id in first)

    def applied_revision(self, id: str) -> int:
        """Return the settings revision that a keeper last reported as applied, 0 if none."""
        peer = self._peers.get(id)
        return (
            peer.heartbeat.applied_revision
            if peer is not None and peer.heartbeat is not None
            else 0
        )

    def peer(self, id: str) -> PeerState:
        """Return the state of another keeper, an empty one if it is unknown."""
        return self._peers.get(id) or PeerState()

    def _listed(self) -> list[Vm]:
        rows = [vm for vm in self._context.view.entry_vms if vm.state == LIVE]
        return sorted(rows, key=lambda vm: vm.id)

    def _live_ids(self) -> tuple[str, ...]:
        return tuple(vm.id for vm in self.live_keepers(self._context.node.failure_domain))

    def _is_responsive(self, id: str) -> bool:
        if id == self._context.node.vm:
            return not self._stopping
        peer = self._peers.get(id)
        now = self._context.timers.now()
        return peer is not None and now - peer.received_at < self._suspect_after

    @property
    def _suspect_after(self) -> float:
        return self._section.suspect_after * self.share.period / self._section.period

    def _failed_recently(self, id: str) -> bool:
        """Whether the last exchange with a keeper of another failure domain recently failed."""
        peer = self._peers.get(id)
        if peer is None or peer.failed_at < peer.received_at:
            return False
        retry_after = 2 * self._between_domains_period + self._section.suspect_after
        return self._context.timers.now() - peer.failed_at < retry_after

    def _reported_live(self, failure_domain: str) -> set[str] | None:
        now = self._context.timers.now()
        max_age = self._section.suspect_after + 2 * self._between_domains_period
        reported: set[str] | None = None
        for peer in self._peers.values():
            heartbeat = peer.heartbeat
            if (
                heartbeat is None
                or heartbeat.failure_domain != failure_domain
                or not heartbeat.live
            ):
                continue
            if now - peer.received_at < max_age:
                reported = (reported or set()) | set(heartbeat.live)
        return reported

    async def _tick(self) -> None:
        self._allow_for_own_pause()
        self._other_parts_bytes = int(
            sum(part.bytes_per_second for part in self._context.parts.values())
        )
        now = self._context.timers.now()
        fresh = FRESH_RATIO * self.share.period
        own = self._context.node.failure_domain
        known = {vm.id for vm in self._listed()}
        self._peers = {id: peer for id, peer in self._peers.items() if id in known}
        for vm in self._listed():
            if vm.failure_domain != own or vm.id == self._context.node.vm:
                continue
            peer = self._peers.setdefault(vm.id, PeerState())
            if now - peer.received_at >= fresh:
                self._schedule_exchange(vm, peer)
        self._publish_live_keepers()

    def _publish_live_keepers(self) -> None:
        # Before that the list could contain only this keeper, and entries would regard it as the
        # owner of every key.
        if self.settled:
            self._context.view.set_live_keepers(self._live_ids())

    def _allow_for_own_pause(self) -> None:
        # A paused process receives no heartbeats; no peer is to be suspected because of that.
        now = self._context.timers.now()
        pause = now - self._ticked_at - 2 * self._section.period
        self._ticked_at = now
        if pause > 0:
            for peer in self._peers.values():
                peer.received_at += pause

    async def _exchange_between_domains(self) -> None:
        own = self._context.node
        domains = {vm.failure_domain for vm in self._listed()} - {own.failure_domain}
        others = DELEGATES * len(domains)
        self._between_domains_period = max(
            self._section.between_domains, others / MAX_DOMAIN_EXCHANGES_PER_SECOND
        )
        self._between_domains_bytes = 0
        if own.vm not in {vm.id for vm in self.delegates(own.failure_domain)}:
            return
        self._between_domains_bytes = int(
            2 * HEARTBEAT_BYTES * others / self._between_domains_period
        )
        now = self._context.timers.now()
        fresh = FRESH_RATIO * self._between_domains_period
        for domain in domains:
            for vm in self.delegates(domain):
                peer = self._peers.setdefault(vm.id, PeerState())
                if now - max(peer.received_at, peer.failed_at) >= fresh:
                    self._schedule_exchange(vm, peer)

    def _schedule_exchange(self, vm: Vm, peer: PeerState) -> None:
        if peer.exchange_pending:
            return
        peer.exchange_pending = True

        async def exchange() -> None:
            try:
                await self._exchange_heartbeats(vm, peer)
            finally:
                peer.exchange_pending = False

        self._context.timers.after(0.0, exchange, name=f"heartbeat {vm.id}")

    async def _exchange_heartbeats(self, vm: Vm, peer: PeerState) -> None:
        try:
            heartbeat = await self._context.peers.request(
                vm.address,
                self._heartbeat_for(vm.id, vm.failure_domain),
                reply_type=Heartbeat,
                timeout=self._section.timeout,
            )
        except BaobabError:
            peer.failed_at = self._context.timers.now()
            self._relay.reset_peer(vm.id)
            return
        self._receive(heartbeat)

    async def _handle_heartbeat(self, message: msgspec.Struct, sender: str) -> msgspec.Struct:
        del sender
        assert isinstance(message, Heartbeat)
        self._receive(message)
        return self._heartbeat_for(message.vm, message.failure_domain)

    def _receive(self, heartbeat: Heartbeat) -> None:
        peer = self._peers.setdefault(heartbeat.vm, PeerState())
        if peer.heartbeat is not None and peer.heartbeat.incarnation != heartbeat.incarnation:
            self._relay.reset_peer(heartbeat.vm)
        peer.heartbeat = heartbeat
        peer.received_at = float("-inf") if heartbeat.stopping else self._context.timers.now()
        if heartbeat.stopping:
            peer.failed_at = self._context.timers.now()
            self._publish_live_keepers()
        if heartbeat.failure_domain != self._context.node.failure_domain:
            return
        for notice in heartbeat.leaving:
            self._context.view.mark_leaving(notice.upstream, incarnation=notice.incarnation)
        self._relay.apply(
            Batch(loads=heartbeat.loads, changes=heartbeat.changes, news=heartbeat.news)
        )

    def _heartbeat_for(self, vm: str, failure_domain: str) -> Heartbeat:
        own = self._context.node
        view = self._context.view
        if failure_domain != own.failure_domain:
            return Heartbeat(
                vm=own.vm,
                failure_domain=own.failure_domain,
                incarnation=self._incarnation,
                applied_revision=view.settings_state.revision,
                headroom=self._headroom(),
                live=self._live_ids(),
                stopping=self._stopping,
            )
        share = self.share
        others = max(1, len(view.live_keepers) - 1)
        max_bytes = int(share.relay_bytes * share.period) // others
        batch = self._relay.batch(vm, max_bytes=max_bytes)
        return Heartbeat(
            vm=own.vm,
            failure_domain=own.failure_domain,
            incarnation=self._incarnation,
            applied_revision=view.settings_state.revision,
            leaving=view.leaving,
            loads=batch.loads,
            changes=batch.changes,
            news=batch.news,
            stopping=self._stopping,
        )

    def _headroom(self) -> int:
        loads = self._context.view.loads.values()
        return sum(load.report.memory_total - load.report.memory_held for load in loads)
