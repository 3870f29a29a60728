"""When engines begin to read a prompt whose parts are too long for the answers written there.

Load pattern: two prompts of 250,000 tokens arrive within a second of each other and their parts
meet on the same engines. An engine reads both by turns, so that both are late, and every answer
written there stands still meanwhile. The later prompt waits until the earlier one has been read
and the engines have written their answers, as long as it then still meets its objective. One
whose objective has passed loses nothing by waiting a little longer.
"""

from __future__ import annotations

from typing import Final

import msgspec

from baobabpulley.policy.spread import MEETING_SECONDS
from baobabpulley.policy.spread import Plan
from baobabpulley.policy.waiting import Times
from baobabpulley.policy.waiting import last_first_event

# Share of the time to the objective in which engines are cleared whatever the parts take.
CLEARING_SHARE: Final = 0.35
# Factor on the time that a part is expected to take, and seconds until its first event is here.
READ_MARGIN: Final = 1.2
ANSWER_SECONDS: Final = 0.1
# Seconds for which a prompt whose objective has passed waits for clear engines.
LATE_SECONDS: Final = 2.0


class Clearing(msgspec.Struct, frozen=True):
    """What a prompt waits for, in monotonic seconds.

    ``reads_until`` is when its engines were expected to have read what they had before it,
    ``begins_by`` when it is read whatever they still do.
    """

    reads_until: float
    begins_by: float

    def is_over(self, *, now: float, writing: bool, reading: float) -> bool:
        """Whether reading begins; ``reading`` is the seconds of other prompts at the engines."""
        if now >= self.begins_by:
            return True
        waits_for_others = now < self.reads_until and reading > MEETING_SECONDS
        return not writing and not waits_for_others


def clearing_of(plan: Plan, times: Times, *, answer: float, now: float) -> Clearing | None:
    """Return what a plan waits for, or ``None`` if its parts harm nobody.

    ``answer`` is the seconds that a usual answer takes.
    """
    if not plan.heavy:
        return None
    begins_by = _begins_by(plan, times, answer, now)
    return Clearing(reads_until=now + plan.backlog, begins_by=begins_by)


def _begins_by(plan: Plan, times: Times, answer: float, now: float) -> float:
    if now >= times.objective:
        return min(now + LATE_SECONDS, max(now, times.wait_until))
    due = min(times.objective, last_first_event(times, answer=answer))
    latest = due - READ_MARGIN * plan.part_seconds - ANSWER_SECONDS
    if due < times.objective:
        return latest
    return max(latest, times.arrived + CLEARING_SHARE * (due - times.arrived))
