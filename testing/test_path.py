"""End to end: callers, entries, keepers, store and engines as separate processes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import pytest_asyncio

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.emulator.caller import Caller
from baobabpulley.emulator.fleet import MODEL
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.fleet import FleetPlan
from baobabpulley.emulator.fleet import caller_token
from baobabpulley.standins.text import expected_text
from baobabpulley.standins.text import make_prompt

SPEED = 4.0


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet(base_port: int, tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[Fleet]:
    directory: Path = tmp_path_factory.mktemp("fleet")
    plan = FleetPlan(base_port=base_port, speed=SPEED, entries=3, engines=6)
    async with Fleet(plan=plan, directory=directory) as running:
        yield running


pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest.mark.parametrize("stream", [True, False], ids=["streamed", "whole"])
async def test_each_entry_answers_short_and_long_prompts(fleet: Fleet, stream: bool) -> None:
    caller = Caller(token=caller_token("souk"), model=MODEL)
    cases = [
        (address, make_prompt(tokens=size, seed=size))
        for address in fleet.entries.values()
        for size in (1, 1_000, 20_000)
    ]
    answers = await asyncio.gather(
        *(caller.complete(address, prompt=prompt, stream=stream) for address, prompt in cases)
    )
    for answer, (_, prompt) in zip(answers, cases, strict=True):
        assert answer.ok, answer.code
        assert answer.text == expected_text(prompt, seed=0, max_tokens=8)
        assert answer.usage["completion_tokens"] == 8


async def test_a_connection_is_not_used_again_once_its_entry_may_close_it(fleet: Fleet) -> None:
    client = HttpClient()
    caller = Caller(token=caller_token("souk"), model=MODEL, client=client)
    address = next(iter(fleet.entries.values()))
    # The entry closes connections that are idle for 10 model seconds.
    for pause in (0.0, 10.0 / SPEED - 0.2):
        await asyncio.sleep(pause)
        assert (await caller.complete(address, prompt="merguez")).ok
    assert (client.opened, client.reused) == (2, 0)
    assert (await caller.complete(address, prompt="merguez")).ok
    assert client.reused == 1
    client.close()


async def test_unknown_token_is_refused_as_not_run(fleet: Fleet) -> None:
    caller = Caller(token="nobody", model=MODEL)
    answer = await caller.complete(next(iter(fleet.entries.values())), prompt="saffron")
    assert (answer.status, answer.code, answer.ran) == (401, "bad_token", False)


async def test_prompt_past_the_team_limit_is_refused_as_not_run(fleet: Fleet) -> None:
    caller = Caller(token=caller_token("stall"), model=MODEL)
    prompt = make_prompt(tokens=100_001, seed=1)
    answer = await caller.complete(next(iter(fleet.entries.values())), prompt=prompt)
    assert (answer.status, answer.code, answer.ran) == (422, "prompt_too_long", False)


async def test_no_token_is_lost_when_an_engine_is_killed_in_mid_stream(fleet: Fleet) -> None:
    caller = Caller(token=caller_token("souk"), model=MODEL)
    prompts = [make_prompt(tokens=2_000, seed=seed) for seed in range(12)]
    address = next(iter(fleet.entries.values()))
    running = [
        asyncio.create_task(caller.complete(address, prompt=prompt, max_tokens=200))
        for prompt in prompts
    ]
    await asyncio.sleep(0.6)
    fleet.processes["engine-0"].kill()
    answers = await asyncio.gather(*running)
    fleet.processes["engine-0"].start()
    for answer, prompt in zip(answers, prompts, strict=True):
        assert answer.ok, answer.code
        assert answer.text == expected_text(prompt, seed=0, max_tokens=200)
