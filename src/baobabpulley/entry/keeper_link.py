"""The entry's connection to its keeper, with fallback to the failure domain's other keepers."""

from __future__ import annotations

import asyncio
import random
from typing import Final
from typing import final

import msgspec
from loguru import logger

from baobabpulley.errors import BaobabError
from baobabpulley.errors import PeerUnavailable
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.fleet_view import without_settings
from baobabpulley.model.messages import FleetStateResponse
from baobabpulley.model.settings_messages import SettingsRequest
from baobabpulley.model.settings_messages import SettingsUpdate
from baobabpulley.model.settings_state import SettingsState
from baobabpulley.policy.joining import JOIN_CONCURRENCY
from baobabpulley.policy.joining import response_timeout
from baobabpulley.ports.peers import Peers
from baobabpulley.settings import Address
from baobabpulley.settings import Seconds
from baobabpulley.settings import section
from baobabpulley.timers import TimerService

MAX_REMOTE_KEEPERS: Final = 2


@section("keeper", "entry")
class KeeperLinkSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of this VM's keeper, and how the entry refreshes its view of the fleet.

    ``others`` are keepers to query before the first VM list has arrived, and ``refresh`` is the
    interval between two refreshes in model seconds.
    """

    address: Address
    others: tuple[Address, ...] = ()
    refresh: Seconds = 0.25


@final
class KeeperLink:
    """Refresh the fleet view from a keeper that responds."""

    __slots__ = ("_peers", "_section", "_timers", "_view")

    def __init__(
        self, *, section: KeeperLinkSection, peers: Peers, view: FleetView, timers: TimerService
    ) -> None:
        self._section = section
        self._peers = peers
        self._view = view
        self._timers = timers

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses of the keepers to query, this VM's own first."""
        known = [vm.address for vm in self._view.keepers]
        return tuple(dict.fromkeys([self._section.address, *known, *self._section.others]))

    def start(self) -> None:
        """Subscribe to this VM's keeper, and start to refresh the view."""
        self._peers.subscribe(self._section.address, self._on_settings_update)
        self._timers.every(self._section.refresh, self.refresh, jitter=0.2, name="refresh")

    async def refresh(self) -> None:
        """Request the fleet's state once."""
        try:
            response = await self._request_fleet_state()
        except PeerUnavailable as error:
            logger.debug(
                "no keeper of this failure domain responded: {}; querying other failure domains",
                error.message,
            )
            await self._query_remote_keepers()
            return
        if self._view.ready:
            self._view.apply(response, now=self._timers.now())
        else:
            await self._join(response)

    async def _request_fleet_state(self) -> FleetStateResponse:
        """Query keepers in turn; skip those without a VM list while this entry has none either."""
        without_vms = None
        for address in self.addresses:
            try:
                response = await self._peers.request(
                    address,
                    self._view.state_request(),
                    reply_type=FleetStateResponse,
                    timeout=response_timeout(ready=self._view.ready),
                )
            except BaobabError:
                # Unresponsive or not ready yet; try the next one.
                continue
            if response.vms_version or self._view.has_vm_list:
                return response
            without_vms = response
        if without_vms is None:
            raise PeerUnavailable("no keeper of this failure domain responds")
        return without_vms

    async def _join(self, first: FleetStateResponse) -> None:
        """Merge the settings of all keepers that respond, before the first request is served.

        A single keeper may have been partitioned for long, and hold lower limits than its peers.
        """
        self._view.apply(without_settings(first), now=self._timers.now())
        merged = SettingsState()
        addresses = self.addresses
        # In batches, to bound memory: each response and each decoded update holds all settings.
        for start in range(0, len(addresses), JOIN_CONCURRENCY):
            batch = addresses[start : start + JOIN_CONCURRENCY]
            for update in await asyncio.gather(
                *(self._request_settings(address) for address in batch)
            ):
                if update is not None:
                    merged.install(update.entries, revision=update.revision, since=update.since)
                    merged.raise_limits(update.limits)
        settings_state = self._view.settings_state
        settings_state.install(merged.newer_than(0), revision=merged.revision)
        settings_state.raise_limits(merged.limits_above_documents)

    async def _query_remote_keepers(self) -> None:
        """Get settings, which are the same in all failure domains, from another failure domain."""
        own = set(self.addresses)
        remote = [vm.address for vm in self._view.entry_vms if vm.address not in own]
        for address in random.sample(remote, min(MAX_REMOTE_KEEPERS, len(remote))):
            update = await self._request_settings(address)
            if update is not None:
                self._install(update)
                return

    async def _request_settings(self, address: str) -> SettingsUpdate | None:
        request = SettingsRequest(revision=self._view.settings_state.revision)
        try:
            return await self._peers.request(
                address,
                request,
                reply_type=SettingsUpdate,
                timeout=response_timeout(ready=self._view.ready),
            )
        except BaobabError:
            return None

    def _on_settings_update(self, message: msgspec.Struct, sender: str) -> None:
        del sender
        if isinstance(message, SettingsUpdate) and self._view.ready:
            self._install(message)

    def _install(self, update: SettingsUpdate) -> None:
        # After a gap the revision stays, and the next refresh requests the missing entries.
        settings_state = self._view.settings_state
        settings_state.install(update.entries, revision=update.revision, since=update.since)
        settings_state.raise_limits(update.limits)
