"""The ledgers of the keys that a keeper owns, and their handover to another owner."""

from __future__ import annotations

from typing import final

from baobabpulley.model.ledger_messages import ExportedKey
from baobabpulley.model.ledger_messages import LedgerExport
from baobabpulley.policy.gang_queue import GANG_QUEUE_KEY
from baobabpulley.policy.gang_queue import GangQueue
from baobabpulley.policy.handover import Handover
from baobabpulley.policy.memory_ledger import MemoryLedger
from baobabpulley.policy.memory_ledger import ReservationsSection
from baobabpulley.policy.team_ledger import TeamLedger
from baobabpulley.policy.team_ledger import team_of


@final
class OwnerLedgers:
    """Ledgers of engine memory and teams' tokens and the gang queue, with a common handover."""

    __slots__ = ("gangs", "handover", "memory", "teams")

    def __init__(self, *, section: ReservationsSection) -> None:
        self.handover = Handover(expiry=section.expiry)
        self.memory = MemoryLedger(section=section, handover=self.handover)
        self.teams = TeamLedger(section=section, handover=self.handover)
        self.gangs = GangQueue(section=section, handover=self.handover)

    def hand_over(self, keys: tuple[str, ...], *, now: float) -> LedgerExport:
        """Export the ledgers of those keys that this keeper may grant, and stop granting them."""
        renewals = [(key, self.handover.hand_over(key, now=now)) for key in keys]
        exported = tuple(
            ExportedKey(key=key, ago=now - at) for key, at in renewals if at is not None
        )
        teams = [team for item in exported if (team := team_of(item.key))]
        upstreams = [item.key for item in exported if team_of(item.key) is None]
        has_queue = _has_queue(exported)
        return LedgerExport(
            keys=exported,
            grants=tuple(grant for id in upstreams for grant in self.memory.export(id, now=now)),
            shares=tuple(share for team in teams for share in self.teams.export(team, now=now)),
            gangs=self.gangs.export(now=now) if has_queue else (),
            turn=self.gangs.turn if has_queue else "",
        )

    def take_over(self, ledgers: LedgerExport, *, requested_at: float, now: float) -> int:
        """Import ledgers and return how many of their keys may be granted from now on.

        ``requested_at`` is when this keeper sent its request for them, in model seconds.
        """
        for grant in ledgers.grants:
            self.memory.take_over(grant, now=now)
        for share in ledgers.shares:
            self.teams.take_over(share, now=now)
        if _has_queue(ledgers.keys):
            self.gangs.take_over(ledgers.gangs, turn=ledgers.turn, now=now)
        # The reply may be delayed: the state that it describes may be as old as the request.
        return sum(
            self.handover.take_over(item.key, renewed_at=requested_at - item.ago, now=now)
            for item in ledgers.keys
        )


def _has_queue(keys: tuple[ExportedKey, ...]) -> bool:
    return any(item.key == GANG_QUEUE_KEY for item in keys)
