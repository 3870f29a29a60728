"""The load generator's request traces and percentile summaries."""

from __future__ import annotations

from collections import Counter

import pytest

from baobabpulley.emulator.mix_report import percentiles
from baobabpulley.emulator.trace import MAX_SHORT_PROMPT_TOKENS
from baobabpulley.emulator.trace import PromptMix
from baobabpulley.emulator.trace import TraceItem
from baobabpulley.emulator.trace import make_trace
from baobabpulley.emulator.trace import without_long_prompts


def trace_with_seed(seed: int) -> list[TraceItem]:
    return make_trace(
        seed=seed,
        seconds=400.0,
        tokens_per_second=200_000.0,
        entries={"entry-0": 2.0, "entry-1": 1.0},
        mix=PromptMix(prefix_share=0.5),
    )


def test_trace_depends_on_nothing_but_its_seed() -> None:
    assert trace_with_seed(4) == trace_with_seed(4)
    assert trace_with_seed(4) != trace_with_seed(5)


def test_trace_has_the_requested_load_and_mix() -> None:
    trace = trace_with_seed(4)
    assert sum(item.tokens for item in trace) == pytest.approx(400 * 200_000, rel=0.01)
    longs = sum(item.tokens >= 100_000 for item in trace)
    assert longs / len(trace) == pytest.approx(0.02, rel=0.2)
    assert max(item.tokens for item in trace) <= 350_000
    entries = Counter(item.entry for item in trace)
    assert entries["entry-0"] / entries["entry-1"] == pytest.approx(2.0, rel=0.1)
    assert [item.at for item in trace] == sorted(item.at for item in trace)


def test_trace_without_long_prompts_keeps_times_and_lengths_but_shares_no_text() -> None:
    trace = trace_with_seed(4)
    alone = without_long_prompts(trace)
    shorts = [item for item in trace if item.tokens <= MAX_SHORT_PROMPT_TOKENS]
    assert [(item.at, item.tokens) for item in alone] == [(i.at, i.tokens) for i in shorts]
    assert not {item.content for item in alone} & {item.content for item in trace}


def test_percentiles_of_known_values() -> None:
    summary = percentiles(value / 100 for value in range(1, 101))
    assert summary.count == 100
    assert (summary.p50, summary.p95, summary.p99) == pytest.approx((0.5, 0.95, 0.99), rel=0.01)
