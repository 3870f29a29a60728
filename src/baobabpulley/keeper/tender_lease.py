"""The lease that names the keeper that gives a failure domain's orders.

The fencing number is the create revision of the lease's key, so that a later holder's is
greater. The holder's own deadline is counted on its monotonic clock from before it asked the
store, and ends ``margin`` before the store can let the lease lapse.
"""

from __future__ import annotations

import contextlib
import secrets
from typing import final

from baobabpulley.errors import OrderTooLate
from baobabpulley.errors import StoreUnavailable
from baobabpulley.ports.config_store import ConfigStore
from baobabpulley.ports.config_store import Swap
from baobabpulley.timers import TimerService


@final
class TenderLease:
    """Acquire, renew and check the right to give orders. Times are model seconds."""

    __slots__ = (
        "_acquired_at",
        "_deadline",
        "_fence",
        "_holder",
        "_key",
        "_lease",
        "_margin",
        "_store",
        "_timers",
        "_ttl",
    )

    def __init__(
        self,
        *,
        store: ConfigStore,
        timers: TimerService,
        key: str,
        vm: str,
        ttl: float,
        margin: float,
    ) -> None:
        self._store = store
        self._timers = timers
        self._key = key
        self._holder = f"{vm}/{secrets.token_hex(4)}"
        self._ttl = ttl
        self._margin = margin
        self._lease = 0
        self._fence = 0
        self._deadline = float("-inf")
        self._acquired_at = 0.0

    @property
    def fence(self) -> int:
        """Fencing number of the lease last acquired, 0 before the first."""
        return self._fence

    @property
    def acquired_at(self) -> float:
        """Model time at which this process got to know that it holds the lease."""
        return self._acquired_at

    @property
    def acquired(self) -> bool:
        """Whether there is a lease to renew, be it past the deadline or not."""
        return self._lease != 0

    def holds(self) -> bool:
        """Whether orders may be given at this moment."""
        return self._lease != 0 and self._timers.now() < self._deadline

    def check(self) -> None:
        """Raise `OrderTooLate` unless orders may be given at this moment."""
        if not self.holds():
            raise OrderTooLate(f"the right to give orders under fence {self._fence} has ended")

    async def acquire(self) -> bool:
        """Try to get the lease; return whether this process holds it now."""
        if await self._store.get(self._key) is not None:
            return False
        asked = self._timers.now()
        lease = await self._store.grant_lease(self._ttl)
        # A swap whose answer is lost may have held; what the key says next decides.
        with contextlib.suppress(StoreUnavailable):
            await self._store.swap(
                Swap(
                    key=self._key,
                    value=self._holder.encode(),
                    expected_revision=0,
                    lease=lease,
                )
            )
        entry = await self._store.get(self._key)
        if entry is None or entry.lease != lease:
            with contextlib.suppress(StoreUnavailable):
                await self._store.revoke_lease(lease)
            return False
        self._lease = lease
        self._fence = entry.create_revision
        self._deadline = asked + self._ttl - self._margin
        self._acquired_at = self._timers.now()
        return self.holds()

    async def renew(self) -> None:
        """Keep the lease alive; without an answer the deadline stays where it is."""
        asked = self._timers.now()
        lease = self._lease
        with contextlib.suppress(StoreUnavailable):
            left = await self._store.keep_alive(lease)
            if left <= 0:
                self._forget()
                return
            self._deadline = asked + min(left, self._ttl) - self._margin

    async def release(self) -> None:
        """Give the lease back, so that another keeper need not wait for it to lapse."""
        lease = self._lease
        self._forget()
        if lease:
            with contextlib.suppress(StoreUnavailable):
                await self._store.revoke_lease(lease)

    def _forget(self) -> None:
        self._lease = 0
        self._deadline = float("-inf")
