"""Register a gateway as a member of the fleet in the store."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Final
from typing import final

from loguru import logger

from baobabpulley.adapters.addresses import split_address
from baobabpulley.errors import StoreUnavailable
from baobabpulley.gateway.sections import GatewayNodeSection
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.model.revisions import era_of
from baobabpulley.ports.config_store import MemberStore
from baobabpulley.ports.fleet_documents import FleetDocuments
from baobabpulley.ports.fleet_documents import GatewayMember
from baobabpulley.timers import TimerService

_RETRY_SECONDS: Final = 1.0
# After a return of the store, all gateways register again within this time.
_SPREAD_SECONDS: Final = 1.0


@final
class MemberRegistration:
    """Keep a gateway's member entry in the store, and renew its lease of ``lease_seconds``.

    The entry is written again, under another lease, when the store has come back from a copy: the
    lease may be gone by then, or be another gateway's.
    """

    __slots__ = (
        "_era",
        "_fleet_state",
        "_key",
        "_lease",
        "_lease_seconds",
        "_random",
        "_returned",
        "_store",
        "_timers",
        "_value",
    )

    def __init__(
        self,
        *,
        node: GatewayNodeSection,
        store: MemberStore,
        documents: FleetDocuments,
        lease_seconds: float,
        fleet_state: FleetState,
        timers: TimerService,
    ) -> None:
        host = split_address(node.control)[0]
        entry = GatewayMember(node=node.id, control=node.control, news=f"{host}:{node.news_port}")
        self._key, self._value = documents.encode_member(entry)
        self._store = store
        self._fleet_state = fleet_state
        self._lease_seconds = lease_seconds
        self._timers = timers
        self._random = random.Random()
        self._lease = 0
        # The store's era in which the lease was granted.
        self._era = 0
        self._returned = asyncio.Event()
        fleet_state.listen_to_returns(self._returned.set)

    async def run(self) -> None:
        """Keep the entry until the task is cancelled."""
        while True:
            try:
                await self._renew()
                await self._pause(self._lease_seconds / 3)
            except StoreUnavailable as error:
                logger.bind(event="membership").info(
                    "not registered in the store: {}", error.message
                )
                await self._timers.sleep(_RETRY_SECONDS)

    async def _renew(self) -> None:
        """Renew the lease, or write the entry under a new one."""
        # Other gateways may have told of a return before any answer of the store did.
        self._store.adopt_era(era_of(self._fleet_state.revision))
        if (
            self._holds_lease()
            and await self._store.keep_alive(self._lease)
            and self._holds_lease()
        ):
            return
        self._lease = 0
        lease = await self._store.grant_lease(self._lease_seconds)
        era = self._store.era
        await self._store.put(self._key, self._value, lease=lease)
        self._lease, self._era = lease, era

    def _holds_lease(self) -> bool:
        return self._lease != 0 and self._era == self._store.era

    async def _pause(self, seconds: float) -> None:
        """Wait until the lease is to be renewed, or shortly after a return of the store."""
        # `asyncio.wait_for` would swallow a cancellation that comes just as the store returns.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._timers.to_real_seconds(seconds)):
                await self._returned.wait()
        if not self._returned.is_set():
            return
        self._returned.clear()
        await self._timers.sleep(self._random.uniform(0.0, _SPREAD_SECONDS))
