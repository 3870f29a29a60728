"""The refusal of requests to a service whose upstreams are all in evacuated failure domains."""

from __future__ import annotations

import random
from typing import Final

from baobabpulley.errors import AllEvacuated

# Nobody knows when the operators end an evacuation, but its end is in force everywhere only after
# the time that any change takes (`[store] in_force_within_ms`): an earlier retry is in vain. Unlike
# other delays, this one isn't bounded by the time that the request has left.
RETRY_AFTER_SECONDS: Final = 2.0
# Spreads the callers that were refused at the same moment.
MAX_SPREAD: Final = 2.0


def evacuation_error(
    service: str, domains: frozenset[str], *, source: random.Random
) -> AllEvacuated | None:
    """Return the error to report if upstreams are left out only as ``domains`` are evacuated."""
    if not domains:
        return None
    return AllEvacuated(
        f"all upstreams of {service} are in failure domains that are evacuated:"
        f" {', '.join(sorted(domains))}",
        retry_after=RETRY_AFTER_SECONDS * source.uniform(1.0, MAX_SPREAD),
    )
