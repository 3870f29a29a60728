"""Which upstreams are cold, and whether this gateway may send to one of them now.

Upstreams that start during traffic are cold for some seconds and crash if they get their full share
of 82 gateways' requests at once. Each says for how long it is cold in its registration and in its
responses; the newer statement applies, counted from when it was received. After an evacuation an
upstream counts as cold until it registers again, as it had no traffic meanwhile.
"""

from __future__ import annotations

import math
from typing import Final
from typing import final

from baobabpulley.policy.cold_permits import ColdLimit
from baobabpulley.policy.cold_permits import SendSchedule
from baobabpulley.policy.cold_permits import schedule_of

# A faulty upstream may state any time.
MAX_COLD_SECONDS: Final = 300.0
# A registration that was written before a response may arrive so long after it.
REGISTRATION_LAG_SECONDS: Final = 0.5

_NONE: Final[frozenset[str]] = frozenset()


@final
class _ColdState:
    """Until when one incarnation of an upstream is cold, in monotonic seconds.

    ``assumed_until`` follows from the end of an evacuation, ``until`` from what the upstream said,
    at ``said_at`` in a response. ``since`` is when it last turned cold.
    """

    __slots__ = ("assumed_until", "born", "said_at", "since", "until")

    def __init__(self, born: int) -> None:
        self.born = born
        self.until = -math.inf
        self.assumed_until = -math.inf
        self.said_at = -math.inf
        self.since = -math.inf

    @property
    def end(self) -> float:
        """When it will be warm."""
        return max(self.until, self.assumed_until)


@final
class _KnownSchedule:
    """A gateway's schedule at an upstream, and what it was computed from."""

    __slots__ = ("limit", "members", "node", "schedule")

    def __init__(
        self, node: str, members: frozenset[str], limit: ColdLimit, schedule: SendSchedule | None
    ) -> None:
        self.node = node
        self.members = members
        self.limit = limit
        self.schedule = schedule

    def applies(self, node: str, members: frozenset[str], limit: ColdLimit) -> bool:
        """Whether the schedule is still the same."""
        return self.node == node and self.members == members and self.limit == limit


@final
class ColdUpstreams:
    """The cold upstreams, and this gateway's requests to upstreams; ``now`` is monotonic seconds.

    A gateway that has just ``started`` may have sent requests before that it doesn't know of, so it
    counts as having just sent to all upstreams.
    """

    __slots__ = ("_cold", "_schedules", "_sent_at", "_started", "_states")

    def __init__(self, *, started: float) -> None:
        self._started = started
        self._states: dict[str, _ColdState] = {}
        # Ids of the upstreams that were cold when they were last looked at.
        self._cold: set[str] = set()
        self._sent_at: dict[str, float] = {}
        self._schedules: dict[str, _KnownSchedule] = {}

    @property
    def known_cold(self) -> frozenset[str]:
        """Ids of the upstreams that turned cold and weren't returned by `take_warm` yet."""
        return frozenset(self._cold) if self._cold else _NONE

    def record(
        self, id: str, *, born: int, remaining: float, now: float, in_response: bool = False
    ) -> bool:
        """Record that an upstream is cold for ``remaining`` seconds; return whether it turned so.

        What an earlier incarnation said has no effect.
        """
        state = self._state(id, born=born)
        if state is None:
            return False
        until = now + min(remaining, MAX_COLD_SECONDS)
        if in_response:
            state.said_at = now
        elif until < state.until and now - state.said_at < REGISTRATION_LAG_SECONDS:
            return False
        state.until = until
        return self._note(id, state, now=now)

    def assume_cold(self, id: str, *, born: int, until: float, now: float) -> bool:
        """Record the end of an upstream's evacuation; return whether it turned cold."""
        state = self._state(id, born=born)
        if state is None:
            return False
        state.assumed_until = until
        return self._note(id, state, now=now)

    def end_assumption(self, id: str) -> None:
        """Record that an upstream has registered since its evacuation ended."""
        if id in self._states:
            self._states[id].assumed_until = -math.inf

    def is_cold(self, id: str, *, now: float) -> bool:
        """Whether an upstream is cold."""
        return self.seconds_left(id, now=now) > 0

    def seconds_left(self, id: str, *, now: float) -> float:
        """Return for how many seconds an upstream is still cold; 0 if it is warm."""
        state = self._states.get(id)
        return 0.0 if state is None else max(0.0, state.end - now)

    def may_send(
        self, id: str, *, node: str, members: frozenset[str], limit: ColdLimit, now: float
    ) -> bool:
        """Whether the gateway ``node`` may send a request to an upstream now."""
        return (
            self.seconds_until_permit(id, node=node, members=members, limit=limit, now=now) <= 0.0
        )

    def seconds_until_permit(
        self, id: str, *, node: str, members: frozenset[str], limit: ColdLimit, now: float
    ) -> float:
        """Return after how many seconds a gateway may send to an upstream, at the latest if warm.

        A gateway that isn't permitted, or knows no members, waits until the upstream is warm.
        """
        left = self.seconds_left(id, now=now)
        if left <= 0:
            return 0.0
        schedule = self.schedule(id, node=node, members=members, limit=limit)
        if schedule is None:
            return left
        due = max(
            self._sent_at.get(id, self._started) + schedule.interval,
            self._states[id].since + schedule.offset,
        )
        return min(left, max(0.0, due - now))

    def schedule(
        self, id: str, *, node: str, members: frozenset[str], limit: ColdLimit
    ) -> SendSchedule | None:
        """Return the schedule of a gateway at an upstream, or ``None`` if it isn't permitted."""
        known = self._schedules.get(id)
        if known is None or not known.applies(node, members, limit):
            schedule = schedule_of(node, upstream=id, members=members, limit=limit)
            self._schedules[id] = known = _KnownSchedule(node, members, limit, schedule)
        return known.schedule

    def record_sent(self, id: str, *, now: float) -> None:
        """Record that a request was begun at an upstream."""
        self._sent_at[id] = now

    def take_warm(self, *, now: float) -> list[str]:
        """Return the ids of the upstreams that have become warm, each once."""
        warm = [id for id in self._cold if not self.is_cold(id, now=now)]
        self._cold.difference_update(warm)
        for id in warm:
            self._schedules.pop(id, None)
        return warm

    def forget(self, id: str) -> None:
        """Drop the record of an upstream that was removed.

        When this gateway last sent to it is kept, as the upstream may register again at once.
        """
        self._states.pop(id, None)
        self._schedules.pop(id, None)
        self._cold.discard(id)

    def forget_sent(self, *, now: float) -> None:
        """Drop old send times of upstreams without a record."""
        old = now - MAX_COLD_SECONDS
        for id in [id for id, at in self._sent_at.items() if at < old and id not in self._states]:
            del self._sent_at[id]

    def _state(self, id: str, *, born: int) -> _ColdState | None:
        """Return the state of an incarnation, or ``None`` if a later one is known."""
        state = self._states.get(id)
        if state is None or state.born < born:
            state = self._states[id] = _ColdState(born)
        return state if state.born == born else None

    def _note(self, id: str, state: _ColdState, *, now: float) -> bool:
        if state.end <= now:
            return False
        if id not in self._cold:
            self._cold.add(id)
            state.since = now
            return True
        return False
