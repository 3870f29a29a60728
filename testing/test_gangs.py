"""Gangs (long prompts prefilled by several engines) in one failure domain, also under faults.

An engine's journal calls a chunk of a prompt "part"; a member is one of the engines of a gang.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import pytest_asyncio
from gang_fleet import GANG_TOKENS
from gang_fleet import LONG_TOKENS
from gang_fleet import SHORT_TOKENS
from gang_fleet import SPEED
from gang_fleet import caller
from gang_fleet import engine_journal_of
from gang_fleet import gang_plan
from gang_fleet import is_correct
from gang_fleet import wait_until_granting

from baobabpulley.emulator.caller import Completion
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.journals import journals
from baobabpulley.emulator.journals import wait_for_memory_release
from baobabpulley.standins.text import make_prompt

MAX_TOKENS = 8

pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet(base_port: int, tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[Fleet]:
    directory: Path = tmp_path_factory.mktemp("gangs")
    async with Fleet(plan=gang_plan(base_port), directory=directory) as running:
        await wait_until_granting(running)
        yield running


async def send(fleet: Fleet, entry: int, prompt: str, *, request_id: str = "") -> Completion:
    headers = {"X-Request-Id": request_id} if request_id else {}
    address = fleet.entries[f"entry-{entry}"]
    return await caller().complete(address, prompt=prompt, max_tokens=MAX_TOKENS, headers=headers)


async def send_short_prompts(
    fleet: Fleet, stop: asyncio.Event, entries: tuple[int, ...]
) -> list[bool]:
    """Send short prompts one after another until ``stop`` is set; return which were right."""
    short_results = []
    while not stop.is_set():
        prompt = make_prompt(tokens=SHORT_TOKENS, seed=len(short_results))
        answer = await send(fleet, entries[len(short_results) % len(entries)], prompt)
        short_results.append(is_correct(answer, prompt, max_tokens=MAX_TOKENS))
    return short_results


async def wait_for_started(fleet: Fleet, request_id: str, kind: str, count: int = 1) -> str:
    """Wait until a request has started ``count`` calls of a kind; return the last call's engine."""
    for _ in range(400):
        lines = [
            line
            for line in await engine_journal_of(fleet, request_id)
            if line[1:] == (kind, "started")
        ]
        if len(lines) >= count:
            return lines[-1][0]
        await asyncio.sleep(0.02)
    raise AssertionError(f"{request_id}: fewer than {count} started calls of kind {kind}")


@pytest.mark.parametrize("count", [2, 6], ids=["two", "six"])
async def test_concurrent_gangs_complete_while_short_prompts_are_served(
    fleet: Fleet, count: int
) -> None:
    prompts = [make_prompt(tokens=GANG_TOKENS, seed=seed) for seed in range(count)]
    stop = asyncio.Event()
    short_prompts_task = asyncio.create_task(send_short_prompts(fleet, stop, (0, 1, 2)))
    answers = await asyncio.gather(
        *(send(fleet, index % 3, prompt) for index, prompt in enumerate(prompts))
    )
    stop.set()
    short_results = await short_prompts_task
    for answer, prompt in zip(answers, prompts, strict=True):
        assert is_correct(answer, prompt, max_tokens=MAX_TOKENS), answer.code
    assert len(short_results) > 2 * count
    assert all(short_results)
    assert await wait_for_memory_release(fleet) == {}


async def test_memory_of_long_prompts_is_reserved_so_that_no_engine_runs_out(
    fleet: Fleet,
) -> None:
    prompts = [make_prompt(tokens=LONG_TOKENS, seed=seed) for seed in range(15)]
    request_ids = [f"reserved-{index}" for index in range(len(prompts))]
    answers = await asyncio.gather(
        *(send(fleet, i % 3, prompt, request_id=request_ids[i]) for i, prompt in enumerate(prompts))
    )
    for answer, prompt in zip(answers, prompts, strict=True):
        assert is_correct(answer, prompt, max_tokens=MAX_TOKENS), answer.code
    for request_id in request_ids:
        assert [outcome for _, _, outcome in await engine_journal_of(fleet, request_id)] == [
            "started"
        ]


async def test_caller_resumes_the_answer_of_a_gang_through_another_entry(fleet: Fleet) -> None:
    prompt = make_prompt(tokens=GANG_TOKENS, seed=76)
    interrupted = await send(fleet, 0, prompt)
    assert is_correct(interrupted, prompt, max_tokens=MAX_TOKENS), interrupted.code
    # Emulates a connection lost after three tokens of four bytes each.
    interrupted.text, interrupted.offset = interrupted.text[:12], 3
    resumed = await caller().resume(fleet.entries["entry-1"], interrupted, prompt=prompt)
    assert is_correct(resumed, prompt, max_tokens=MAX_TOKENS), resumed.code


async def test_chunks_are_renewed_until_the_answer_is_complete(fleet: Fleet) -> None:
    prompt = make_prompt(tokens=200_000, seed=75)
    answer = await send(fleet, 0, prompt, request_id="six-members")
    assert is_correct(answer, prompt, max_tokens=MAX_TOKENS), answer.code
    # The first chunk is needed for longer than an engine holds a chunk that is not renewed.
    lines = [line[1:] for line in await engine_journal_of(fleet, "six-members")]
    assert lines == [("part", "started")] * 5 + [("completion", "started")]


