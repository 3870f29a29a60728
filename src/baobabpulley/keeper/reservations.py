"""The owner's side of reservations: engine memory, gang turns and teams' tokens in flight."""

from __future__ import annotations

import contextlib
from typing import Final
from typing import final

import msgspec

from baobabpulley.errors import BaobabError
from baobabpulley.errors import PeerLeaving
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.context import KeeperPart
from baobabpulley.keeper.context import keeper_parts
from baobabpulley.keeper.ledger_handover import LedgerHandover
from baobabpulley.model.ledger_messages import LedgerExportReady
from baobabpulley.model.ledger_messages import LedgerExportRequest
from baobabpulley.model.messages import Acknowledgement
from baobabpulley.model.reservation_messages import GangTurnRequest
from baobabpulley.model.reservation_messages import GangTurnResponse
from baobabpulley.model.reservation_messages import HolderRenewal
from baobabpulley.model.reservation_messages import HolderRenewalResponse
from baobabpulley.model.reservation_messages import MemoryRelease
from baobabpulley.model.reservation_messages import MemoryRequest
from baobabpulley.model.reservation_messages import TeamTokensRequest
from baobabpulley.policy.gang_queue import GANG_QUEUE_KEY
from baobabpulley.policy.holders import Holders
from baobabpulley.policy.key_owners import KnownKeys
from baobabpulley.policy.key_owners import OwnedKeys
from baobabpulley.policy.key_owners import renewal_period
from baobabpulley.policy.key_owners import renewed_keys
from baobabpulley.policy.memory_ledger import ReservationsSection
from baobabpulley.policy.team_ledger import team_key

# Renewal periods for which a draining keeper still replies, so that every holder learns of it.
DRAIN_RENEWAL_PERIODS: Final = 1.2
# Size of the renewal of a holder that holds nothing here, together with its reply.
RENEWAL_BYTES: Final = 195


