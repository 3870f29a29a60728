"""An in-memory configuration store with the faults that writers and watchers can meet.

An operation may fail because the store is down or a failure domain cannot reach it. The response
to a transaction may be lost, whether or not it is applied. A watch may send no events, or request
revisions that have been compacted.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator

from baobabpulley.errors import StoreCompacted
from baobabpulley.errors import StoreResponseLost
from baobabpulley.errors import StoreUnavailable
from baobabpulley.model.documents import StoredEntry
from baobabpulley.ports.config_store import ConfigStore
from baobabpulley.ports.config_store import StoreSnapshot
from baobabpulley.ports.config_store import Swap
from baobabpulley.ports.config_store import SwapOutcome
from baobabpulley.ports.config_store import WatchBatch
from baobabpulley.timers import TimerService

STEP_SECONDS = 0.1
PROGRESS_PERIOD_SECONDS = 1.0
SILENCE_TIMEOUT_SECONDS = 2.0


class StoreState:
    """The contents of the store, and the faults to inject.

    ``disconnected_domains`` are the failure domains that cannot reach the store,
    ``disconnected_processes`` the addresses of single processes.
    ``response_loss_ratio`` is the share of transactions whose response is lost; the responses to
    the next ``responses_to_lose`` transactions are always lost. Such a transaction is applied at
    one of ``lost_swap_timings``: now, never, or late, before some later call; each call applies one
    of ``delayed_swaps`` with probability ``delayed_swap_ratio``. Watches up to number
    ``last_silent_watch`` of ``watches_opened`` send no events and then fail. ``max_yields`` is
    how often an operation may yield to other tasks.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.items: dict[str, StoredEntry] = {}
        self.history: list[StoredEntry] = []
        self.revision = 1
        self.compacted_revision = 0
        self.down = False
        self.disconnected_domains: set[str] = set()
        self.disconnected_processes: set[str] = set()
        self.last_silent_watch = 0
        self.watches_opened = 0
        self.response_loss_ratio = 0.0
        self.responses_to_lose = 0
        self.max_yields = 0
        self.calls = 0
        self.lost_swap_timings = ("now", "never", "late")
        self.delayed_swaps: list[tuple[Swap, ...]] = []
        self.delayed_swap_ratio = 0.5

    def put(self, key: str, value: bytes | None) -> int:
        """Write or delete a key, as an operator does with the store's own tools."""
        current = self.items.get(key)
        revision = current.mod_revision if current else 0
        assert self.apply((Swap(key=key, value=value, expected_revision=revision),)).applied
        return self.revision

    def apply(self, swaps: tuple[Swap, ...]) -> SwapOutcome:
        """Apply a transaction if all keys have their expected revisions."""
        for swap in swaps:
            current = self.items.get(swap.key)
            if (current.mod_revision if current else 0) != swap.expected_revision:
                return SwapOutcome(applied=False, revision=self.revision)
        self.revision += 1
        for swap in swaps:
            entry = StoredEntry(key=swap.key, value=swap.value, mod_revision=self.revision)
            self.history.append(entry)
            self.items[swap.key] = entry
            if swap.value is None:
                del self.items[swap.key]
        return SwapOutcome(applied=True, revision=self.revision)


class FakeStore(ConfigStore):
    """A client of the store in the process ``address``; ``domain`` is its failure domain."""

    def __init__(
        self, state: StoreState, *, timers: TimerService, domain: str = "", address: str = ""
    ) -> None:
        self._address = address
        self._state = state
        self._timers = timers
        self._domain = domain

    async def read(self, prefix: str, *, last_prefix: str | None = None) -> StoreSnapshot:
        await self._call()
        end = (last_prefix or prefix) + "\uffff"
        entries = [item for key, item in sorted(self._state.items.items()) if prefix <= key < end]
        return StoreSnapshot(revision=self._state.revision, entries=tuple(entries))

    async def get(self, key: str) -> StoredEntry | None:
        await self._call()
        return self._state.items.get(key)

    async def swap(self, *swaps: Swap) -> SwapOutcome:
        state = self._state
        await self._call()
        if state.random.random() < state.response_loss_ratio or state.responses_to_lose > 0:
            state.responses_to_lose -= 1
            # The transaction is applied at once, never, or after the writer has read the keys.
            timing = state.random.choice(state.lost_swap_timings)
            if timing == "now":
                state.apply(swaps)
            elif timing == "late":
                state.delayed_swaps.append(swaps)
            raise StoreResponseLost("the response to the transaction was lost")
        outcome = state.apply(swaps)
        await self._yield()
        return outcome

    async def grant_lease(self, seconds: float) -> int:
        await self._call()
        return 7

    async def keep_alive(self, lease: int) -> float:
        raise NotImplementedError

    async def revoke_lease(self, lease: int) -> None:
        raise NotImplementedError

    async def watch(
        self, prefix: str, *, from_revision: int, last_prefix: str | None = None
    ) -> AsyncIterator[WatchBatch]:
        state = self._state
        await self._call()
        state.watches_opened += 1
        number = state.watches_opened
        end = (last_prefix or prefix) + "\uffff"
        yield WatchBatch(revision=0, entries=())
        if from_revision <= state.compacted_revision:
            raise StoreCompacted("the requested revisions have been compacted")
        sent_revision, sent_at = from_revision - 1, self._timers.now()
        while True:
            await self._timers.sleep(STEP_SECONDS)
            if number <= state.last_silent_watch:
                await self._timers.sleep(SILENCE_TIMEOUT_SECONDS)
                raise StoreUnavailable("the watch received no events in time")
            self._check()
            newest_revision = state.revision
            new = [
                item
                for item in state.history
                if sent_revision < item.mod_revision <= newest_revision and prefix <= item.key < end
            ]
            sent_revision = newest_revision
            if new:
                yield WatchBatch(revision=new[-1].mod_revision, entries=tuple(new))
            elif self._timers.now() - sent_at >= PROGRESS_PERIOD_SECONDS:
                sent_at = self._timers.now()
                yield WatchBatch(revision=newest_revision, entries=())

    async def _call(self) -> None:
        self._state.calls += 1
        await self._yield()
        delayed = self._state.delayed_swaps
        if delayed and self._state.random.random() < self._state.delayed_swap_ratio:
            self._state.apply(delayed.pop(0))
        self._check()

    def _check(self) -> None:
        if (
            self._state.down
            or self._domain in self._state.disconnected_domains
            or self._address in self._state.disconnected_processes
        ):
            raise StoreUnavailable("the store is unreachable")

    async def _yield(self) -> None:
        for _ in range(self._state.random.randint(0, self._state.max_yields)):
            await asyncio.sleep(0)
