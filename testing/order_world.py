"""Keepers that issue orders over a fake store, fake engines and a manual clock.

A keeper can be frozen at any of its await points, one of which is between the lease check and the
body of an order.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import msgspec
from prometheus_client import CollectorRegistry

from baobabpulley.adapters.metrics import KeeperMetrics
from baobabpulley.errors import StoreUnavailable
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamRefused
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.context import KeeperPart
from baobabpulley.keeper.order_issuer import OrderIssuer
from baobabpulley.keeper.order_settings import OrderIssuerSection
from baobabpulley.model.documents import ModelDocument
from baobabpulley.model.documents import ServiceDocument
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.documents import encode_document
from baobabpulley.model.documents import model_key
from baobabpulley.model.documents import service_key
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.upstreams import LoadReport
from baobabpulley.model.upstreams import Vm
from baobabpulley.ports.config_store import ConfigStore
from baobabpulley.ports.config_store import StoreSnapshot
from baobabpulley.ports.config_store import Swap
from baobabpulley.ports.config_store import SwapOutcome
from baobabpulley.ports.config_store import WatchBatch
from baobabpulley.ports.engine import EngineState
from baobabpulley.ports.engine import Order
from baobabpulley.ports.membership import Membership
from baobabpulley.settings import NodeSection
from baobabpulley.settings import Settings
from baobabpulley.timers import TimerService

DOMAIN = "fes"
SERVICE = "kitchen"
MODEL = "recipes"
LOAD_SECONDS = 2.0
SERVER_READ_TIMEOUT_SECONDS = 3.0


class ManualClock(TimerService):
    """A clock that moves only when a test sets it."""

    def __init__(self) -> None:
        super().__init__(seed=0)
        self.time = 1000.0

    def now(self) -> float:
        return self.time


class AwaitPoints:
    """The await points of one keeper, which is frozen at one while ``while_frozen`` runs."""

    def __init__(self) -> None:
        self.count = 0
        self.freeze_at = 0
        self.while_frozen: Callable[[], Awaitable[None]] | None = None
        self._running = asyncio.Event()
        self._running.set()

    async def step(self) -> None:
        await self._running.wait()
        self.count += 1
        if self.count == self.freeze_at and self.while_frozen is not None:
            self._running.clear()
            await self.while_frozen()
            self._running.set()


class World:
    """The store's keys and leases, the engines, and every order that took effect.

    ``leases`` maps an id to its time to live in seconds and its end. ``effects`` are tuples of
    time, engine id, fence and order. ``max_loading`` is the highest number of engines that loaded
    a model at once.
    ``checks_fencing`` is whether engines refuse an order with an old fence.
    ``closes_late_bodies`` is whether they close a connection whose body comes later than
    ``SERVER_READ_TIMEOUT_SECONDS`` after its head.
    """

    def __init__(self, *, engines: int, checks_fencing: bool, closes_late_bodies: bool) -> None:
        self.clock = ManualClock()
        self.revision = 100
        self.keys: dict[str, StoredEntry] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.store_down = False
        self.checks_fencing = checks_fencing
        self.closes_late_bodies = closes_late_bodies
        self.engines = {f"engine-{index}": FakeEngine(self) for index in range(engines)}
        self.effects: list[tuple[float, str, int, Order]] = []
        # Time and id of each order that an engine lost.
        self.lost_orders: list[tuple[float, str]] = []
        self.credentials: set[str] = set()
        self.max_loading = 0

    def expire_leases(self) -> None:
        for lease, (_, end) in tuple(self.leases.items()):
            if self.clock.time > end:
                del self.leases[lease]
                self.keys = {key: entry for key, entry in self.keys.items() if entry.lease != lease}

    def state(self, id: str) -> EngineState:
        engine = self.engines[id]
        engine.finish_loads()
        return EngineState(
            upstream=id,
            incarnation=f"{engine.incarnation}",
            state="live",
            fence=engine.fence,
            models=dict(engine.models),
            loading=tuple(engine.loading),
        )


class FakeEngine:
    """The models of one engine; ``kill`` starts a new incarnation without models."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.models: dict[str, str] = {}
        self.loading: dict[str, tuple[float, str]] = {}
        self.fence = 0
        self.incarnation = 1
        self.up = True
        # Orders then get neither an effect nor an answer.
        self.loses_orders = False

    def finish_loads(self) -> None:
        for model, (end, version) in tuple(self.loading.items()):
            if self._world.clock.time >= end:
                del self.loading[model]
                self.models[model] = version

    def kill(self) -> None:
        self.models.clear()
        self.loading.clear()
        self.fence = 0
        self.incarnation += 1


