"""Tests of the clock that leaves out the time in which the machine gave no processor."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import fair_clock
import pytest
from fair_clock import FairClock


def compute(seconds: float) -> None:
    end = time.process_time() + seconds
    while time.process_time() < end:
        pass


@pytest.mark.parametrize("spend", [compute, time.sleep])
def test_time_that_the_process_itself_takes_counts_in_full(
    spend: Callable[[float], None],
) -> None:
    clock = FairClock()
    spend(0.05)
    # The processor's own clock and the scheduler's differ by less than a tick.
    assert clock.seconds >= 0.05 - 0.004


def test_time_without_a_processor_does_not_count(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    schedule = tmp_path / "schedstat"
    schedule.write_text("5000000 0 7\n")
    monkeypatch.setattr(fair_clock, "_SCHEDULE", schedule)
    clock = FairClock()
    schedule.write_text("5000000 1000000000 8\n")
    assert clock.seconds < 0.0


def test_all_time_counts_where_the_kernel_does_not_count_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(fair_clock, "_SCHEDULE", tmp_path / "missing")
    clock = FairClock()
    time.sleep(0.01)
    assert clock.seconds >= 0.01
