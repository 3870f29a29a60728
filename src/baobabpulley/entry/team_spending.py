"""Count teams' tokens in flight: from a leased share if it covers them, else asked of the home."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from typing import Final
from typing import final

from baobabpulley.entry.owners import Owners
from baobabpulley.entry.team_share import TeamShare
from baobabpulley.errors import Overloaded
from baobabpulley.errors import PeerUnavailable
from baobabpulley.errors import TeamLimitReached
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.reservation_messages import TeamTokensRequest
from baobabpulley.model.reservation_messages import TeamTokensResponse
from baobabpulley.model.reservation_messages import TeamUsage
from baobabpulley.policy.memory_ledger import RETRY_AFTER_SECONDS
from baobabpulley.policy.memory_ledger import ReservationsSection
from baobabpulley.policy.team_ledger import team_key
from baobabpulley.timers import TimerService

LEASE_MARGIN_SECONDS: Final = 0.5
LIMIT_RETRY_AFTER_SECONDS: Final = 2.0
# Model seconds after its last request for which an entry keeps a team's share; no wait is longer.
IDLE_SECONDS: Final = 15.0
# The share of a team's limit that one entry may hold beyond what it has in use.
ALLOWANCE_DIVISOR: Final = 8
# Renewals until what other entries do not use has been given back.
RECALL_RENEWALS: Final = 2.5


@final
class TeamSpending:
    """The shares of all teams at this entry."""

    __slots__ = (
        "_first_version",
        "_holder",
        "_locks",
        "_owners",
        "_recalling",
        "_section",
        "_shares",
        "_timers",
        "_used_at",
        "_view",
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
        self._view = view
        self._section = section
        self._timers = timers
        self._shares: dict[str, TeamShare] = {}
        self._locks: dict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._recalling: dict[str, str] = {}
        self._used_at: dict[str, float] = {}
        self._first_version = 0

    @property
    def teams(self) -> frozenset[str]:
        """Teams that have spent anything here of late."""
        return frozenset(self._shares)

    async def spend(self, *, team: str, request_id: str, tokens: int) -> None:
        """Count a request in; raise `TeamLimitReached` or `Overloaded` if it cannot be."""
        self._used_at[team] = self._timers.now()
        share = self._shares.setdefault(team, TeamShare(version=self._first_version))
        if share.has_request(request_id):
            return
        limit = self._view.settings_state.limit(team).max_tokens_in_flight
        if tokens > limit:
            raise TeamLimitReached(
                f"the prompt has {tokens} tokens; {team} may have {limit} in flight",
                remedy="Shorten the prompt, or ask your operator to raise max_tokens_in_flight.",
            )
        if not self._covers(share, tokens):
            await self._extend(request_id, team, share, tokens)
        share.spend(request_id, tokens)

    def refund(self, *, team: str, request_id: str) -> None:
        """Count a request out; idempotent."""
        share = self._shares.get(team)
        if share is not None:
            self._used_at[team] = self._timers.now()
            share.refund(request_id)

    def usage_reports(self, teams: Iterable[str]) -> tuple[TeamUsage, ...]:
        """Return what to state of some teams in a renewal."""
        now = self._timers.now()
        return tuple(
            self._shares[team].usage_report(team, now=now) for team in teams if team in self._shares
        )

    def record_renewal(self, teams: Iterable[str], *, sent: float) -> None:
        """Note that the home of some teams has answered a renewal sent at a model time."""
        for team in teams:
            share = self._shares.get(team)
            if share is None:
                continue
            share.record_renewal(until=self._lease_end(sent))
            if self._is_idle(team) and not share.held:
                self._forget(team)

    def release_idle(self) -> None:
        """Keep nothing of the teams that have had no request for long; the next renewal says so.

        While no keeper answers all is kept, since nobody could grant it anew.
        """
        if not self._owners.all_unresponsive:
            self.release_unused(team for team in self._shares if self._is_idle(team))

    def _is_idle(self, team: str) -> bool:
        since = self._timers.now() - self._used_at[team]
        return since > IDLE_SECONDS and not self._shares[team].in_use

    def _forget(self, team: str) -> None:
        # The home remembers versions for longer than this entry remembers the team.
        self._first_version = max(self._first_version, self._shares[team].version)
        del self._shares[team], self._used_at[team]
        self._locks.pop(team, None)

    def release_unused(self, teams: Iterable[str]) -> None:
        """Keep only what is in use of some teams."""
        for team in teams:
            if team in self._shares:
                self._shares[team].release_unused()

    def _covers(self, share: TeamShare, tokens: int) -> bool:
        return share.covers(tokens, now=self._timers.now(), no_keeper=self._owners.all_unresponsive)

    async def _extend(self, request_id: str, team: str, share: TeamShare, tokens: int) -> None:
        """Ask until the share covers the tokens, within a bound for each reason to wait."""
        began = self._timers.now()
        try:
            while not self._covers(share, tokens):
                answer = await self._ask(team, share, tokens)
                if answer is None or answer.granted:
                    continue
                waited = self._timers.now() - began
                if answer.warming or answer.overtaken:
                    self._check_unsettled(answer, team, waited)
                else:
                    self._check_limit(answer, request_id, team, tokens, waited)
                if answer.overtaken:
                    # The next question states the share that the renewal stated.
                    continue
                await self._timers.sleep(RETRY_AFTER_SECONDS)
        finally:
            if self._recalling.get(team) == request_id:
                del self._recalling[team]

    def _check_unsettled(self, answer: TeamTokensResponse, team: str, waited: float) -> None:
        if waited > self._section.expiry + 2 * self._section.renewal:
            raise Overloaded(
                f"the home of {team}'s limit has not decided for {waited:.1f} s",
                retry_after=max(answer.retry_after, RETRY_AFTER_SECONDS),
            )

    def _check_limit(
        self, answer: TeamTokensResponse, request_id: str, team: str, tokens: int, waited: float
    ) -> None:
        # One request waits for what other entries may give back; those behind it fail at once.
        first = self._recalling.setdefault(team, request_id) == request_id
        if not first or waited > RECALL_RENEWALS * self._section.renewal:
            raise TeamLimitReached(
                f"{team} may have {answer.limit} tokens in flight; {tokens} more do not fit now",
                retry_after=LIMIT_RETRY_AFTER_SECONDS,
            )

    async def _ask(self, team: str, share: TeamShare, tokens: int) -> TeamTokensResponse | None:
        """Ask for a larger share; return ``None`` if another question has made it unneeded."""
        async with self._locks[team]:
            self._used_at[team] = self._timers.now()
            if self._covers(share, tokens):
                return None
            if not self._owners.all_unresponsive:
                share.expire(now=self._timers.now())
            question = self._question(team, share, tokens)
            sent = self._timers.now()
            held: int | None = None
            try:
                answer = await self._owners.request(
                    team_key(team), question, reply_type=TeamTokensResponse
                )
                held = answer.held if answer.granted else None
            except PeerUnavailable as error:
                if self._covers(share, tokens):
                    return None
                raise Overloaded(
                    f"{team}'s tokens in flight cannot be counted: {error.message}",
                    retry_after=LIMIT_RETRY_AFTER_SECONDS,
                ) from error
            finally:
                share.end_request(held, until=self._lease_end(sent))
            return answer

    def _question(self, team: str, share: TeamShare, tokens: int) -> TeamTokensRequest:
        limit = self._view.settings_state.limit(team).max_tokens_in_flight
        need = share.in_use + tokens
        want = need + min(self._section.team_allowance, limit // ALLOWANCE_DIVISOR)
        held = share.held
        return TeamTokensRequest(
            holder=self._holder,
            team=team,
            held=held,
            need=need,
            want=want,
            version=share.begin_request(want),
        )

    def _lease_end(self, sent: float) -> float:
        return sent + self._section.expiry - LEASE_MARGIN_SECONDS
