"""Tests of the decision which upstreams are leaving, against a model of its rules."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.leaving_upstreams import MIN_REMAINING_RATIO
from baobabpulley.policy.leaving_upstreams import REPORT_SECONDS
from baobabpulley.policy.leaving_upstreams import LeavingUpstreams

IDS = ("i-0", "i-1", "i-2")


def make_upstream(id: str, *, born: int = 0, leaving: bool = False) -> ListedUpstream:
    return ListedUpstream(id, "kitchen", f"10.0.0.1:{id}", "fes", 8, leaving, born)


class _Known:
    """What the model knows of one upstream: its entry, and who said that it leaves."""

    def __init__(self, entry: ListedUpstream, ready_since: int | None) -> None:
        self.entry = entry
        self.ready_since = ready_since
        self.said = False
        self.report_end = 0.0


class Model:
    """The rules in their simplest form beside the policy, which is driven like `FleetState`."""

    def __init__(self) -> None:
        self.policy = LeavingUpstreams()
        self.known: dict[str, _Known] = {}
        self.listed: dict[str, ListedUpstream] = {}
        self.revision = 0
        self.now = 0.0

    def register(self, id: str, born: int, *, leaving: bool) -> None:
        self.revision += 1
        entry = make_upstream(id, born=born, leaving=leaving)
        before = self.known.get(id)
        ready_since = None if leaving else self.revision
        if before is not None and before.ready_since is not None and not leaving:
            ready_since = before.ready_since
        after = self.known[id] = _Known(entry, ready_since)
        if before is not None and not leaving and born <= before.entry.born:
            after.said, after.report_end = before.said, before.report_end
            entry = after.entry = make_upstream(id, born=before.entry.born)
        is_leaving = self.policy.is_leaving(entry, revision=self.revision)
        self.listed[id] = msgspec.structs.replace(entry, leaving=is_leaving)

    def remove(self, id: str) -> None:
        self.revision += 1
        self.known.pop(id, None)
        self.listed.pop(id, None)
        self.policy.forget(id)

    def say(self, id: str) -> None:
        known = self.known.get(id)
        if known is None or known.entry.leaving:
            return
        known.said = True
        if not self.policy.has_said_so(id):
            self.policy.record(self.listed[id])
            self.listed[id] = msgspec.structs.replace(self.listed[id], leaving=True)

    def report(self, id: str, born: int, *, age: int) -> None:
        """Hear a report of a peer that is ``age`` revisions behind."""
        if id not in self.listed:
            return
        known, revision = self.known[id], self.revision - age
        applies = (
            not known.entry.leaving
            and not known.said
            and known.entry.born == born
            and known.ready_since is not None
            and known.ready_since <= revision
        )
        recorded = self.policy.record_report(
            self.listed[id], born=born, revision=revision, now=self.now
        )
        assert recorded == applies
        if applies:
            known.report_end = self.now + REPORT_SECONDS
            self.listed[id] = msgspec.structs.replace(self.listed[id], leaving=True)

    def wait(self, seconds: float) -> None:
        self.now += seconds
        for id in self.policy.take_expired(now=self.now):
            self.listed[id] = msgspec.structs.replace(self.listed[id], leaving=False)

    def check(self) -> None:
        certain = {id for id, known in self.known.items() if known.entry.leaving or known.said}
        reported = {
            id
            for id, known in self.known.items()
            if id not in certain and known.report_end > self.now
        }
        assert {id for id, listed in self.listed.items() if listed.leaving} == certain | reported
        assert (self.policy.said_count, self.policy.reported_count) == (
            sum(known.said for known in self.known.values()),
            len(reported),
        )
        accepting = {listed.id for listed in self.policy.accepting(list(self.listed.values()))}
        possible = set(self.known) - certain
        assert accepting <= possible
        # Reports take away half of the upstreams at most, and none if they name more.
        assert len(accepting) >= MIN_REMAINING_RATIO * len(possible)
        assert accepting in (possible, possible - reported)


actions = st.lists(
    st.tuples(
        st.sampled_from(["ready", "draining", "remove", "say", "report", "wait"]),
        st.sampled_from(IDS),
        st.integers(0, 2),
        st.integers(0, 4),
    ),
    max_size=40,
)


@settings(max_examples=500)
@given(actions=actions)
def test_what_is_said_and_reported_follows_the_rules(
    actions: list[tuple[str, str, int, int]],
) -> None:
    model = Model()
    for action, id, born, number in actions:
        if action in ("ready", "draining"):
            model.register(id, born, leaving=action == "draining")
        elif action == "remove":
            model.remove(id)
        elif action == "say":
            model.say(id)
        elif action == "report":
            model.report(id, born, age=number)
        else:
            model.wait(REPORT_SECONDS * number / 4)
        model.check()


def test_reports_that_leave_half_of_a_service_are_followed_and_others_are_not() -> None:
    policy = LeavingUpstreams()
    upstreams = {id: make_upstream(id) for id in ("i-0", "i-1", "i-2", "i-3")}
    for count in range(1, 5):
        id = f"i-{count - 1}"
        policy.record_report(upstreams[id], born=0, revision=1, now=0.0)
        upstreams[id] = msgspec.structs.replace(upstreams[id], leaving=True)
        accepting = policy.accepting(list(upstreams.values()))
        assert len(accepting) == (4 - count if count <= 2 else 4)
