"""The entry's link to its keeper, with the other keepers of the failure domain as fallback."""

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
    """Where this VM's keeper answers; ``others`` are keepers to ask before any list arrived."""

    address: Address
    others: tuple[Address, ...] = ()
    refresh: Seconds = 0.25


@final
class KeeperLink:
    """Keep the fleet view fresh from a keeper that answers."""

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
        """Keepers to ask, this VM's own first."""
        known = [vm.address for vm in self._view.keepers]
        return tuple(dict.fromkeys([self._section.address, *known, *self._section.others]))

    def start(self) -> None:
        """Listen to this VM's keeper, and begin to refresh the view."""
        self._peers.subscribe(self._section.address, self._on_news)
        self._timers.every(self._section.refresh, self.refresh, jitter=0.2, name="refresh")

    async def refresh(self) -> None:
        """Ask for the fleet's state once."""
        try:
            answer = await self._ask_for_fleet()
        except PeerUnavailable as error:
            logger.debug("no keeper answers: {}", error.message)
            await self._ask_far_keepers()
            return
        if self._view.ready:
            self._view.apply(answer, now=self._timers.now())
        else:
            await self._join(answer)

    async def _ask_for_fleet(self) -> FleetStateResponse:
        """Ask keepers in turn; go on past one without a VM list while this entry has none."""
        empty = None
        for address in self.addresses:
            try:
                answer = await self._peers.request(
                    address,
                    self._view.state_request(),
                    reply_type=FleetStateResponse,
                    timeout=response_timeout(ready=self._view.ready),
                )
            except BaobabError:
                # Silent, or up but not ready to answer: another one may be.
                continue
            if answer.vms_version or self._view.has_vm_list:
                return answer
            empty = answer
        if empty is None:
            raise PeerUnavailable("no keeper of this failure domain answers")
        return empty

    async def _join(self, first: FleetStateResponse) -> None:
        """Take settings from all keepers that answer, before the first request is served.

        A single one may have been cut off for long, and hold lower limits than its peers.
        """
        self._view.apply(without_settings(first), now=self._timers.now())
        found = SettingsState()
        addresses = self.addresses
        # A few at a time: each answer holds all settings, and so does what is made of it.
        for start in range(0, len(addresses), JOIN_CONCURRENCY):
            few = addresses[start : start + JOIN_CONCURRENCY]
            for news in await asyncio.gather(*(self._settings_of(address) for address in few)):
                if news is not None:
                    found.install(news.entries, revision=news.revision, since=news.since)
                    found.raise_limits(news.limits)
        settings_state = self._view.settings_state
        settings_state.install(found.newer_than(0), revision=found.revision)
        settings_state.raise_limits(found.limits_above_documents)

    async def _ask_far_keepers(self) -> None:
        """Get settings, which are the same everywhere, from another failure domain."""
        own = set(self.addresses)
        far = [vm.address for vm in self._view.entry_vms if vm.address not in own]
        for address in random.sample(far, min(MAX_REMOTE_KEEPERS, len(far))):
            news = await self._settings_of(address)
            if news is not None:
                self._install(news)
                return

    async def _settings_of(self, address: str) -> SettingsUpdate | None:
        question = SettingsRequest(revision=self._view.settings_state.revision)
        try:
            return await self._peers.request(
                address,
                question,
                reply_type=SettingsUpdate,
                timeout=response_timeout(ready=self._view.ready),
            )
        except BaobabError:
            return None

    def _on_news(self, message: msgspec.Struct, sender: str) -> None:
        del sender
        if isinstance(message, SettingsUpdate) and self._view.ready:
            self._install(message)

    def _install(self, news: SettingsUpdate) -> None:
        # After a gap the book's revision stays, and the next refresh asks for the rest.
        settings_state = self._view.settings_state
        settings_state.install(news.entries, revision=news.revision, since=news.since)
        settings_state.raise_limits(news.limits)
