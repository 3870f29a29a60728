"""Reservations held by an entry: requested from owner keepers, renewed about once a second."""

from __future__ import annotations

import contextlib
import random
import secrets
from typing import Final
from typing import final

from baobabpulley.entry.owners import Owners
from baobabpulley.entry.team_spending import TeamSpending
from baobabpulley.errors import BaobabError
from baobabpulley.errors import Overloaded
from baobabpulley.errors import PeerUnavailable
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.messages import Acknowledgement
from baobabpulley.model.reservation_messages import GangTurnRequest
from baobabpulley.model.reservation_messages import GangTurnResponse
from baobabpulley.model.reservation_messages import HeldClaim
from baobabpulley.model.reservation_messages import HolderRenewal
from baobabpulley.model.reservation_messages import HolderRenewalResponse
from baobabpulley.model.reservation_messages import MemoryRelease
from baobabpulley.model.reservation_messages import MemoryRequest
from baobabpulley.model.reservation_messages import MemoryResponse
from baobabpulley.model.reservations import MemoryClaim
from baobabpulley.model.reservations import Reservation
from baobabpulley.policy.gang_queue import GANG_QUEUE_KEY
from baobabpulley.policy.key_owners import keepers_digest
from baobabpulley.policy.key_owners import renewal_period
from baobabpulley.policy.memory_ledger import ReservationsSection
from baobabpulley.policy.rendezvous import owner_of
from baobabpulley.policy.team_ledger import team_key
from baobabpulley.ports.reservations import Reservations
from baobabpulley.timers import TimerService

# Largest ratio of the renewal period by which a renewal is sent early.
JITTER_RATIO: Final = 0.1


