"""Keepers release what engines hold for lost holders, and send engines few requests otherwise."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import pytest
from builders import DOMAIN
from builders import make_view

from baobabpulley.adapters.metrics import KeeperMetrics
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.reservations import ReservationKeeper
from baobabpulley.keeper.sweep import AUDIT_PERIOD_SECONDS
from baobabpulley.keeper.sweep import Sweep
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.holders import Holders
from baobabpulley.policy.memory_ledger import ReservationsSection
from baobabpulley.ports.engine import Hold
from baobabpulley.settings import NodeSection
from baobabpulley.settings import Settings
from baobabpulley.timers import ManualTimers

SECTION = ReservationsSection()
# After a lost holder expires, two queries of its engine, one sweep apart, confirm the loss; each
# sweep has jitter.
RELEASE_SECONDS = SECTION.expiry + 3 * SECTION.sweep


class FakeEngines:
    """Engines that hold streams whose keep-alive has expired, or that never respond."""

    def __init__(self, **held: str) -> None:
        self.held = {(engine, f"of-{holder}"): holder for engine, holder in held.items()}
        self.silent: set[str] = set()
        self.holds_calls = 0

    async def holds(self, upstream: Upstream) -> tuple[Hold, ...]:
        self.holds_calls += 1
        if upstream.id in self.silent:
            await asyncio.Event().wait()
        return tuple(
            Hold(id=id, holder=holder, kind="stream", tokens=100, expires_in=0.0)
            for (engine, id), holder in self.held.items()
            if engine == upstream.id
        )

    async def release(self, upstream: Upstream, *, ids: tuple[str, ...]) -> None:
        if upstream.id in self.silent:
            raise UpstreamUnreachable(f"{upstream.id} does not respond")
        for id in ids:
            self.held.pop((upstream.id, id), None)


class SoleKeeper:
    """The only keeper of a failure domain, with the holders known to it and its engines."""

    def __init__(self, timers: ManualTimers, engine: FakeEngines, *, engines: int) -> None:
        self.timers = timers
        context = KeeperContext(
            settings=Settings(daemon="keeper", sections={"reservations": SECTION}),
            node=NodeSection(id="vm-0", vm="vm-0", failure_domain=DOMAIN, http="127.0.0.1:1"),
            address="127.0.0.1:1",
            timers=timers,
            peers=None,  # type: ignore[arg-type]
            store=None,  # type: ignore[arg-type]
            vm_list=None,  # type: ignore[arg-type]
            engine=engine,  # type: ignore[arg-type]
            view=make_view(engines=engines),
            metrics=KeeperMetrics(),
        )
        part = ReservationKeeper(context)
        context.parts["reservations"] = part
        self.holders: Holders = part.holders
        self.sweep = Sweep(context)

    async def renew(self, *holders: str, seconds: float) -> None:
        """Advance time while the given holders renew once a second."""
        for _ in range(int(seconds)):
            for holder in holders:
                self.holders.renew(holder, now=self.timers.now())
            await self.timers.advance(1.0)


@pytest.fixture
def timers() -> Iterator[ManualTimers]:
    manual = ManualTimers()
    yield manual
    manual.cancel_all()


async def test_a_lost_holder_is_swept_and_a_live_one_kept(timers: ManualTimers) -> None:
    engine = FakeEngines(**{"engine-0": "lost", "engine-1": "live"})
    keeper = SoleKeeper(timers, engine, engines=2)
    await keeper.sweep.start()
    await keeper.renew("lost", "live", seconds=10)
    assert len(engine.held) == 2
    await keeper.renew("live", seconds=RELEASE_SECONDS)
    assert list(engine.held.values()) == ["live"]


async def test_engines_are_left_alone_while_all_holders_are_live(timers: ManualTimers) -> None:
    engine = FakeEngines(**{"engine-0": "live"})
    keeper = SoleKeeper(timers, engine, engines=5)
    await keeper.sweep.start()
    await keeper.renew("live", seconds=AUDIT_PERIOD_SECONDS - 1)
    assert engine.holds_calls == 5
    await keeper.renew("live", seconds=AUDIT_PERIOD_SECONDS)
    assert engine.holds_calls == 10


async def test_a_pause_of_the_keeper_does_not_restart_the_wait(timers: ManualTimers) -> None:
    engine = FakeEngines(**{"engine-0": "lost", "engine-1": "live"})
    keeper = SoleKeeper(timers, engine, engines=2)
    await keeper.sweep.start()
    await keeper.renew("lost", "live", seconds=10)
    await keeper.renew("live", seconds=3)
    await timers.pause(60)
    await keeper.renew("live", seconds=RELEASE_SECONDS - 2)
    assert list(engine.held.values()) == ["live"]


async def test_a_silent_engine_delays_no_other(timers: ManualTimers) -> None:
    engine = FakeEngines(**{"engine-0": "lost", "engine-1": "lost", "engine-2": "lost"})
    engine.silent.add("engine-0")
    keeper = SoleKeeper(timers, engine, engines=3)
    await keeper.sweep.start()
    await keeper.renew("lost", seconds=10)
    await keeper.renew(seconds=RELEASE_SECONDS)
    assert [name for name, _ in engine.held] == ["engine-0"]
