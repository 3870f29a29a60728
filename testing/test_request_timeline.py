"""Tests of ``explain`` and ``report day``, which use log lines alone."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from pathlib import Path

import platform_upstream as upstreams
import pytest
from click.testing import CliRunner
from gateway_builders import World
from gateway_builders import open_world
from gateway_builders import send
from gateway_builders import wait_until
from loguru import logger

from baobabpulley.cli.main import cli
from baobabpulley.cli.main import load_commands
from baobabpulley.model.log_lines import LogLine
from baobabpulley.policy.request_timeline import describe_cause

load_commands("explain", "report", "report_day")


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with open_world(tmp_path) as opened:
        yield opened


@pytest.fixture
def log(tmp_path: Path) -> Path:
    """Return a file to which this process's log lines are written in a gateway's format."""
    path = tmp_path / "day.log"

    def write(message: object) -> None:
        record = message.record  # type: ignore[attr-defined]
        line = {"time": record["time"].timestamp(), "message": record["message"]}
        with path.open("a", encoding="utf-8") as lines:
            lines.write("  12.3456 front-1 " + json.dumps({**line, **record["extra"]}) + "\n")

    logger.add(write)
    return path


def _explain(request: str, log: Path) -> str:
    return CliRunner().invoke(cli, ["explain", request, "--log", str(log)]).output


@pytest.mark.parametrize(
    ("behaviour", "path", "cause"),
    [
        pytest.param(upstreams.answer_complete, "/order/1", "It was answered within", id="well"),
        pytest.param(
            upstreams.fail, "/order/1", "Its last upstream itself answered 500", id="failed"
        ),
        pytest.param(upstreams.reset_after_run, "/order/1", "ended as upstream_lost", id="lost"),
        pytest.param(upstreams.refuse_unexecuted, "/order/1", "answered 503, not run", id="shed"),
        pytest.param(upstreams.answer_complete, "/none/1", "ended as not_found", id="no-route"),
    ],
)
async def test_explain_names_the_cause_of_a_request(
    world: World, log: Path, behaviour: upstreams.Behaviour, path: str, cause: str
) -> None:
    upstream = await world.add_upstream("i-1")
    upstream.behaviour = behaviour
    gateway = await world.add_gateway()
    await send(gateway, path, **{"X-Attempt-Identifier": "a-told"})
    assert cause in _explain("a-told", log)


async def test_explain_names_the_upstream_when_the_caller_left(world: World, log: Path) -> None:
    upstream = await world.add_upstream("i-1")
    upstream.behaviour = upstreams.stay_silent
    gateway = await world.add_gateway()
    task = asyncio.create_task(send(gateway, "/order/1", **{"X-Attempt-Identifier": "a-left"}))
    await wait_until(lambda: bool(upstream.journal))
    task.cancel()
    await asyncio.sleep(0.1)
    assert "Its caller left" in _explain("a-left", log)
    assert "while i-1 worked on it" in _explain("a-left", log)


def test_explain_reports_a_request_without_log_lines(tmp_path: Path) -> None:
    empty = tmp_path / "empty.log"
    empty.write_text("not a line\n")
    result = CliRunner().invoke(cli, ["explain", "a-1", "--log", str(empty)])
    assert (result.exit_code, "No log line mentions it" in result.output) == (1, True)


def test_a_process_that_ended_is_named() -> None:
    placed = LogLine(time=1.0, node="front-1", event="placed", upstream="i-1", request="a")
    assert describe_cause([placed]) == "front-1 ended, or was cut off, while i-1 worked on it."


def test_a_request_that_was_refused_before_it_was_read_is_explained() -> None:
    closed = LogLine(time=1.0, event="connection_closed", reason="refused_unread", status=413)
    assert describe_cause([closed]) == "It was not read whole and answered 413: refused_unread."


def test_a_freeze_is_reported_when_the_caller_left_during_it() -> None:
    end = LogLine(time=9.0, node="front-1", event="request", outcome="client_gone", seconds=0.01)
    frozen = LogLine(time=8.99, node="front-1", event="frozen", seconds=3.8)
    frozen_elsewhere = LogLine(time=8.99, node="front-2", event="frozen", seconds=3.8)
    assert describe_cause([end], [frozen]) == "Its caller left while front-1 was frozen for 3.8 s."
    assert "was frozen" not in describe_cause([end], [frozen_elsewhere])


def test_a_second_failure_of_an_upstream_is_reported_with_the_first() -> None:
    failed = LogLine(
        time=1.0,
        event="attempt_failed",
        upstream="i-1",
        code="upstream_failed",
        message="i-1 answered 500",
    )
    end = LogLine(time=2.0, event="request", outcome="ok", status=500, seconds=0.3)
    reason = "i-1 failed (upstream_failed): i-1 answered 500"
    assert (
        describe_cause([failed, end]) == f"Its last upstream itself answered 500, after {reason}."
    )


async def test_a_day_is_reported_from_its_log_lines(world: World, log: Path) -> None:
    await world.add_upstream("i-1")
    gateway = await world.add_gateway()
    for _ in range(3):
        await send(gateway, "/order/1")
    await send(gateway, "/none/1")
    output = CliRunner().invoke(cli, ["report", "day", str(log)]).output
    rows = [line.split() for line in output.splitlines()]
    assert ["ledger", "ok", "3"] in rows
    assert any("not_found" in row for row in rows)
