"""Report of a mixed load: time to first token by prompt length, slowdown, outcomes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Final

import msgspec
from hdrh.histogram import HdrHistogram

from baobabpulley.emulator.load import Sample
from baobabpulley.emulator.trace import MAX_SHORT_PROMPT_TOKENS

BUCKET_LIMITS_TOKENS: Final = (1_000, 8_000, 32_000, 100_000, 300_000, 1_000_000)
MICROSECONDS_PER_SECOND: Final = 1_000_000
MAX_MICROSECONDS: Final = 3_600 * MICROSECONDS_PER_SECOND
PERCENTILES: Final = (50.0, 95.0, 99.0)


class Percentiles(msgspec.Struct):
    """Three percentiles of ``count`` values."""

    count: int = 0
    p50: float = 0.0
    p95: float = 0.0
    p99: float = 0.0


class Bucket(msgspec.Struct):
    """Time to first token of prompts up to ``tokens``, in model seconds.

    ``ideal_p50`` is the median of the ideal time, which is that of an undisturbed prefill of the
    tokens that are not cached; ``ratio`` is measured over ideal time.
    """

    tokens: int
    seconds: Percentiles
    ideal_p50: float
    ratio: Percentiles


class MixResult(msgspec.Struct):
    """Figures of one variant.

    ``slowdown`` is time to first token over that in the baseline without long prompts, and
    ``up_to_8k`` time to first token of prompts up to 8,000 tokens, in model seconds.
    ``late_p99`` is by how many model seconds clients sent requests late. ``cpu_shares`` is the
    share of a core of the busiest process of each kind.
    """

    variant: str
    seed: int
    load: float
    buckets: list[Bucket]
    slowdown: Percentiles
    up_to_8k: Percentiles
    late_p99: float
    outcomes: dict[str, int]
    attempts_per_request: float
    cached_share: float
    cpu_shares: dict[str, float]
    best_cached_share: float = 0.0


def percentiles(values: Iterable[float]) -> Percentiles:
    """Return the percentiles of values, to three significant digits."""
    histogram = HdrHistogram(1, MAX_MICROSECONDS, 3)
    for value in values:
        histogram.record_value(max(1, round(value * MICROSECONDS_PER_SECOND)))
    figures = [
        histogram.get_value_at_percentile(share) / MICROSECONDS_PER_SECOND for share in PERCENTILES
    ]
    count = histogram.get_total_count()
    return Percentiles(count, *figures) if count else Percentiles()


def summarise(
    *,
    variant: str,
    seed: int,
    load: float,
    mixed: list[Sample],
    baseline: list[Sample],
    prefill_tokens_per_second: float,
    attempts_per_request: float,
    cpu_shares: dict[str, float],
    best_cached_share: float,
) -> MixResult:
    """Return the figures of a run, compared with a run of the same trace without long prompts.

    ``mixed`` are the samples of the run, ``baseline`` those without long prompts.
    ``prefill_tokens_per_second`` is an engine's prefill rate in model time.
    """
    completed = [sample for sample in mixed if sample.ok]
    baseline_by_index = {sample.index: sample for sample in baseline if sample.ok}
    ratios = [
        sample.first_token / baseline_by_index[sample.index].first_token
        for sample in completed
        if sample.index in baseline_by_index
    ]
    return MixResult(
        variant=variant,
        seed=seed,
        load=load,
        buckets=_buckets(completed, prefill_tokens_per_second),
        slowdown=percentiles(ratios),
        up_to_8k=percentiles(
            s.first_token for s in completed if s.tokens <= MAX_SHORT_PROMPT_TOKENS
        ),
        late_p99=percentiles(sample.late for sample in mixed).p99,
        outcomes=dict(Counter(outcome_of(sample) for sample in mixed)),
        attempts_per_request=attempts_per_request,
        cached_share=sum(s.cached for s in completed) / max(1, sum(s.tokens for s in completed)),
        cpu_shares=cpu_shares,
        best_cached_share=best_cached_share,
    )


def outcome_of(sample: Sample) -> str:
    """Return ``ok``, the error's code, or ``wrong`` if there is none."""
    if sample.ok:
        return "ok"
    return sample.code or "wrong"


