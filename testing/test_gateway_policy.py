"""Tests of the gateway's placement, deadline, retry and health policies.

Each policy is tested under the load pattern that it is for, without a clock or sockets.
"""

from __future__ import annotations

import random

import pytest
from policy_builders import ENGINE_PERFORMANCE
from policy_builders import candidate
from policy_builders import candidates

from baobabpulley.model.routes import STREAM
from baobabpulley.model.routes import Route
from baobabpulley.policy.deadlines import first_event_deadline
from baobabpulley.policy.deadlines import request_times
from baobabpulley.policy.deadlines import retry_after_seconds
from baobabpulley.policy.domain_circuit_breaker import PROBE_INTERVAL_SECONDS
from baobabpulley.policy.domain_circuit_breaker import RECOVERY_DELAY_SECONDS
from baobabpulley.policy.domain_circuit_breaker import DomainCircuitBreaker
from baobabpulley.policy.fleet_load import MAX_GOSSIP_AGE_SECONDS
from baobabpulley.policy.fleet_load import LoadTracker
from baobabpulley.policy.gossip_delta import GossipDelta
from baobabpulley.policy.node_retry_budget import NodeRetryBudget
from baobabpulley.policy.prompt_placement import LONG_CHUNK_SECONDS
from baobabpulley.policy.prompt_placement import MAX_HELPERS
from baobabpulley.policy.prompt_placement import max_packed_requests
from baobabpulley.policy.prompt_placement import plan_prompt
from baobabpulley.policy.upstream_health import UpstreamHealth


def test_a_short_prompt_goes_to_the_engine_with_the_smallest_backlog() -> None:
    busy, idle = candidate("i-busy", backlog=0.5), candidate("i-idle")
    plan = plan_prompt(
        [busy, idle],
        performance=ENGINE_PERFORMANCE,
        prompt_tokens=4000,
        answer_tokens=1000,
        objective=3.0,
    )
    assert plan is not None
    assert (plan.first.id, plan.helpers) == ("i-idle", ())


def test_short_prompts_are_packed_and_leave_engines_free_for_long_ones() -> None:
    engines = [candidate("i-shared", in_flight=3), candidate("i-idle")]
    plan = plan_prompt(
        engines,
        performance=ENGINE_PERFORMANCE,
        prompt_tokens=4000,
        answer_tokens=1000,
        objective=0.3,
    )
    assert plan is not None
    assert plan.first.id == "i-shared"
    full = [candidate("i-shared", in_flight=max_packed_requests(8)), candidate("i-idle")]
    plan = plan_prompt(
        full, performance=ENGINE_PERFORMANCE, prompt_tokens=4000, answer_tokens=1000, objective=0.3
    )
    assert plan is not None
    assert plan.first.id == "i-idle"


def test_a_long_prompt_avoids_engines_with_a_prefill_backlog() -> None:
    free = [candidate(f"i-free-{number}") for number in range(6)]
    busy = [candidate(f"i-reading-{number}", backlog=1.2) for number in range(10)]
    plan = plan_prompt(
        busy + free,
        performance=ENGINE_PERFORMANCE,
        prompt_tokens=50_000,
        answer_tokens=10,
        objective=3.0,
    )
    assert plan is not None
    assert {engine.id for engine in plan.engines} == {option.upstream.id for option in free}


def test_a_prompt_too_long_for_short_chunks_avoids_engines_that_decode_several_answers() -> None:
    idle = [candidate(f"i-sparing-{number}") for number in range(12)]
    decoding = [candidate(f"i-gathered-{number}", decoding=4) for number in range(4)]
    plan = plan_prompt(
        [*decoding, *idle],
        performance=ENGINE_PERFORMANCE,
        prompt_tokens=300_000,
        answer_tokens=1000,
        objective=3.0,
    )
    assert plan is not None
    assert plan.part_seconds > LONG_CHUNK_SECONDS
    assert {engine.id for engine in plan.engines} == {option.upstream.id for option in idle}


