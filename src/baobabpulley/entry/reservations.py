"""Reservations as an entry holds them: asked for at home keepers, renewed once a second."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from collections import defaultdict
from typing import Final
from typing import final

from baobabpulley.entry.homes import Homes
from baobabpulley.entry.team_share import TeamShare
from baobabpulley.errors import BaobabError
from baobabpulley.errors import Overloaded
from baobabpulley.errors import PeerUnavailable
from baobabpulley.errors import TeamLimitReached
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
from baobabpulley.model.reservation_messages import TeamAnswer
from baobabpulley.model.reservation_messages import TeamAsk
from baobabpulley.model.reservation_messages import TeamHold
from baobabpulley.model.reservations import MemoryClaim
from baobabpulley.model.reservations import Reservation
from baobabpulley.policy.gang_queue import GANGS_KEY
from baobabpulley.policy.reservation_book import ASK_AGAIN
from baobabpulley.policy.reservation_book import ReservationsSection
from baobabpulley.policy.team_book import team_key
from baobabpulley.ports.reservations import Reservations
from baobabpulley.timers import TimerService

LEASE_MARGIN: Final = 0.5
TEAM_RETRY_AFTER: Final = 2.0
CUSHION_DIVISOR: Final = 8


@final
class EntryReservations(Reservations):
    """All that this entry holds, by reservation and by team."""

    __slots__ = (
        "_claims",
        "_holder",
        "_homes",
        "_locks",
        "_section",
        "_shares",
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
        self._shares: dict[str, TeamShare] = {}
        self._locks: dict[str, asyncio.Lock] = defaultdict(asyncio.Lock)

    @property
    def holder(self) -> str:
        """The name under which this process holds things; new with each start."""
        return self._holder

    def start(self) -> None:
        """Begin to renew."""
        self._timers.after(0.0, self._renew, name="first renewal")
        self._timers.every(self._section.renewal, self._renew, jitter=0.1, name="renewal")

    async def reserve(
        self, *, request_id: str, claims: tuple[MemoryClaim, ...], waited: float, ideal: float
    ) -> Reservation:
        del waited, ideal
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
        share = self._shares.setdefault(team, TeamShare())
        limit = self._view.book.limit(team).max_tokens_in_flight
        if share.knows(request_id):
            return
        if tokens > limit:
            raise TeamLimitReached(
                f"the prompt has {tokens} tokens; {team} may have {limit} in flight",
                remedy="Shorten the prompt, or ask your operator to raise max_tokens_in_flight.",
            )
        give_up = self._timers.now() + self._section.expiry + 2 * self._section.renewal
        while not self._covers(share, tokens):
            answer = await self._ask_team(team, share, tokens)
            if answer is None or answer.granted:
                continue
            self._check_refused(answer, team, tokens, give_up)
            await self._timers.sleep(min(answer.retry_after, ASK_AGAIN))
        share.spend(request_id, tokens)

    async def refund(self, *, team: str, request_id: str) -> None:
        share = self._shares.get(team)
        if share is not None:
            share.refund(request_id)

    def _covers(self, share: TeamShare, tokens: int) -> bool:
        alone = self._homes.home(GANGS_KEY) is None
        return share.covers(tokens, now=self._timers.now(), alone=alone)

    async def _ask_team(self, team: str, share: TeamShare, tokens: int) -> TeamAnswer | None:
        """Ask for a larger share; return ``None`` if another question has made it unneeded."""
        async with self._locks[team]:
            if self._covers(share, tokens):
                return None
            if self._homes.home(GANGS_KEY) is not None:
                share.expire(now=self._timers.now())
            limit = self._view.book.limit(team).max_tokens_in_flight
            need = share.in_use + tokens
            cushion = min(self._section.team_allowance, limit // CUSHION_DIVISOR)
            question = TeamAsk(
                holder=self._holder,
                team=team,
                held=share.held,
                need=need,
                want=need + cushion,
                version=share.begin_ask(need + cushion),
            )
            sent = self._timers.now()
            held: int | None = None
            try:
                answer = await self._homes.ask(team_key(team), question, answer=TeamAnswer)
                held = answer.held if answer.granted else None
            except PeerUnavailable as error:
                if self._covers(share, tokens):
                    return None
                raise Overloaded(
                    f"{team}'s tokens in flight cannot be counted: {error.message}",
                    retry_after=TEAM_RETRY_AFTER,
                ) from error
            finally:
                share.end_ask(held, until=self._lease_end(sent))
            return answer

    def _check_refused(self, answer: TeamAnswer, team: str, tokens: int, give_up: float) -> None:
        """Raise the refusal unless asking again soon may help."""
        now = self._timers.now()
        if answer.retry_after and now + min(answer.retry_after, ASK_AGAIN) < give_up:
            return
        if answer.warming:
            raise Overloaded(
                f"the home of {team}'s limit has just changed", retry_after=answer.retry_after
            )
        raise TeamLimitReached(
            f"{team} may have {answer.limit} tokens in flight; {tokens} more do not fit now",
            retry_after=TEAM_RETRY_AFTER,
        )

    def _lease_end(self, sent: float) -> float:
        return sent + self._section.expiry - LEASE_MARGIN

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
        teams = set(self._view.book.limits) | set(self._shares)
        return (*self._view.upstreams, *(team_key(team) for team in sorted(teams)), GANGS_KEY)

    async def _renew_at(self, address: str, keys: tuple[str, ...]) -> None:
        own = frozenset(keys)
        teams = [team for team in self._shares if team_key(team) in own]
        renewal = HolderRenewal(
            holder=self._holder,
            keys=keys,
            claims=self._held_claims(own),
            teams=self._statements(teams),
        )
        sent = self._timers.now()
        try:
            answer = await self._homes.ask_at(address, renewal, answer=HolderRenewed)
        except PeerUnavailable:
            return
        for team in teams:
            self._shares[team].renewed(until=self._lease_end(sent))
        if answer.recalled:
            await self._give_back(address, answer.recalled)

    async def _give_back(self, address: str, teams: tuple[str, ...]) -> None:
        for team in teams:
            self._shares[team].give_back()
        renewal = HolderRenewal(
            holder=self._holder, keys=(), claims=(), teams=self._statements(teams)
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

    def _statements(self, teams: list[str] | tuple[str, ...]) -> tuple[TeamHold, ...]:
        now = self._timers.now()
        return tuple(self._shares[team].statement(team, now=now) for team in teams)
