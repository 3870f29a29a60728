"""All kinds of faults combined on a whole fleet, and the check that detects violations."""

from __future__ import annotations

import pytest

from baobabpulley.emulator.bench_faults import check_order
from baobabpulley.emulator.bench_faults import render_report
from baobabpulley.emulator.bench_faults import run_faults
from baobabpulley.emulator.fault_injection import fault_kinds
from baobabpulley.emulator.fault_load import ApiResponse

NOT_RUN = ApiResponse(status=503, ran=False, body=None)
UNKNOWN = ApiResponse(status=0, ran=None, body=None)
PLACED = ApiResponse(status=201, ran=True, body={"number": "service-0-1"})
PLACED_AGAIN = ApiResponse(status=201, ran=True, body={"number": "service-0-2"})


async def test_no_guarantee_is_violated_under_combined_faults(base_port: int) -> None:
    report = await run_faults(
        seed=1, seconds=30.0, mean_interval=0.4, speed=8.0, base_port=base_port
    )
    rendered = render_report(report)
    assert report.violations == [], rendered
    # With hardly any complete answer or fault the checks would be vacuous.
    assert report.completed > sum(report.faults.values()) > 30, rendered
    assert len(report.faults) >= len(fault_kinds.names) - 1, rendered
    assert report.outcomes["order"]["ok"] > report.orders / 4, rendered


@pytest.mark.parametrize(
    ("responses", "ran", "violations"),
    [
        ([NOT_RUN, PLACED, PLACED], 1, 0),
        ([UNKNOWN, NOT_RUN], 1, 0),
        ([NOT_RUN, NOT_RUN], 0, 0),
        ([NOT_RUN, NOT_RUN], 1, 1),
        ([UNKNOWN], 2, 1),
        ([PLACED], 0, 1),
        ([PLACED, PLACED_AGAIN], 2, 2),
    ],
    ids=["answered", "unknown", "not_run", "ran_after_all", "twice", "never_ran", "two_answers"],
)
def test_check_order_reports_violations(
    responses: list[ApiResponse], ran: int, violations: int
) -> None:
    assert len(check_order("a", responses, ran)) == violations
