"""Whether a request that must wait can still meet its deadline."""

from __future__ import annotations

import msgspec

from baobabpulley.errors import Overloaded
from baobabpulley.settings import Seconds
from baobabpulley.settings import Share
from baobabpulley.settings import section


@section("admission", "entry")
class AdmissionSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``max_short_wait`` bounds the estimated wait (model seconds) of an admitted short.

    ``least_long_share`` is the share of the engines' prefill that longs are taken to get
    whatever shorts use.
    """

    max_short_wait: Seconds = 2.0
    least_long_share: Share = 0.05


def check_wait(*, wait: float, service: float, remaining: float, bound: float) -> None:
    """Raise `Overloaded` if a request cannot begin within ``bound`` or end in time.

    ``wait`` is the estimated wait, ``service`` the time to the first token once it has begun,
    ``remaining`` the time to the deadline, all in model seconds.
    """
    if wait > bound:
        raise Overloaded(
            f"the wait would be about {wait:.1f} s; at most {bound:.1f} s are allowed",
            retry_after=wait,
        )
    if wait + service > remaining:
        raise Overloaded(
            f"the first token would take about {wait + service:.1f} s; "
            f"{remaining:.1f} s are left to the deadline",
            retry_after=max(1.0, wait),
        )


def team_wait_tokens(*, own_tokens: int, total_tokens: int, teams: int) -> int:
    """Return the tokens that go before a new request of a team under deficit round robin.

    >>> team_wait_tokens(own_tokens=10, total_tokens=1_000, teams=4)
    40
    """
    return min(total_tokens, own_tokens * max(1, teams))
