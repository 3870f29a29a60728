"""How long an engine may take to begin an answer, by what was expected of its placement.

The load: long prompts whose callers wait for many seconds, placed on idle engines that are
expected to begin within a fraction of a second. An engine that accepts such a prompt and never
begins it would otherwise use up the caller's time, and the memory that is reserved for it on other
engines.

Sound engines pause for a second or so, and known prefills of others explain a later begin. So a
second attempt starts beside the first once the silence is clearly longer than both, within the
retry budget, and the first one is ended only when its memory has been idle for long.
"""

from __future__ import annotations

from typing import Final

# Sound engines pause for up to 1.5 s, and are lost for their peers only after that.
PAUSE_SECONDS: Final = 2.0
# Expected times are estimates: plans were exceeded by up to their own length.
EXPECTED_RATIO: Final = 2.0
# Reserved memory is given back after this fraction of the longest time for which it may be idle.
IDLE_RATIO: Final = 0.5
# The same, if engines are known to prefill other prompts first.
MAX_IDLE_RATIO: Final = 0.75


def first_event_timeout(*, expected: float, tolerated: float) -> float:
    """Return after how many seconds without an event another attempt is started beside this one.

    The first event is expected after ``expected`` seconds; ``tolerated`` is the longest silence
    that the caller's own time allows.

    >>> first_event_timeout(expected=0.25, tolerated=12.0)
    2.5
    >>> first_event_timeout(expected=0.25, tolerated=1.0)
    1.0
    """
    return min(tolerated, PAUSE_SECONDS + EXPECTED_RATIO * expected)


def idle_memory_timeout(
    *, prefill: float, backlog: float, max_idle: float, is_replaceable: bool = True
) -> float:
    """Return after how many seconds without an event reserved memory is given back.

    The prompt uses it for ``prefill`` seconds before the first event, and its engines prefill
    others for ``backlog`` seconds. It may be idle for at most ``max_idle`` seconds. Without another
    attempt that could follow, the engine is waited for longer.

    >>> idle_memory_timeout(prefill=0.5, backlog=0.0, max_idle=9.0)
    5.0
    >>> idle_memory_timeout(prefill=0.5, backlog=10.0, max_idle=8.0)
    6.5
    >>> idle_memory_timeout(prefill=0.5, backlog=0.0, max_idle=8.0, is_replaceable=False)
    6.5
    """
    if not is_replaceable:
        return prefill + MAX_IDLE_RATIO * max_idle
    idle = min(MAX_IDLE_RATIO * max_idle, IDLE_RATIO * max_idle + backlog)
    return prefill + idle
