"""Figures of gateways while a third of the upstreams pauses, or refuses requests, under load."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
from loguru import logger
from pausing_fleet import run_plan

from baobabpulley.emulator.emulated_time import run_in_emulated_time
from baobabpulley.emulator.upstream_pauses import LOOKUP_PATH
from baobabpulley.emulator.upstream_pauses import ORDER_PATH
from baobabpulley.emulator.upstream_pauses import STREAM_PATH
from baobabpulley.emulator.upstream_pauses import Faults
from baobabpulley.emulator.upstream_pauses import PauseJournal
from baobabpulley.emulator.upstream_pauses import PausePlan
from baobabpulley.emulator.upstream_pauses import UpstreamSpeed

PAUSES = Faults(pause=1.2, period=5.0)
REFUSALS = Faults(refuse_at=2.0, refuse_seconds=3.0)
MAX_LATE_RATIO = 0.03
MAX_REFUSED_REQUESTS = 2
MIN_GOODPUT_RATIO = 0.95


def run(plan: PausePlan, folder: Path) -> PauseJournal:
    return run_in_emulated_time(run_plan(plan, folder))


@pytest.fixture(scope="module", autouse=True)
def no_log_lines() -> Iterator[None]:
    logger.disable("baobabpulley")
    yield
    logger.enable("baobabpulley")


@pytest.fixture(scope="module")
def paused(tmp_path_factory: pytest.TempPathFactory) -> PauseJournal:
    plan = PausePlan(faults=PAUSES, services=3, seconds=9.0)
    return run(plan, tmp_path_factory.mktemp("paused"))


def test_pauses_of_a_third_cut_no_stream_and_repeat_no_order(paused: PauseJournal) -> None:
    report = paused.report()
    assert report.streams > 300
    assert (report.cut, report.refused) == (0, 0)
    assert report.orders > 100
    assert (report.orders_failed, report.orders_repeated) == (0, 0)
    assert report.lookups_failed == 0


def test_pauses_of_a_third_delay_few_first_events(paused: PauseJournal) -> None:
    report = paused.report()
    assert report.late < MAX_LATE_RATIO, report.late_by_cause


@pytest.mark.parametrize(
    ("gateways", "engines", "services", "slots"),
    [
        pytest.param(4, 12, 6, 8, id="few"),
        pytest.param(12, 18, 6, 6, id="many"),
    ],
)
def test_refusals_of_a_third_at_once_cost_little_goodput(
    tmp_path: Path, gateways: int, engines: int, services: int, slots: int
) -> None:
    plan = PausePlan(
        faults=REFUSALS,
        gateways=gateways,
        engines=engines,
        services=services,
        seconds=5.2,
        speed=UpstreamSpeed(slots=slots),
    )
    journal = run(plan, tmp_path)
    refused = journal.refused_arrivals()
    assert refused
    assert max(refused.values()) <= MAX_REFUSED_REQUESTS
    goodput = {path: journal.goodput(path) for path in (STREAM_PATH, ORDER_PATH, LOOKUP_PATH)}
    assert min(goodput.values()) >= MIN_GOODPUT_RATIO, goodput


def test_faulty_upstreams_are_silent_as_planned() -> None:
    faults = Faults(pause=1.2, period=5.0, first_pause=2.0)
    assert [faults.pause_left(at) for at in (0.0, 1.9, 3.2, 4.0, 6.9)] == [0.0] * 5
    assert faults.pause_left(2.0) == 1.2
    assert faults.pause_left(7.5) == pytest.approx(0.7)
    assert faults.since_pause(1.0) == faults.since_pause(7.5) == 0.0
    assert faults.since_pause(9.2) == pytest.approx(1.0)
    assert faults.until_pause(0.5) == 1.5
    assert faults.until_pause(4.0) == 3.0
