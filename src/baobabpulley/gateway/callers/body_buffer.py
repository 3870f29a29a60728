"""The body of one request, counted from its first byte until the request has been answered."""

from __future__ import annotations

from typing import final

from baobabpulley.policy.memory_budget import MemoryBudget


@final
class BodyBuffer:
    """Collect a body without a cost of its own for each of many small pieces."""

    __slots__ = ("_budget", "_counted", "_data")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._data = bytearray()
        self._counted = 0

    @property
    def held_bytes(self) -> int:
        """Memory that the body takes."""
        return self._counted

    def add(self, piece: bytes) -> None:
        """Append a piece."""
        self._data += piece
        self._counted += len(piece)
        self._budget.change(len(piece))

    def take(self) -> bytes:
        """Return the body, which stays counted until `release`."""
        body = bytes(self._data)
        self._data = bytearray()
        return body

    def release(self) -> None:
        """Drop the body, or end the count of one that was taken."""
        self._data = bytearray()
        self._budget.change(-self._counted)
        self._counted = 0
