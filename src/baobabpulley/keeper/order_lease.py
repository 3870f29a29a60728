"""The lease of the keeper that issues a failure domain's model orders.

The fencing token is the create revision of the lease's key, so that a later holder has a greater
one. The holder computes its deadline on its monotonic clock from before the request to the store,
so that it ends ``margin`` seconds before the store can expire the lease.
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
class OrderLease:
    """Acquire, renew and check the lease for orders. Times are model seconds."""

    __slots__ = (
        "_acquired_at",
        "_deadline",
        "_fence",
        "_holder",
        "_key",
        "_lease",
        "_margin",
        "_other_holder",
        "_other_holder_seen_at",
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
        self._other_holder = ""
        self._other_holder_seen_at = 0.0

    @property
    def other_holder(self) -> str:
        """Entry VM of the other keeper that held the lease at the last attempt, "" if none."""
        return self._other_holder

    @property
    def other_holder_seen_at(self) -> float:
        """Model time at which `other_holder` was seen to hold the lease."""
        return self._other_holder_seen_at

    @property
    def fence(self) -> int:
        """Fencing token of the lease last acquired, 0 before the first."""
        return self._fence

    @property
    def acquired_at(self) -> float:
        """Model time at which this process learned that it holds the lease."""
        return self._acquired_at

    @property
    def acquired(self) -> bool:
        """Whether there is a lease to renew, even if its deadline has passed."""
        return self._lease != 0

    def holds(self) -> bool:
        """Whether orders may be issued now."""
        return self._lease != 0 and self._timers.now() < self._deadline

    def check(self) -> float:
        """Return the seconds for which orders may be issued; raise `OrderTooLate` if none."""
        if not self.holds():
            raise OrderTooLate(f"the order lease with fencing token {self._fence} has expired")
        return self._deadline - self._timers.now()

    async def acquire(self) -> bool:
        """Try to acquire the lease; return whether this process holds it now."""
        entry = await self._store.get(self._key)
        self._other_holder = ""
        if entry is not None:
            self._other_holder = (entry.value or b"").decode(errors="replace").partition("/")[0]
            self._other_holder_seen_at = self._timers.now()
            return False
        requested_at = self._timers.now()
        lease = await self._store.grant_lease(self._ttl)
        fence = await self._create_key(lease)
        if not fence:
            with contextlib.suppress(StoreUnavailable):
                await self._store.revoke_lease(lease)
            return False
        self._lease = lease
        self._fence = fence
        self._deadline = requested_at + self._ttl - self._margin
        self._acquired_at = self._timers.now()
        return self.holds()

    async def _create_key(self, lease: int) -> int:
        """Create the key under a lease; return its create revision, 0 if it was not created."""
        swap = Swap(key=self._key, value=self._holder.encode(), expected_revision=0, lease=lease)
        try:
            outcome = await self._store.swap(swap)
            return outcome.revision if outcome.applied else 0
        except StoreUnavailable:
            # A swap whose response was lost may have been applied; the stored key decides.
            entry = await self._store.get(self._key)
            return entry.create_revision if entry is not None and entry.lease == lease else 0

    async def renew(self) -> None:
        """Renew the lease; the deadline stays as it is if the store does not respond."""
        requested_at = self._timers.now()
        lease = self._lease
        with contextlib.suppress(StoreUnavailable):
            remaining = await self._store.keep_alive(lease)
            if remaining <= 0:
                self._clear()
                return
            self._deadline = requested_at + min(remaining, self._ttl) - self._margin

    async def release(self) -> None:
        """Revoke the lease, so that another keeper need not wait until it expires."""
        lease = self._lease
        self._clear()
        if lease:
            with contextlib.suppress(StoreUnavailable):
                await self._store.revoke_lease(lease)

    def _clear(self) -> None:
        self._lease = 0
        self._deadline = float("-inf")
