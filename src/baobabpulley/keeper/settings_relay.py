"""Pass settings between keepers, and from a keeper to the entries that listen to it.

Each keeper publishes whatever changes in its settings book and answers those that ask. The first
keepers of a failure domain by rendezvous hashing hold the watch on the store; the others listen
to them, and pull from them at an interval, which also finds a subscription that went silent. The
watching keepers of different failure domains pull from each other, for the time without a store.
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
from baobabpulley.settings import Address
from baobabpulley.settings import Count
from baobabpulley.settings import Seconds
from baobabpulley.settings import section

# A question about settings and its answer without news, both ways together.
EXCHANGE_BYTES: Final = 270
# Other failure domains that a watching keeper pulls from in one round, in turns.
REMOTE_DOMAINS_PER_ROUND: Final = 2
# Rounds after which a keeper asks for the capacity of all failure domains again.
CAPACITY_REQUEST_ROUNDS: Final = 8


@section("settings_relay", "keeper")
class RelaySection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How settings reach this keeper; ``watchers`` are the watching keepers a failure domain.

    With ``direct_watches`` every keeper holds a watch. ``full_snapshots`` publishes all settings
    instead of what changed. ``others`` are keepers to ask before any VM list arrived. Times are
    model seconds.
    """

    watchers: Count = 2
    direct_watches: bool = False
    pull_period: Seconds = 1.0
    full_snapshots: bool = False
    others: tuple[Address, ...] = ()


