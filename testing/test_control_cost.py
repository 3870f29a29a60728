"""Control traffic does not grow with the fleet beyond its share of the budget."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from keeper_builders import make_keeper
from settings_cluster import Cluster
from settings_cluster import FakePeers

from baobabpulley.keeper.engine_states import AUDIT_PERIOD_SECONDS
from baobabpulley.keeper.engine_states import AUDITS_PER_SECOND
from baobabpulley.keeper.engine_states import EngineStates
from baobabpulley.keeper.membership import HeartbeatMembership
from baobabpulley.keeper.settings_relay import REMOTE_DOMAINS_PER_ROUND
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.settings_messages import SettingsRequest
from baobabpulley.model.upstreams import Upstream
from baobabpulley.ports.engine import EngineState
from baobabpulley.timers import ManualTimers

pytestmark = pytest.mark.asyncio

ENGINES = 500
MEASURED_SECONDS = 16


class CountedStates:
    """Engines that return their state; counts the reads."""

    def __init__(self) -> None:
        self.reads: Counter[str] = Counter()

    async def state(self, upstream: Upstream) -> EngineState:
        self.reads[upstream.id] += 1
        return EngineState(upstream=upstream.id, incarnation="a", state="live", fence=0, models={})


async def test_states_are_reread_at_a_bounded_rate_and_each_in_turn() -> None:
    timers = ManualTimers()
    engine: Any = CountedStates()
    states = EngineStates(view=FleetView(failure_domain="fes"), engine=engine, timers=timers)
    upstreams = [
        Upstream(id=f"engine-{n}", service="kitchen", failure_domain="fes", address="")
        for n in range(ENGINES)
    ]
    await states.refresh(upstreams)
    assert set(engine.reads.values()) == {1}
    max_reads = 0
    for _ in range(int(AUDIT_PERIOD_SECONDS + ENGINES / AUDITS_PER_SECOND) + 2):
        await timers.advance(1.0)
        before = engine.reads.total()
        await states.refresh(upstreams)
        max_reads = max(max_reads, engine.reads.total() - before)
    assert max_reads <= AUDITS_PER_SECOND
    assert min(engine.reads.values()) == 2


async def test_pulls_of_settings_do_not_grow_with_keepers_and_failure_domains() -> None:
    cluster = Cluster(keepers={"fes": 6, **{f"domain-{n}": 1 for n in range(11)}})
    await cluster.start()
    await cluster.advance(3.0)
    requests: Counter[tuple[str, bool]] = Counter()

    def count(peers: FakePeers) -> None:
        send_request = peers.request

        async def counted(address: str, message: Any, **options: Any) -> Any:
            if isinstance(message, SettingsRequest):
                requests[peers.address, address.startswith("fes")] += 1
            return await send_request(address, message, **options)

        peers.request = counted  # type: ignore[method-assign]

    for name, member in cluster.members.items():
        if name.startswith("keeper-fes"):
            count(member.peers)
    await cluster.advance(MEASURED_SECONDS)
    own_domain = {address: number for (address, own), number in requests.items() if own}
    other_domains = {address: number for (address, own), number in requests.items() if not own}
    assert len(other_domains) == 2
    # Jitter is at most a tenth of a period.
    assert max(own_domain.values()) <= 1.1 * MEASURED_SECONDS + 1
    assert max(other_domains.values()) <= REMOTE_DOMAINS_PER_ROUND * (1.1 * MEASURED_SECONDS + 1)
    for name in tuple(cluster.members):
        cluster.kill(name)


async def test_traffic_of_other_parts_is_deducted_from_the_bytes_for_loads(tmp_path: Path) -> None:
    keeper = make_keeper(tmp_path, vm="vm-0", domain="fes", address="127.0.0.1:9", speed=1.0)
    membership = keeper.membership
    assert isinstance(membership, HeartbeatMembership)
    full_share = membership.share
    other_bytes = sum(part.bytes_per_second for part in keeper.parts.values())
    assert other_bytes > 0
    await membership._tick()
    assert membership.share.reports < full_share.reports
