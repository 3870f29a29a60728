"""A time limit for a block of code that holds even if the process is suspended in it."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import Iterator


@contextlib.contextmanager
def kill_after(seconds: float | None) -> Iterator[None]:
    """Terminate this process by SIGALRM if the block takes longer than ``seconds``.

    ``None`` sets no limit. The kernel's timer also runs while the process is suspended, and the
    signal is delivered before the process runs its next instruction. Nothing else may use the
    process's real interval timer or handle SIGALRM. The block must not await.
    """
    if seconds is None:
        yield
        return
    signal.setitimer(signal.ITIMER_REAL, max(seconds, 1e-6))
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