def table(results: list[MixResult]) -> str:
    """Return a Markdown table with a row a result."""
    lines = [
        "| variant | seed | slowdown p50 | p95 | p99 | up to 8k p50 s | p95 | p99 | "
        "100k-350k over ideal p50 | p95 | failed | attempts | client late p99 s | cached of best |",
        "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for result in results:
        slow = result.slowdown
        first = result.up_to_8k
        ratio = long_prompt_ratios(result)
        failed = sum(count for code, count in result.outcomes.items() if code != "ok")
        lines.append(
            f"| {result.variant} | {result.seed} | {slow.p50:.2f} | {slow.p95:.2f} "
            f"| {slow.p99:.2f} | {first.p50:.2f} | {first.p95:.2f} | {first.p99:.2f} "
            f"| {ratio.p50:.2f} | {ratio.p95:.2f} | {failed} of {sum(result.outcomes.values())} "
            f"| {result.attempts_per_request:.3f} | {result.late_p99:.3f} "
            f"| {result.cached_share:.3f} of {result.best_cached_share:.3f} |"
        )
    return "\n".join(lines)


def bucket_table(result: MixResult) -> str:
    """Return a Markdown table with a row a bucket of one result."""
    lines = [
        "| up to tokens | count | p50 s | p95 s | p99 s | ideal p50 s | "
        "over ideal p50 | p95 | p99 |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for bucket in result.buckets:
        seconds = bucket.seconds
        ratio = bucket.ratio
        lines.append(
            f"| {bucket.tokens} | {seconds.count} | {seconds.p50:.3f} | {seconds.p95:.3f} "
            f"| {seconds.p99:.3f} | {bucket.ideal_p50:.3f} | {ratio.p50:.2f} | {ratio.p95:.2f} "
            f"| {ratio.p99:.2f} |"
        )
    return "\n".join(lines)


def long_prompt_ratios(result: MixResult) -> Percentiles:
    """Return the ratios of the bucket up to 300,000 tokens, which has most long prompts."""
    return next(
        bucket.ratio for bucket in result.buckets if bucket.tokens == BUCKET_LIMITS_TOKENS[-2]
    )


def plot(results: list[MixResult], path: Path) -> None:
    """Plot, by variant, the slowdown of short prompts and the ratio to ideal of long ones."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(12, 1.5 + 0.4 * len(results)))
    names = [f"{result.variant} ({result.seed})" for result in results]
    spreads = (
        [result.slowdown for result in results],
        [long_prompt_ratios(result) for result in results],
    )
    titles = ("slowdown of shorts", "first token over ideal, 100k to 300k")
    for axis, values, title in zip(axes, spreads, titles, strict=True):
        axis.barh(names, [value.p99 for value in values], label="p99")
        axis.barh(names, [value.p95 for value in values], label="p95")
        axis.barh(names, [value.p50 for value in values], label="p50")
        axis.set_xscale("log")
        axis.set_title(title)
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)


def _buckets(samples: list[Sample], prefill_tokens_per_second: float) -> list[Bucket]:
    buckets = []
    floor = 0
    for limit in BUCKET_LIMITS_TOKENS:
        inside = [sample for sample in samples if floor < sample.tokens <= limit]
        ideals = [_ideal(sample, prefill_tokens_per_second) for sample in inside]
        buckets.append(
            Bucket(
                tokens=limit,
                seconds=percentiles(sample.first_token for sample in inside),
                ideal_p50=percentiles(ideals).p50,
                ratio=percentiles(
                    sample.first_token / ideal for sample, ideal in zip(inside, ideals, strict=True)
                ),
            )
        )
        floor = limit
    return buckets


def _ideal(sample: Sample, prefill_tokens_per_second: float) -> float:
    return max(1, sample.tokens - sample.cached) / prefill_tokens_per_second
