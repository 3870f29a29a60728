"""Tests of the load deltas that a gateway publishes and of convergence when messages are lost."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabpulley.policy.fleet_load import MAX_GOSSIP_AGE_SECONDS
from baobabpulley.policy.fleet_load import Dispatch
from baobabpulley.policy.fleet_load import LoadTracker
from baobabpulley.policy.gossip_delta import MAX_SHARES
from baobabpulley.policy.gossip_delta import REFRESH_SECONDS
from baobabpulley.policy.gossip_delta import GossipDelta

PERIOD_SECONDS = 0.1
ENGINES = ("i-1", "i-2", "i-3")


class Pair:
    """A gateway that publishes its loads and one that receives them; a message may be lost."""

    def __init__(self) -> None:
        self.sender, self.receiver = LoadTracker(), LoadTracker()
        self.delta = GossipDelta()
        self.now = 0.0
        self.dispatches: list[Dispatch] = []
        self.published_shares = 0

    def begin(self, engine: str = "i-1", *, prefill_seconds: float = 0.0) -> None:
        dispatch = self.sender.begin(
            engine, prefill_seconds=prefill_seconds, memory_tokens=1_000, now=self.now
        )
        self.dispatches.append(dispatch)

    def publish(self, *, lost: bool = False) -> int:
        shares = self.delta.take_due(self.sender.shares(now=self.now), now=self.now)
        if not lost:
            self.receiver.receive("front-0", shares, now=self.now)
        self.published_shares += len(shares)
        self.now += PERIOD_SECONDS
        return len(shares)

    def publish_for(self, seconds: float) -> None:
        for _ in range(round(seconds / PERIOD_SECONDS)):
            self.publish()

    def differing_engines(self) -> list[str]:
        """Return the engines whose load the two gateways count differently."""
        return [
            engine
            for engine in ENGINES
            if self._counts(self.sender, engine) != self._counts(self.receiver, engine)
        ]

    def _counts(self, tracker: LoadTracker, engine: str) -> tuple[int, int, int]:
        load = tracker.load(engine, now=self.now)
        return load.in_flight, load.decoding, load.memory_tokens


def test_a_change_is_published_at_once_and_repeated_once() -> None:
    pair = Pair()
    pair.begin()
    assert [pair.publish() for _ in range(4)] == [1, 1, 0, 0]
    assert pair.differing_engines() == []


def test_an_unchanged_load_is_refreshed_periodically() -> None:
    pair = Pair()
    pair.begin(prefill_seconds=2.0)
    pair.publish_for(0.2)
    pair.published_shares = 0
    pair.publish_for(10 * REFRESH_SECONDS)
    assert 8 <= pair.published_shares <= 10
    assert pair.differing_engines() == []


def test_a_backlog_that_ends_early_is_a_change() -> None:
    pair = Pair()
    pair.begin(prefill_seconds=2.0)
    pair.publish_for(0.3)
    pair.sender.end_prefill(pair.dispatches[0], now=pair.now)
    assert pair.publish() == 1
    assert pair.receiver.load("i-1", now=pair.now).backlog == 0.0


@pytest.mark.parametrize("lost", [1, 2], ids=["first_lost", "both_lost"])
def test_a_lost_message_is_made_good_by_the_next_or_the_refresh(lost: int) -> None:
    pair = Pair()
    pair.begin()
    for _ in range(lost):
        pair.publish(lost=True)
    pair.publish_for(PERIOD_SECONDS if lost == 1 else REFRESH_SECONDS + PERIOD_SECONDS)
    assert pair.differing_engines() == []


def test_a_load_whose_end_was_lost_expires() -> None:
    pair = Pair()
    pair.begin()
    pair.publish_for(0.2)
    pair.sender.end(pair.dispatches[0], now=pair.now)
    pair.publish(lost=True)
    pair.publish(lost=True)
    assert pair.differing_engines() == ["i-1"]
    pair.publish_for(MAX_GOSSIP_AGE_SECONDS)
    assert pair.differing_engines() == []


def test_a_load_that_begins_and_ends_between_two_messages_is_not_published() -> None:
    pair = Pair()
    pair.begin()
    pair.sender.end(pair.dispatches[0], now=pair.now)
    assert pair.publish() == 0


def test_changes_that_exceed_one_message_follow_in_the_next() -> None:
    pair = Pair()
    for number in range(MAX_SHARES + 10):
        pair.begin(f"i-{number}")
    assert pair.publish() == MAX_SHARES
    pair.publish_for(0.4)
    received = [
        pair.receiver.load(f"i-{number}", now=pair.now) for number in range(MAX_SHARES + 10)
    ]
    assert {load.in_flight for load in received} == {1}


def test_a_restarted_gateway_has_no_loads_until_it_publishes_them() -> None:
    pair = Pair()
    pair.begin()
    pair.publish()
    pair.receiver.forget("front-0")
    assert pair.receiver.load("i-1", now=pair.now).in_flight == 0


# "read" ends the prefill of the oldest dispatch; the other actions are named after what they do.
steps = st.lists(
    st.tuples(
        st.sampled_from(["begin", "read", "end", "nothing"]),
        st.sampled_from(ENGINES),
        st.floats(min_value=0.0, max_value=0.5),
        st.booleans(),
    ),
    max_size=60,
)


@given(steps=steps)
def test_gateways_converge_after_any_loss_of_messages(
    steps: list[tuple[str, str, float, bool]],
) -> None:
    pair = Pair()
    for action, engine, seconds, lost in steps:
        if action == "begin":
            pair.begin(engine, prefill_seconds=seconds)
        elif pair.dispatches and action == "read":
            pair.sender.end_prefill(pair.dispatches[0], now=pair.now)
        elif pair.dispatches and action == "end":
            pair.sender.end(pair.dispatches.pop(0), now=pair.now)
        pair.publish(lost=lost)
    pair.publish_for(MAX_GOSSIP_AGE_SECONDS + REFRESH_SECONDS)
    assert pair.differing_engines() == []
