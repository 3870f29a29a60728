"""Interface for reservations of engine memory and of teams' tokens in flight."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

from baobabpulley.model.reservations import MemoryClaim
from baobabpulley.model.reservations import Reservation


class Reservations(ABC):
    """Reserve engine memory for prompts too long for the short lane, and tokens in flight."""

    @abstractmethod
    async def reserve(self, *, request_id: str, claims: tuple[MemoryClaim, ...]) -> Reservation:
        """Reserve memory on all upstreams of ``claims``, or on none.

        Raises `Overloaded` if there isn't enough free memory, and `PeerUnavailable` if no owner
        keeper replies.
        """

    @abstractmethod
    async def release(self, reservation: Reservation) -> None:
        """Release a reservation; idempotent."""

    @abstractmethod
    async def spend(self, *, team: str, request_id: str, tokens: int) -> None:
        """Add to a team's tokens in flight; raise `TeamLimitReached` above its limit."""

    @abstractmethod
    async def refund(self, *, team: str, request_id: str) -> None:
        """Subtract what `spend` added for the request; idempotent."""
