"""Group commit: claims of concurrent calls share transactions of the store."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import final

from baobabpulley.errors import BaobabError
from baobabpulley.ports.config_store import ConfigStore
from baobabpulley.ports.config_store import Swap
from baobabpulley.ports.config_store import SwapOutcome
from baobabpulley.timers import TimerService

# A lease is taken for so many parts of the retention before the next one is.
LEASES_PER_RETENTION: Final = 24


@final
class ClaimWriter:
    """Gather swaps for a moment and send them in one transaction.

    A transaction holds only if all its swaps do, so after a refusal each is tried alone.
    """

    __slots__ = (
        "_gather",
        "_lease",
        "_lease_ends",
        "_lease_lock",
        "_max_batch",
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
        self._lease_ends = float("-inf")
        self._lease_lock = asyncio.Lock()
        self._transactions = 0

    @property
    def transactions(self) -> int:
        """Transactions sent so far."""
        return self._transactions

    def forget_lease(self) -> None:
        """Take a new lease for the next claim; the store may not know the present one."""
        self._lease_ends = float("-inf")

    async def create(self, key: str, value: bytes) -> SwapOutcome:
        """Create a key if it is absent; it lapses after the retention."""
        lease = await self._current_lease()
        return await self._write(Swap(key=key, value=value, expected_revision=0, lease=lease))

    async def replace(self, key: str, value: bytes, *, expected: int) -> SwapOutcome:
        """Replace a key that is still at the revision expected; it keeps a lease."""
        lease = await self._current_lease()
        return await self._write(
            Swap(key=key, value=value, expected_revision=expected, lease=lease)
        )

    async def _current_lease(self) -> int:
        async with self._lease_lock:
            now = self._timers.now()
            if now >= self._lease_ends:
                self._lease = await self._store.grant_lease(self._retention)
                self._lease_ends = now + self._retention / LEASES_PER_RETENTION
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
        # Two swaps of one key would both hold in one transaction, as neither sees the other.
        batch: dict[str, tuple[Swap, asyncio.Future[SwapOutcome]]] = {}
        left = []
        for item in self._waiting:
            key = item[0].key
            if key in batch or len(batch) >= self._max_batch:
                left.append(item)
            else:
                batch[key] = item
        self._waiting = left
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
        if outcome.held or len(batch) == 1:
            for _, future in batch:
                if not future.done():
                    future.set_result(outcome)
            return
        for item in batch:
            await self._send([item])
