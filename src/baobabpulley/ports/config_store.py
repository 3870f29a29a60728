"""The platform's key-value service that holds the operators' configuration."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections.abc import AsyncIterator

import msgspec

from baobabpulley.model.documents import StoredEntry


class StoreSnapshot(msgspec.Struct, frozen=True):
    """All keys below a prefix at one revision."""

    revision: int
    entries: tuple[StoredEntry, ...]


class Swap(msgspec.Struct, frozen=True):
    """One compare-and-swap; ``expected_revision`` 0 means that the key must not exist.

    ``value`` ``None`` deletes the key. ``lease`` 0 means that the key outlives its writer.
    """

    key: str
    value: bytes | None
    expected_revision: int
    lease: int = 0


class SwapOutcome(msgspec.Struct, frozen=True):
    """Whether all swaps of a transaction held, and the store's revision after it."""

    held: bool
    revision: int


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes seen by a watch; without entries it is a sign of life.

    All changes up to ``revision`` have been yielded with this batch; 0 says nothing of that.
    """

    revision: int
    entries: tuple[StoredEntry, ...]


class ConfigStore(ABC):
    """Read, swap, lease and watch.

    Each call raises `StoreUnavailable` if it surely had no effect, and writes raise
    `StoreResponseLost` if they may have had one.
    """

    @abstractmethod
    async def read(self, prefix: str, *, last_prefix: str | None = None) -> StoreSnapshot:
        """Return all keys that begin with ``prefix``, or up to those of ``last_prefix``."""

    @abstractmethod
    async def get(self, key: str) -> StoredEntry | None:
        """Return one key, or ``None`` if it does not exist."""

    @abstractmethod
    async def swap(self, *swaps: Swap) -> SwapOutcome:
        """Apply all swaps in one transaction if every expected revision holds, else none."""

    @abstractmethod
    async def grant_lease(self, seconds: float) -> int:
        """Return the id of a new lease that lapses after ``seconds`` unless kept alive."""

    @abstractmethod
    async def keep_alive(self, lease: int) -> float:
        """Renew a lease; return its remaining seconds, 0 if it has lapsed."""

    @abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete the keys bound to it."""

    @abstractmethod
    def watch(
        self, prefix: str, *, from_revision: int, last_prefix: str | None = None
    ) -> AsyncIterator[WatchBatch]:
        """Yield changes from a revision on, and signs of life between them.

        The keys are those of `read`. Ends with `StoreUnavailable` when the connection breaks or
        stays silent, and with `StoreCompacted` when the store no longer holds ``from_revision``.
        """