def test_a_longer_prompt_may_delay_more_answers_and_the_fastest_plan_uses_all_engines() -> None:
    engines = [candidate(f"i-{number}", decoding=number // 4) for number in range(16)]

    def count(tokens: int, *, fastest: bool = False) -> int:
        plan = plan_prompt(
            engines,
            performance=ENGINE_PERFORMANCE,
            prompt_tokens=tokens,
            answer_tokens=1000,
            objective=3.0,
            fastest=fastest,
        )
        assert plan is not None
        return len(plan.engines)

    counts = [count(tokens) for tokens in (200_000, 400_000, 700_000)]
    assert counts == sorted(counts)
    assert counts[0] < counts[-1] < 16
    assert count(200_000, fastest=True) == 16


def test_a_chunked_prompt_skips_the_backlog_and_an_unsplit_one_waits_for_it() -> None:
    engines = [candidate(f"i-{number}", backlog=0.5) for number in range(16)]
    chunked, unsplit = (
        plan_prompt(
            engines,
            performance=ENGINE_PERFORMANCE,
            prompt_tokens=tokens,
            answer_tokens=10,
            objective=3.0,
        )
        for tokens in (133_000, 4_000)
    )
    assert chunked is not None and unsplit is not None
    assert chunked.prefill_seconds == chunked.part_seconds < 0.2
    assert unsplit.prefill_seconds > 0.5


def test_a_plan_uses_all_engines_when_too_few_are_without_answers() -> None:
    idle = [candidate("i-quiet")]
    decoding = [candidate(f"i-writing-{number}", in_flight=2) for number in range(15)]
    plan = plan_prompt(
        decoding + idle,
        performance=ENGINE_PERFORMANCE,
        prompt_tokens=133_000,
        answer_tokens=1000,
        objective=3.0,
    )
    assert plan is not None
    assert plan.part_seconds <= LONG_CHUNK_SECONDS
    assert len(plan.engines) == 16


def test_a_long_prompt_is_split_into_chunks_that_delay_no_answer() -> None:
    plan = plan_prompt(
        candidates(16),
        performance=ENGINE_PERFORMANCE,
        prompt_tokens=133_000,
        answer_tokens=1000,
        objective=3.0,
    )
    assert plan is not None
    assert plan.part_seconds <= LONG_CHUNK_SECONDS
    assert len(plan.helpers) == len({engine.id for engine in plan.helpers} - {plan.first.id})


def test_memory_beyond_one_engine_is_reserved_on_others() -> None:
    plan = plan_prompt(
        candidates(16),
        performance=ENGINE_PERFORMANCE,
        prompt_tokens=500_000,
        answer_tokens=1000,
        objective=3.0,
    )
    assert plan is not None
    assert plan.tickets >= 2
    held = plan.tickets * plan.ticket_tokens
    assert held + plan.first_tokens >= 501_000
    assert max(plan.ticket_tokens, plan.first_tokens) < ENGINE_PERFORMANCE.memory_tokens / 2


def test_no_more_helpers_than_the_platform_allows() -> None:
    plan = plan_prompt(
        candidates(60),
        performance=ENGINE_PERFORMANCE,
        prompt_tokens=180_000,
        answer_tokens=1000,
        objective=3.0,
    )
    assert plan is not None
    assert len(plan.helpers) <= MAX_HELPERS


def test_without_a_free_slot_nothing_is_planned() -> None:
    full = [candidate(f"i-{number}", in_flight=8) for number in range(4)]
    assert (
        plan_prompt(
            full,
            performance=ENGINE_PERFORMANCE,
            prompt_tokens=4000,
            answer_tokens=100,
            objective=3.0,
        )
        is None
    )


def test_the_first_engine_has_a_free_slot_and_the_most_memory() -> None:
    engines = [
        candidate("i-full", in_flight=8),
        candidate("i-small", memory_tokens=200_000),
        candidate("i-roomy", memory_tokens=10_000),
    ]
    plan = plan_prompt(
        engines,
        performance=ENGINE_PERFORMANCE,
        prompt_tokens=133_000,
        answer_tokens=1000,
        objective=3.0,
    )
    assert plan is not None
    assert plan.first.id == "i-roomy"


def test_an_answer_is_decoded_where_memory_is_free_even_if_others_prefill_sooner() -> None:
    taken = [candidate(f"i-taken-{number}", memory_tokens=120_000) for number in range(3)]
    decoding = [candidate(f"i-writing-{number}", in_flight=2) for number in range(13)]
    plan = plan_prompt(
        [*taken, *decoding],
        performance=ENGINE_PERFORMANCE,
        prompt_tokens=168_000,
        answer_tokens=1000,
        objective=3.0,
    )
    assert plan is not None
    assert plan.first.id.startswith("i-writing")


def test_a_short_prompt_avoids_an_engine_whose_memory_is_taken() -> None:
    engines = [candidate("i-taken", in_flight=1, memory_tokens=231_000), candidate("i-free")]
    plan = plan_prompt(
        engines,
        performance=ENGINE_PERFORMANCE,
        prompt_tokens=4000,
        answer_tokens=1000,
        objective=0.3,
    )
    assert plan is not None
    assert plan.first.id == "i-free"


def test_tickets_are_taken_where_memory_is_free() -> None:
    taken = [candidate(f"i-taken-{number}", memory_tokens=150_000) for number in range(8)]
    free = [candidate(f"i-free-{number}", in_flight=1) for number in range(4)]
    plan = plan_prompt(
        [*taken, *free],
        performance=ENGINE_PERFORMANCE,
        prompt_tokens=300_000,
        answer_tokens=1000,
        objective=3.0,
    )
    assert plan is not None
    holders = {plan.first.id, *(engine.id for engine in plan.helpers[: plan.tickets])}
    assert len(holders) == 1 + plan.tickets == 3
    assert all(name.startswith("i-free") for name in holders)


def test_a_prompt_waits_while_no_engine_has_memory_for_it() -> None:
    taken = [candidate(f"i-{number}", memory_tokens=100_000) for number in range(8)]
    assert (
        plan_prompt(
            taken,
            performance=ENGINE_PERFORMANCE,
            prompt_tokens=150_000,
            answer_tokens=1000,
            objective=3.0,
        )
        is None
    )


def test_dispatches_of_other_gateways_count_until_the_gossip_expires() -> None:
    local, remote = LoadTracker(), LoadTracker()
    remote.begin("i-1", prefill_seconds=0.5, memory_tokens=1000, now=10.0)
    local.receive("front-2", remote.shares(now=10.0), now=10.0)
    assert local.load("i-1", now=10.2).backlog == pytest.approx(0.3)
    assert local.load("i-1", now=10.2).in_flight == 1
    assert local.load("i-1", now=10.0 + MAX_GOSSIP_AGE_SECONDS + 0.1).in_flight == 0


def test_gossip_replaces_older_gossip_of_the_same_gateway_and_clears_ended_loads() -> None:
    local, remote = LoadTracker(), LoadTracker()
    dispatch = remote.begin("i-1", prefill_seconds=0.5, memory_tokens=1000, now=0.0)
    delta = GossipDelta()
    for now in (0.0, 0.1, 0.2):
        local.receive("front-2", delta.take_due(remote.shares(now=now), now=now), now=now)
    load = local.load("i-1", now=0.2)
    assert (load.in_flight, load.memory_tokens) == (1, 1000)
    remote.end(dispatch, now=0.3)
    local.receive("front-2", delta.take_due(remote.shares(now=0.3), now=0.3), now=0.3)
    assert local.load("i-1", now=0.3) == LoadTracker().load("i-1", now=0.3)


def test_loads_add_up_over_gateways_and_silent_gateways_are_left_out() -> None:
    local = LoadTracker()
    for number in range(5):
        remote = LoadTracker()
        remote.begin("i-1", prefill_seconds=0.1, memory_tokens=10, now=0.0)
        local.receive(f"front-{number}", remote.shares(now=0.0), now=0.0)
    local.begin("i-1", prefill_seconds=0.1, memory_tokens=10, now=0.0)
    load = local.load("i-1", now=0.05)
    assert (load.in_flight, load.memory_tokens) == (6, 60)
    assert load.backlog == pytest.approx(0.3)
    remote = LoadTracker()
    remote.begin("i-1", prefill_seconds=0.1, memory_tokens=10, now=1.0)
    local.receive("front-0", remote.shares(now=1.0), now=1.0)
    assert local.load("i-1", now=MAX_GOSSIP_AGE_SECONDS + 0.1).in_flight == 2


def test_a_backlog_shrinks_with_each_first_event_and_ends_with_the_last_prefill() -> None:
    tracker = LoadTracker()
    first = tracker.begin("i-1", prefill_seconds=0.5, memory_tokens=10, now=0.0)
    second = tracker.begin("i-1", prefill_seconds=0.5, memory_tokens=10, now=0.0)
    assert tracker.load("i-1", now=0.0).backlog == 1.0
    tracker.end_prefill(first, now=0.4)
    assert tracker.load("i-1", now=0.4).backlog == pytest.approx(0.6)
    tracker.end_prefill(second, now=0.5)
    assert tracker.load("i-1", now=0.5).backlog == 0.0
    for dispatch in (first, second):
        tracker.end(dispatch, now=0.6)
    assert tracker.shares(now=0.6) == ()


def test_an_unreachable_upstream_is_paused_and_probed_one_request_at_a_time() -> None:
    health = UpstreamHealth()
    health.record_failure("i-1", now=0.0)
    assert health.paused_upstreams(now=0.5) == {"i-1"}
    assert health.paused_upstreams(now=1.1) == set()
    health.record_attempt("i-1")
    assert health.paused_upstreams(now=1.2) == {"i-1"}
    health.record_failure("i-1", now=1.3)
    assert health.paused_upstreams(now=2.5) == {"i-1"}
    assert health.paused_upstreams(now=3.4) == set()
    health.record_response("i-1", succeeded=True)
    assert health.paused_upstreams(now=3.5) == set()


def test_an_upstream_that_fails_half_of_its_requests_gets_a_penalty_and_a_healthy_one_none() -> (
    None
):
    health = UpstreamHealth()
    for number in range(10):
        health.record_response("i-grey", succeeded=number % 2 == 0)
        health.record_response("i-well", succeeded=True)
    assert set(health.penalties) == {"i-grey"}
    assert health.penalties["i-grey"] > 0.0


def test_retries_of_all_nodes_stay_within_the_budget() -> None:
    nodes = [NodeRetryBudget(ratio=0.2, slack=100.0, window=10.0) for _ in range(4)]
    for node in nodes:
        for _ in range(50):
            node.record_request("kitchen", now=1.0)
    spent = sum(
        node.spend("kitchen", nodes=4, now=1.0 + tick / 100)
        for node in nodes
        for tick in range(500)
    )
    assert 0 < spent <= 0.2 * 200 + 100


def test_an_unreachable_failure_domain_is_excluded_and_readmitted_once_seen() -> None:
    breaker = DomainCircuitBreaker(own_domain="fes")
    breaker.record_failure("meknes", "i-1", last_seen=9.9, now=10.0)
    assert breaker.allows("meknes", last_seen=9.9, now=10.0)
    breaker.record_failure("meknes", "i-2", last_seen=9.9, now=10.1)
    assert not breaker.allows("meknes", last_seen=9.9, now=10.2)
    assert breaker.allows("rabat", last_seen=None, now=10.2)
    after = 10.1 + RECOVERY_DELAY_SECONDS + 0.1
    assert breaker.allows("meknes", last_seen=after, now=after)


def test_one_failure_is_enough_when_no_gateway_of_the_domain_was_seen() -> None:
    breaker = DomainCircuitBreaker(own_domain="fes")
    breaker.record_failure("meknes", "i-1", last_seen=5.0, now=10.0)
    assert not breaker.allows("meknes", last_seen=5.0, now=10.1)


def test_an_excluded_domain_gets_a_periodic_probe() -> None:
    breaker = DomainCircuitBreaker(own_domain="fes")
    for upstream in ("i-1", "i-2"):
        breaker.record_failure("meknes", upstream, last_seen=None, now=10.0)
    assert not breaker.allows("meknes", last_seen=None, now=10.5)
    later = 10.0 + PROBE_INTERVAL_SECONDS
    assert breaker.allows("meknes", last_seen=None, now=later)
    breaker.record_attempt("meknes", now=later)
    assert not breaker.allows("meknes", last_seen=None, now=later + 0.1)
    breaker.record_response("meknes")
    assert breaker.allows("meknes", last_seen=None, now=later + 0.2)


def test_the_own_failure_domain_is_never_excluded() -> None:
    breaker = DomainCircuitBreaker(own_domain="fes")
    for upstream in ("i-1", "i-2", "i-3"):
        breaker.record_failure("fes", upstream, last_seen=None, now=10.0)
    assert breaker.allows("fes", last_seen=None, now=10.0)


def test_a_request_ends_at_the_earlier_of_its_own_and_the_routes_deadline() -> None:
    route = Route("r", "h", "/", STREAM, 10.0, 0.3, 1, (), 2, False, True, 0.25)
    assert request_times(route, arrived=5.0, remaining=2.0).end == 7.0
    assert request_times(route, arrived=5.0, remaining=60.0).end == 15.0
    assert request_times(route, arrived=5.0, remaining=None).end == 15.0


def test_first_event_deadline_leaves_time_for_most_of_a_typical_answer() -> None:
    route = Route("r", "h", "/", STREAM, 10.0, 3.0, 1, (), 2, False, True, 0.25)
    times = request_times(route, arrived=0.0, remaining=4.0)
    assert first_event_deadline(times, answer=2.0) == 2.5


def test_decode_time_grows_with_the_prompt_and_is_bounded_by_the_requested_tokens() -> None:
    short = ENGINE_PERFORMANCE.decode_seconds(prompt_tokens=1000, max_output_tokens=5000)
    long = ENGINE_PERFORMANCE.decode_seconds(prompt_tokens=136_000, max_output_tokens=5000)
    assert 1.4 * short < long
    assert (
        ENGINE_PERFORMANCE.decode_seconds(prompt_tokens=1000, max_output_tokens=100) < 0.1 * short
    )


def test_urgent_requests_go_first_and_old_ones_before_new_urgent_ones() -> None:
    route = Route("r", "h", "/", STREAM, 10.0, 0.3, 5, (), 2, False, True, 0.25)
    usual = request_times(route, arrived=5.0, remaining=None)
    urgent = request_times(route, arrived=5.5, remaining=None, priority=0)
    late_urgent = request_times(route, arrived=6.5, remaining=None, priority=0)
    assert urgent.sort_key < usual.sort_key < late_urgent.sort_key


def test_retry_after_is_jittered_and_within_the_remaining_time() -> None:
    generator = random.Random(1)
    delays = [retry_after_seconds(generator, expected=0.5, left=6.0) for _ in range(200)]
    assert max(delays) <= 2.0
    assert max(delays) - min(delays) > 0.3
    assert retry_after_seconds(generator, expected=5.0, left=0.3) <= 0.1
