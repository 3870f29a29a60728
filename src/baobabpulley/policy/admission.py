"""Admission control: estimate waits, and refuse requests that would miss their deadline."""

from __future__ import annotations

import msgspec

from baobabpulley.errors import Overloaded
from baobabpulley.settings import Seconds
from baobabpulley.settings import Share
from baobabpulley.settings import section


@section("admission", "entry")
class AdmissionSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds for admission.

    ``max_short_wait`` bounds the estimated wait (model seconds) of an admitted short prompt, from
    arrival until its prefill begins, both in the lane and behind other short prompts at the
    engine. The prompt's own prefill is not included. The estimate is made at arrival, without
    the requests that other entries have sent since the last load reports.
    ``least_long_share`` is the minimum share of the engines' prefill capacity that the wait
    estimate of long prompts assumes, however much short prompts use.
    """

    max_short_wait: Seconds = 2.0
    least_long_share: Share = 0.05


def check_wait(*, wait: float, service: float, remaining: float, bound: float) -> None:
    """Raise `Overloaded` if a request cannot start within ``bound`` or meet its deadline.

    ``wait`` is the estimated wait, ``service`` the time from the start to the first token, and
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
    """Return the tokens ahead of a team's newest request under deficit round robin.

    ``own_tokens`` are the team's queued tokens, ``total_tokens`` those of all teams.

    >>> team_wait_tokens(own_tokens=10, total_tokens=1_000, teams=4)
    40
    """
    return min(total_tokens, own_tokens * max(1, teams))


def short_wait(
    *, own_tokens: int, total_tokens: int, teams: int, rate: float, others_rate: float
) -> float:
    """Estimate a short prompt's wait in model seconds under deficit round robin.

    ``own_tokens`` are queued for its team, the prompt itself included, and ``total_tokens`` for
    all teams. ``rate`` is the prefill rate in tokens per second, and ``others_rate`` how
    much of it other teams used recently: their later requests are still served before those of a
    team that demands more than its share.

    >>> short_wait(own_tokens=100, total_tokens=200, teams=4, rate=100.0, others_rate=0.0)
    2.0
    >>> short_wait(own_tokens=100, total_tokens=200, teams=4, rate=100.0, others_rate=80.0)
    4.0
    """
    team_rate = max(rate / max(1, teams), rate - others_rate)
    tokens_ahead = team_wait_tokens(own_tokens=own_tokens, total_tokens=total_tokens, teams=teams)
    return max(tokens_ahead / rate, own_tokens / team_rate)