@keeper_parts.register("reservations")
@final
class ReservationKeeper(KeeperPart):
    """Handle requests and renewals for the keys that holders regard as owned by this keeper."""

    __slots__ = (
        "_context",
        "_draining",
        "_holders",
        "_known",
        "_ledger_handover",
        "_owned_keys",
        "_section",
    )

    def __init__(self, context: KeeperContext) -> None:
        self._context = context
        self._section = context.settings.get(ReservationsSection)
        self._ledger_handover = LedgerHandover(context=context, section=self._section)
        self._holders = Holders(expiry=self._section.expiry)
        self._owned_keys = OwnedKeys(keeper=context.node.vm, expiry=self._section.expiry)
        self._known = KnownKeys(view=context.view)
        self._draining = False

    @property
    def ledger_handover(self) -> LedgerHandover:
        """Ledgers of what this keeper has granted, and their handover."""
        return self._ledger_handover

    @property
    def holders(self) -> Holders:
        """Which holders are live."""
        return self._holders

    @property
    def bytes_per_second(self) -> float:
        """Control traffic for holders' renewals."""
        now = self._context.timers.now()
        return self._holders.live_count(now=now) * RENEWAL_BYTES / self._renewal_period

    @property
    def _renewal_period(self) -> float:
        return renewal_period(self._section, keepers=len(self._context.view.keepers))

    async def start(self) -> None:
        peers = self._context.peers
        peers.register_handler(HolderRenewal, self._handle_renewal)
        peers.register_handler(MemoryRequest, self._handle_memory_request)
        peers.register_handler(MemoryRelease, self._handle_memory_release)
        peers.register_handler(TeamTokensRequest, self._handle_team_request)
        peers.register_handler(GangTurnRequest, self._handle_gang_turn_request)
        peers.register_handler(LedgerExportReady, self._handle_export_ready)
        peers.register_handler(LedgerExportRequest, self._handle_export_request)

    async def stop(self) -> None:
        """Stop granting, hand over the ledgers, and wait until every holder has been notified."""
        self._draining = True
        await self._ledger_handover.hand_over()
        await self._context.timers.sleep(DRAIN_RENEWAL_PERIODS * self._renewal_period)

    async def _handle_renewal(self, message: msgspec.Struct, sender: str) -> msgspec.Struct:
        del sender
        assert isinstance(message, HolderRenewal)
        now = self._renew_holder(message.holder)
        if message.keepers:
            self._owned_keys.add_keepers(message.keepers)
        if not self._owned_keys.knows(message.digest):
            return HolderRenewalResponse(unknown=True)
        due = self._owned_keys.due_keys(message.digest, known=self._known.keys, now=now)
        self._ledger_handover.renew((*due, *renewed_keys(message)))
        for claim in message.claims:
            self._ledger_handover.ledgers.memory.renew(message.holder, claim, now=now)
        recalled = [
            hold.team
            for hold in message.teams
            if self._ledger_handover.ledgers.teams.renew(message.holder, hold, now=now)
        ]
        return HolderRenewalResponse(recalled=tuple(recalled))

    async def _handle_memory_request(self, message: msgspec.Struct, sender: str) -> msgspec.Struct:
        del sender
        assert isinstance(message, MemoryRequest)
        self._renew_holder(message.holder)
        await self._ledger_handover.renew_and_wait(message.claim.upstream)
        await self._refresh_load(message.claim.upstream)
        self._check_not_draining()
        load = self._context.view.loads.get(message.claim.upstream)
        return self._ledger_handover.ledgers.memory.request(
            message, load=load, now=self._context.timers.now()
        )

    async def _refresh_load(self, id: str) -> None:
        """Request the load of an engine whose last report is stale."""
        view = self._context.view
        now = self._context.timers.now()
        load = view.loads.get(id)
        if load is not None and now - load.measured_at <= self._section.stale_load:
            return
        upstream = view.upstreams.get(id)
        if upstream is None:
            return
        with contextlib.suppress(BaobabError):
            report = await self._context.engine.load(upstream)
            view.set_load(report, measured_at=self._context.timers.now() - report.age)

    async def _handle_memory_release(self, message: msgspec.Struct, sender: str) -> msgspec.Struct:
        del sender
        assert isinstance(message, MemoryRelease)
        self._renew_holder(message.holder)
        for upstream in message.upstreams:
            self._ledger_handover.ledgers.memory.release(message.reservation, upstream)
        return Acknowledgement()

    async def _handle_team_request(self, message: msgspec.Struct, sender: str) -> msgspec.Struct:
        del sender
        assert isinstance(message, TeamTokensRequest)
        self._renew_holder(message.holder)
        await self._ledger_handover.renew_and_wait(team_key(message.team))
        now = self._renew_holder(message.holder)
        limit = self._context.view.settings_state.limit(message.team).max_tokens_in_flight
        return self._ledger_handover.ledgers.teams.request(message, limit=limit, now=now)

    async def _handle_gang_turn_request(
        self, message: msgspec.Struct, sender: str
    ) -> msgspec.Struct:
        del sender
        assert isinstance(message, GangTurnRequest)
        self._renew_holder(message.holder)
        await self._ledger_handover.renew_and_wait(GANG_QUEUE_KEY)
        now = self._renew_holder(message.holder)
        return GangTurnResponse(
            granted=self._ledger_handover.ledgers.gangs.request(message, now=now)
        )

    async def _handle_export_ready(self, message: msgspec.Struct, sender: str) -> msgspec.Struct:
        del sender
        assert isinstance(message, LedgerExportReady)
        self._check_not_draining()
        for vm in self._context.view.keepers:
            if vm.id == message.vm:
                await self._ledger_handover.fetch(vm, message.keys)
        return Acknowledgement()

    async def _handle_export_request(self, message: msgspec.Struct, sender: str) -> msgspec.Struct:
        del sender
        assert isinstance(message, LedgerExportRequest)
        return self._ledger_handover.ledgers.hand_over(message.keys, now=self._context.timers.now())

    def _check_not_draining(self) -> None:
        if self._draining:
            raise PeerLeaving(f"the keeper of VM {self._context.node.vm} is shutting down")

    def _renew_holder(self, holder: str) -> float:
        now = self._context.timers.now()
        # Also while draining, so that this keeper does not consider a live holder lost.
        self._holders.renew(holder, now=now)
        self._check_not_draining()
        return now