class FakeStoreClient(ConfigStore):
    """One keeper's client of the store."""

    def __init__(self, world: World, await_points: AwaitPoints) -> None:
        self._world = world
        self._await_points = await_points

    async def _check_reachable(self) -> None:
        await self._await_points.step()
        self._world.expire_leases()
        if self._world.store_down:
            raise StoreUnavailable("the store is unreachable")

    async def read(self, prefix: str) -> StoreSnapshot:
        raise NotImplementedError(prefix)

    async def get(self, key: str) -> StoredEntry | None:
        await self._check_reachable()
        entry = self._world.keys.get(key)
        await self._await_points.step()
        return entry

    async def swap(self, *swaps: Swap) -> SwapOutcome:
        await self._check_reachable()
        world = self._world
        (swap,) = swaps
        applied = swap.key not in world.keys and swap.lease in world.leases
        if applied:
            world.revision += 1
            world.keys[swap.key] = StoredEntry(
                key=swap.key,
                value=swap.value,
                mod_revision=world.revision,
                create_revision=world.revision,
                lease=swap.lease,
            )
        await self._await_points.step()
        return SwapOutcome(applied=applied, revision=world.revision)

    async def grant_lease(self, seconds: float) -> int:
        await self._check_reachable()
        world = self._world
        world.revision += 1
        world.leases[world.revision] = (seconds, world.clock.time + seconds)
        lease = world.revision
        await self._await_points.step()
        return lease

    async def keep_alive(self, lease: int) -> float:
        await self._check_reachable()
        current = self._world.leases.get(lease)
        if current is not None:
            self._world.leases[lease] = (current[0], self._world.clock.time + current[0])
        await self._await_points.step()
        return current[0] if current is not None else 0.0

    async def revoke_lease(self, lease: int) -> None:
        await self._check_reachable()
        self._world.leases[lease] = (0.0, float("-inf"))
        self._world.expire_leases()

    def watch(self, prefix: str, *, from_revision: int) -> AsyncIterator[WatchBatch]:
        raise NotImplementedError(prefix, from_revision)


class FakeEngineClient:
    """One keeper's engine adapter, with only the methods that orders use."""

    def __init__(self, world: World, await_points: AwaitPoints) -> None:
        self._world = world
        self._await_points = await_points

    async def state(self, upstream: Any) -> EngineState:
        await self._await_points.step()
        if not self._world.engines[upstream.id].up:
            raise UpstreamUnreachable(f"{upstream.id} is down")
        engine_state = self._world.state(upstream.id)
        await self._await_points.step()
        return engine_state

    async def order(
        self,
        upstream: Any,
        order: Order,
        *,
        guard: Any = None,
        window: float | None = None,
        credential: str = "",
    ) -> None:
        del window
        self._world.credentials.add(credential)
        await self._await_points.step()
        head_at = self._world.clock.time
        await self._await_points.step()
        if guard is not None:
            guard()
        await self._await_points.step()
        self._deliver(upstream.id, order, head_at)
        await self._await_points.step()

    def _deliver(self, id: str, order: Order, head_at: float) -> None:
        world = self._world
        engine = world.engines[id]
        if engine.loses_orders:
            world.lost_orders.append((world.clock.time, order.id))
            raise UpstreamLost(f"{id} did not answer")
        if world.closes_late_bodies and world.clock.time - head_at > SERVER_READ_TIMEOUT_SECONDS:
            raise UpstreamLost(f"{id} closed the connection")
        if not engine.up:
            raise UpstreamLost(f"{id} is down")
        if world.checks_fencing and order.fence < engine.fence:
            raise UpstreamRefused(f"fence {order.fence} is older than {engine.fence}")
        engine.fence = order.fence
        world.effects.append((world.clock.time, id, order.fence, order))
        if order.kind == "unload":
            engine.models.pop(order.model, None)
        else:
            engine.loading[order.model] = (world.clock.time + LOAD_SECONDS, order.version)


