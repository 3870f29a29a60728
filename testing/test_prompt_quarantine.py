"""Tests of which parts of prompts are quarantined, from reports of crashes and survivals."""

from __future__ import annotations

import random
from collections.abc import Iterable

import pytest

from baobabpulley.policy.prompt_quarantine import CRASHES_TO_QUARANTINE
from baobabpulley.policy.prompt_quarantine import INITIAL_QUARANTINE_SECONDS
from baobabpulley.policy.prompt_quarantine import MAX_PROMPTS_PER_REPORT
from baobabpulley.policy.prompt_quarantine import MAX_REPORTS
from baobabpulley.policy.prompt_quarantine import MAX_SURVIVALS
from baobabpulley.policy.prompt_quarantine import PROBE_TURN_SECONDS
from baobabpulley.policy.prompt_quarantine import REPORT_SECONDS
from baobabpulley.policy.prompt_quarantine import CrashReport
from baobabpulley.policy.prompt_quarantine import PromptQuarantine
from baobabpulley.policy.prompt_quarantine import probing_turn

NOW = 1000.0
# The first part is shared with sound prompts, the second crashes engines.
BAD = ("shared", "bad")


def crash(
    quarantine: PromptQuarantine, at: float, *prompts: tuple[str, ...], upstream: str = ""
) -> None:
    report = CrashReport(upstream or f"i-{at}", at, prompts)
    quarantine.record_crash(report, now=at)


def survive(quarantine: PromptQuarantine, at: float, *parts: str) -> None:
    for part in parts:
        quarantine.record_survival(part, at=at, now=at)


def quarantined(quarantine: PromptQuarantine) -> set[str]:
    return set(quarantine.quarantines)


def crash_series(quarantine: PromptQuarantine, times: Iterable[float]) -> None:
    for at in times:
        crash(quarantine, at, BAD)


def test_the_part_of_three_crashes_in_a_row_is_quarantined_and_not_what_sound_prompts_share() -> (
    None
):
    quarantine = PromptQuarantine()
    crash_series(quarantine, [NOW, NOW + 0.3])
    assert quarantined(quarantine) == set()
    crash_series(quarantine, [NOW + 0.6])
    assert quarantined(quarantine) == {"bad"}
    assert quarantine.find(("shared", "good")) is None
    found = quarantine.find(BAD)
    assert found is not None
    assert (found.part, found.crashes) == ("bad", CRASHES_TO_QUARANTINE)


def test_an_answer_that_begins_between_crashes_acquits_its_parts() -> None:
    quarantine = PromptQuarantine()
    crash_series(quarantine, [NOW, NOW + 0.3])
    survive(quarantine, NOW + 0.4, *BAD)
    crash_series(quarantine, [NOW + 0.6, NOW + 0.9])
    assert quarantined(quarantine) == set()


def test_an_answer_that_began_before_the_crashes_acquits_nothing() -> None:
    quarantine = PromptQuarantine()
    crash_series(quarantine, [NOW + 0.5 * number for number in range(2 * CRASHES_TO_QUARANTINE)])
    survive(quarantine, NOW - 0.1, *BAD)
    assert quarantined(quarantine) == {"bad"}


def test_a_part_that_was_answered_lately_needs_more_crashes() -> None:
    quarantine = PromptQuarantine()
    survive(quarantine, NOW - 5, "turned-bad")
    for number in range(2 * CRASHES_TO_QUARANTINE):
        assert quarantined(quarantine) == set()
        crash(quarantine, NOW + number, ("turned-bad",))
    assert quarantined(quarantine) == {"turned-bad"}


def test_prompts_that_died_with_the_crashing_one_are_not_quarantined() -> None:
    quarantine = PromptQuarantine()
    for number in range(5):
        crash(quarantine, NOW + number, BAD, ("popular", f"rare-{number}"), ("popular",))
        survive(quarantine, NOW + number + 0.5, "popular")
    assert quarantined(quarantine) == {"bad"}


def test_a_part_that_only_came_with_the_crashing_one_is_released_once_that_explains_more() -> None:
    quarantine = PromptQuarantine()
    for number in range(3):
        crash(quarantine, NOW + number, ("bad", "companion"))
    assert quarantined(quarantine) == {"companion"}
    crash(quarantine, NOW + 4, ("bad", "other"))
    assert quarantined(quarantine) == {"bad"}


@pytest.mark.parametrize("crashes", [3, 4, 8])
def test_two_crashing_parts_at_once_are_both_quarantined_and_not_what_they_share(
    crashes: int,
) -> None:
    quarantine = PromptQuarantine()
    survive(quarantine, NOW - 5, "shared")
    for number in range(crashes):
        crash(quarantine, NOW + number, ("shared", "bad-1"))
        crash(quarantine, NOW + number + 0.5, ("shared", "bad-2"))
    assert quarantined(quarantine) == {"bad-1", "bad-2"}


def test_engines_that_fail_at_the_same_moment_quarantine_nothing() -> None:
    quarantine = PromptQuarantine()
    survive(quarantine, NOW - 5, "shared", "doc")
    for number in range(10):
        prompt = ("shared", "doc", f"rare-{number}")
        crash(quarantine, NOW + number * 0.004, prompt, upstream=f"i-{number}")
    assert quarantined(quarantine) == set()


