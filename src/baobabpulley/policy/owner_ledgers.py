"""All books of a home keeper, and how those of some keys pass to another home."""

from __future__ import annotations

from typing import final

from baobabpulley.model.book_messages import Books
from baobabpulley.model.book_messages import KeyHeard
from baobabpulley.policy.gang_queue import GANG_QUEUE_KEY
from baobabpulley.policy.gang_queue import GangQueue
from baobabpulley.policy.handover import Handover
from baobabpulley.policy.memory_ledger import MemoryLedger
from baobabpulley.policy.memory_ledger import ReservationsSection
from baobabpulley.policy.team_ledger import TeamLedger
from baobabpulley.policy.team_ledger import team_of


@final
class OwnerLedgers:
    """Engine memory, teams' tokens and gangs' turns under one handover."""

    __slots__ = ("gangs", "handover", "memory", "teams")

    def __init__(self, *, section: ReservationsSection) -> None:
        self.handover = Handover(expiry=section.expiry)
        self.memory = MemoryLedger(section=section, handover=self.handover)
        self.teams = TeamLedger(section=section, handover=self.handover)
        self.gangs = GangQueue(section=section, handover=self.handover)

    def hand_over(self, keys: tuple[str, ...], *, now: float) -> Books:
        """Return the books of those keys that may be granted here, and grant them no more."""
        heard = [(key, self.handover.hand_over(key, now=now)) for key in keys]
        given = tuple(KeyHeard(key=key, ago=now - at) for key, at in heard if at is not None)
        teams = [team for item in given if (team := team_of(item.key))]
        upstreams = [item.key for item in given if team_of(item.key) is None]
        queue = _has_queue(given)
        return Books(
            keys=given,
            grants=tuple(grant for id in upstreams for grant in self.memory.export(id, now=now)),
            shares=tuple(share for team in teams for share in self.teams.export(team, now=now)),
            gangs=self.gangs.export(now=now) if queue else (),
            turn=self.gangs.turn if queue else "",
        )

    def take_over(self, books: Books, *, requested_at: float, now: float) -> int:
        """Enter books that were asked for at ``requested_at``; return how many keys may be granted."""
        for grant in books.grants:
            self.memory.take_over(grant, now=now)
        for share in books.shares:
            self.teams.take_over(share, now=now)
        if _has_queue(books.keys):
            self.gangs.take_over(books.gangs, turn=books.turn, now=now)
        # The answer may be late: what it says was so when it was asked for, at the earliest.
        return sum(
            self.handover.take_over(item.key, heard=requested_at - item.ago, now=now)
            for item in books.keys
        )


def _has_queue(keys: tuple[KeyHeard, ...]) -> bool:
    return any(item.key == GANG_QUEUE_KEY for item in keys)
