"""All books of a home keeper, and how those of some keys pass to another home."""

from __future__ import annotations

from typing import final

from baobabpulley.model.ledger_messages import ExportedKey
from baobabpulley.model.ledger_messages import LedgerExport
from baobabpulley.policy.gang_queue import GANGS_KEY
from baobabpulley.policy.gang_queue import GangQueue
from baobabpulley.policy.handover import Handover
from baobabpulley.policy.reservation_book import MemoryBook
from baobabpulley.policy.reservation_book import ReservationsSection
from baobabpulley.policy.team_book import TeamBook
from baobabpulley.policy.team_book import team_of


@final
class HomeBooks:
    """Engine memory, teams' tokens and gangs' turns under one handover."""

    __slots__ = ("gangs", "handover", "memory", "teams")

    def __init__(self, *, section: ReservationsSection) -> None:
        self.handover = Handover(expiry=section.expiry)
        self.memory = MemoryBook(section=section, handover=self.handover)
        self.teams = TeamBook(section=section, handover=self.handover)
        self.gangs = GangQueue(section=section, handover=self.handover)

    def give(self, keys: tuple[str, ...], *, now: float) -> LedgerExport:
        """Return the books of those keys that may be granted here, and grant them no more."""
        heard = [(key, self.handover.give(key, now=now)) for key in keys]
        given = tuple(ExportedKey(key=key, ago=now - at) for key, at in heard if at is not None)
        teams = [team for item in given if (team := team_of(item.key))]
        upstreams = [item.key for item in given if team_of(item.key) is None]
        queue = _has_queue(given)
        return LedgerExport(
            keys=given,
            grants=tuple(grant for id in upstreams for grant in self.memory.copy(id, now=now)),
            shares=tuple(share for team in teams for share in self.teams.copy(team, now=now)),
            gangs=self.gangs.copy(now=now) if queue else (),
            turn=self.gangs.turn if queue else "",
        )

    def take(self, books: LedgerExport, *, asked: float, now: float) -> int:
        """Enter books that were asked for at ``asked``; return how many keys may be granted."""
        for grant in books.grants:
            self.memory.take(grant, now=now)
        for share in books.shares:
            self.teams.take(share, now=now)
        if _has_queue(books.keys):
            self.gangs.take(books.gangs, turn=books.turn, now=now)
        # The answer may be late: what it says was so when it was asked for, at the earliest.
        return sum(
            self.handover.take(item.key, heard=asked - item.ago, now=now) for item in books.keys
        )


def _has_queue(keys: tuple[ExportedKey, ...]) -> bool:
    return any(item.key == GANGS_KEY for item in keys)
