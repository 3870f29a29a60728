"""Hand over the ledgers of keys to their next owner, and fetch those of the previous owner."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final
from typing import final

from loguru import logger

from baobabpulley.errors import BaobabError
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.model.ledger_messages import LedgerExport
from baobabpulley.model.ledger_messages import LedgerExportReady
from baobabpulley.model.ledger_messages import LedgerExportRequest
from baobabpulley.model.messages import Acknowledgement
from baobabpulley.model.upstreams import Vm
from baobabpulley.policy.memory_ledger import ReservationsSection
from baobabpulley.policy.owner_ledgers import OwnerLedgers
from baobabpulley.policy.rendezvous import ranked

FETCH_TIMEOUT_SECONDS: Final = 0.8
OFFER_TIMEOUT_SECONDS: Final = 1.5
KEYS_PER_MESSAGE: Final = 200
# Maximum number of fetches of one key's ledger within one expiry time.
MAX_FETCHES: Final = 8


@final
class LedgerHandover:
    """Fetch the ledgers of keys that this keeper becomes the owner of, and offer its own."""

    __slots__ = ("_context", "_fetched_at", "_fetching", "_section", "ledgers")

    def __init__(self, *, context: KeeperContext, section: ReservationsSection) -> None:
        self._context = context
        self._section = section
        self._fetching: dict[str, asyncio.Event] = {}
        self._fetched_at: dict[str, deque[float]] = {}
        self.ledgers = OwnerLedgers(section=section)

    def renew(self, keys: tuple[str, ...]) -> None:
        """Record that a holder regards this keeper as the owner of keys.

        The ledgers of keys that were not owned before are fetched.
        """
        now = self._context.timers.now()
        by_vm: dict[Vm, list[str]] = {}
        for key in keys:
            if not self.ledgers.handover.is_owner(key, now=now) and self._may_fetch(key, now):
                previous = self._owner_without_self(key)
                if previous is not None:
                    by_vm.setdefault(previous, []).append(key)
            self.ledgers.handover.renew(key, now=now)
        for vm, wanted in by_vm.items():
            self._schedule_fetch(vm, tuple(wanted))

    async def renew_and_wait(self, key: str) -> None:
        """Renew a key that a holder has requested, and wait while its ledger is being fetched."""
        self.renew((key,))
        fetching = self._fetching.get(key)
        if fetching is not None:
            await fetching.wait()

    async def fetch(self, vm: Vm, keys: tuple[str, ...]) -> None:
        """Fetch the ledgers of keys from another keeper, and take them over."""
        timers = self._context.timers
        for start in range(0, len(keys), KEYS_PER_MESSAGE):
            requested_at = timers.now()
            request = LedgerExportRequest(keys=keys[start : start + KEYS_PER_MESSAGE])
            try:
                exported = await self._context.peers.request(
                    vm.address, request, reply_type=LedgerExport, timeout=FETCH_TIMEOUT_SECONDS
                )
            except BaobabError as error:
                logger.debug("could not fetch ledgers from {}: {}", vm.id, error.message)
                return
            taken_over = self.ledgers.take_over(
                exported, requested_at=requested_at, now=timers.now()
            )
            self._context.metrics.keys_taken_over.inc(taken_over)

    async def hand_over(self) -> None:
        """Have the next owner of each key fetch its ledger.

        If a handover fails, the next owner waits for a grace period of one expiry time.
        """
        by_vm: dict[Vm, list[str]] = {}
        for key in self.ledgers.handover.grantable_keys(now=self._context.timers.now()):
            successor = self._owner_without_self(key)
            if successor is not None:
                by_vm.setdefault(successor, []).append(key)
        await asyncio.gather(*(self._offer(vm, tuple(keys)) for vm, keys in by_vm.items()))

    async def _offer(self, vm: Vm, keys: tuple[str, ...]) -> None:
        ready = LedgerExportReady(vm=self._context.node.vm, keys=keys)
        try:
            await self._context.peers.request(
                vm.address, ready, reply_type=Acknowledgement, timeout=OFFER_TIMEOUT_SECONDS
            )
        except BaobabError as error:
            logger.warning("{} did not take over {} keys: {}", vm.id, len(keys), error.message)

    def _may_fetch(self, key: str, now: float) -> bool:
        # Bounds how often a ledger moves back and forth while holders disagree about its owner.
        last = self._fetched_at.get(key)
        return last is None or len(last) < MAX_FETCHES or now - last[0] > self._section.expiry

    def _schedule_fetch(self, vm: Vm, keys: tuple[str, ...]) -> None:
        done = asyncio.Event()
        now = self._context.timers.now()
        for key in keys:
            self._fetching[key] = done
            self._fetched_at.setdefault(key, deque(maxlen=MAX_FETCHES)).append(now)

        async def fetch() -> None:
            try:
                await self.fetch(vm, keys)
            finally:
                done.set()
                for key in keys:
                    self._fetching.pop(key, None)

        self._context.timers.after(0.0, fetch, name=f"ledgers of {vm.id}")

    def _owner_without_self(self, key: str) -> Vm | None:
        """Return the owner that a key would have without this keeper.

        It owned the key before this keeper joined, and will own it after this keeper stops.
        """
        node = self._context.node
        membership = self._context.membership
        listed = self._context.view.keepers
        live = membership.live_keepers(node.failure_domain) if membership.settled else listed
        others = {vm.id: vm for vm in live if vm.id != node.vm}
        order = ranked(key, others)
        return others[order[0]] if order else None
