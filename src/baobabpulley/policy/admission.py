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

    It counts from arrival until the prefill begins, in the lane and behind other shorts at the
    engine; the short's own prefill comes on top. It is an estimate at arrival, without what
    other entries have sent since the last load reports.
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


def short_wait(
    *, own_tokens: int, total_tokens: int, teams: int, rate: float, others_rate: float
) -> float:
    """Estimate a short's wait in model seconds under deficit round robin.

    ``own_tokens`` wait for its team, itself included, ``total_tokens`` for all. ``others_rate``
    is what other teams have lately got of ``rate``: requests of theirs that arrive later still
    go before those of a team that asks for more than its share.

    >>> short_wait(own_tokens=100, total_tokens=200, teams=4, rate=100.0, others_rate=0.0)
    2.0
    >>> short_wait(own_tokens=100, total_tokens=200, teams=4, rate=100.0, others_rate=80.0)
    4.0
    """
    left = max(rate / max(1, teams), rate - others_rate)
    ahead = team_wait_tokens(own_tokens=own_tokens, total_tokens=total_tokens, teams=teams)
    return max(ahead / rate, own_tokens / left)
