"""Explore all specifications and mutants; print their state counts and times as a table."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "testing"))

from test_specs import MUTANTS
from test_specs import SPECS

from baobabpulley.specs.explore import explore


def main() -> None:
    """Print one row for each specification and mutant: states, time, violation and its steps."""
    for name, build in {**SPECS, **MUTANTS}.items():
        started = time.monotonic()
        verdict = explore(build())
        seconds = time.monotonic() - started
        violated = next(iter(verdict.violated), "goal" if verdict.goal_reachable is False else "-")
        steps = len(verdict.violated[violated]) - 1 if violated in verdict.violated else 0
        print(f"| {name} | {verdict.states} | {seconds:.1f} s | {violated} | {steps or '-'} |")


if __name__ == "__main__":
    main()
