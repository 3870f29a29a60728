"""Signals that ask a daemon to stop."""

from __future__ import annotations

import asyncio
import signal
from types import FrameType
from typing import Final

_STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


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


def _ignore_signals() -> None:
    for number in _STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
