"""Memory reservations as an entry sees them."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

from baobabpulley.model.reservations import MemoryClaim
from baobabpulley.model.reservations import Reservation


class Reservations(ABC):
    """Reserve engine memory for prompts above the short lane, and a team's tokens in flight."""

    @abstractmethod
    async def reserve(self, *, request_id: str, claims: tuple[MemoryClaim, ...]) -> Reservation:
        """Reserve on every upstream named, or on none.

        Raises `Overloaded` if there is no room now, `PeerUnavailable` if no home keeper answers.
        """

    @abstractmethod
    async def release(self, reservation: Reservation) -> None:
        """Give a reservation back; idempotent."""

    @abstractmethod
    async def spend(self, *, team: str, request_id: str, tokens: int) -> None:
        """Count tokens in flight for a team; raise `TeamLimitReached` past its limit."""

    @abstractmethod
    async def refund(self, *, team: str, request_id: str) -> None:
        """Give back what ``spend`` counted for the request; idempotent."""
