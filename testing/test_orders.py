"""Orders to engines: one lease holder, restored models, load rate limit, capacity in updates."""

from __future__ import annotations

import itertools
import random

import pytest
from order_world import MODEL
from order_world import SERVICE
from order_world import Keeper
from order_world import World

from baobabpulley.errors import InvalidSettings
from baobabpulley.keeper.order_settings import OrderIssuerSection
from baobabpulley.keeper.order_settings import checked_times
from baobabpulley.model.documents import ServiceDocument
from baobabpulley.model.documents import service_key

SEEDS = range(100)
ENGINES = 4


async def _steps_without_freeze(*, checks_fencing: bool) -> int:
    world = World(engines=ENGINES, checks_fencing=checks_fencing, closes_late_bodies=True)
    old = Keeper(world, "old")
    old.set_desired(version="1")
    for _ in range(8):
        await old.run_second()
    assert all(world.state(id).models == {MODEL: "1"} for id in world.engines)
    return old.await_points.count


async def _run_frozen(
    seed: int, *, checks_fencing: bool, closes_late_bodies: bool
) -> tuple[World, int]:
    """Freeze a holder past its lease at a seeded await; return the world and the new fence."""
    steps = await _steps_without_freeze(checks_fencing=checks_fencing)
    rng = random.Random(seed)
    world = World(
        engines=ENGINES, checks_fencing=checks_fencing, closes_late_bodies=closes_late_bodies
    )
    old = Keeper(world, "old")
    new = Keeper(world, "new")
    old.set_desired(version="1")
    new.set_desired(version="2")
    seconds = rng.randint(21, 60)

    async def meanwhile() -> None:
        for _ in range(seconds):
            await new.run_second()

    old.await_points.freeze_at = 1 + (seed * steps) // len(SEEDS)
    old.await_points.while_frozen = meanwhile
    for _ in range(10):
        await old.run_second()
    assert old.await_points.count >= old.await_points.freeze_at
    return world, new.order_issuer.lease.fence


def _superseded_fences(world: World) -> list[int]:
    highest = 0
    superseded = []
    for _, _, fence, _ in world.effects:
        if fence < highest:
            superseded.append(fence)
        highest = max(highest, fence)
    return superseded


@pytest.mark.parametrize("checks_fencing", [True, False], ids=["fencing", "no-fencing"])
async def test_holder_frozen_past_its_lease_gives_no_order_that_takes_effect(
    checks_fencing: bool,
) -> None:
    replaced_count = 0
    for seed in SEEDS:
        world, fence = await _run_frozen(
            seed, checks_fencing=checks_fencing, closes_late_bodies=True
        )
        assert not _superseded_fences(world), f"seed {seed}"
        orders = [effect for effect in world.effects if effect[2] == fence]
        replaced_count += bool(fence and orders)
        assert all(order.version == "2" for _, _, _, order in orders)
    # In the earliest freezes the old holder has no lease yet, or has only requested one.
    assert replaced_count >= 90


async def test_engine_without_fencing_or_body_timeout_may_apply_a_late_order() -> None:
    runs_with_late_orders = 0
    for seed in SEEDS:
        world, _ = await _run_frozen(seed, checks_fencing=False, closes_late_bodies=False)
        runs_with_late_orders += bool(_superseded_fences(world))
    assert runs_with_late_orders > 0


@pytest.mark.parametrize("checks_sender", [True, False], ids=["checks", "does-not-check"])
async def test_first_order_to_an_engine_that_does_not_check_its_sender_waits_and_is_recorded(
    checks_sender: bool,
) -> None:
    world = World(engines=2, checks_fencing=True, closes_late_bodies=True)
    section = OrderIssuerSection(credential="a-credential-of-the-fleet")
    keeper = Keeper(world, "vm-0", section=section)
    service = ServiceDocument(kind="engine", checks_sender=checks_sender)
    keeper.install(service_key(SERVICE), service)
    keeper.set_desired(version="1")
    began_at = world.clock.time
    for _ in range(8):
        await keeper.run_second()
    waited = world.effects[0][0] - began_at
    recorded = [
        decision.upstream for decision in keeper.order_issuer.decisions if "sender" in decision.what
    ]
    if checks_sender:
        assert waited < section.order_window
        assert (recorded, world.credentials) == ([], {section.credential})
    else:
        # The credential is not sent to an engine that does not check it.
        assert waited >= section.order_window
        assert (sorted(recorded), world.credentials) == (["engine-0", "engine-1"], {""})


