"""The home's book of a team's tokens in flight: one figure for the whole failure domain."""

from __future__ import annotations

from typing import Final
from typing import final

from baobabpulley.model.ledger_messages import ExportedShare
from baobabpulley.model.reservation_messages import TeamAnswer
from baobabpulley.model.reservation_messages import TeamAsk
from baobabpulley.model.reservation_messages import TeamHold
from baobabpulley.policy.handover import Handover
from baobabpulley.policy.reservation_book import ASK_AGAIN
from baobabpulley.policy.reservation_book import ReservationsSection

# Renewals for which holders are told to give back what they do not use.
RECALL_RENEWALS: Final = 2


@final
class _Share:
    """What one holder may spend; ``until`` is when it stops counting."""

    __slots__ = ("tokens", "until", "version")

    def __init__(self) -> None:
        self.tokens = 0
        self.version = 0
        self.until = 0.0


@final
class TeamBook:
    """Shares by team and holder.

    A share grows only here and shrinks only by its holder's word, so that the sum of all shares,
    and with it the tokens in flight, never passes the limit.
    """

    __slots__ = ("_handover", "_recalled", "_section", "_shares")

    def __init__(self, *, section: ReservationsSection, handover: Handover) -> None:
        self._section = section
        self._handover = handover
        self._shares: dict[str, dict[str, _Share]] = {}
        self._recalled: dict[str, float] = {}

    def held(self, team: str, *, now: float) -> int:
        """Return the sum of all holders' shares."""
        self._lapse(team, now)
        return sum(share.tokens for share in self._shares.get(team, {}).values())

    def ask(self, ask: TeamAsk, *, limit: int, now: float) -> TeamAnswer:
        """Let a holder's share grow, to what it wants or at least to what it needs."""
        key = team_key(ask.team)
        self._handover.hear(key, now=now)
        self._lapse(ask.team, now)
        share = self._touch(ask.holder, ask.team, now)
        if ask.version <= share.version:
            return TeamAnswer(granted=False, held=share.tokens, limit=limit, overtaken=True)
        share.version = ask.version
        share.tokens = ask.held
        warming = self._handover.remaining(key, now=now)
        if warming > 0:
            return TeamAnswer(
                granted=False, held=share.tokens, limit=limit, warming=True, retry_after=warming
            )
        room = limit - self.held(ask.team, now=now) + share.tokens
        if ask.need > room:
            return self._refuse(ask, share, limit, now)
        share.tokens = max(share.tokens, min(ask.want, room))
        return TeamAnswer(granted=True, held=share.tokens, limit=limit)

    def renew(self, holder: str, hold: TeamHold, *, now: float) -> bool:
        """Keep a share; return whether the holder should give back what it does not use."""
        self._lapse(hold.team, now)
        known = holder in self._shares.get(hold.team, {})
        if known or hold.held:
            share = self._touch(holder, hold.team, now)
            if hold.version >= share.version:
                share.tokens = hold.held
                share.version = hold.version
        return self._recalled.get(hold.team, 0.0) > now and hold.held > hold.in_use

    def copy(self, team: str, *, now: float) -> tuple[ExportedShare, ...]:
        """Return a team's shares for its next home."""
        self._lapse(team, now)
        return tuple(
            ExportedShare(
                holder=holder,
                hold=TeamHold(team=team, held=share.tokens, in_use=0, version=share.version),
            )
            for holder, share in self._shares.get(team, {}).items()
        )

    def take(self, booked: ExportedShare, *, now: float) -> None:
        """Enter another home's share as if its holder renewed it now."""
        hold = booked.hold
        share = self._touch(booked.holder, hold.team, now)
        if hold.version == share.version:
            share.tokens = max(share.tokens, hold.held)
        elif hold.version > share.version:
            share.tokens = hold.held
            share.version = hold.version

    def _refuse(self, ask: TeamAsk, share: _Share, limit: int, now: float) -> TeamAnswer:
        # Others may hold tokens that they do not use, or no longer: have them given back.
        self._recalled[ask.team] = now + RECALL_RENEWALS * self._section.renewal
        return TeamAnswer(granted=False, held=share.tokens, limit=limit, retry_after=ASK_AGAIN)

    def _touch(self, holder: str, team: str, now: float) -> _Share:
        share = self._shares.setdefault(team, {}).setdefault(holder, _Share())
        share.until = now + self._section.expiry + self._section.linger
        return share

    def _lapse(self, team: str, now: float) -> None:
        shares = self._shares.get(team, {})
        for holder in [name for name, share in shares.items() if share.until < now]:
            del shares[holder]


def team_of(key: str) -> str | None:
    """Return the team whose home a key finds, or ``None`` for any other key.

    >>> team_of("team/souk"), team_of("engine-1")
    ('souk', None)
    """
    kind, _, team = key.partition("/")
    return team if kind == "team" and team else None


def team_key(team: str) -> str:
    """Return the key by which a team's home is found.

    >>> team_key("souk")
    'team/souk'
    """
    return f"team/{team}"
