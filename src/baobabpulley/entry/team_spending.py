"""Count teams' tokens in flight against a leased share of each team's limit.

If the share does not cover a request, a larger one is requested from the owner of the limit.
"""

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
# Model seconds after a team's last request for which its share is kept. No request waits for a
# larger share for longer than that.
IDLE_SECONDS: Final = 15.0
# One entry may hold at most this fraction (1 / divisor) of a team's limit beyond what is in use.
ALLOWANCE_DIVISOR: Final = 8
# Number of renewal periods within which the other entries release the tokens they do not use.
RECALL_RENEWALS: Final = 2.5


@final
class TeamSpending:
    """The shares of all teams at this entry, extended on demand."""

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
        """Teams of which this entry holds a share or had a request recently."""
        return frozenset(self._shares)

    async def spend(self, *, team: str, request_id: str, tokens: int) -> None:
        """Count a request's tokens; raise `TeamLimitReached` or `Overloaded` if it is refused."""
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
        """Stop counting a request's tokens; idempotent."""
        share = self._shares.get(team)
        if share is not None:
            self._used_at[team] = self._timers.now()
            share.refund(request_id)

    def usage_reports(self, teams: Iterable[str]) -> tuple[TeamUsage, ...]:
        """Return the usage of some teams, for a renewal."""
        now = self._timers.now()
        return tuple(
            self._shares[team].usage_report(team, now=now) for team in teams if team in self._shares
        )

    def record_renewal(self, teams: Iterable[str], *, sent_at: float) -> None:
        """Extend the leases of some teams after a successful renewal sent at ``sent_at``."""
        for team in teams:
            share = self._shares.get(team)
            if share is None:
                continue
            share.record_renewal(until=self._lease_end(sent_at))
            if self._is_idle(team) and not share.held:
                self._remove(team)

    def release_idle(self) -> None:
        """Release the shares of idle teams; the next renewal reports it.

        While no keeper responds, all shares are kept, as none could be granted again.
        """
        if not self._owners.all_unresponsive:
            self.release_unused(team for team in self._shares if self._is_idle(team))

    def _is_idle(self, team: str) -> bool:
        idle_seconds = self._timers.now() - self._used_at[team]
        return idle_seconds > IDLE_SECONDS and not self._shares[team].in_use

    def _remove(self, team: str) -> None:
        # The owner remembers a team's version for longer than this entry remembers the team, so a
        # new share starts from the highest version that was used.
        self._first_version = max(self._first_version, self._shares[team].version)
        del self._shares[team], self._used_at[team]
        self._locks.pop(team, None)

    def release_unused(self, teams: Iterable[str]) -> None:
        """Release the tokens of some teams' shares that are not in use."""
        for team in teams:
            if team in self._shares:
                self._shares[team].release_unused()

    def _covers(self, share: TeamShare, tokens: int) -> bool:
        return share.covers(tokens, now=self._timers.now(), no_keeper=self._owners.all_unresponsive)

    async def _extend(self, request_id: str, team: str, share: TeamShare, tokens: int) -> None:
        """Request a larger share until it covers the tokens.

        Raises `Overloaded` or `TeamLimitReached` after a wait that is bounded by its reason.
        """
        began = self._timers.now()
        try:
            while not self._covers(share, tokens):
                response = await self._request_share(team, share, tokens)
                if response is None or response.granted:
                    continue
                waited = self._timers.now() - began
                if response.in_grace_period or response.superseded:
                    self._check_unsettled(response, team, waited)
                else:
                    self._check_limit(response, request_id, team, tokens, waited)
                if response.superseded:
                    # A renewal superseded the request; the next request states the share that the
                    # renewal reported.
                    continue
                await self._timers.sleep(RETRY_AFTER_SECONDS)
        finally:
            if self._recalling.get(team) == request_id:
                del self._recalling[team]

    def _check_unsettled(self, response: TeamTokensResponse, team: str, waited: float) -> None:
        # A new owner grants nothing for one expiry time; a superseded request is sent again.
        if waited > self._section.expiry + 2 * self._section.renewal:
            raise Overloaded(
                f"the owner of {team}'s limit has not decided within {waited:.1f} s",
                retry_after=max(response.retry_after, RETRY_AFTER_SECONDS),
            )

    def _check_limit(
        self, response: TeamTokensResponse, request_id: str, team: str, tokens: int, waited: float
    ) -> None:
        # One request waits for tokens that other entries may release; later ones fail immediately.
        first = self._recalling.setdefault(team, request_id) == request_id
        if not first or waited > RECALL_RENEWALS * self._section.renewal:
            raise TeamLimitReached(
                f"{team} may have {response.limit} tokens in flight; "
                f"{tokens} more exceed the limit now",
                retry_after=LIMIT_RETRY_AFTER_SECONDS,
            )

    async def _request_share(
        self, team: str, share: TeamShare, tokens: int
    ) -> TeamTokensResponse | None:
        """Request a larger share; return ``None`` if the share covers the tokens already."""
        async with self._locks[team]:
            self._used_at[team] = self._timers.now()
            if self._covers(share, tokens):
                return None
            if not self._owners.all_unresponsive:
                share.expire(now=self._timers.now())
            request = self._build_request(team, share, tokens)
            sent_at = self._timers.now()
            held: int | None = None
            try:
                response = await self._owners.request(
                    team_key(team), request, reply_type=TeamTokensResponse
                )
                held = response.held if response.granted else None
            except PeerUnavailable as error:
                if self._covers(share, tokens):
                    return None
                raise Overloaded(
                    f"{team}'s tokens in flight cannot be counted: {error.message}",
                    retry_after=LIMIT_RETRY_AFTER_SECONDS,
                ) from error
            finally:
                share.end_request(held, until=self._lease_end(sent_at))
            return response

    def _build_request(self, team: str, share: TeamShare, tokens: int) -> TeamTokensRequest:
        limit = self._view.settings_state.limit(team).max_tokens_in_flight
        needed_tokens = share.in_use + tokens
        wanted_tokens = needed_tokens + min(
            self._section.team_allowance, limit // ALLOWANCE_DIVISOR
        )
        held = share.held
        return TeamTokensRequest(
            holder=self._holder,
            team=team,
            held=held,
            need=needed_tokens,
            want=wanted_tokens,
            version=share.begin_request(wanted_tokens),
        )

    def _lease_end(self, sent_at: float) -> float:
        return sent_at + self._section.expiry - LEASE_MARGIN_SECONDS
