"""Reservations as an entry holds them: asked for at home keepers, renewed once a second."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from typing import final

from baobabpulley.entry.homes import Homes
from baobabpulley.entry.team_spending import TeamSpending
from baobabpulley.errors import BaobabError
from baobabpulley.errors import Overloaded
from baobabpulley.errors import PeerUnavailable
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.messages import Done
from baobabpulley.model.reservation_messages import GangTurnAnswer
from baobabpulley.model.reservation_messages import GangTurnAsk
from baobabpulley.model.reservation_messages import HeldClaim
from baobabpulley.model.reservation_messages import HolderRenewal
from baobabpulley.model.reservation_messages import HolderRenewed
from baobabpulley.model.reservation_messages import MemoryAnswer
from baobabpulley.model.reservation_messages import MemoryAsk
from baobabpulley.model.reservation_messages import MemoryRelease
from baobabpulley.model.reservations import MemoryClaim
from baobabpulley.model.reservations import Reservation
from baobabpulley.policy.gang_queue import GANGS_KEY
from baobabpulley.policy.reservation_book import ReservationsSection
from baobabpulley.policy.team_book import team_key
from baobabpulley.ports.reservations import Reservations
from baobabpulley.timers import TimerService


@final
class EntryReservations(Reservations):
    """All that this entry holds, by reservation and by team."""

    __slots__ = (
        "_claims",
        "_holder",
        "_homes",
        "_section",
        "_teams",
        "_timers",
        "_view",
    )

    def __init__(
        self,
        *,
        holder: str,
        homes: Homes,
        view: FleetView,
        section: ReservationsSection,
        timers: TimerService,
    ) -> None:
        self._holder = holder
        self._homes = homes
        self._view = view
        self._section = section
        self._timers = timers
        self._claims: dict[str, dict[str, MemoryClaim]] = {}
        self._teams = TeamSpending(
            holder=holder, homes=homes, view=view, section=section, timers=timers
        )

    @property
    def holder(self) -> str:
        """The name under which this process holds things; new with each start."""
        return self._holder

    def start(self) -> None:
        """Begin to renew."""
        self._timers.after(0.0, self._renew, name="first renewal")
        self._timers.every(self._section.renewal, self._renew, jitter=0.1, name="renewal")

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

    async def claim(self, reservation: str, claim: MemoryClaim, *, gang: bool) -> MemoryAnswer:
        """Ask for memory on one upstream; raise `PeerUnavailable` if no keeper answers."""
        question = MemoryAsk(holder=self._holder, reservation=reservation, claim=claim, gang=gang)
        answer = await self._homes.ask(claim.upstream, question, answer=MemoryAnswer)
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
                    await self._homes.ask(upstream, message, answer=Done)

        self._timers.after(0.0, tell, name="release")

    async def turn(self, reservation: str, *, waited: float, ideal: float) -> bool:
        """Ask for, or keep, the failure domain's turn to acquire a gang."""
        question = GangTurnAsk(
            holder=self._holder, reservation=reservation, waited=waited, ideal=ideal
        )
        answer = await self._homes.ask(GANGS_KEY, question, answer=GangTurnAnswer)
        return answer.granted

    def end_turn(self, reservation: str) -> None:
        """Leave the queue of gangs."""
        question = GangTurnAsk(
            holder=self._holder, reservation=reservation, waited=0.0, ideal=1.0, done=True
        )

        async def tell() -> None:
            with contextlib.suppress(PeerUnavailable):
                await self._homes.ask(GANGS_KEY, question, answer=GangTurnAnswer)

        self._timers.after(0.0, tell, name="end turn")

    async def spend(self, *, team: str, request_id: str, tokens: int) -> None:
        await self._teams.spend(team=team, request_id=request_id, tokens=tokens)

    async def refund(self, *, team: str, request_id: str) -> None:
        self._teams.refund(team=team, request_id=request_id)

    async def _renew(self) -> None:
        """Send each home all that it is the home of; silent keepers get it empty, as a probe."""
        keys = self._keys()
        addresses = self._homes.addresses
        homes = {key: self._homes.home(key) for key in keys}
        await asyncio.gather(
            *(
                self._renew_at(address, tuple(key for key in keys if homes[key] == address))
                for address in addresses
            )
        )

    def _keys(self) -> tuple[str, ...]:
        teams = self._teams.teams.union(self._view.book.limits)
        return (*self._view.upstreams, *(team_key(team) for team in sorted(teams)), GANGS_KEY)

    async def _renew_at(self, address: str, keys: tuple[str, ...]) -> None:
        own = frozenset(keys)
        teams = [team for team in self._teams.teams if team_key(team) in own]
        renewal = HolderRenewal(
            holder=self._holder,
            keys=keys,
            claims=self._held_claims(own),
            teams=self._teams.statements(teams),
        )
        sent = self._timers.now()
        try:
            answer = await self._homes.ask_at(address, renewal, answer=HolderRenewed)
        except PeerUnavailable:
            return
        self._teams.renewed(teams, sent=sent)
        if answer.recalled:
            await self._give_back(address, answer.recalled)

    async def _give_back(self, address: str, teams: tuple[str, ...]) -> None:
        self._teams.give_back(teams)
        renewal = HolderRenewal(
            holder=self._holder, keys=(), claims=(), teams=self._teams.statements(teams)
        )
        with contextlib.suppress(PeerUnavailable):
            await self._homes.ask_at(address, renewal, answer=HolderRenewed)

    def _held_claims(self, upstreams: frozenset[str]) -> tuple[HeldClaim, ...]:
        return tuple(
            HeldClaim(reservation=reservation, claim=claim)
            for reservation, claims in self._claims.items()
            for claim in claims.values()
            if claim.upstream in upstreams
        )
