"""What a gateway tells of its loads, and what others make of it when tellings are lost."""

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

PERIOD = 0.1
ENGINES = ("i-1", "i-2", "i-3")


class Pair:
    """A gateway that sends and one that hears of it; a telling may be lost."""

    def __init__(self) -> None:
        self.here, self.there = LoadTracker(), LoadTracker()
        self.delta = GossipDelta()
        self.now = 0.0
        self.sends: list[Dispatch] = []
        self.told = 0

    def begin(self, engine: str = "i-1", *, prefill_seconds: float = 0.0) -> None:
        send = self.here.begin(
            engine, prefill_seconds=prefill_seconds, memory_tokens=1_000, now=self.now
        )
        self.sends.append(send)

    def tell(self, *, lost: bool = False) -> int:
        shares = self.delta.take_due(self.here.shares(now=self.now), now=self.now)
        if not lost:
            self.there.receive("front-0", shares, now=self.now)
        self.told += len(shares)
        self.now += PERIOD
        return len(shares)

    def tell_for(self, seconds: float) -> None:
        for _ in range(round(seconds / PERIOD)):
            self.tell()

    def differing(self) -> list[str]:
        """Return the engines of which the other gateway believes something else."""
        return [
            engine
            for engine in ENGINES
            if self._counts(self.here, engine) != self._counts(self.there, engine)
        ]

    def _counts(self, book: LoadTracker, engine: str) -> tuple[int, int, int]:
        load = book.load(engine, now=self.now)
        return load.in_flight, load.writing, load.memory_tokens


def test_a_change_is_published_at_once_and_repeated_once() -> None:
    pair = Pair()
    pair.begin()
    assert [pair.tell() for _ in range(4)] == [1, 1, 0, 0]
    assert pair.differing() == []


def test_an_unchanged_load_is_refreshed_periodically() -> None:
    pair = Pair()
    pair.begin(prefill_seconds=2.0)
    pair.tell_for(0.2)
    pair.told = 0
    pair.tell_for(10 * REFRESH_SECONDS)
    assert 8 <= pair.told <= 10
    assert pair.differing() == []


def test_a_backlog_that_ends_early_is_a_change() -> None:
    pair = Pair()
    pair.begin(prefill_seconds=2.0)
    pair.tell_for(0.3)
    pair.here.end_prefill(pair.sends[0], now=pair.now)
    assert pair.tell() == 1
    assert pair.there.load("i-1", now=pair.now).backlog == 0.0


@pytest.mark.parametrize("lost", [1, 2], ids=["first_lost", "both_lost"])
def test_a_lost_message_is_made_good_by_the_next_or_the_refresh(lost: int) -> None:
    pair = Pair()
    pair.begin()
    for _ in range(lost):
        pair.tell(lost=True)
    pair.tell_for(PERIOD if lost == 1 else REFRESH_SECONDS + PERIOD)
    assert pair.differing() == []


def test_a_load_whose_end_was_lost_expires() -> None:
    pair = Pair()
    pair.begin()
    pair.tell_for(0.2)
    pair.here.end(pair.sends[0], now=pair.now)
    pair.tell(lost=True)
    pair.tell(lost=True)
    assert pair.differing() == ["i-1"]
    pair.tell_for(MAX_GOSSIP_AGE_SECONDS)
    assert pair.differing() == []


def test_a_load_that_begins_and_ends_between_two_messages_is_not_published() -> None:
    pair = Pair()
    pair.begin()
    pair.here.end(pair.sends[0], now=pair.now)
    assert pair.tell() == 0


def test_changes_that_exceed_one_message_follow_in_the_next() -> None:
    pair = Pair()
    for number in range(MAX_SHARES + 10):
        pair.begin(f"i-{number}")
    assert pair.tell() == MAX_SHARES
    pair.tell_for(0.4)
    known = [pair.there.load(f"i-{number}", now=pair.now) for number in range(MAX_SHARES + 10)]
    assert {load.in_flight for load in known} == {1}


def test_a_restarted_gateway_has_no_loads_until_it_publishes_them() -> None:
    pair = Pair()
    pair.begin()
    pair.tell()
    pair.there.forget("front-0")
    assert pair.there.load("i-1", now=pair.now).in_flight == 0


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
    for what, engine, seconds, lost in steps:
        if what == "begin":
            pair.begin(engine, prefill_seconds=seconds)
        elif pair.sends and what == "read":
            pair.here.end_prefill(pair.sends[0], now=pair.now)
        elif pair.sends and what == "end":
            pair.here.end(pair.sends.pop(0), now=pair.now)
        pair.tell(lost=lost)
    pair.tell_for(MAX_GOSSIP_AGE_SECONDS + REFRESH_SECONDS)
    assert pair.differing() == []
