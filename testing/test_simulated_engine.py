"""Tests of the simulated engine, which prefills and decodes as the users' engines were observed."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from baobabpulley.emulator.placement_simulation import PlacementSimulation
from baobabpulley.emulator.replayed_requests import Arrival
from baobabpulley.emulator.simulated_engine import DecodeJob
from baobabpulley.emulator.simulated_engine import PrefillJob
from baobabpulley.emulator.simulated_engine import SimulatedEngine
from baobabpulley.emulator.typical_engine import TYPICAL_ENGINE


@pytest.fixture
def engine() -> SimulatedEngine:
    return SimulatedEngine(TYPICAL_ENGINE)


def make_prefill_job(
    seconds: float, on_finished: Callable[[float], None], *, is_chunk: bool, priority: int = 1
) -> PrefillJob:
    tokens = seconds * TYPICAL_ENGINE.tokens_per_second
    return PrefillJob(
        tokens=tokens,
        seconds=seconds,
        is_chunk=is_chunk,
        priority=priority,
        on_finished=on_finished,
    )


def test_a_chunk_is_prefilled_before_earlier_work(engine: SimulatedEngine) -> None:
    ends: dict[str, float] = {}
    for name, is_chunk in (("first", True), ("whole", False), ("second", True)):
        engine.add_prefill(
            make_prefill_job(
                0.5, lambda at, name=name: ends.setdefault(name, at), is_chunk=is_chunk
            ),
            now=0.0,
        )
    engine.advance(10.0)
    assert list(ends) == ["second", "first", "whole"]
    assert ends["whole"] == pytest.approx(1.5, abs=0.2)


def test_unsplit_prompts_are_prefilled_by_priority_and_then_by_arrival(
    engine: SimulatedEngine,
) -> None:
    ends: list[int] = []
    for number, priority in enumerate((1, 1, 0)):
        engine.add_prefill(
            make_prefill_job(
                0.2,
                lambda at, number=number: ends.append(number),
                is_chunk=False,
                priority=priority,
            ),
            now=0.0,
        )
    engine.advance(10.0)
    assert ends == [0, 2, 1] or ends == [2, 0, 1]


def test_an_answer_stalls_while_a_long_chunk_is_prefilled(engine: SimulatedEngine) -> None:
    decode_job = DecodeJob(
        tokens=430, memory_tokens=1000, started_at=0.0, on_finished=lambda at: None
    )
    engine.add_decode(decode_job, now=0.0)
    engine.advance(0.2)
    assert decode_job.longest_pause < 0.06
    engine.add_prefill(make_prefill_job(0.4, lambda at: None, is_chunk=True), now=0.2)
    engine.advance(5.0)
    assert 0.4 < decode_job.longest_pause < 0.55


async def test_a_prompt_without_memory_is_prefilled_again_once_there_is_some() -> None:
    simulation = PlacementSimulation(1)
    served = await simulation.replay([Arrival(0.0, 150_000), Arrival(0.01, 150_000)], seconds=20.0)
    first, second = served
    assert (first.code, second.code) == ("", "")
    assert second.seconds > first.seconds + 1.0
