"""Reservations as an entry holds them: asked for at home keepers, renewed once a second."""

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

# Share of the renewal period by which one comes earlier at most.
JITTER_RATIO: Final = 0.1


@final
class EntryReservations(Reservations):
    """All that this entry holds, by reservation and by team."""

    __slots__ = (
        "_claims",
        "_holder",
        "_owners",
        "_renewing",
        "_section",
        "_teams",
        "_timers",
        "_told",
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
        # By address: the digest of the keepers that it was told by name, and whether it is asked.
        self._told: dict[str, int] = {}
        self._renewing: set[str] = set()
        self._teams = TeamSpending(
            holder=holder, owners=owners, view=view, section=section, timers=timers
        )

    @property
    def holder(self) -> str:
        """The name under which this process holds things; new with each start."""
        return self._holder

    def start(self) -> None:
        """Begin to renew."""
        self._timers.after(0.0, self._renew_forever, name="renewals")

    async def reserve(self, *, request_id: str, claims: tuple[MemoryClaim, ...]) -> Reservation:
        reservation = Reservation(
            id=f"{request_id}.{secrets.token_hex(4)}",
            holder=self._holder,
            claims=tuple(sorted(claims, key=lambda claim: claim.upstream)),
            lifetime=self._section.expiry,
        )
        try:
            for claim in reservation.claims:
                answer = await self.claim(reservation.id, claim, gang=False)
                if not answer.granted:
                    raise Overloaded(
                        f"no memory on {claim.upstream}: {answer.reason}",
                        retry_after=answer.retry_after,
                    )
        except BaobabError:
            self.release_claims(reservation.id, tuple(self._claims.get(reservation.id, {})))
            raise
        return reservation

    async def claim(self, reservation: str, claim: MemoryClaim, *, gang: bool) -> MemoryResponse:
        """Ask for memory on one upstream; raise `PeerUnavailable` if no keeper answers."""
        question = MemoryRequest(
            holder=self._holder, reservation=reservation, claim=claim, gang=gang
        )
        answer = await self._owners.request(claim.upstream, question, reply_type=MemoryResponse)
        if answer.granted:
            self._claims.setdefault(reservation, {})[claim.upstream] = claim
        return answer

    async def release(self, reservation: Reservation) -> None:
        upstreams = tuple(claim.upstream for claim in reservation.claims)
        self.release_claims(reservation.id, upstreams)

    def release_claims(self, reservation: str, upstreams: tuple[str, ...]) -> None:
        """Give back, or stop waiting for, memory on some upstreams; told to the homes soon."""
        held = self._claims.get(reservation, {})
        for upstream in upstreams:
            held.pop(upstream, None)
        if not held:
            self._claims.pop(reservation, None)
        if not upstreams:
            return

        async def tell() -> None:
            for upstream in upstreams:
                message = MemoryRelease(
                    holder=self._holder, reservation=reservation, upstreams=(upstream,)
                )
                # A release that is lost is made good by the grant's expiry.
                with contextlib.suppress(PeerUnavailable):
                    await self._owners.request(upstream, message, reply_type=Acknowledgement)

        self._timers.after(0.0, tell, name="release")

    async def request_turn(self, reservation: str, *, waited: float, ideal: float) -> bool:
        """Ask for, or keep, the failure domain's turn to acquire a gang."""
        question = GangTurnRequest(
            holder=self._holder, reservation=reservation, waited=waited, ideal=ideal
        )
        answer = await self._owners.request(GANG_QUEUE_KEY, question, reply_type=GangTurnResponse)
        return answer.granted

    def end_turn(self, reservation: str) -> None:
        """Leave the queue of gangs."""
        question = GangTurnRequest(
            holder=self._holder, reservation=reservation, waited=0.0, ideal=1.0, done=True
        )

        async def tell() -> None:
            with contextlib.suppress(PeerUnavailable):
                await self._owners.request(GANG_QUEUE_KEY, question, reply_type=GangTurnResponse)

        self._timers.after(0.0, tell, name="end turn")

    async def spend(self, *, team: str, request_id: str, tokens: int) -> None:
        await self._teams.spend(team=team, request_id=request_id, tokens=tokens)

    async def refund(self, *, team: str, request_id: str) -> None:
        self._teams.refund(team=team, request_id=request_id)

    async def _renew_forever(self) -> None:
        while True:
            self._teams.release_idle()
            addresses = self._owners.addresses
            for address in addresses:
                self._renew_soon(address)
            period = renewal_period(self._section, keepers=len(addresses))
            await self._timers.sleep(period * random.uniform(1.0 - JITTER_RATIO, 1.0))

    def _renew_soon(self, address: str) -> None:
        """Renew at one keeper, also a silent one as a probe, in a task of its own."""
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
        homed = _Homed(candidates=candidates, address=address)
        teams = [team for team in self._teams.teams if team_key(team) in homed]
        claims = tuple(held for held in self._held_claims() if held.claim.upstream in homed)
        sent = self._timers.now()
        answer = await self._state(address, tuple(candidates), claims, teams)
        if answer.unknown:
            # The keeper began anew, and no longer knows which keepers the digest stands for.
            del self._told[address]
            answer = await self._state(address, tuple(candidates), claims, teams)
        self._teams.record_renewal(teams, sent=sent)
        if answer.recalled:
            self._teams.release_unused(answer.recalled)
            await self._state(address, tuple(candidates), (), list(answer.recalled))

    async def _state(
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
            keepers=keepers if self._told.get(address) != digest else (),
        )
        answer = await self._owners.request_at(address, renewal, reply_type=HolderRenewalResponse)
        self._told[address] = digest
        return answer

    def _held_claims(self) -> tuple[HeldClaim, ...]:
        return tuple(
            HeldClaim(reservation=reservation, claim=claim)
            for reservation, claims in self._claims.items()
            for claim in claims.values()
        )


@final
class _Homed:
    """The keys whose home is at one address."""

    __slots__ = ("_address", "_candidates")

    def __init__(self, *, candidates: dict[str, str], address: str) -> None:
        self._candidates = candidates
        self._address = address

    def __contains__(self, key: str) -> bool:
        home = owner_of(key, self._candidates)
        return home is not None and self._candidates[home] == self._address
