"""Tests of when gateways tell each other what upstreams told them."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from baobabpulley.policy.report_schedule import INITIAL_TRANSMISSIONS
from baobabpulley.policy.report_schedule import JOIN_SPREAD_SECONDS
from baobabpulley.policy.report_schedule import REFRESH_SECONDS
from baobabpulley.policy.report_schedule import REPEAT_SECONDS
from baobabpulley.policy.report_schedule import ReportSchedule

STEP_SECONDS = 0.1
MOST = 8


def make_schedule(seed: int = 0) -> ReportSchedule:
    return ReportSchedule(source=random.Random(seed))


def sent_at(schedule: ReportSchedule, *, begin: float, end: float) -> list[float]:
    """Return when a schedule sends a report of ``i-1`` if it is asked ten times a second."""
    count = round((end - begin) / STEP_SECONDS)
    times = [begin + STEP_SECONDS * number for number in range(count)]
    return [at for at in times if "i-1" in schedule.take_due(most=MOST, now=at)]


@pytest.mark.parametrize("seed", range(10))
def test_a_report_is_sent_at_once_repeated_soon_and_then_rarely(seed: int) -> None:
    schedule = make_schedule(seed)
    schedule.add("i-1", until=300.0, now=0.0, is_known=False)
    first, second, third, *later = sent_at(schedule, begin=0.0, end=400.0)
    assert first == 0.0
    assert REPEAT_SECONDS / 2 <= second <= REPEAT_SECONDS + STEP_SECONDS
    assert REFRESH_SECONDS <= third - second <= 2 * REFRESH_SECONDS + STEP_SECONDS
    assert max(later) < 300.0
    assert len(schedule) == 0


def test_a_report_that_others_have_sent_is_only_repeated() -> None:
    schedule = make_schedule()
    schedule.add("i-1", until=300.0, now=0.0, is_known=True)
    assert sent_at(schedule, begin=0.0, end=REFRESH_SECONDS) == []
    schedule.add("i-1", until=300.0, now=10.0, is_known=False)
    for _ in range(INITIAL_TRANSMISSIONS):
        schedule.record_heard("i-1", now=10.0)
    assert sent_at(schedule, begin=10.0, end=10.0 + REFRESH_SECONDS) == []


def test_a_gateway_that_joins_brings_reports_forward() -> None:
    schedule = make_schedule()
    schedule.add("i-1", until=300.0, now=0.0, is_known=True)
    schedule.bring_forward(now=1.0)
    sent = sent_at(schedule, begin=1.0, end=1.0 + JOIN_SPREAD_SECONDS + 2 * REPEAT_SECONDS)
    assert len(sent) == INITIAL_TRANSMISSIONS


def test_gateways_that_learn_the_same_at_once_send_few_reports_together() -> None:
    schedules = [make_schedule(seed) for seed in range(78)]
    ids = [f"i-{number}" for number in range(67)]
    for schedule in schedules:
        for id in ids:
            schedule.add(id, until=300.0, now=0.0, is_known=False)
    sent = 0
    for step in range(round(30.0 / STEP_SECONDS)):
        now = step * STEP_SECONDS
        batches = [schedule.take_due(most=MOST, now=now) for schedule in schedules]
        sent += sum(len(batch) for batch in batches)
        for sender, batch in enumerate(batches):
            for receiver, schedule in enumerate(schedules):
                if receiver != sender:
                    for id in batch:
                        schedule.record_heard(id, now=now)
    # Each alone would send 67 reports four times or more: 20,000.
    assert sent < 3_000


steps = st.lists(
    st.tuples(
        st.sampled_from(["add", "known", "hear", "join", "drop", "send"]),
        st.sampled_from(["i-1", "i-2", "i-3"]),
        st.floats(min_value=0.0, max_value=30.0),
    ),
    max_size=40,
)


@settings(max_examples=200)
@given(steps=steps, seed=st.integers(0, 1_000))
def test_reports_end_are_sent_again_in_time_and_nothing_else_is_sent(
    steps: list[tuple[str, str, float]], seed: int
) -> None:
    schedule, ends, now = make_schedule(seed), dict[str, float](), 0.0
    for action, id, seconds in steps:
        now += seconds
        if action in ("add", "known"):
            ends[id] = now + seconds
            schedule.add(id, until=ends[id], now=now, is_known=action == "known")
        elif action == "hear":
            schedule.record_heard(id, now=now)
        elif action == "join":
            schedule.bring_forward(now=now)
        elif action == "drop":
            ends.pop(id, None)
            schedule.drop(id)
        else:
            sent = schedule.take_due(most=MOST, now=now)
            assert all(ends.get(sent_id, 0.0) > now for sent_id in sent)
    live = {id for id, end in ends.items() if end > now + 2 * REFRESH_SECONDS}
    assert live <= set(schedule.take_due(most=MOST, now=now + 2 * REFRESH_SECONDS))
