"""Interface of the key-value store that holds the operators' configuration."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections.abc import AsyncIterator

import msgspec

from baobabpulley.model.documents import StoredEntry


class StoreSnapshot(msgspec.Struct, frozen=True):
    """All entries under a prefix at one revision."""

    revision: int
    entries: tuple[StoredEntry, ...]


class Swap(msgspec.Struct, frozen=True):
    """A compare-and-swap of one key.

    ``expected_revision`` is the key's required modification revision; 0 requires that the key
    doesn't exist. A ``value`` of ``None`` deletes the key. ``lease`` is the id of the lease that
    the key is bound to; 0 binds it to none.
    """

    key: str
    value: bytes | None
    expected_revision: int
    lease: int = 0


class SwapOutcome(msgspec.Struct, frozen=True):
    """Result of a transaction.

    ``applied`` says whether all comparisons succeeded and the swaps were applied. ``revision`` is
    the store's revision after the transaction.
    """

    applied: bool = msgspec.field(name="held")
    revision: int


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes reported by a watch; a batch without entries is a keepalive.

    Once this batch is yielded, all changes up to ``revision`` have been. A ``revision`` of 0 gives
    no such guarantee. ``age`` is the time in seconds since which the store may have had newer
    changes: when it was asked for this batch, or answered that there are none.
    """

    revision: int
    entries: tuple[StoredEntry, ...]
    age: float = 0.0


class ConfigStore(ABC):
    """Reads, compare-and-swap transactions, leases and watches.

    Every call raises `StoreUnavailable` if it is certain to have had no effect. Writes raise
    `StoreResponseLost` if they may have been applied.
    """

    @abstractmethod
    async def read(self, prefix: str, *, last_prefix: str | None = None) -> StoreSnapshot:
        """Return all entries whose key begins with ``prefix``.

        With ``last_prefix``, return the range of keys from the first one under ``prefix`` to the
        last one under ``last_prefix``.
        """

    @abstractmethod
    async def get(self, key: str) -> StoredEntry | None:
        """Return the entry of one key, or ``None`` if the key does not exist."""

    @abstractmethod
    async def swap(self, *swaps: Swap) -> SwapOutcome:
        """Apply all swaps in one transaction if every expected revision matches, else none."""

    @abstractmethod
    async def grant_lease(self, seconds: float) -> int:
        """Return the id of a new lease that expires after ``seconds`` unless renewed."""

    @abstractmethod
    async def keep_alive(self, lease: int) -> float:
        """Renew a lease; return its remaining seconds, 0 if it has expired."""

    @abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete the keys bound to it."""

    @abstractmethod
    def watch(
        self, prefix: str, *, from_revision: int, last_prefix: str | None = None
    ) -> AsyncIterator[WatchBatch]:
        """Yield changes from ``from_revision`` on, with keepalives between them.

        Watches the same keys that `read` returns. Raises `StoreUnavailable` when the connection
        breaks or stalls, and `StoreCompacted` when the store no longer holds ``from_revision``.
        """


class MemberStore(ConfigStore):
    """A store in which a process also writes the entry that is its own."""

    @property
    @abstractmethod
    def calls(self) -> int:
        """Number of calls made so far."""

    @property
    @abstractmethod
    def era(self) -> int:
        """How often the store has come back from a copy, as far as is known."""

    @abstractmethod
    def adopt_era(self, era: int) -> None:
        """Take over a later era that other processes know of; answers of earlier ones are lost."""

    @abstractmethod
    async def put(self, key: str, value: bytes, *, lease: int) -> None:
        """Write a key unconditionally; raise `StoreUnavailable` or `StoreResponseLost`."""