@keeper_parts.register("settings_relay")
@final
class SettingsRelay(KeeperPart):
    """Keep this keeper's settings in step with its peers', and theirs with its own."""

    __slots__ = (
        "_capacity",
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
        self._unresponsive: set[str] = set()
        self._subscribed: set[str] = set()
        self._pulling: set[str] = set()
        self._round = 0

    @property
    def capacity(self) -> CapacityTracker:
        """What is known of the failure domains' capacity."""
        return self._capacity

    @property
    def watchers(self) -> tuple[Vm, ...]:
        """Keepers of this failure domain that hold the watch, as this keeper sees it."""
        return self._watchers_of(self._context.node.failure_domain)

    @property
    def is_watcher(self) -> bool:
        """Whether this keeper is to hold the watch itself."""
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
        """Ask the peers whose turn it is, and those that did not answer last time."""
        self._round += 1
        self._update_subscriptions()
        addresses = self._local_watchers()
        if not self._context.view.has_vm_list:
            # The VM list comes with a peer's answer while the platform does not give it.
            addresses |= set(self._section.others)
        if self.is_watcher:
            addresses |= self._remote_watchers()
        self._unresponsive &= {vm.address for vm in self._context.view.entry_vms}
        before = frozenset(self._unresponsive)
        await self._pull_from(addresses | before)
        if self._unresponsive - before:
            # The watching keeper in its place must not wait for the next round.
            await self._pull_from(self._local_watchers())

    def receive(self, news: SettingsUpdate) -> None:
        """Install what a peer sent."""
        settings_state = self._context.view.settings_state
        self._capacity.receive(news.capacities)
        settings_state.install(news.entries, revision=news.revision, since=news.since)
        settings_state.raise_limits(news.limits)
        if news.vms is not None:
            vm_relay_of(self._context).receive(news.vms)

    async def _join(self) -> None:
        # All reachable peers, not one: a single one may itself have been cut off for long.
        vms = self._context.view.entry_vms
        domains = {vm.failure_domain for vm in vms}
        found = {vm.address for domain in domains for vm in self._watchers_of(domain)}
        own = {vm.address for vm in self._keepers_of(self._context.node.failure_domain)}
        addresses = sorted(found | own | set(self._section.others))
        # A few at a time: each answer holds all settings.
        for start in range(0, len(addresses), JOIN_CONCURRENCY):
            await self._pull_from(set(addresses[start : start + JOIN_CONCURRENCY]), whole=True)

    async def _pull_from(self, addresses: set[str], *, whole: bool = False) -> None:
        wanted = addresses - {self._context.address} - self._pulling
        await asyncio.gather(
            *(self._pull_address(address, whole=whole) for address in sorted(wanted))
        )

    async def _pull_address(self, address: str, *, whole: bool) -> None:
        self._pulling.add(address)
        try:
            await self._pull_pages(address, since=0 if whole else None)
            self._unresponsive.discard(address)
        except BaobabError as error:
            logger.debug("no settings from {}: {}", address, error.message)
            self._unresponsive.add(address)
        finally:
            self._pulling.discard(address)

    async def _pull_pages(self, address: str, *, since: int | None) -> None:
        settings_state = self._context.view.settings_state
        more = True
        while more:
            question = SettingsRequest(
                revision=settings_state.revision if since is None else since,
                capacity=self._capacity.own,
                vms=vm_relay_of(self._context).digest,
                all_domains=self._round % CAPACITY_REQUEST_ROUNDS == 0,
            )
            news = await self._context.peers.request(
                address,
                question,
                reply_type=SettingsUpdate,
                timeout=response_timeout(ready=self._context.view.ready),
            )
            if news.entries and address in self._subscribed:
                # These should have come by the subscription; it may be silent for good.
                self._context.peers.subscribe(address, self._on_update)
            before, since = settings_state.revision, None
            self.receive(news)
            more = news.more and settings_state.revision > before

    async def _handle_request(self, message: msgspec.Struct, sender: str) -> msgspec.Struct:
        del sender
        assert isinstance(message, SettingsRequest)
        asker = message.capacity
        if asker is None:
            return self._update_since(message.revision)
        self._capacity.receive((asker,))
        own_domain = asker.failure_domain == self._context.node.failure_domain
        if not own_domain:
            return self._update_since(message.revision, capacities=(self._capacity.own,))
        vms = vm_relay_of(self._context).delta_since(message.vms)
        capacities = self._capacity.domains if message.all_domains else ()
        return self._update_since(message.revision, capacities=capacities, vms=vms)

    def _update_since(
        self,
        since: int,
        *,
        capacities: tuple[DomainCapacity, ...] = (),
        vms: VmListDelta | None = None,
    ) -> SettingsUpdate:
        settings_state = self._context.view.settings_state
        page = settings_state.page(since)
        return SettingsUpdate(
            since=since,
            revision=page.revision,
            entries=page.entries,
            limits=settings_state.limits_above_documents,
            more=page.more,
            capacities=capacities,
            vms=vms,
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
        """Exchanges asked and answered; keepers of this failure domain ask the watching ones."""
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
        """Return the watching keepers of this failure domain, one in turn of those that relay."""
        addresses = sorted({vm.address for vm in self.watchers} - {self._context.address})
        return {addresses[self._round % len(addresses)]} if addresses else set()

    def _remote_watchers(self) -> set[str]:
        """Return a watching keeper of some other failure domains, in turns."""
        others = self._other_domains
        first = self._round * REMOTE_DOMAINS_PER_ROUND
        found: set[str] = set()
        for turn in range(first, first + min(REMOTE_DOMAINS_PER_ROUND, len(others))):
            domain = others[turn % len(others)]
            watchers = self._watchers_of(domain)
            if watchers:
                found.add(watchers[self._round % len(watchers)].address)
        return found

    def _watchers_of(self, failure_domain: str) -> tuple[Vm, ...]:
        return choose_relays(self._keepers_of(failure_domain), count=self._section.watchers)

    def _keepers_of(self, failure_domain: str) -> list[Vm]:
        """Return the keepers that the list names as live and that answered when last asked."""
        return [
            vm
            for vm in self._context.view.entry_vms
            if vm.failure_domain == failure_domain
            and vm.state == LIVE
            and vm.address not in self._unresponsive
        ]
