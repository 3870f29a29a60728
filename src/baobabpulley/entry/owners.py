"""Find the home keeper of a key, also while the first one does not answer."""

from __future__ import annotations

import contextlib
from typing import Final
from typing import TypeVar
from typing import final

import msgspec

from baobabpulley.errors import NotFound
from baobabpulley.errors import PeerUnavailable
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.policy.rendezvous import owner_of
from baobabpulley.ports.peers import Peers

REQUEST_TIMEOUT_SECONDS: Final = 1.0

ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)


@final
class Owners:
    """Rendezvous over the live keepers of this failure domain, less those that do not answer.

    Entries may differ for a moment; a new home waits for one expiry time before it grants.
    """

    __slots__ = ("_peers", "_silent", "_view")

    def __init__(self, *, peers: Peers, view: FleetView) -> None:
        self._peers = peers
        self._view = view
        self._silent: set[str] = set()

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses of all keepers of this failure domain, silent ones too."""
        return tuple(vm.address for vm in self._view.keepers)

    @property
    def all_unresponsive(self) -> bool:
        """Whether no keeper of this failure domain answers."""
        return all(address in self._silent for address in self.addresses)

    @property
    def candidates(self) -> dict[str, str]:
        """The keepers among which homes are looked for: addresses by id, empty if none answers."""
        for keepers in (self._view.live_keepers, self._view.keepers):
            by_id = {vm.id: vm.address for vm in keepers if vm.address not in self._silent}
            if by_id:
                return by_id
        return {}

    def owner_address(self, key: str) -> str | None:
        """Return the address of a key's home, or ``None`` if no keeper answers."""
        candidates = self.candidates
        found = owner_of(key, candidates)
        return candidates[found] if found is not None else None

    async def request(
        self, key: str, request: msgspec.Struct, *, reply_type: type[ReplyT]
    ) -> ReplyT:
        """Ask the home of a key; raise `PeerUnavailable` if no keeper answers.

        Keepers that have fallen silent only now are asked once more, as one that is merely busy
        answers late; where all were silent before, nothing is asked.
        """
        asked: list[str] = []
        while (address := self.owner_address(key)) is not None:
            asked.append(address)
            try:
                return await self.request_at(address, request, reply_type=reply_type)
            except PeerUnavailable:
                continue
        for address in asked:
            with contextlib.suppress(PeerUnavailable):
                return await self.request_at(address, request, reply_type=reply_type)
        raise PeerUnavailable(f"no keeper of this failure domain answers for {key}")

    async def request_at(
        self, address: str, request: msgspec.Struct, *, reply_type: type[ReplyT]
    ) -> ReplyT:
        """Ask one keeper, and note whether it answers."""
        try:
            reply = await self._peers.request(
                address, request, reply_type=reply_type, timeout=REQUEST_TIMEOUT_SECONDS
            )
        except (PeerUnavailable, NotFound) as error:
            # A keeper that has just started answers before all its parts do.
            self._silent.add(address)
            raise PeerUnavailable(error.message) from error
        self._silent.discard(address)
        return reply
