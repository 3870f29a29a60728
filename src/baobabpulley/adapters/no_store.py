"""Configuration store for processes that have none configured; every call fails."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import NoReturn
from typing import final

from baobabpulley.errors import StoreUnavailable
from baobabpulley.model.documents import StoredEntry
from baobabpulley.ports.config_store import ConfigStore
from baobabpulley.ports.config_store import StoreSnapshot
from baobabpulley.ports.config_store import Swap
from baobabpulley.ports.config_store import SwapOutcome
from baobabpulley.ports.config_store import WatchBatch


@final
class NoStore(ConfigStore):
    """Raise `StoreUnavailable` on every call."""

    __slots__ = ()

    async def read(self, prefix: str) -> StoreSnapshot:
        _refuse()

    async def get(self, key: str) -> StoredEntry | None:
        _refuse()

    async def swap(self, *swaps: Swap) -> SwapOutcome:
        _refuse()

    async def grant_lease(self, seconds: float) -> int:
        _refuse()

    async def keep_alive(self, lease: int) -> float:
        _refuse()

    async def revoke_lease(self, lease: int) -> None:
        _refuse()

    async def watch(self, prefix: str, *, from_revision: int) -> AsyncIterator[WatchBatch]:
        _refuse()
        yield WatchBatch(revision=0, entries=())


def _refuse() -> NoReturn:
    raise StoreUnavailable("this process's settings name no configuration store")
