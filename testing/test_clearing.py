"""When a prompt with long parts begins to be read; no clock, no sockets."""

from __future__ import annotations

import pytest
from policy_builders import FIGURES
from policy_builders import candidate

from baobabpulley.model.routes import STREAM
from baobabpulley.model.routes import Route
from baobabpulley.policy.clearing import LATE_SECONDS
from baobabpulley.policy.clearing import Clearing
from baobabpulley.policy.clearing import clearing_of
from baobabpulley.policy.fleet_load import LoadBook
from baobabpulley.policy.memory_seats import Candidate
from baobabpulley.policy.spread import Plan
from baobabpulley.policy.spread import plan_prompt
from baobabpulley.policy.waiting import Times
from baobabpulley.policy.waiting import times_of

ENGINES = 9
OBJECTIVE = 3.0
ANSWER = FIGURES.answer_seconds(prompt_tokens=200_000, most_tokens=1000)
ROUTE = Route("r", "h", "/", STREAM, 15.0, OBJECTIVE, 1, (), 2, False, True, 1.0)


def times(arrived: float) -> Times:
    return times_of(ROUTE, arrived=arrived, remaining=15.0)


def plan(book: LoadBook, *, tokens: int, now: float) -> Plan:
    listed = [candidate(f"i-{number}") for number in range(ENGINES)]
    loaded = [Candidate(one.upstream, book.load(one.upstream.id, now=now)) for one in listed]
    found = plan_prompt(
        loaded, figures=FIGURES, prompt_tokens=tokens, answer_tokens=1000, objective=OBJECTIVE
    )
    assert found is not None
    return found


def begins_at(clearing: Clearing, book: LoadBook, plan: Plan, *, now: float) -> float:
    """Return when a prompt would be read, if nothing but the book's reads is in its way."""
    for step in range(400):
        moment = now + step * 0.025
        longest = max(book.load(engine.id, now=moment).backlog for engine in plan.engines)
        if clearing.is_over(now=moment, writing=False, reading=longest):
            return moment
    raise AssertionError("the prompt was never read")


def test_of_two_long_prompts_the_later_is_read_once_the_earlier_has_been() -> None:
    book = LoadBook()
    first = plan(book, tokens=300_000, now=0.0)
    for engine in first.engines:
        book.begin(engine.id, read_seconds=first.part_seconds, memory_tokens=1, now=0.0)
    second = plan(book, tokens=200_000, now=0.2)
    assert {one.id for one in second.engines} & {one.id for one in first.engines}
    clearing = clearing_of(second, times(0.2), answer=ANSWER, now=0.2)
    assert clearing is not None
    begins = begins_at(clearing, book, second, now=0.2)
    assert begins == pytest.approx(first.part_seconds, abs=0.1)
    assert begins + second.part_seconds < 0.2 + OBJECTIVE


def test_a_long_prompt_waits_for_nothing_that_would_make_it_late() -> None:
    book = LoadBook()
    for number in range(ENGINES):
        book.begin(f"i-{number}", read_seconds=30.0, memory_tokens=1, now=0.0)
    late = plan(book, tokens=200_000, now=0.0)
    clearing = clearing_of(late, times(0.0), answer=ANSWER, now=0.0)
    assert clearing is not None
    begins = begins_at(clearing, book, late, now=0.0)
    assert begins + late.part_seconds <= OBJECTIVE


def test_a_long_prompt_past_its_objective_still_lets_answers_end_first() -> None:
    book = LoadBook()
    retried = plan(book, tokens=280_000, now=6.0)
    clearing = clearing_of(retried, times(0.0), answer=ANSWER, now=6.0)
    assert clearing is not None
    assert not clearing.is_over(now=6.0, writing=True, reading=0.0)
    assert clearing.is_over(now=6.3, writing=False, reading=0.0)
    assert clearing.is_over(now=6.0 + LATE_SECONDS, writing=True, reading=9.0)


def test_a_prompt_whose_parts_are_short_waits_for_nothing() -> None:
    short = plan(LoadBook(), tokens=40_000, now=0.0)
    assert clearing_of(short, times(0.0), answer=ANSWER, now=0.0) is None


def test_a_prompt_whose_answer_has_to_end_before_its_objective_waits_for_nothing() -> None:
    hurried = plan(LoadBook(), tokens=280_000, now=0.0)
    ends_soon = times_of(ROUTE, arrived=0.0, remaining=hurried.part_seconds + 0.8)
    clearing = clearing_of(hurried, ends_soon, answer=ANSWER, now=0.0)
    assert clearing is not None
    assert clearing.is_over(now=0.0, writing=True, reading=9.0)