class SoleKeeperMembership(KeeperPart, Membership):
    """A membership in which this keeper is the only live one of its failure domain."""

    def __init__(self, context: KeeperContext) -> None:
        self._context = context

    async def start(self) -> None:
        """Do nothing: this membership has no background work."""

    @property
    def settled(self) -> bool:
        return True

    def live_keepers(self, failure_domain: str) -> tuple[Vm, ...]:
        del failure_domain
        return ()

    def is_live(self, id: str) -> bool:
        return id == self._context.node.vm

    def delegates(self, failure_domain: str) -> tuple[Vm, ...]:
        del failure_domain
        return ()

    def applied_revision(self, id: str) -> int:
        del id
        return 0


class Keeper:
    """A keeper that issues orders in ``world``, advanced by ``run_second``."""

    def __init__(
        self, world: World, name: str, *, section: OrderIssuerSection | None = None
    ) -> None:
        self.world = world
        self.await_points = AwaitPoints()
        node = NodeSection(id=name, vm=name, failure_domain=DOMAIN, http="127.0.0.1:1")
        view = FleetView(failure_domain=DOMAIN)
        view.set_vms(
            tuple(
                Vm(id=id, role="upstream", failure_domain=DOMAIN, address=id, service=SERVICE)
                for id in world.engines
            )
        )
        context = KeeperContext(
            settings=Settings(
                daemon="keeper",
                sections={"tender": section or OrderIssuerSection(loads_per_second=5.0)},
            ),
            node=node,
            address="127.0.0.1:1",
            timers=world.clock,
            peers=None,  # type: ignore[arg-type]
            store=FakeStoreClient(world, self.await_points),
            vm_list=None,  # type: ignore[arg-type]
            engine=FakeEngineClient(world, self.await_points),  # type: ignore[arg-type]
            view=view,
            metrics=KeeperMetrics(),
        )
        assert isinstance(context.registry, CollectorRegistry)
        context.parts["membership"] = SoleKeeperMembership(context)
        self.context = context
        self.order_issuer = OrderIssuer(context)
        service = ServiceDocument(kind="engine", checks_fencing=world.checks_fencing)
        self.install(service_key(SERVICE), service)

    def set_desired(self, **options: Any) -> None:
        """Install the model document; ``options`` are its fields."""
        self.install(model_key(MODEL), ModelDocument(service=SERVICE, **options))

    def install(self, key: str, document: msgspec.Struct) -> None:
        """Install a document in this keeper's settings."""
        settings_state = self.context.view.settings_state
        revision = settings_state.revision + 1
        entry = StoredEntry(key=key, value=encode_document(document), mod_revision=revision)
        settings_state.install([entry], revision=revision)

    def receive_load(self, id: str) -> None:
        """Apply an engine's load report, as if received from its event stream."""
        state = self.world.state(id)
        now = self.world.clock.time
        report = LoadReport(
            upstream=id,
            incarnation=state.incarnation,
            sequence=int(now),
            queued=0,
            queued_high=0,
            running=0,
            long_prefills=0,
            memory_total=400_000,
            memory_held=0,
            prefill_rate=20_000.0,
            models=tuple(sorted(state.models)),
        )
        self.context.view.set_load(report, measured_at=now)

    async def run_second(self, *, renews: bool = True) -> None:
        """Do the work due in one model second, then advance the clock by one second."""
        await self.order_issuer.try_acquire_lease()
        if renews:
            await self.order_issuer.renew_lease()
        await self.order_issuer.issue_orders()
        self.world.clock.time += 1.0
        states = [self.world.state(id) for id in self.world.engines]
        loading = sum(1 for state in states if state.loading)
        self.world.max_loading = max(self.world.max_loading, loading)