@pytest.mark.parametrize("text", ["م", "aകപ്പ"], ids=["two-byte", "three-byte"])
async def test_non_ascii_prompt_can_be_split_inside_characters(fleet: Fleet, text: str) -> None:
    size = len(text.encode())
    prompt = "z" + text * (4 * 50_000 // size)
    answer = await send(fleet, 0, prompt)
    assert is_correct(answer, prompt, max_tokens=MAX_TOKENS), answer.code


async def test_only_the_chunk_of_a_member_killed_during_prefill_is_repeated(fleet: Fleet) -> None:
    prompt = make_prompt(tokens=GANG_TOKENS, seed=71)
    running = asyncio.create_task(send(fleet, 0, prompt, request_id="member-killed"))
    member = await wait_for_started(fleet, "member-killed", "part", count=2)
    fleet.processes[member].kill()
    answer = await running
    lines = await engine_journal_of(fleet, "member-killed")
    fleet.processes[member].start()
    assert is_correct(answer, prompt, max_tokens=MAX_TOKENS), answer.code
    # The killed engine's journal is lost: chunk 0, the repeat of chunk 1, and the answer remain.
    started = [kind for _, kind, outcome in lines if outcome == "started"]
    assert started == ["part", "part", "completion"]
    await fleet.wait_for(fleet.address_of(member), "/v1/state")
    assert await wait_for_memory_release(fleet) == {}


async def test_only_the_chunk_of_a_member_killed_after_prefill_is_repeated(fleet: Fleet) -> None:
    prompt = make_prompt(tokens=GANG_TOKENS, seed=72)
    running = asyncio.create_task(send(fleet, 0, prompt, request_id="part-lost"))
    first = await wait_for_started(fleet, "part-lost", "part", count=1)
    await wait_for_started(fleet, "part-lost", "part", count=2)
    fleet.processes[first].kill()
    answer = await running
    lines = await engine_journal_of(fleet, "part-lost")
    fleet.processes[first].start()
    assert is_correct(answer, prompt, max_tokens=MAX_TOKENS), answer.code
    started = [kind for _, kind, outcome in lines if outcome == "started"]
    assert started == ["part", "part", "completion"]
    assert ("completion", "import_failed") in {line[1:] for line in lines}
    await fleet.wait_for(fleet.address_of(first), "/v1/state")
    assert await wait_for_memory_release(fleet) == {}


async def test_six_gangs_survive_kills_of_a_member_an_entry_and_a_keeper(fleet: Fleet) -> None:
    prompts = [make_prompt(tokens=GANG_TOKENS, seed=80 + seed) for seed in range(6)]
    stop = asyncio.Event()
    short_prompts_task = asyncio.create_task(send_short_prompts(fleet, stop, (0, 1)))
    running = [
        asyncio.create_task(send(fleet, index % 3, prompt, request_id=f"six-{index}"))
        for index, prompt in enumerate(prompts)
    ]
    # Before any gang can have ended: prefill alone takes nearly four model seconds.
    await asyncio.sleep(1.0 / SPEED)
    fleet.processes["keeper-0"].kill()
    await asyncio.sleep(1.0 / SPEED)
    fleet.processes["entry-2"].kill()
    fleet.processes["engine-4"].kill()
    await asyncio.sleep(3.0 / SPEED)
    fleet.processes["engine-4"].start()
    answers = await asyncio.gather(*running)
    stop.set()
    short_results = await short_prompts_task
    fleet.processes["keeper-0"].start()
    fleet.processes["entry-2"].start()
    for index, (answer, prompt) in enumerate(zip(answers, prompts, strict=True)):
        if index % 3 == 2:
            assert answer.code in ("connection", "cut")
        else:
            assert is_correct(answer, prompt, max_tokens=MAX_TOKENS), answer.code
    assert len(short_results) > 6
    assert all(short_results)
    await fleet.wait_for(fleet.address_of("engine-4"), "/v1/state")
    assert await wait_for_memory_release(fleet) == {}
    await fleet.wait_for(fleet.entries["entry-2"], "/readyz")


async def test_a_frozen_member_is_replaced_before_the_deadline(fleet: Fleet) -> None:
    prompt = make_prompt(tokens=GANG_TOKENS, seed=73)
    running = asyncio.create_task(send(fleet, 0, prompt, request_id="member-frozen"))
    member = await wait_for_started(fleet, "member-frozen", "part", count=2)
    fleet.processes[member].send(signal.SIGSTOP)
    try:
        answer = await asyncio.wait_for(running, 60.0)
    finally:
        fleet.processes[member].send(signal.SIGCONT)
    assert is_correct(answer, prompt, max_tokens=MAX_TOKENS), answer.code
    assert await wait_for_memory_release(fleet) == {}


async def test_a_prompt_too_large_for_all_engines_is_refused_at_once_and_reaches_none(
    fleet: Fleet,
) -> None:
    prompt = make_prompt(tokens=300_000, seed=74)
    answer = await send(fleet, 0, prompt, request_id="too-large")
    assert (answer.code, answer.ran) == ("too_few_engines", False)
    assert await engine_journal_of(fleet, "too-large") == []
    assert len(await journals(fleet)) == 6
