"""Pauses between attempts at what keeps failing.

Load pattern: outages of any length, also of so many attempts that the pause without a limit is a
number too large for a float.
"""

from __future__ import annotations

from typing import Final

_MAX_DOUBLINGS: Final = 60


def backoff_seconds(failures: int, *, first: float, longest: float) -> float:
    """Return the pause after a number of failures in a row: ``first``, doubled with each.

    >>> [backoff_seconds(failures, first=0.05, longest=0.6) for failures in (0, 1, 2, 100_000)]
    [0.05, 0.1, 0.2, 0.6]
    """
    return min(longest, first * 2 ** min(failures, _MAX_DOUBLINGS))
