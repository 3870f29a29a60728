"""Send requests to the owner keeper of a key, and fail over if it does not respond."""

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
    """Owners by rendezvous hashing over the responsive keepers of this failure domain.

    Entries may briefly disagree on an owner; a new owner therefore waits for one expiry time
    before it grants anything.
    """

    __slots__ = ("_peers", "_unresponsive", "_view")

    def __init__(self, *, peers: Peers, view: FleetView) -> None:
        self._peers = peers
        self._view = view
        self._unresponsive: set[str] = set()

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses of all keepers of this failure domain, including unresponsive ones."""
        return tuple(vm.address for vm in self._view.keepers)

    @property
    def all_unresponsive(self) -> bool:
        """Whether no keeper of this failure domain responds."""
        return all(address in self._unresponsive for address in self.addresses)

    @property
    def candidates(self) -> dict[str, str]:
        """Keepers that can be owners: addresses by id, empty if no keeper responds."""
        for keepers in (self._view.live_keepers, self._view.keepers):
            by_id = {vm.id: vm.address for vm in keepers if vm.address not in self._unresponsive}
            if by_id:
                return by_id
        return {}

    def owner_address(self, key: str) -> str | None:
        """Return the address of a key's owner, or ``None`` if no keeper responds."""
        candidates = self.candidates
        owner = owner_of(key, candidates)
        return candidates[owner] if owner is not None else None

    async def request(
        self, key: str, request: msgspec.Struct, *, reply_type: type[ReplyT]
    ) -> ReplyT:
        """Send a request to the owner of a key; raise `PeerUnavailable` if no keeper responds.

        Keepers that fail to respond to this request are tried once more, as one that is merely
        busy responds late. Keepers that were unresponsive before are not tried.
        """
        attempted: list[str] = []
        while (address := self.owner_address(key)) is not None:
            attempted.append(address)
            try:
                return await self.request_at(address, request, reply_type=reply_type)
            except PeerUnavailable:
                continue
        for address in attempted:
            with contextlib.suppress(PeerUnavailable):
                return await self.request_at(address, request, reply_type=reply_type)
        raise PeerUnavailable(f"no keeper of this failure domain responds to requests for {key}")

    async def request_at(
        self, address: str, request: msgspec.Struct, *, reply_type: type[ReplyT]
    ) -> ReplyT:
        """Send a request to one keeper, and record whether it responds."""
        try:
            reply = await self._peers.request(
                address, request, reply_type=reply_type, timeout=REQUEST_TIMEOUT_SECONDS
            )
        except (PeerUnavailable, NotFound) as error:
            # A keeper that is starting responds before all its handlers are registered.
            self._unresponsive.add(address)
            raise PeerUnavailable(error.message) from error
        self._unresponsive.discard(address)
        return reply