def test_reports_of_one_crash_by_several_gateways_count_once() -> None:
    quarantine = PromptQuarantine()
    for number in range(6):
        crash(quarantine, NOW + 0.3 * number, ("shared", f"p-{number % 2}"), upstream="i-1")
    assert len(quarantine.reports) == 1
    assert quarantined(quarantine) == set()


def test_a_probe_is_due_after_the_quarantine_and_each_failed_one_doubles_it() -> None:
    quarantine = PromptQuarantine()
    crash_series(quarantine, [NOW, NOW + 0.3, NOW + 0.6])
    for doubled in range(3):
        found = quarantine.find(BAD)
        assert found is not None
        assert found.seconds == INITIAL_QUARANTINE_SECONDS * 2**doubled
        assert probing_turn(found, now=found.ends_at - 0.1) is None
        first = probing_turn(found, now=found.ends_at + 0.1)
        assert first is not None
        assert probing_turn(found, now=found.ends_at + 0.1 + PROBE_TURN_SECONDS) != first
        crash_series(quarantine, [found.ends_at + 1.0])


def test_a_cured_part_is_served_again_after_a_probe_that_succeeds() -> None:
    quarantine = PromptQuarantine()
    crash_series(quarantine, [NOW, NOW + 0.3, NOW + 0.6])
    survive(quarantine, NOW + INITIAL_QUARANTINE_SECONDS + 1.0, *BAD)
    assert quarantined(quarantine) == set()


def test_the_evidence_for_other_gateways_leaves_out_parts_that_survived() -> None:
    quarantine = PromptQuarantine()
    for number in range(3):
        crash(quarantine, NOW + number, BAD, ("other",))
    survive(quarantine, NOW + 5, "shared", "other")
    prompts = {prompt for report in quarantine.evidence(most=4) for prompt in report.prompts}
    assert prompts == {("bad",)}


def test_a_gateway_that_hears_only_the_evidence_reaches_the_same_quarantine() -> None:
    first, second = PromptQuarantine(), PromptQuarantine()
    for number in range(8):
        crash(first, NOW + number, BAD, ("popular", f"rare-{number}"))
        survive(first, NOW + number + 0.5, "popular", "shared")
    for report in first.evidence(most=4):
        second.record_crash(report, now=NOW + 8)
    assert quarantined(second) == quarantined(first) == {"bad"}


def test_reports_that_support_no_quarantine_expire() -> None:
    quarantine = PromptQuarantine()
    crash(quarantine, NOW, ("a", "b"))
    crash_series(quarantine, [NOW + 1, NOW + 2, NOW + 3])
    quarantine.expire(now=NOW + REPORT_SECONDS + 10)
    assert {report.prompts for report in quarantine.reports} == {(BAD,)}
    assert quarantined(quarantine) == {"bad"}


@pytest.mark.parametrize("crashes", [200, 2000])
def test_memory_is_bounded_and_a_flood_of_parts_hides_no_quarantine(crashes: int) -> None:
    quarantine = PromptQuarantine()
    crash_series(quarantine, [NOW, NOW + 0.3, NOW + 0.6])
    for number in range(crashes):
        at = NOW + 1 + 0.01 * number
        crash(quarantine, at, *((f"p-{number}", f"q-{number}-{i}") for i in range(20)))
        survive(quarantine, at, *(f"s-{number}-{i}" for i in range(4)))
    assert len(quarantine.reports) <= MAX_REPORTS
    assert all(len(report.prompts) <= MAX_PROMPTS_PER_REPORT for report in quarantine.reports)
    assert quarantined(quarantine) == {"bad"}
    assert len(quarantine._survivals) <= MAX_SURVIVALS


@pytest.mark.parametrize("seed", range(20))
def test_crashes_without_a_cause_in_a_prompt_quarantine_no_part_in_use(seed: int) -> None:
    """Sixteen engines of which one crashes a second, 20 prompts a second, 60 first parts."""
    source = random.Random(seed)
    quarantine = PromptQuarantine()
    running: list[tuple[float, int, tuple[str, ...]]] = []
    ever: set[str] = set()
    for step in range(1200):
        now = NOW + step * 0.05
        prompt = (f"first-{min(source.randrange(60), source.randrange(60))}", "second")
        running.append((now, source.randrange(16), prompt))
        if step % 20 == 0:
            engine = source.randrange(16)
            lost = tuple(prompt for _, at, prompt in running if at == engine)
            if lost:
                crash(quarantine, now, *lost, upstream=f"i-{step}")
                for prompt in lost:
                    running.append((now, source.randrange(16), prompt))
            running = [entry for entry in running if entry[1] != engine or entry[0] == now]
        for began, _, prompt in running:
            if now - began >= 0.2:
                survive(quarantine, now, *prompt)
        running = [entry for entry in running if now - entry[0] < 0.2]
        ever |= quarantined(quarantine)
    assert ever == set()
