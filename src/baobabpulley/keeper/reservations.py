"""The home keeper's side of reservations: memory, gangs' turns and teams' tokens in flight."""

from __future__ import annotations

import contextlib
from typing import Final
from typing import final

import msgspec

from baobabpulley.errors import BaobabError
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.context import KeeperPart
from baobabpulley.keeper.context import keeper_parts
from baobabpulley.model.messages import Done
from baobabpulley.model.reservation_messages import GangTurnAnswer
from baobabpulley.model.reservation_messages import GangTurnAsk
from baobabpulley.model.reservation_messages import HolderRenewal
from baobabpulley.model.reservation_messages import HolderRenewed
from baobabpulley.model.reservation_messages import MemoryAsk
from baobabpulley.model.reservation_messages import MemoryRelease
from baobabpulley.model.reservation_messages import TeamAsk
from baobabpulley.policy.gang_queue import GangQueue
from baobabpulley.policy.handover import Handover
from baobabpulley.policy.holders import Holders
from baobabpulley.policy.home_keys import HomeKeys
from baobabpulley.policy.home_keys import KnownKeys
from baobabpulley.policy.home_keys import renewal_period
from baobabpulley.policy.home_keys import stated_keys
from baobabpulley.policy.reservation_book import MemoryBook
from baobabpulley.policy.reservation_book import ReservationsSection
from baobabpulley.policy.team_book import TeamBook

# A renewal of a holder that holds nothing here, and its answer.
RENEWAL_BYTES: Final = 195


@keeper_parts.register("reservations")
@final
class ReservationKeeper(KeeperPart):
    """Answer questions and renewals for the keys that holders take this keeper for the home of."""

    __slots__ = (
        "_context",
        "_gangs",
        "_handover",
        "_holders",
        "_home_keys",
        "_known",
        "_memory",
        "_section",
        "_teams",
    )

    def __init__(self, context: KeeperContext) -> None:
        self._context = context
        self._section = context.settings.get(ReservationsSection)
        self._handover = Handover(expiry=self._section.expiry)
        self._memory = MemoryBook(section=self._section, handover=self._handover)
        self._teams = TeamBook(section=self._section, handover=self._handover)
        self._gangs = GangQueue(section=self._section, handover=self._handover)
        self._holders = Holders(expiry=self._section.expiry)
        self._home_keys = HomeKeys(own=context.node.vm, expiry=self._section.expiry)
        self._known = KnownKeys(view=context.view)

    @property
    def holders(self) -> Holders:
        """Which holders are live."""
        return self._holders

    @property
    def bytes_a_second(self) -> float:
        """What holders' renewals take here."""
        now = self._context.timers.now()
        keepers = len(self._context.view.live_keepers)
        period = renewal_period(self._section, keepers=keepers)
        return self._holders.live_count(now=now) * RENEWAL_BYTES / period

    async def start(self) -> None:
        peers = self._context.peers
        peers.answer(HolderRenewal, self._renew)
        peers.answer(MemoryAsk, self._ask_memory)
        peers.answer(MemoryRelease, self._release_memory)
        peers.answer(TeamAsk, self._ask_team)
        peers.answer(GangTurnAsk, self._ask_turn)

    async def _renew(self, message: msgspec.Struct, sender: str) -> msgspec.Struct:
        del sender
        assert isinstance(message, HolderRenewal)
        now = self._hear(message.holder)
        if message.keepers:
            self._home_keys.learn(message.keepers)
        if not self._home_keys.knows(message.digest):
            return HolderRenewed(unknown=True)
        due = self._home_keys.due(message.digest, known=self._known.keys, now=now)
        for key in (*due, *stated_keys(message)):
            self._handover.hear(key, now=now)
        for held in message.claims:
            self._memory.renew(message.holder, held, now=now)
        recalled = [
            hold.team for hold in message.teams if self._teams.renew(message.holder, hold, now=now)
        ]
        return HolderRenewed(recalled=tuple(recalled))

    async def _ask_memory(self, message: msgspec.Struct, sender: str) -> msgspec.Struct:
        del sender
        assert isinstance(message, MemoryAsk)
        self._hear(message.holder)
        await self._refresh_load(message.claim.upstream)
        load = self._context.view.loads.get(message.claim.upstream)
        return self._memory.ask(message, load=load, now=self._context.timers.now())

    async def _refresh_load(self, id: str) -> None:
        """Ask an engine that has been quiet for its load."""
        view = self._context.view
        now = self._context.timers.now()
        load = view.loads.get(id)
        if load is not None and now - load.taken <= self._section.stale_load:
            return
        upstream = view.upstreams.get(id)
        if upstream is None:
            return
        with contextlib.suppress(BaobabError):
            report = await self._context.engine.load(upstream)
            view.set_load(report, taken=self._context.timers.now() - report.age)

    async def _release_memory(self, message: msgspec.Struct, sender: str) -> msgspec.Struct:
        del sender
        assert isinstance(message, MemoryRelease)
        self._hear(message.holder)
        for upstream in message.upstreams:
            self._memory.release(message.reservation, upstream)
        return Done()

    async def _ask_team(self, message: msgspec.Struct, sender: str) -> msgspec.Struct:
        del sender
        assert isinstance(message, TeamAsk)
        now = self._hear(message.holder)
        limit = self._context.view.book.limit(message.team).max_tokens_in_flight
        return self._teams.ask(message, limit=limit, now=now)

    async def _ask_turn(self, message: msgspec.Struct, sender: str) -> msgspec.Struct:
        del sender
        assert isinstance(message, GangTurnAsk)
        now = self._hear(message.holder)
        return GangTurnAnswer(granted=self._gangs.ask(message, now=now))

    def _hear(self, holder: str) -> float:
        now = self._context.timers.now()
        self._holders.hear(holder, now=now)
        return now
