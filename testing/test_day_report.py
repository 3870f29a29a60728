"""Tests of the day report's tables and plots, which use log lines alone."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from baobabpulley.cli.main import cli
from baobabpulley.cli.main import load_commands
from baobabpulley.model.log_lines import LogLine
from baobabpulley.policy.day_summary import summary_of

load_commands("report", "report_day")

BEGIN_SECONDS = 1_775_000_000.0


def ended(request: str, *, at: float, **fields: object) -> LogLine:
    defaults = {"service": "kitchen", "outcome": "ok", "seconds": 0.5}
    return LogLine(
        time=BEGIN_SECONDS + at, event="request", request=request, **{**defaults, **fields}
    )


def placed(request: str, *, at: float, after: float, expected: float) -> LogLine:
    time = BEGIN_SECONDS + at
    return LogLine(time=time, event="placed", request=request, after=after, expected=expected)


def test_lateness_is_taken_from_the_last_attempt_of_each_request() -> None:
    lines = [
        placed("a", at=0.0, after=0.0, expected=0.2),
        placed("a", at=1.0, after=1.0, expected=0.3),
        ended("a", at=2.0, seconds=2.0, first_event=1.4, prompt_tokens=5000),
    ]
    (row,) = summary_of(lines, period=2.0).lengths
    assert (row.tokens, row.number, row.first_p50) == (1000, 1, 1.4)
    assert row.error_p50 == pytest.approx(0.1)


def test_requests_are_counted_in_the_period_in_which_they_arrived() -> None:
    lines = [
        ended("a", at=0.5, seconds=0.5),
        ended("b", at=9.0, seconds=8.5, outcome="overloaded"),
        ended("c", at=9.0, seconds=0.5),
    ]
    rows = summary_of(lines, period=2.0).times
    assert [(row.second, row.requests, row.not_ok) for row in rows] == [(0.0, 2, 1), (8.0, 1, 0)]


def test_alike_refusals_are_counted_together_and_others_apart() -> None:
    lines = [
        ended("a", at=1.0, outcome="overloaded", reason="about 0.25 s until i-1 has room"),
        ended("b", at=1.0, outcome="overloaded", reason="about 0.75 s until i-2 has room"),
        ended("c", at=1.0, outcome="not_found", reason="no route matches"),
    ]
    outcomes = summary_of(lines, period=2.0).outcomes
    assert {(row.outcome, row.number) for row in outcomes} == {("overloaded", 2), ("not_found", 1)}


def test_state_changes_are_listed_in_time_order_over_all_nodes() -> None:
    lines = [
        ended("a", at=3.0, seconds=3.0),
        LogLine(time=BEGIN_SECONDS + 2.0, node="n2", event="store_lost", message="store lost"),
        LogLine(time=BEGIN_SECONDS + 1.0, node="n1", event="configuration", version=7),
    ]
    changes = summary_of(lines, period=2.0).state_changes
    assert [(change.second, change.node, change.detail) for change in changes] == [
        (1.0, "n1", "version 7"),
        (2.0, "n2", "store lost"),
    ]


@pytest.fixture
def log(tmp_path: Path) -> Path:
    path = tmp_path / "day.log"
    line = {"time": BEGIN_SECONDS, "event": "request", "request": "a", "service": "kitchen"}
    request_line = {
        **line,
        "outcome": "ok",
        "seconds": 0.4,
        "first_event": 0.1,
        "prompt_tokens": 400,
    }
    path.write_text(f"day starts\n 1.0 front-1 {json.dumps(request_line)}\n", encoding="utf-8")
    return path


def test_the_command_prints_tables_and_writes_plots(log: Path, tmp_path: Path) -> None:
    result = CliRunner().invoke(cli, ["report", "day", str(log), "--plots", str(tmp_path / "p")])
    assert result.exit_code == 0, result.output
    assert "kitchen" in result.output
    pictures = sorted((tmp_path / "p").iterdir())
    assert [picture.name for picture in pictures] == ["requests.png", "times.png"]
    assert all(picture.read_bytes().startswith(b"\x89PNG") for picture in pictures)


def test_the_command_fails_without_a_request(tmp_path: Path) -> None:
    empty = tmp_path / "empty.log"
    empty.write_text("nothing\n", encoding="utf-8")
    assert CliRunner().invoke(cli, ["report", "day", str(empty)]).exit_code == 1
