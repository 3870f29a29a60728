"""Stop signals of a daemon, and cancellation of its remaining tasks."""

from __future__ import annotations

import asyncio
import os
import signal
from types import FrameType
from typing import Final

from loguru import logger

from baobabpulley.errors import EXIT_OK

_STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
# In real seconds.
_CANCEL_TIMEOUT_SECONDS: Final = 1.0


def stop_event() -> asyncio.Event:
    """Return an event that the first SIGTERM or SIGINT sets; later ones are ignored."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()

    def on_signal(number: int, frame: FrameType | None) -> None:
        del number, frame
        # A second signal must not end the process during its shutdown or the interpreter's.
        _ignore_signals()
        loop.call_soon_threadsafe(stop.set)

    for number in _STOP_SIGNALS:
        signal.signal(number, on_signal)
    return stop


async def cancel_remaining_tasks() -> None:
    """Cancel all other tasks of the event loop; call it when no work is left to complete.

    pynng may swallow a cancellation that arrives just as its operation completes, so the process
    exits at once if tasks have not ended within `_CANCEL_TIMEOUT_SECONDS`.
    """
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    if not tasks:
        return
    _, unfinished = await asyncio.wait(tasks, timeout=_CANCEL_TIMEOUT_SECONDS)
    if unfinished:
        logger.warning(
            "exiting without {} tasks that did not end after their cancellation: {}",
            len(unfinished),
            [task.get_name() for task in unfinished],
        )
        os._exit(EXIT_OK)


def _ignore_signals() -> None:
    for number in _STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
