"""A team's tokens in flight over all entries of a failure domain, also while keepers are down."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import pytest_asyncio
from gang_fleet import SHORT_TOKENS
from gang_fleet import SMALL_LIMIT
from gang_fleet import SMALL_TEAM
from gang_fleet import SPEED
from gang_fleet import caller
from gang_fleet import gang_plan
from gang_fleet import is_correct
from gang_fleet import wait_until_granting

from baobabpulley.emulator.caller import Completion
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.journals import journals
from baobabpulley.policy.rendezvous import ranked
from baobabpulley.policy.team_ledger import team_key
from baobabpulley.standins.text import make_prompt

PROMPT_TOKENS = 1_500
MAX_TOKENS = 100
DECODE_TOKENS_PER_SECOND = 50.0
REFUSALS = ("team_limit", "overloaded")

pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet(base_port: int, tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[Fleet]:
    directory: Path = tmp_path_factory.mktemp("teams")
    plan = gang_plan(base_port, engines=3)
    async with Fleet(plan=plan, directory=directory) as running:
        await wait_until_granting(running)
        yield running


async def send(
    fleet: Fleet, name: str, *, entry: int, tokens: int = PROMPT_TOKENS, team: str = SMALL_TEAM
) -> Completion:
    return await caller(team).complete(
        fleet.entries[f"entry-{entry % 3}"],
        prompt=make_prompt(tokens=tokens, seed=1),
        max_tokens=MAX_TOKENS,
        headers={"X-Request-Id": name},
    )


async def burst(fleet: Fleet, name: str, *, count: int = 12) -> dict[str, Completion]:
    """Send three times what the limit admits, over all entries at once."""
    names = [f"{name}-{index}" for index in range(count)]
    completions = await asyncio.gather(
        *(send(fleet, request_id, entry=index) for index, request_id in enumerate(names))
    )
    return dict(zip(names, completions, strict=True))


async def start_times(fleet: Fleet, prefix: str) -> dict[str, float]:
    """Return the engine start times of requests with a prefix, in model seconds."""
    return {
        line["request"]: line["at"]
        for journal in (await journals(fleet)).values()
        for line in journal["lines"]
        if line["kind"] == "completion" and line["request"].startswith(prefix)
    }


async def check_limit(fleet: Fleet, name: str, completions: dict[str, Completion]) -> int:
    """Check that the limit held and refusals reached no engine; return the number of starts."""
    started = await start_times(fleet, name)
    prompt = make_prompt(tokens=PROMPT_TOKENS, seed=1)
    for request_id, completion in completions.items():
        if is_correct(completion, prompt, max_tokens=MAX_TOKENS):
            assert request_id in started
            continue
        assert completion.code in REFUSALS
        assert completion.ran is False
        assert request_id not in started
    # A request lasts at least its decode time, so requests that started within that time of each
    # other were certainly in flight together.
    shortest_seconds = MAX_TOKENS / DECODE_TOKENS_PER_SECOND
    for at in started.values():
        overlapping = sum(1 for start in started.values() if at <= start < at + shortest_seconds)
        assert overlapping * PROMPT_TOKENS <= SMALL_LIMIT
    return len(started)


async def test_a_burst_past_the_limit_is_refused_and_harms_no_other_team(fleet: Fleet) -> None:
    others = [send(fleet, f"other-{i}", entry=i, team="souk") for i in range(6)]
    completions, *other_completions = await asyncio.gather(burst(fleet, "burst"), *others)
    assert await check_limit(fleet, "burst", completions) >= SMALL_LIMIT // PROMPT_TOKENS
    assert "team_limit" in {completion.code for completion in completions.values()}
    assert all(completion.ok for completion in other_completions)


async def test_tokens_that_other_entries_hold_unused_are_released(fleet: Fleet) -> None:
    for entry in range(3):
        assert (await send(fleet, f"scatter-{entry}", entry=entry, tokens=100)).ok
    requests = [send(fleet, f"whole-{i}", entry=0, tokens=SMALL_LIMIT // 2) for i in range(2)]
    completions = await asyncio.gather(*requests)
    assert [completion.code for completion in completions] == ["", ""]


async def test_a_single_prompt_past_the_tokens_in_flight_is_refused_at_once(fleet: Fleet) -> None:
    completion = await send(fleet, "too-long", entry=0, tokens=SMALL_LIMIT + 1)
    assert completion.ran is False
    assert await start_times(fleet, "too-long") == {}


async def test_the_limit_holds_while_the_teams_owner_is_killed(fleet: Fleet) -> None:
    vms = [vm.id for vm in fleet.vms if vm.role == "entry"]
    owner = ranked(team_key(SMALL_TEAM), vms)[0].replace("vm", "keeper")
    first = asyncio.create_task(burst(fleet, "kill-a"))
    await asyncio.sleep(0.5 / SPEED)
    fleet.processes[owner].kill()
    second = await burst(fleet, "kill-b")
    third = await burst(fleet, "kill-c")
    completions = {**(await first), **second, **third}
    fleet.processes[owner].start()
    assert await check_limit(fleet, "kill-", completions) > SMALL_LIMIT // PROMPT_TOKENS


async def test_with_all_keepers_down_entries_spend_what_they_hold_and_no_more(
    fleet: Fleet,
) -> None:
    for entry in range(3):
        assert (await send(fleet, f"before-{entry}", entry=entry, team="souk")).ok
    keepers = [fleet.processes[name] for name in fleet.processes if name.startswith("keeper")]
    for keeper in keepers:
        keeper.kill()
    # Well past the lease the entries may still spend their shares: with all keepers down, nobody
    # can grant the same tokens to another entry.
    await asyncio.sleep(10.0 / SPEED)
    within_shares = [
        await send(fleet, f"held-{i}", entry=i, tokens=SHORT_TOKENS, team="souk") for i in range(3)
    ]
    over_limit = await burst(fleet, "gone")
    for keeper in keepers:
        keeper.start()
    assert [completion.code for completion in within_shares] == ["", "", ""]
    await check_limit(fleet, "gone", over_limit)
    assert "overloaded" in {completion.code for completion in over_limit.values()}
    # The restarted keepers wait for a grace period of one lease before they grant again.
    for _ in range(50):
        if (await send(fleet, "after", entry=0)).ok:
            break
        await asyncio.sleep(0.2)
    else:
        raise AssertionError("none of the team's 50 requests succeeded after the keepers restarted")
