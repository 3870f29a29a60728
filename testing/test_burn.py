"""Tests of the burn report and the decision records, from the counters to the command line."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from click.testing import CliRunner
from entry_builders import LedgerFleet
from entry_builders import open_client
from entry_builders import send_order
from entry_builders import send_request

from baobabpulley.cli.main import cli
from baobabpulley.cli.main import load_commands
from baobabpulley.policy.burn import FAILURES
from baobabpulley.policy.burn import BurnCounters
from baobabpulley.policy.burn import BurnSection
from baobabpulley.policy.burn import alert_state
from baobabpulley.policy.burn import merge_series


def counters(*, max_series: int = 100) -> BurnCounters:
    return BurnCounters(section=BurnSection(max_series=max_series))


def test_page_needs_the_short_and_the_middle_window_to_agree() -> None:
    burn = counters()
    for minute in range(60):
        burn.count(team="souk", objective=FAILURES, good=minute < 58, now=minute * 60.0)
    now = 59 * 60.0
    (series,) = burn.describe(entry="entry-0", now=now).series
    assert alert_state(series, fast_burn=14.4, slow_burn=6.0) == "page"
    (series,) = burn.describe(entry="entry-0", now=now + 600.0).series
    assert alert_state(series, fast_burn=14.4, slow_burn=6.0) == "ticket"
    (series,) = burn.describe(entry="entry-0", now=now + 7 * 3600.0).series
    assert alert_state(series, fast_burn=14.4, slow_burn=6.0) == "ok"


def test_entries_are_added_up_and_teams_past_the_bound_are_counted_together() -> None:
    first, second = counters(max_series=2), counters()
    for number in range(5):
        first.count(team=f"team-{number}", objective=FAILURES, good=True, now=1.0)
        second.count(team="team-0", objective=FAILURES, good=False, now=1.0)
    documents = tuple(burn.describe(entry="entry", now=2.0) for burn in (first, second))
    merged = {series.team: series.windows[0] for series in merge_series(documents)}
    assert (merged["team-0"].good, merged["team-0"].bad) == (1, 5)
    assert merged["(other)"].good == 3


@pytest.fixture
async def fleet(base_port: int, tmp_path: Path) -> AsyncIterator[LedgerFleet]:
    running = LedgerFleet(port=base_port + 940, directory=tmp_path)
    running.start()
    yield running
    await running.stop()


async def test_operators_see_their_own_team_alone(fleet: LedgerFleet) -> None:
    async with open_client() as http:
        address = fleet.entries[0].address
        await send_order(http, address, 1, X_Request_Id="mine")
        own_status, record = await send_request(
            http, address, "GET", "/v1/explain/mine", Authorization="Bearer operator-souk"
        )
        other_status, _ = await send_request(
            http, address, "GET", "/v1/explain/mine", Authorization="Bearer operator-stall"
        )
        caller_status, _ = await send_request(http, address, "GET", "/v1/explain/mine")
    assert (own_status, record["team"], record["outcome"]) == (200, "souk", "ok")
    assert (other_status, caller_status) == (404, 403)


@pytest.mark.parametrize(
    "arguments",
    [("report", "burn"), ("explain", "request-1")],
    ids=["burn", "explain"],
)
def test_command_without_an_entry_that_answers_fails(
    arguments: tuple[str, ...], tmp_path: Path
) -> None:
    load_commands()
    settings = tmp_path / "entry.ini"
    settings.write_text(
        "[node]\nid=e\nvm=v\nfailure_domain=fes\nhttp=127.0.0.1:9\n"
        "[keeper]\naddress=127.0.0.1:9\n[peers]\nsecret=a-secret-for-tests-only\n"
    )
    options = ["--settings", str(settings), "--entry", "127.0.0.1:9"]
    result = CliRunner().invoke(cli, [*arguments, *options])
    assert result.exit_code == 1
    assert "127.0.0.1:9: no answer" in result.output