async def test_killed_engine_that_returns_empty_is_given_its_models_back() -> None:
    world = World(engines=3, checks_fencing=True, closes_late_bodies=True)
    keeper = Keeper(world, "vm-0")
    keeper.set_desired(version="1")
    for _ in range(8):
        await keeper.run_second()
    world.engines["engine-1"].kill()
    keeper.receive_load("engine-1")
    for _ in range(6):
        await keeper.run_second()
    assert world.state("engine-1").models == {MODEL: "1"}
    reasons = {
        (decision.upstream, decision.what, decision.reason)
        for decision in keeper.order_issuer.decisions
    }
    assert ("engine-1", "load", "missing") in reasons
    assert ("engine-1", "confirmed", "") in reasons


async def test_an_order_without_an_answer_is_repeated_late_and_delays_no_other() -> None:
    world = World(engines=2, checks_fencing=True, closes_late_bodies=True)
    section = OrderIssuerSection(loads_per_second=5.0)
    keeper = Keeper(world, "vm-0", section=section)
    keeper.set_desired(version="1")
    world.engines["engine-0"].loses_orders = True
    for _ in range(12):
        await keeper.run_second()
    assert world.state("engine-1").models == {MODEL: "1"}
    times = [at for at, _ in world.lost_orders]
    assert len(times) > 1
    assert all(
        later - earlier >= section.order_window for earlier, later in itertools.pairwise(times)
    )
    world.engines["engine-0"].loses_orders = False
    for _ in range(8):
        await keeper.run_second()
    assert world.state("engine-0").models == {MODEL: "1"}


async def test_loads_keep_to_the_weight_stores_rate() -> None:
    world = World(engines=12, checks_fencing=True, closes_late_bodies=True)
    section = OrderIssuerSection(loads_per_second=0.5, loads_burst=1.0)
    keeper = Keeper(world, "vm-0", section=section)
    keeper.set_desired(version="1")
    for _ in range(40):
        await keeper.run_second()
    times = [at for at, _, _, _ in world.effects]
    assert len(times) == 12
    assert all(later - earlier >= 2.0 for earlier, later in itertools.pairwise(times))


@pytest.mark.parametrize("share", [0.5, 0.75], ids=["half", "three-quarters"])
async def test_new_version_never_leaves_fewer_engines_than_the_share(share: float) -> None:
    world = World(engines=8, checks_fencing=True, closes_late_bodies=True)
    keeper = Keeper(world, "vm-0")
    keeper.set_desired(version="1", share=share)
    for _ in range(12):
        await keeper.run_second()
    keeper.set_desired(version="2", share=share)
    fewest = 8
    for _ in range(60):
        await keeper.run_second()
        states = [world.state(id) for id in world.engines]
        serving = sum(1 for state in states if MODEL in state.models and not state.loading)
        fewest = min(fewest, serving)
    assert fewest >= share * 8
    versions = [world.state(id).models.get(MODEL) for id in world.engines]
    assert sorted(filter(None, versions)) == ["2"] * int(share * 8)


async def test_model_on_every_engine_is_updated_one_engine_at_a_time() -> None:
    world = World(engines=4, checks_fencing=True, closes_late_bodies=True)
    keeper = Keeper(world, "vm-0")
    keeper.set_desired(version="1")
    for _ in range(8):
        await keeper.run_second()
    world.max_loading = 0
    keeper.set_desired(version="2")
    for _ in range(40):
        await keeper.run_second()
    assert world.max_loading == 1
    assert all(world.state(id).models == {MODEL: "2"} for id in world.engines)


async def test_holder_cut_off_from_the_store_stops_giving_orders() -> None:
    world = World(engines=3, checks_fencing=True, closes_late_bodies=True)
    keeper = Keeper(world, "vm-0")
    keeper.set_desired(version="1")
    for _ in range(8):
        await keeper.run_second()
    world.store_down = True
    for _ in range(30):
        await keeper.run_second()
    effects_before = len(world.effects)
    world.engines["engine-1"].kill()
    keeper.receive_load("engine-1")
    for _ in range(10):
        await keeper.run_second()
    assert len(world.effects) == effects_before
    assert not keeper.order_issuer.lease.holds()


@pytest.mark.parametrize(
    "times",
    [{"margin": 6.0, "order_window": 3.0}, {"ttl": 10.0}],
    ids=["margin-too-small", "ttl-too-small"],
)
def test_times_that_break_the_guarantee_are_refused(times: dict[str, float]) -> None:
    with pytest.raises(InvalidSettings):
        checked_times(OrderIssuerSection(**times))
