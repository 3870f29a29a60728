"""What a caller's connection holds in its stream's buffers, and when the caller last read."""

from __future__ import annotations

from typing import final

from tornado.iostream import IOStream

from baobabpulley.adapters.streams import outgoing_bytes
from baobabpulley.adapters.streams import unconsumed_bytes
from baobabpulley.adapters.streams import unwritten_bytes
from baobabpulley.policy.memory_budget import CONNECTION_BYTES
from baobabpulley.policy.memory_budget import MemoryBudget


@final
class UnsentBytes:
    """Count the buffers of one connection in the budget.

    Until ``protected_until``, in monotonic seconds, the answer belongs to an order whose caller may
    still wait for it; 0 without one.
    """

    __slots__ = (
        "_budget",
        "_counted",
        "_outgoing",
        "_stream",
        "_written",
        "progress_at",
        "protected_until",
    )

    def __init__(self, stream: IOStream, budget: MemoryBudget, *, now: float) -> None:
        self._stream = stream
        self._budget = budget
        self._counted = CONNECTION_BYTES
        self._outgoing = 0
        self._written = 0
        self.protected_until = 0.0
        self.progress_at = now
        budget.change(CONNECTION_BYTES)

    @property
    def held_bytes(self) -> int:
        """Memory that the connection's buffers hold."""
        return self._counted

    @property
    def max_unread_bytes(self) -> int:
        """What one stream may hold now before its upstream isn't read further."""
        return self._budget.max_unread_bytes

    def count(self) -> None:
        """Count what the buffers hold now."""
        stream = self._stream
        size = 0
        if not stream.closed():
            unwritten = max(unwritten_bytes(stream), self._written)
            size = CONNECTION_BYTES + unwritten + unconsumed_bytes(stream)
        self._budget.change(size - self._counted)
        self._counted = size

    def record_written(self, size: int) -> None:
        """Record the memory of unsent writes, which is more than their data, and count."""
        self._written = size
        self.count()

    def check(self, now: float) -> None:
        """Count, and record whether the caller has read anything since the last check."""
        stream = self._stream
        if stream.closed() or not stream.writing():
            self._written = self._outgoing = 0
            self.progress_at = now
            self.count()
            return
        self.count()
        outgoing = outgoing_bytes(stream) + unwritten_bytes(stream)
        if not self._outgoing or outgoing < self._outgoing:
            self.progress_at = now
        self._outgoing = outgoing
