"""How long a process that has no settings yet waits for those that have them.

Load pattern: a VM that starts on a busy machine, or beside busy peers, in a failure domain that is
cut off. A bound that suits a fleet at work ends each question over its new connection before the
answer is there, and the next question pays for a new connection again.
"""

from __future__ import annotations

from typing import Final

# Peers asked at once by a process that joins: each answer holds all settings.
JOIN_CONCURRENCY: Final = 4
RESPONSE_TIMEOUT_SECONDS: Final = 0.5
JOIN_TIMEOUT_SECONDS: Final = 2.0


def response_timeout(*, ready: bool) -> float:
    """Return the model seconds that a peer gets to answer, by whether there are settings here.

    >>> response_timeout(ready=True), response_timeout(ready=False)
    (0.5, 2.0)
    """
    return RESPONSE_TIMEOUT_SECONDS if ready else JOIN_TIMEOUT_SECONDS
