"""Tests of the emulated engine: its prefills and decodes as observed on the users' engines."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from baobabpulley.emulator.engine_world import Arrival
from baobabpulley.emulator.engine_world import EngineWorld
from baobabpulley.emulator.pass_engine import PassEngine
from baobabpulley.emulator.pass_engine import Read
from baobabpulley.emulator.pass_engine import Write
from baobabpulley.emulator.usual_engine import USUAL_ENGINE


@pytest.fixture
def engine() -> PassEngine:
    return PassEngine(USUAL_ENGINE)


def make_read(
    seconds: float, done: Callable[[float], None], *, part: bool, priority: int = 1
) -> Read:
    tokens = seconds * USUAL_ENGINE.tokens_per_second
    return Read(tokens=tokens, seconds=seconds, part=part, priority=priority, done=done)


def test_a_chunk_is_prefilled_before_earlier_work(engine: PassEngine) -> None:
    ends: dict[str, float] = {}
    for name, part in (("first", True), ("whole", False), ("second", True)):
        engine.read(
            make_read(0.5, lambda at, name=name: ends.setdefault(name, at), part=part), now=0.0
        )
    engine.advance(10.0)
    assert list(ends) == ["second", "first", "whole"]
    assert ends["whole"] == pytest.approx(1.5, abs=0.2)


def test_unsplit_prompts_are_prefilled_by_priority_and_then_by_arrival(engine: PassEngine) -> None:
    ends: list[int] = []
    for number, priority in enumerate((1, 1, 0)):
        engine.read(
            make_read(
                0.2, lambda at, number=number: ends.append(number), part=False, priority=priority
            ),
            now=0.0,
        )
    engine.advance(10.0)
    assert ends == [0, 2, 1] or ends == [2, 0, 1]


def test_an_answer_stalls_while_a_long_chunk_is_prefilled(engine: PassEngine) -> None:
    write = Write(tokens=430, memory_tokens=1000, began=0.0, ended=lambda at: None)
    engine.write(write, now=0.0)
    engine.advance(0.2)
    assert write.longest_pause < 0.06
    engine.read(make_read(0.4, lambda at: None, part=True), now=0.2)
    engine.advance(5.0)
    assert 0.4 < write.longest_pause < 0.55


async def test_a_prompt_without_memory_is_prefilled_again_once_there_is_some() -> None:
    world = EngineWorld(1)
    served = await world.replay([Arrival(0.0, 150_000), Arrival(0.01, 150_000)], seconds=20.0)
    first, second = served
    assert (first.code, second.code) == ("", "")
    assert second.seconds > first.seconds + 1.0
