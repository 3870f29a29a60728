"""Signals that ask a daemon to stop, and the end of its tasks."""

from __future__ import annotations

import asyncio
import os
import signal
from types import FrameType
from typing import Final

from loguru import logger

from baobabpulley.errors import EXIT_OK

_STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
# Real seconds that cancelled tasks get to end.
_CANCEL_TIMEOUT_SECONDS: Final = 1.0


def stop_event() -> asyncio.Event:
    """Return an event that the first SIGTERM or SIGINT sets; further ones change nothing."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()

    def on_signal(number: int, frame: FrameType | None) -> None:
        del number, frame
        # From now on, also while the interpreter shuts down, a signal must not end the process.
        _ignore_signals()
        loop.call_soon_threadsafe(stop.set)

    for number in _STOP_SIGNALS:
        signal.signal(number, on_signal)
    return stop


async def cancel_remaining_tasks() -> None:
    """Cancel all other tasks of the loop; call it once no work is left that could be cut.

    The message library may swallow a cancellation whose operation ends at the same moment, so
    tasks that do not end in time are left behind and the process exits without them.
    """
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    if not tasks:
        return
    _, left = await asyncio.wait(tasks, timeout=_CANCEL_TIMEOUT_SECONDS)
    if left:
        logger.warning("{} tasks did not end: {}", len(left), [task.get_name() for task in left])
        os._exit(EXIT_OK)


def _ignore_signals() -> None:
    for number in _STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
