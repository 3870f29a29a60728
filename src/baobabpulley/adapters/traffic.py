"""Bytes that a process sends and receives over one kind of connection."""

from __future__ import annotations

from typing import final


@final
class Traffic:
    """Counts of bytes, without what TCP and IP add."""

    __slots__ = ("received", "sent")

    def __init__(self) -> None:
        self.received = 0
        self.sent = 0
