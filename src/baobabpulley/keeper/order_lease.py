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
class OrderLease:
    """Acquire, renew and check the right to give orders. Times are model seconds."""

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
        """The entry VM whose keeper held the lease when this process last asked, if any."""
        return self._other_holder

    @property
    def other_holder_seen_at(self) -> float:
        """Model time at which `other` was seen to hold the lease."""
        return self._other_holder_seen_at

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

    def check(self) -> float:
        """Raise `OrderTooLate` unless orders may be given now; return for how long they may."""
        if not self.holds():
            raise OrderTooLate(f"the right to give orders under fence {self._fence} has ended")
        return self._deadline - self._timers.now()

    async def acquire(self) -> bool:
        """Try to get the lease; return whether this process holds it now."""
        held = await self._store.get(self._key)
        self._other_holder = ""
        if held is not None:
            self._other_holder = (held.value or b"").decode(errors="replace").partition("/")[0]
            self._other_holder_seen_at = self._timers.now()
            return False
        asked = self._timers.now()
        lease = await self._store.grant_lease(self._ttl)
        fence = await self._create_key(lease)
        if not fence:
            with contextlib.suppress(StoreUnavailable):
                await self._store.revoke_lease(lease)
            return False
        self._lease = lease
        self._fence = fence
        self._deadline = asked + self._ttl - self._margin
        self._acquired_at = self._timers.now()
        return self.holds()

    async def _create_key(self, lease: int) -> int:
        """Return the revision at which the key was created under a lease, 0 if it was not."""
        swap = Swap(key=self._key, value=self._holder.encode(), expected_revision=0, lease=lease)
        try:
            outcome = await self._store.swap(swap)
            return outcome.revision if outcome.held else 0
        except StoreUnavailable:
            # A swap whose answer is lost may have held; what the key says next decides.
            entry = await self._store.get(self._key)
            return entry.create_revision if entry is not None and entry.lease == lease else 0

    async def renew(self) -> None:
        """Keep the lease alive; without an answer the deadline stays where it is."""
        asked = self._timers.now()
        lease = self._lease
        with contextlib.suppress(StoreUnavailable):
            left = await self._store.keep_alive(lease)
            if left <= 0:
                self._clear()
                return
            self._deadline = asked + min(left, self._ttl) - self._margin

    async def release(self) -> None:
        """Give the lease back, so that another keeper need not wait for it to lapse."""
        lease = self._lease
        self._clear()
        if lease:
            with contextlib.suppress(StoreUnavailable):
                await self._store.revoke_lease(lease)

    def _clear(self) -> None:
        self._lease = 0
        self._deadline = float("-inf")
