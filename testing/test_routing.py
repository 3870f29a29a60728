"""Tests of load estimates, the prefix index and the routing policies."""

from __future__ import annotations

from collections import Counter

import pytest
from builders import make_report

from baobabpulley.entry.outstanding import DispatchedAttempt
from baobabpulley.entry.outstanding import OutstandingAttempts
from baobabpulley.entry.prefix_index import PrefixIndex
from baobabpulley.model.fleet_view import TimedLoad
from baobabpulley.model.messages import CacheDelta
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.routing import Candidate
from baobabpulley.policy.routing import routing_policies
from baobabpulley.ports.engine import PRIORITY_LONG
from baobabpulley.ports.engine import PRIORITY_SHORT

TOKENS_PER_SECOND = 20_000.0


def candidates(*ahead_tokens: int, in_flight: tuple[int, ...] = (0, 0, 0)) -> list[Candidate]:
    return [
        Candidate(
            upstream=Upstream(f"engine-{index}", "kitchen", "fes", "127.0.0.1:1"),
            prefill_rate=TOKENS_PER_SECOND,
            ahead_tokens=tokens,
            in_flight=in_flight[index],
        )
        for index, tokens in enumerate(ahead_tokens)
    ]


def test_round_robin_uses_all_alike() -> None:
    policy = routing_policies.lookup("round_robin")()
    chosen = Counter(
        policy.choose(candidates(9, 0, 5), prompt_tokens=1).upstream.id for _ in range(9)
    )
    assert set(chosen.values()) == {3}


def test_least_wait_weighs_queue_rate_and_cache() -> None:
    policy = routing_policies.lookup("least_wait")()
    engines = candidates(4_000, 3_000, 9_000)
    assert policy.choose(engines, prompt_tokens=5_000).upstream.id == "engine-1"
    engines[0].cached_tokens = 2_048
    assert policy.choose(engines, prompt_tokens=5_000).upstream.id == "engine-0"
    engines[2].prefill_rate = 10 * TOKENS_PER_SECOND
    assert policy.choose(engines, prompt_tokens=5_000).upstream.id == "engine-2"


def test_least_wait_takes_the_less_used_of_equals() -> None:
    policy = routing_policies.lookup("least_wait")()
    engines = candidates(0, 0, 0, in_flight=(2, 1, 2))
    assert policy.choose(engines, prompt_tokens=5_000).upstream.id == "engine-1"


def test_two_choices_never_takes_the_worst_of_three() -> None:
    policy = routing_policies.lookup("two_choices")()
    chosen = Counter(
        policy.choose(candidates(0, 5, 9_000), prompt_tokens=1).upstream.id for _ in range(60)
    )
    assert chosen["engine-0"] > chosen["engine-1"] > 0
    assert chosen["engine-2"] == 0


@pytest.mark.parametrize("corrected", [True, False], ids=["corrected", "as_reported"])
def test_dispatches_since_the_report_count_only_with_correction(corrected: bool) -> None:
    outstanding = OutstandingAttempts(corrected=corrected)
    load = TimedLoad(report=make_report(queued_high=0), measured_at=10.0)
    sent = DispatchedAttempt(tokens=6_000, memory=6_008, priority=PRIORITY_SHORT, sent_at=10.5)
    outstanding.record_dispatch("engine-0", sent)

    def ahead_tokens(now: float) -> float:
        return outstanding.ahead_tokens(
            "engine-0", load, priority=PRIORITY_SHORT, now=now, rate=TOKENS_PER_SECOND
        )

    assert ahead_tokens(10.6) == (6_000 if corrected else 0)
    assert outstanding.memory_free("engine-0", load) == 400_000 - (6_008 if corrected else 0)
    sent.prefilled_at = 10.7
    sent.ended_at = 10.8
    assert ahead_tokens(10.9) == 0


def test_report_of_work_known_to_be_done_is_not_counted_again() -> None:
    outstanding = OutstandingAttempts()
    sent = DispatchedAttempt(tokens=8_000, memory=8_008, priority=PRIORITY_SHORT, sent_at=9.0)
    outstanding.record_dispatch("engine-0", sent)
    sent.prefilled_at = sent.ended_at = 10.1
    load = TimedLoad(report=make_report(queued_high=8_000, memory_held=8_008), measured_at=10.0)
    ahead_tokens = outstanding.ahead_tokens(
        "engine-0", load, priority=PRIORITY_SHORT, now=10.1, rate=TOKENS_PER_SECOND
    )
    assert ahead_tokens == 0
    assert outstanding.memory_free("engine-0", load) == 400_000


def test_other_entries_work_is_taken_to_drain_since_the_report() -> None:
    load = TimedLoad(report=make_report(queued_high=30_000, queued=90_000), measured_at=10.0)
    estimate = OutstandingAttempts().ahead_tokens
    assert (
        estimate("engine-0", load, priority=PRIORITY_SHORT, now=11.0, rate=TOKENS_PER_SECOND)
        == 10_000
    )
    assert (
        estimate("engine-0", load, priority=PRIORITY_LONG, now=11.0, rate=TOKENS_PER_SECOND)
        == 70_000
    )


def test_long_prefills_of_this_and_other_entries_add_up() -> None:
    outstanding = OutstandingAttempts()
    own = DispatchedAttempt(tokens=100_000, memory=100_008, priority=PRIORITY_LONG, sent_at=9.0)
    outstanding.record_dispatch("engine-0", own)
    load = TimedLoad(report=make_report(long_prefills=2), measured_at=10.0)
    assert outstanding.long_prefills("engine-0", load, now=10.5) == 2
    own.prefilled_at = 10.2
    assert outstanding.long_prefills("engine-0", load, now=10.5) == 1


def test_gap_halves_the_weight_until_a_usage_report_agrees() -> None:
    index = PrefixIndex()
    index.add("engine-0", (1, 2, 3))
    assert index.cached_tokens("engine-0", (1, 2, 9)) == 1_024
    index.record_gap("engine-0")
    assert index.cached_tokens("engine-0", (1, 2, 9)) == 512
    index.check_usage("engine-0", expected=512, cached_tokens=1_024)
    assert index.cached_tokens("engine-0", (1, 2, 9)) == 1_024
    index.check_usage("engine-0", expected=1_024, cached_tokens=0)
    assert index.cached_tokens("engine-0", (1, 2, 9)) == 512


def test_cache_deltas_add_evict_halve_and_reset() -> None:
    index = PrefixIndex()
    index.apply(CacheDelta("engine-0", "a", 1, stored=(1, 2, 3)))
    assert index.cached_tokens("engine-0", (1, 2, 3)) == 1_536
    index.apply(CacheDelta("engine-0", "a", 2, evicted=(3,)))
    assert index.cached_tokens("engine-0", (1, 2, 3)) == 1_024
    index.apply(CacheDelta("engine-0", "a", 9, gap=True))
    assert index.cached_tokens("engine-0", (1, 2, 3)) == 512
    index.apply(CacheDelta("engine-0", "b", 1))
    assert index.cached_tokens("engine-0", (1, 2, 3)) == 0


def test_prefix_counts_only_up_to_the_first_missing_block() -> None:
    index = PrefixIndex(capacity=3)
    index.add("engine-0", (1, 2, 3))
    index.remove("engine-0", (2,))
    assert index.cached_tokens("engine-0", (1, 2, 3)) == 512
    index.add("engine-0", (7, 8))
    assert index.cached_tokens("engine-0", (1,)) == 0
