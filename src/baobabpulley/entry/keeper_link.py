"""The entry's link to its keeper, with the other keepers of the failure domain as fallback."""

from __future__ import annotations

from typing import Final
from typing import TypeVar
from typing import final

import msgspec
from loguru import logger

from baobabpulley.errors import PeerUnavailable
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.messages import FleetAnswer
from baobabpulley.ports.peers import Peers
from baobabpulley.settings import Address
from baobabpulley.settings import Seconds
from baobabpulley.settings import section
from baobabpulley.timers import TimerService

ASK_TIMEOUT: Final = 0.5

A = TypeVar("A", bound=msgspec.Struct)


@section("keeper", "entry")
class KeeperLinkSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where this VM's keeper answers; ``others`` are keepers to ask before any list arrived."""

    address: Address
    others: tuple[Address, ...] = ()
    refresh: Seconds = 0.25


@final
class KeeperLink:
    """Keep the fleet view fresh, and carry questions to a keeper that answers."""

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
        """Begin to refresh the view."""
        self._timers.every(self._section.refresh, self.refresh, jitter=0.2, name="refresh")

    async def refresh(self) -> None:
        """Ask for the fleet's state once."""
        try:
            answer = await self.ask(self._view.question(), answer=FleetAnswer)
        except PeerUnavailable as error:
            logger.debug("no keeper answers: {}", error.message)
            return
        self._view.apply(answer, now=self._timers.now())

    async def ask(self, question: msgspec.Struct, *, answer: type[A]) -> A:
        """Ask keepers in turn until one answers; raise `PeerUnavailable` if none does."""
        for address in self.addresses:
            try:
                return await self._peers.ask(address, question, answer=answer, timeout=ASK_TIMEOUT)
            except PeerUnavailable:
                continue
        raise PeerUnavailable("no keeper of this failure domain answers")
