"""Group commit: claims of concurrent calls share transactions of the configuration store."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import final

from baobabpulley.errors import BaobabError
from baobabpulley.ports.config_store import ConfigStore
from baobabpulley.ports.config_store import Swap
from baobabpulley.ports.config_store import SwapOutcome
from baobabpulley.timers import TimerService

# New claims share a lease for 1/24 of the retention, so that each is kept for at least 23/24.
LEASES_PER_RETENTION: Final = 24


@final
class ClaimWriter:
    """Collect swaps for ``gather`` model seconds and send them in one transaction.

    A transaction succeeds only if all its swaps do, so after a failure each swap is sent alone.
    """

    __slots__ = (
        "_gather",
        "_lease",
        "_lease_lock",
        "_max_batch",
        "_next_lease_at",
        "_retention",
        "_store",
        "_timers",
        "_transactions",
        "_waiting",
    )

    def __init__(
        self,
        *,
        store: ConfigStore,
        timers: TimerService,
        retention: float,
        gather: float,
        max_batch: int,
    ) -> None:
        self._store = store
        self._timers = timers
        self._retention = retention
        self._gather = gather
        self._max_batch = max_batch
        self._waiting: list[tuple[Swap, asyncio.Future[SwapOutcome]]] = []
        self._lease = 0
        self._next_lease_at = float("-inf")
        self._lease_lock = asyncio.Lock()
        self._transactions = 0

    @property
    def transactions(self) -> int:
        """Number of transactions sent so far."""
        return self._transactions

    def forget_lease(self) -> None:
        """Drop the current lease, which the store may have lost; the next claim gets a new one."""
        self._next_lease_at = float("-inf")

    async def create(self, key: str, value: bytes) -> SwapOutcome:
        """Create a key if it is absent; it expires with its lease."""
        lease = await self._current_lease()
        return await self._write(Swap(key=key, value=value, expected_revision=0, lease=lease))

    async def replace(self, key: str, value: bytes, *, expected: int) -> SwapOutcome:
        """Replace a key if it is at the expected revision, and attach it to the current lease."""
        lease = await self._current_lease()
        return await self._write(
            Swap(key=key, value=value, expected_revision=expected, lease=lease)
        )

    async def _current_lease(self) -> int:
        async with self._lease_lock:
            now = self._timers.now()
            if now >= self._next_lease_at:
                self._lease = await self._store.grant_lease(self._retention)
                self._next_lease_at = now + self._retention / LEASES_PER_RETENTION
            return self._lease

    async def _write(self, swap: Swap) -> SwapOutcome:
        future: asyncio.Future[SwapOutcome] = asyncio.get_running_loop().create_future()
        self._waiting.append((swap, future))
        if len(self._waiting) == 1:
            self._timers.after(self._gather, self._flush, name="claims")
        return await future

    async def _flush(self) -> None:
        while self._waiting:
            await self._send(self._next_batch())

    def _next_batch(self) -> list[tuple[Swap, asyncio.Future[SwapOutcome]]]:
        # Two swaps of one key would both succeed in one transaction, as neither sees the other.
        batch: dict[str, tuple[Swap, asyncio.Future[SwapOutcome]]] = {}
        remaining = []
        for item in self._waiting:
            key = item[0].key
            if key in batch or len(batch) >= self._max_batch:
                remaining.append(item)
            else:
                batch[key] = item
        self._waiting = remaining
        return list(batch.values())

    async def _send(self, batch: list[tuple[Swap, asyncio.Future[SwapOutcome]]]) -> None:
        self._transactions += 1
        try:
            outcome = await self._store.swap(*(swap for swap, _ in batch))
        except BaobabError as error:
            for _, future in batch:
                if not future.done():
                    future.set_exception(error)
            return
        if outcome.applied or len(batch) == 1:
            for _, future in batch:
                if not future.done():
                    future.set_result(outcome)
            return
        for item in batch:
            await self._send([item])
