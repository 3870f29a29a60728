"""A bound on a few steps that holds for a frozen process too: the kernel ends it."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import Iterator


@contextlib.contextmanager
def kill_after(seconds: float | None) -> Iterator[None]:
    """End this process by SIGALRM if the steps inside are not done in time; `None` is unbounded.

    The kernel counts while the process is stopped, and delivers the signal before the process
    runs its next instruction. Nothing but this may use the process's real interval timer or
    handle SIGALRM. The steps must not wait.
    """
    if seconds is None:
        yield
        return
    signal.setitimer(signal.ITIMER_REAL, max(seconds, 1e-6))
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
