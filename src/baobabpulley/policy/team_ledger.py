"""The owner's ledger of a team's tokens in flight, one limit per team and failure domain."""

from __future__ import annotations

from typing import Final
from typing import final

from baobabpulley.model.ledger_messages import ExportedShare
from baobabpulley.model.reservation_messages import TeamTokensRequest
from baobabpulley.model.reservation_messages import TeamTokensResponse
from baobabpulley.model.reservation_messages import TeamUsage
from baobabpulley.policy.handover import Handover
from baobabpulley.policy.memory_ledger import RETRY_AFTER_SECONDS
from baobabpulley.policy.memory_ledger import ReservationsSection

# Renewal intervals during which holders are asked to return unused tokens.
RECALL_RENEWALS: Final = 2


@final
class _Share:
    """The tokens that one holder may spend; ``until`` is when the share expires."""

    __slots__ = ("tokens", "until", "version")

    def __init__(self) -> None:
        self.tokens = 0
        self.version = 0
        self.until = 0.0


@final
class TeamLedger:
    """Shares by team and holder; each expires unless it is renewed.

    Only this ledger increases a share and only a message of its holder reduces it, so the sum of
    all shares, and with it the tokens in flight, never exceeds the limit.
    """

    __slots__ = ("_handover", "_recall_until", "_section", "_shares")

    def __init__(self, *, section: ReservationsSection, handover: Handover) -> None:
        self._section = section
        self._handover = handover
        self._shares: dict[str, dict[str, _Share]] = {}
        self._recall_until: dict[str, float] = {}

    def held(self, team: str, *, now: float) -> int:
        """Return the sum of all holders' shares."""
        self._drop_expired(team, now)
        return sum(share.tokens for share in self._shares.get(team, {}).values())

    def request(self, request: TeamTokensRequest, *, limit: int, now: float) -> TeamTokensResponse:
        """Increase a holder's share to what it wants, or at least to what it needs.

        A request whose version is not newer than the share's is refused as ``superseded``, and
        one in the grace period is refused as ``in_grace_period``.
        """
        key = team_key(request.team)
        self._handover.renew(key, now=now)
        self._drop_expired(request.team, now)
        share = self._renew_share(request.holder, request.team, now)
        if request.version <= share.version:
            return TeamTokensResponse(
                granted=False, held=share.tokens, limit=limit, superseded=True
            )
        share.version = request.version
        share.tokens = request.held
        grace = self._handover.grace_remaining(key, now=now)
        if grace > 0:
            return TeamTokensResponse(
                granted=False,
                held=share.tokens,
                limit=limit,
                in_grace_period=True,
                retry_after=grace,
            )
        available = limit - self.held(request.team, now=now) + share.tokens
        if request.need > available:
            return self._refuse(request, share, limit, now)
        share.tokens = max(share.tokens, min(request.want, available))
        return TeamTokensResponse(granted=True, held=share.tokens, limit=limit)

    def renew(self, holder: str, hold: TeamUsage, *, now: float) -> bool:
        """Renew a share and return whether its holder should return unused tokens."""
        self._drop_expired(hold.team, now)
        is_known = holder in self._shares.get(hold.team, {})
        if is_known or hold.held:
            share = self._renew_share(holder, hold.team, now)
            if hold.version >= share.version:
                share.tokens = hold.held
                share.version = hold.version
        return self._recall_until.get(hold.team, 0.0) > now and hold.held > hold.in_use

    def export(self, team: str, *, now: float) -> tuple[ExportedShare, ...]:
        """Return a team's shares for its next owner."""
        self._drop_expired(team, now)
        return tuple(
            ExportedShare(
                holder=holder,
                hold=TeamUsage(team=team, held=share.tokens, in_use=0, version=share.version),
            )
            for holder, share in self._shares.get(team, {}).items()
        )

    def take_over(self, exported: ExportedShare, *, now: float) -> None:
        """Record a share of the previous owner, as if its holder renewed it now."""
        hold = exported.hold
        share = self._renew_share(exported.holder, hold.team, now)
        if hold.version == share.version:
            share.tokens = max(share.tokens, hold.held)
        elif hold.version > share.version:
            share.tokens = hold.held
            share.version = hold.version

    def _refuse(
        self, request: TeamTokensRequest, share: _Share, limit: int, now: float
    ) -> TeamTokensResponse:
        # Other holders may have unused tokens: recall these with their next renewals.
        self._recall_until[request.team] = now + RECALL_RENEWALS * self._section.renewal
        return TeamTokensResponse(
            granted=False, held=share.tokens, limit=limit, retry_after=RETRY_AFTER_SECONDS
        )

    def _renew_share(self, holder: str, team: str, now: float) -> _Share:
        share = self._shares.setdefault(team, {}).setdefault(holder, _Share())
        share.until = now + self._section.expiry + self._section.linger
        return share

    def _drop_expired(self, team: str, now: float) -> None:
        shares = self._shares.get(team, {})
        for holder in [name for name, share in shares.items() if share.until < now]:
            del shares[holder]


def team_of(key: str) -> str | None:
    """Return the team that a key stands for, or ``None`` for any other key.

    >>> team_of("team/souk"), team_of("engine-1")
    ('souk', None)
    """
    kind, _, team = key.partition("/")
    return team if kind == "team" and team else None


def team_key(team: str) -> str:
    """Return the key that determines the owner of a team's ledger.

    >>> team_key("souk")
    'team/souk'
    """
    return f"team/{team}"
