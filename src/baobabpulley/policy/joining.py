"""Timeouts and concurrency of requests for settings, in particular while a process joins.

A process may start on a busy machine, or among busy peers, while its failure domain is cut off. The
timeout for normal operation would then end each request before its response arrives over the new
connection, and every retry would have to connect again. A process without settings therefore waits
longer.
"""

from __future__ import annotations

from typing import Final

# Peers queried in parallel by a joining process. Kept small as each response holds all settings.
JOIN_CONCURRENCY: Final = 4
RESPONSE_TIMEOUT_SECONDS: Final = 0.5
JOIN_TIMEOUT_SECONDS: Final = 2.0


def response_timeout(*, ready: bool) -> float:
    """Return the timeout for a peer's response in model seconds.

    ``ready`` says whether this process has settings.

    >>> response_timeout(ready=True), response_timeout(ready=False)
    (0.5, 2.0)
    """
    return RESPONSE_TIMEOUT_SECONDS if ready else JOIN_TIMEOUT_SECONDS
