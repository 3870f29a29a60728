"""Relay settings between keepers, and from a keeper to the entries that subscribe to it.

Each keeper publishes the changes of its settings state and replies to requests. In each failure
domain a few keepers, the watchers, are chosen by rendezvous hashing to hold the watch on the
store. The others subscribe to the watchers, and also pull from them periodically, which detects a
subscription that has stopped delivering. The watchers of different failure domains pull from each
other, so that settings still spread while the store is unavailable. Replies say how long ago the
store confirmed the settings, so that a keeper whose watchers lost the store asks it itself.
"""

from __future__ import annotations

import asyncio
from typing import Final
from typing import final

import msgspec
from loguru import logger

from baobabpulley.errors import BaobabError
from baobabpulley.keeper.capacity import CapacityTracker
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.context import KeeperPart
from baobabpulley.keeper.context import keeper_parts
from baobabpulley.keeper.vm_relay import vm_relay_of
from baobabpulley.model.settings_messages import DomainCapacity
from baobabpulley.model.settings_messages import SettingsRequest
from baobabpulley.model.settings_messages import SettingsUpdate
from baobabpulley.model.settings_messages import VmListDelta
from baobabpulley.model.upstreams import LIVE
from baobabpulley.model.upstreams import Vm
from baobabpulley.policy.joining import JOIN_CONCURRENCY
from baobabpulley.policy.joining import response_timeout
from baobabpulley.policy.relays import choose_relays
from baobabpulley.policy.store_confirmation import StoreConfirmation
from baobabpulley.settings import Address
from baobabpulley.settings import Count
from baobabpulley.settings import Seconds
from baobabpulley.settings import section

# Size of a settings request and its reply without changes, both directions together.
EXCHANGE_BYTES: Final = 280
# A change is to be in force everywhere within this time.
IN_FORCE_WITHIN_SECONDS: Final = 3.0
# A watcher pulls from this many other failure domains in each round, round-robin.
REMOTE_DOMAINS_PER_ROUND: Final = 2
# A keeper requests the capacity of all failure domains once in this many rounds.
CAPACITY_REQUEST_ROUNDS: Final = 8


