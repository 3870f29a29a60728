"""Tests of the verdict that a gateway is cut off, and of the peers that it asks."""

from __future__ import annotations

from baobabpulley.policy.tunnel_peers import FAILED_SECONDS
from baobabpulley.policy.tunnel_peers import MAX_PEERS_ASKED
from baobabpulley.policy.tunnel_peers import UNSUPPORTED_SECONDS
from baobabpulley.policy.tunnel_peers import TunnelPeers
from baobabpulley.policy.upstream_reach import PROOF_WINDOW_SECONDS
from baobabpulley.policy.upstream_reach import RECENTLY_REACHED_SECONDS
from baobabpulley.policy.upstream_reach import UNREACHED_BY_PEERS_SECONDS
from baobabpulley.policy.upstream_reach import UpstreamReach

START = 1000.0
LISTED = 5


def _prove(reach: UpstreamReach, upstream: str, *, now: float, listed: int = LISTED) -> bool:
    reach.record_unreached(upstream, now=now)
    return reach.record_reached_by_peer(upstream, listed=listed, now=now)


def test_two_upstreams_that_only_peers_reach_prove_a_cut() -> None:
    reach = UpstreamReach()
    assert not _prove(reach, "i-1", now=START)
    assert not _prove(reach, "i-1", now=START + 0.1)
    assert not reach.is_cut_off
    assert _prove(reach, "i-2", now=START + 0.2)
    assert reach.is_cut_off
    assert reach.cut_off_since == START
    assert reach.proofs == ("i-1", "i-2")


def test_one_upstream_is_enough_where_only_one_is_listed() -> None:
    assert _prove(UpstreamReach(), "i-1", now=START, listed=1)


def test_old_proofs_do_not_count() -> None:
    reach = UpstreamReach()
    _prove(reach, "i-1", now=START)
    assert not _prove(reach, "i-2", now=START + PROOF_WINDOW_SECONDS + 0.1)


def test_a_direct_connection_refutes_the_proofs_and_ends_the_verdict() -> None:
    reach = UpstreamReach()
    _prove(reach, "i-1", now=START)
    assert not reach.record_reached(now=START + 0.1)
    assert not _prove(reach, "i-2", now=START + 0.2)
    assert _prove(reach, "i-3", now=START + 0.3)
    assert reach.record_reached(now=START + 0.4)
    assert not reach.is_cut_off


def test_no_peer_is_asked_while_other_upstreams_are_reached() -> None:
    reach = UpstreamReach()
    reach.record_reached(now=START)
    assert not reach.record_unreached("i-1", now=START + RECENTLY_REACHED_SECONDS)
    assert reach.record_unreached("i-1", now=START + RECENTLY_REACHED_SECONDS + 0.01)


def test_no_peer_is_asked_again_soon_for_an_upstream_that_none_reaches() -> None:
    reach = UpstreamReach()
    assert reach.record_unreached("i-1", now=START)
    reach.record_unreached_by_peer("i-1", now=START)
    assert not reach.record_unreached("i-1", now=START + UNREACHED_BY_PEERS_SECONDS)
    assert reach.record_unreached("i-2", now=START + UNREACHED_BY_PEERS_SECONDS)
    assert reach.record_unreached("i-1", now=START + UNREACHED_BY_PEERS_SECONDS + 0.01)


def test_peers_are_drawn_evenly_and_few_are_asked() -> None:
    peers = TunnelPeers(seed=1)
    nodes = [f"front-{number}" for number in range(5)]
    first = [peers.choose(nodes, now=START)[0] for _ in range(500)]
    assert len(peers.choose(nodes, now=START)) == MAX_PEERS_ASKED
    assert all(first.count(node) < 150 for node in nodes)


def test_a_peer_that_failed_is_left_out_for_a_while() -> None:
    peers = TunnelPeers(seed=1)
    peers.record_failure("front-1", is_unsupported=False, now=START)
    peers.record_failure("front-2", is_unsupported=True, now=START)
    assert peers.choose(["front-1", "front-2"], now=START) == []
    assert peers.choose(["front-1", "front-2"], now=START + FAILED_SECONDS) == ["front-1"]
    later = peers.choose(["front-1", "front-2"], now=START + UNSUPPORTED_SECONDS)
    assert sorted(later) == ["front-1", "front-2"]
