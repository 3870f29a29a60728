"""Turns on the event loop for tasks whose input may arrive faster than they work."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import final

# Work done on so many items takes a millisecond or so.
MAX_ITEMS_A_TURN: Final = 32


@final
class Turns:
    """Let other tasks and timers of the event loop run between the items that a task handles.

    Awaiting something that is ready doesn't suspend a task, so that one whose input is always
    ready would hold up all others, and the timer of its own deadline too.
    """

    __slots__ = ("_items",)

    def __init__(self) -> None:
        self._items = 0

    async def end_item(self) -> None:
        """Record that an item has been handled; let others run if it was the last of a turn."""
        self._items += 1
        if self._items % MAX_ITEMS_A_TURN == 0:
            await asyncio.sleep(0)