@section("settings_relay", "keeper")
class RelaySection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How settings reach this keeper; ``watchers`` is the number of watchers per failure domain.

    With ``direct_watches`` every keeper holds a watch. With ``full_snapshots`` a keeper publishes
    all settings instead of the changed ones. ``others`` are the addresses of keepers to pull from
    until a VM list has arrived. Times are model seconds.
    """

    watchers: Count = 2
    direct_watches: bool = False
    pull_period: Seconds = 1.0
    full_snapshots: bool = False
    others: tuple[Address, ...] = ()


@keeper_parts.register("settings_relay")
@final
class SettingsRelay(KeeperPart):
    """Synchronize settings between this keeper and its peers."""

    __slots__ = (
        "_capacity",
        "_confirmation",
        "_context",
        "_pulling",
        "_round",
        "_section",
        "_subscribed",
        "_unresponsive",
    )

    def __init__(self, context: KeeperContext) -> None:
        self._context = context
        self._section = context.settings.get(RelaySection)
        self._capacity = CapacityTracker(view=context.view, timers=context.timers)
        self._confirmation = StoreConfirmation(in_force_within=IN_FORCE_WITHIN_SECONDS)
        self._unresponsive: set[str] = set()
        self._subscribed: set[str] = set()
        self._pulling: set[str] = set()
        self._round = 0

    @property
    def capacity(self) -> CapacityTracker:
        """Capacity of the failure domains, as far as it is known."""
        return self._capacity

    @property
    def confirmation(self) -> StoreConfirmation:
        """When the store confirmed the settings in force here, in `TimerService.boot_time`."""
        return self._confirmation

    @property
    def watchers(self) -> tuple[Vm, ...]:
        """Keepers of this failure domain that hold the watch, as seen by this keeper."""
        return self._watchers_of(self._context.node.failure_domain)

    @property
    def is_watcher(self) -> bool:
        """Whether this keeper itself is to hold the watch."""
        own = self._context.address
        keepers = self._keepers_of(self._context.node.failure_domain)
        listed = any(vm.address == own for vm in keepers)
        chosen = any(vm.address == own for vm in self.watchers)
        return self._section.direct_watches or not listed or chosen

    async def start(self) -> None:
        self._context.peers.register_handler(SettingsRequest, self._handle_request)
        self._context.view.settings_state.on_change(self._publish)
        self._context.timers.after(0.0, self._join, name="join")
        self._context.timers.every(
            self._section.pull_period, self.pull, jitter=0.2, name="settings pull"
        )

    async def pull(self) -> None:
        """Pull from the peers that are due in this round, and from the unresponsive ones."""
        self._round += 1
        self._update_subscriptions()
        addresses = self._local_watchers()
        if not self._context.view.has_vm_list:
            # Peers relay the VM list in their replies while the platform does not respond.
            addresses |= set(self._section.others)
        if self.is_watcher:
            addresses |= self._remote_watchers()
        self._unresponsive &= {vm.address for vm in self._context.view.entry_vms}
        before = frozenset(self._unresponsive)
        await self._pull_from(addresses | before)
        if self._unresponsive - before:
            # Pull from the watcher that replaces an unresponsive one now, not in the next round.
            await self._pull_from(self._local_watchers())

    def receive(self, update: SettingsUpdate) -> None:
        """Install an update from a peer."""
        settings_state = self._context.view.settings_state
        self._capacity.receive(update.capacities)
        settings_state.install(update.entries, revision=update.revision, since=update.since)
        settings_state.raise_limits(update.limits)
        if update.vms is not None:
            vm_relay_of(self._context).receive(update.vms)

    async def _join(self) -> None:
        # Pull from all reachable peers: a single one may itself have been partitioned for long.
        vms = self._context.view.entry_vms
        domains = {vm.failure_domain for vm in vms}
        watchers = {vm.address for domain in domains for vm in self._watchers_of(domain)}
        own = {vm.address for vm in self._keepers_of(self._context.node.failure_domain)}
        addresses = sorted(watchers | own | set(self._section.others))
        # Bounded concurrency, since each reply contains all settings.
        for start in range(0, len(addresses), JOIN_CONCURRENCY):
            await self._pull_from(set(addresses[start : start + JOIN_CONCURRENCY]), full=True)

    async def _pull_from(self, addresses: set[str], *, full: bool = False) -> None:
        wanted = addresses - {self._context.address} - self._pulling
        await asyncio.gather(
            *(self._pull_address(address, full=full) for address in sorted(wanted))
        )

    async def _pull_address(self, address: str, *, full: bool) -> None:
        self._pulling.add(address)
        try:
            await self._pull_pages(address, since=0 if full else None)
            self._unresponsive.discard(address)
        except BaobabError as error:
            logger.debug("could not pull settings from {}: {}", address, error.message)
            self._unresponsive.add(address)
        finally:
            self._pulling.discard(address)

    async def _pull_pages(self, address: str, *, since: int | None) -> None:
        settings_state = self._context.view.settings_state
        more = True
        while more:
            request = SettingsRequest(
                revision=settings_state.revision if since is None else since,
                capacity=self._capacity.own,
                vms=vm_relay_of(self._context).digest,
                all_domains=self._round % CAPACITY_REQUEST_ROUNDS == 0,
            )
            requested_at = self._context.timers.boot_time()
            update = await self._context.peers.request(
                address,
                request,
                reply_type=SettingsUpdate,
                timeout=response_timeout(ready=self._context.view.ready),
            )
            if update.entries and address in self._subscribed:
                # The subscription should have delivered these; renew it, as it may have stalled.
                self._context.peers.subscribe(address, self._on_update)
            before, since = settings_state.revision, None
            self.receive(update)
            self._confirm(update, requested_at=requested_at)
            more = update.more and settings_state.revision > before

    def _confirm(self, reply: SettingsUpdate, *, requested_at: float) -> None:
        """Record the confirmation of a reply that brought this keeper up to the sender's state."""
        is_complete = (
            not reply.more and self._context.view.settings_state.revision >= reply.revision
        )
        if is_complete and reply.confirmed_age is not None:
            self._confirmation.record(requested_at - reply.confirmed_age)

    def _confirmed_age(self) -> float | None:
        if self._confirmation.confirmed_at is None:
            return None
        return self._confirmation.age(now=self._context.timers.boot_time())

    async def _handle_request(self, message: msgspec.Struct, sender: str) -> msgspec.Struct:
        del sender
        assert isinstance(message, SettingsRequest)
        capacity = message.capacity
        if capacity is None:
            return self._reply_since(message.revision)
        self._capacity.receive((capacity,))
        own_domain = capacity.failure_domain == self._context.node.failure_domain
        if not own_domain:
            return self._reply_since(message.revision, capacities=(self._capacity.own,))
        vms = vm_relay_of(self._context).delta_since(message.vms)
        capacities = self._capacity.domains if message.all_domains else ()
        return self._reply_since(message.revision, capacities=capacities, vms=vms)

    def _reply_since(
        self,
        since: int,
        *,
        capacities: tuple[DomainCapacity, ...] = (),
        vms: VmListDelta | None = None,
    ) -> SettingsUpdate:
        return msgspec.structs.replace(
            self._update_since(since),
            capacities=capacities,
            vms=vms,
            confirmed_age=self._confirmed_age(),
        )

    def _update_since(self, since: int) -> SettingsUpdate:
        settings_state = self._context.view.settings_state
        page = settings_state.page(since)
        return SettingsUpdate(
            since=since,
            revision=page.revision,
            entries=page.entries,
            limits=settings_state.limits_above_documents,
            more=page.more,
        )

    def _publish(self, before: int) -> None:
        self._context.peers.publish(
            self._update_since(0 if self._section.full_snapshots else before)
        )

    def _update_subscriptions(self) -> None:
        wanted: set[str] = set()
        if not self.is_watcher:
            wanted = {vm.address for vm in self.watchers}
        for address in self._subscribed - wanted:
            self._context.peers.unsubscribe(address, self._on_update)
        for address in wanted - self._subscribed:
            self._context.peers.subscribe(address, self._on_update)
        self._subscribed = wanted

    def _on_update(self, message: msgspec.Struct, sender: str) -> None:
        del sender
        if isinstance(message, SettingsUpdate):
            self.receive(message)

    @property
    def bytes_per_second(self) -> float:
        """Control traffic for the settings exchanges that this keeper starts and serves.

        The other keepers of this failure domain pull from its watchers.
        """
        watchers = len(self.watchers)
        keepers = len(self._keepers_of(self._context.node.failure_domain))
        exchanges = 1.0
        if self.is_watcher and watchers:
            exchanges += (keepers - watchers) / watchers + 2 * min(
                REMOTE_DOMAINS_PER_ROUND, len(self._other_domains)
            )
        return exchanges * EXCHANGE_BYTES / self._section.pull_period

    @property
    def _other_domains(self) -> tuple[str, ...]:
        domains = {vm.failure_domain for vm in self._context.view.entry_vms}
        return tuple(sorted(domains - {self._context.node.failure_domain}))

    def _local_watchers(self) -> set[str]:
        """Return the address of one other watcher of this failure domain, round-robin."""
        addresses = sorted({vm.address for vm in self.watchers} - {self._context.address})
        return {addresses[self._round % len(addresses)]} if addresses else set()

    def _remote_watchers(self) -> set[str]:
        """Return the addresses of one watcher each of some other failure domains, round-robin."""
        others = self._other_domains
        first = self._round * REMOTE_DOMAINS_PER_ROUND
        addresses: set[str] = set()
        for turn in range(first, first + min(REMOTE_DOMAINS_PER_ROUND, len(others))):
            domain = others[turn % len(others)]
            watchers = self._watchers_of(domain)
            if watchers:
                addresses.add(watchers[self._round % len(watchers)].address)
        return addresses

    def _watchers_of(self, failure_domain: str) -> tuple[Vm, ...]:
        keepers = {vm.id: vm for vm in self._keepers_of(failure_domain)}
        return tuple(keepers[id] for id in choose_relays(keepers, count=self._section.watchers))

    def _keepers_of(self, failure_domain: str) -> list[Vm]:
        """Return the keepers that are live in the VM list and replied to the last request."""
        return [
            vm
            for vm in self._context.view.entry_vms
            if vm.failure_domain == failure_domain
            and vm.state == LIVE
            and vm.address not in self._unresponsive
        ]