@final
class EntryReservations(Reservations):
    """Memory claims of this entry by reservation, and its shares of teams' limits."""

    __slots__ = (
        "_claims",
        "_holder",
        "_owners",
        "_renewing",
        "_section",
        "_sent_digests",
        "_teams",
        "_timers",
    )

    def __init__(
        self,
        *,
        holder: str,
        owners: Owners,
        view: FleetView,
        section: ReservationsSection,
        timers: TimerService,
    ) -> None:
        self._holder = holder
        self._owners = owners
        self._section = section
        self._timers = timers
        self._claims: dict[str, dict[str, MemoryClaim]] = {}
        # Digest of the last list of keepers that was sent in full, by the address of the receiver.
        self._sent_digests: dict[str, int] = {}
        # Addresses of the keepers with a renewal in progress.
        self._renewing: set[str] = set()
        self._teams = TeamSpending(
            holder=holder, owners=owners, view=view, section=section, timers=timers
        )

    @property
    def holder(self) -> str:
        """Id under which this process holds reservations; a new one at each start."""
        return self._holder

    def start(self) -> None:
        """Start the periodic renewals."""
        self._timers.after(0.0, self._run_renewals, name="renewals")

    async def reserve(self, *, request_id: str, claims: tuple[MemoryClaim, ...]) -> Reservation:
        reservation = Reservation(
            id=f"{request_id}.{secrets.token_hex(4)}",
            holder=self._holder,
            claims=tuple(sorted(claims, key=lambda claim: claim.upstream)),
            lifetime=self._section.expiry,
        )
        try:
            for claim in reservation.claims:
                response = await self.claim(reservation.id, claim, gang=False)
                if not response.granted:
                    raise Overloaded(
                        f"cannot reserve {claim.tokens} tokens "
                        f"on {claim.upstream}: {response.reason}",
                        retry_after=response.retry_after,
                    )
        except BaobabError:
            self.release_claims(reservation.id, tuple(self._claims.get(reservation.id, {})))
            raise
        return reservation

    async def claim(self, reservation: str, claim: MemoryClaim, *, gang: bool) -> MemoryResponse:
        """Request memory on one upstream; raise `PeerUnavailable` if no keeper responds."""
        request = MemoryRequest(
            holder=self._holder, reservation=reservation, claim=claim, gang=gang
        )
        response = await self._owners.request(claim.upstream, request, reply_type=MemoryResponse)
        if response.granted:
            self._claims.setdefault(reservation, {})[claim.upstream] = claim
        return response

    async def release(self, reservation: Reservation) -> None:
        upstreams = tuple(claim.upstream for claim in reservation.claims)
        self.release_claims(reservation.id, upstreams)

    def release_claims(self, reservation: str, upstreams: tuple[str, ...]) -> None:
        """Release memory on some upstreams, or stop waiting for it; owners are notified later."""
        held = self._claims.get(reservation, {})
        for upstream in upstreams:
            held.pop(upstream, None)
        if not held:
            self._claims.pop(reservation, None)
        if not upstreams:
            return

        async def notify() -> None:
            for upstream in upstreams:
                message = MemoryRelease(
                    holder=self._holder, reservation=reservation, upstreams=(upstream,)
                )
                # If the release is lost, the grant expires.
                with contextlib.suppress(PeerUnavailable):
                    await self._owners.request(upstream, message, reply_type=Acknowledgement)

        self._timers.after(0.0, notify, name="release")

    async def request_turn(self, reservation: str, *, waited: float, ideal: float) -> bool:
        """Request or renew the turn to acquire members, and return whether it is granted.

        Only one gang of a failure domain has the turn at a time.
        """
        request = GangTurnRequest(
            holder=self._holder, reservation=reservation, waited=waited, ideal=ideal
        )
        response = await self._owners.request(GANG_QUEUE_KEY, request, reply_type=GangTurnResponse)
        return response.granted

    def end_turn(self, reservation: str) -> None:
        """End a gang's turn and remove it from the queue of gangs."""
        request = GangTurnRequest(
            holder=self._holder, reservation=reservation, waited=0.0, ideal=1.0, done=True
        )

        async def notify() -> None:
            with contextlib.suppress(PeerUnavailable):
                await self._owners.request(GANG_QUEUE_KEY, request, reply_type=GangTurnResponse)

        self._timers.after(0.0, notify, name="end turn")

    async def spend(self, *, team: str, request_id: str, tokens: int) -> None:
        await self._teams.spend(team=team, request_id=request_id, tokens=tokens)

    async def refund(self, *, team: str, request_id: str) -> None:
        self._teams.refund(team=team, request_id=request_id)

    async def _run_renewals(self) -> None:
        while True:
            self._teams.release_idle()
            addresses = self._owners.addresses
            for address in addresses:
                self._renew_soon(address)
            period = renewal_period(self._section, keepers=len(addresses))
            await self._timers.sleep(period * random.uniform(1.0 - JITTER_RATIO, 1.0))

    def _renew_soon(self, address: str) -> None:
        """Renew with one keeper in a separate task; for an unresponsive one this is the probe."""
        if address in self._renewing:
            return
        self._renewing.add(address)

        async def renew() -> None:
            try:
                with contextlib.suppress(PeerUnavailable):
                    await self._renew_at(address)
            finally:
                self._renewing.discard(address)

        self._timers.after(0.0, renew, name=f"renewal at {address}")

    async def _renew_at(self, address: str) -> None:
        candidates = self._owners.candidates
        owned = _OwnedKeys(candidates=candidates, address=address)
        teams = [team for team in self._teams.teams if team_key(team) in owned]
        claims = tuple(held for held in self._held_claims() if held.claim.upstream in owned)
        sent_at = self._timers.now()
        response = await self._send_renewal(address, tuple(candidates), claims, teams)
        if response.unknown:
            # The keeper has restarted and does not know which keepers the digest stands for.
            del self._sent_digests[address]
            response = await self._send_renewal(address, tuple(candidates), claims, teams)
        self._teams.record_renewal(teams, sent_at=sent_at)
        if response.recalled:
            self._teams.release_unused(response.recalled)
            await self._send_renewal(address, tuple(candidates), (), list(response.recalled))

    async def _send_renewal(
        self,
        address: str,
        keepers: tuple[str, ...],
        claims: tuple[HeldClaim, ...],
        teams: list[str],
    ) -> HolderRenewalResponse:
        digest = keepers_digest(keepers)
        renewal = HolderRenewal(
            holder=self._holder,
            digest=digest,
            claims=claims,
            teams=self._teams.usage_reports(teams),
            keepers=keepers if self._sent_digests.get(address) != digest else (),
        )
        response = await self._owners.request_at(address, renewal, reply_type=HolderRenewalResponse)
        self._sent_digests[address] = digest
        return response

    def _held_claims(self) -> tuple[HeldClaim, ...]:
        return tuple(
            HeldClaim(reservation=reservation, claim=claim)
            for reservation, claims in self._claims.items()
            for claim in claims.values()
        )


@final
class _OwnedKeys:
    """Set of the keys whose owner is at one address; supports only ``in``."""

    __slots__ = ("_address", "_candidates")

    def __init__(self, *, candidates: dict[str, str], address: str) -> None:
        self._candidates = candidates
        self._address = address

    def __contains__(self, key: str) -> bool:
        owner = owner_of(key, self._candidates)
        return owner is not None and self._candidates[owner] == self._address
