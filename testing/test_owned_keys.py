"""A keeper derives the keys that it owns from a holder's list of keepers and its renewals."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
import pytest
from keeper_builders import make_keeper
from test_reservation_ledgers import make_timed_load

from baobabpulley.entry.owners import Owners
from baobabpulley.entry.reservations import EntryReservations
from baobabpulley.errors import PeerUnavailable
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.ledger_messages import LedgerExportRequest
from baobabpulley.model.reservation_messages import HolderRenewal
from baobabpulley.model.reservation_messages import HolderRenewalResponse
from baobabpulley.model.reservation_messages import MemoryRequest
from baobabpulley.model.reservation_messages import MemoryResponse
from baobabpulley.model.reservations import MemoryClaim
from baobabpulley.model.upstreams import Vm
from baobabpulley.policy.key_owners import keepers_digest
from baobabpulley.policy.memory_ledger import ReservationsSection
from baobabpulley.policy.rendezvous import owner_of
from baobabpulley.ports.peers import Handler
from baobabpulley.timers import ManualTimers

pytestmark = pytest.mark.asyncio

SECTION = ReservationsSection()
ALL_KEEPERS = ("vm-0", "vm-1", "vm-2")
WITHOUT_VM_2 = ("vm-0", "vm-1")
ENGINES = tuple(f"engine-{index}" for index in range(20))
OWNED_FROM_START = next(name for name in ENGINES if owner_of(name, ALL_KEEPERS) == "vm-1")
OWNED_WITHOUT_VM_2 = next(
    name
    for name in ENGINES
    if owner_of(name, ALL_KEEPERS) == "vm-2" and owner_of(name, WITHOUT_VM_2) == "vm-1"
)


def vms(count: int) -> tuple[Vm, ...]:
    entries = [
        Vm(id=f"vm-{n}", role="entry", failure_domain="fes", address=f"127.0.0.1:{n + 1}")
        for n in range(count)
    ]
    engines = [
        Vm(id=id, role="upstream", failure_domain="fes", address="127.0.0.1:9", service="kitchen")
        for id in ENGINES
    ]
    return (*entries, *engines)


class Peers:
    """One keeper that receives all requests; counts requests by address and full keeper lists."""

    def __init__(self) -> None:
        self.handlers: dict[type[msgspec.Struct], Handler] = {}
        self.requests: Counter[str] = Counter()
        self.full_lists = 0

    def register_handler(self, kind: type[msgspec.Struct], handler: Handler) -> None:
        self.handlers[kind] = handler

    async def request(self, address: str, message: msgspec.Struct, **_: object) -> Any:
        if isinstance(message, LedgerExportRequest):
            raise PeerUnavailable("the previous owner has been killed")
        self.requests[address] += 1
        self.full_lists += isinstance(message, HolderRenewal) and bool(message.keepers)
        return await self.handlers[type(message)](message, "entry-0")


class World:
    """The keeper of vm-1, just started, on a manual clock."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.timers = ManualTimers()
        self.peers = Peers()

    async def start_keeper(self) -> KeeperContext:
        keeper = make_keeper(
            self.directory, vm="vm-1", domain="fes", address="127.0.0.1:9", speed=1.0
        )
        keeper.timers = self.timers
        keeper.peers = self.peers  # type: ignore[assignment]
        keeper.view.set_vms(vms(3))
        await keeper.parts["reservations"].start()
        return keeper

    async def renew(
        self, keepers: tuple[str, ...], *, named: bool = False
    ) -> HolderRenewalResponse:
        names = keepers if named else ()
        renewal = HolderRenewal("holder", keepers_digest(keepers), keepers=names)
        return await self.peers.request("", renewal)

    async def renew_for(self, seconds: float, keepers: tuple[str, ...]) -> None:
        await self.renew(keepers, named=True)
        for _ in range(round(seconds)):
            await self.timers.advance(1.0)
            await self.renew(keepers)

    async def request(self, keeper: KeeperContext, upstream: str) -> MemoryResponse:
        keeper.view.loads[upstream] = make_timed_load(upstream, measured_at=self.timers.now())
        claim = MemoryClaim(upstream=upstream, tokens=1)
        memory_request = MemoryRequest(
            holder="holder", reservation=upstream, claim=claim, gang=False
        )
        pending = asyncio.create_task(self.peers.request("", memory_request))
        # The keeper first requests the previous owner's ledger, in a task that its timers start.
        await self.timers.advance(0.0)
        return await pending


@pytest.fixture
def world(tmp_path: Path) -> World:
    return World(tmp_path)


async def test_owner_of_a_key_under_the_named_keepers_grants_after_one_expiry(world: World) -> None:
    keeper = await world.start_keeper()
    await world.renew_for(SECTION.expiry - 1.0, ALL_KEEPERS)
    assert not (await world.request(keeper, OWNED_FROM_START)).granted
    await world.renew_for(2.0, ALL_KEEPERS)
    assert (await world.request(keeper, OWNED_FROM_START)).granted


async def test_key_that_moves_here_with_a_named_set_waits_one_expiry(world: World) -> None:
    keeper = await world.start_keeper()
    await world.renew_for(3 * SECTION.expiry, ALL_KEEPERS)
    await world.renew(WITHOUT_VM_2, named=True)
    assert not (await world.request(keeper, OWNED_WITHOUT_VM_2)).granted
    assert (await world.request(keeper, OWNED_FROM_START)).granted
    await world.renew_for(SECTION.expiry - 1.0, WITHOUT_VM_2)
    assert not (await world.request(keeper, OWNED_WITHOUT_VM_2)).granted
    await world.renew_for(2.0, WITHOUT_VM_2)
    assert (await world.request(keeper, OWNED_WITHOUT_VM_2)).granted


async def test_digest_of_unknown_keepers_makes_no_owner(world: World) -> None:
    keeper = await world.start_keeper()
    for _ in range(8):
        assert (await world.renew(ALL_KEEPERS)).unknown
        await world.timers.advance(1.0)
    assert not (await world.request(keeper, OWNED_FROM_START)).granted


async def test_holder_names_the_keepers_once_and_again_to_one_that_restarted(
    world: World,
) -> None:
    reservations = make_reservations(world, keepers=17)
    await world.start_keeper()
    reservations.start()
    await world.timers.advance(10 * SECTION.expiry)
    assert world.peers.full_lists == 17
    # One lost renewal must not make a holder appear dead or an owner appear new.
    assert min(world.peers.requests.values()) >= 2 * 10 + 1
    # A holder makes about ten exchanges a second, whatever the number of keepers.
    assert world.peers.requests.total() <= 1.2 * 10 * SECTION.expiry * 10
    await world.start_keeper()
    await world.timers.advance(SECTION.expiry)
    assert world.peers.full_lists == 17 + 1


def make_reservations(world: World, *, keepers: int) -> EntryReservations:
    view = FleetView(failure_domain="fes")
    view.set_vms(vms(keepers))
    view.set_live_keepers(tuple(vm.id for vm in view.keepers))
    owners = Owners(peers=world.peers, view=view)  # type: ignore[arg-type]
    return EntryReservations(
        holder="holder", owners=owners, view=view, section=SECTION, timers=world.timers
    )
