"""Keepers in one process hand their ledgers over through real sockets.

Guards against refused claims after a graceful restart, lost ledgers and over-granted memory.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import pytest_asyncio
from builders import make_report
from builders import wait_until
from keeper_builders import make_keeper

from baobabpulley.adapters.pynng_peers import PynngPeers
from baobabpulley.entry.owners import Owners
from baobabpulley.entry.reservations import EntryReservations
from baobabpulley.errors import BaobabError
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.membership import HeartbeatMembership
from baobabpulley.keeper.reservations import ReservationKeeper
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.reservations import MemoryClaim
from baobabpulley.model.upstreams import LoadReport
from baobabpulley.model.upstreams import Upstream
from baobabpulley.model.upstreams import Vm
from baobabpulley.policy.memory_ledger import ReservationsSection
from baobabpulley.policy.rendezvous import owner_of
from baobabpulley.settings import PeersSection
from baobabpulley.timers import TimerService

SPEED = 2.5
HOST = "127.0.0.1"
DOMAIN = "fes"
VMS = ("vm-0", "vm-1", "vm-2")
ENGINES = tuple(f"engine-{index}" for index in range(12))
HELD_TOKENS = 240_000
EXCESS_TOKENS = 200_000
SMALL_TOKENS = 1_000
OWNER_CHANGED_REASON = "the keeper that owns this upstream has just changed"


class IdleEngines:
    """Engines that return a current load report on every request."""

    async def load(self, upstream: Upstream) -> LoadReport:
        return make_report(upstream.id, age=0.0)


class Domain:
    """Three keepers and two entries.

    One entry holds memory on each engine, the other requests more.
    """

    def __init__(self, directory: Path, base_port: int) -> None:
        self._directory = directory
        self._addresses = {vm: f"{HOST}:{base_port + 10 * i}" for i, vm in enumerate(VMS)}
        self._timers = TimerService(speed=SPEED)
        self._entries: list[PynngPeers] = []
        self.keepers: dict[str, KeeperContext] = {}
        self.view = FleetView(failure_domain=DOMAIN)
        self.view.set_vms(self._vm_list)
        self.holder = self._entry("holder")
        self.requester = self._entry("asker")
        self.reasons: Counter[str] = Counter()
        self.granted_excess = 0

    @property
    def _vm_list(self) -> tuple[Vm, ...]:
        entries = [Vm(vm, "entry", DOMAIN, address) for vm, address in self._addresses.items()]
        return (*entries, *(Vm(id, "upstream", DOMAIN, f"{HOST}:9") for id in ENGINES))

    def _entry(self, name: str) -> EntryReservations:
        section = PeersSection(secret="a-secret-for-tests-only")
        peers = PynngPeers(node=name, section=section, timers=self._timers)
        self._entries.append(peers)
        return EntryReservations(
            holder=name,
            owners=Owners(peers=peers, view=self.view),
            view=self.view,
            section=ReservationsSection(),
            timers=self._timers,
        )

    async def start(self) -> None:
        for vm in VMS:
            await self.start_keeper(vm)
        self._timers.every(0.25, self._refresh)
        await wait_until(lambda: len(self.view.live_keepers) == len(VMS))
        for entry in (self.holder, self.requester):
            entry.start()
        for id in ENGINES:
            await self._hold(id)

    async def start_keeper(self, vm: str) -> None:
        address = self._addresses[vm]
        context = make_keeper(self._directory, vm=vm, domain=DOMAIN, address=address, speed=SPEED)
        context.view.set_vms(self._vm_list)
        context.engine = IdleEngines()  # type: ignore[assignment]
        context.peers.start()  # type: ignore[attr-defined]
        for name in ("membership", "reservations"):
            await context.parts[name].start()
        self.keepers[vm] = context

    def kill(self, vm: str) -> None:
        context = self.keepers.pop(vm)
        context.timers.cancel_all()
        context.peers.close()

    async def shut_down(self, vm: str) -> None:
        for name in ("reservations", "membership"):
            await self.keepers[vm].parts[name].stop()
        self.kill(vm)

    def close(self) -> None:
        self._timers.cancel_all()
        for peers in self._entries:
            peers.close()
        for vm in tuple(self.keepers):
            self.kill(vm)

    def _refresh(self) -> None:
        # As an entry does: from any keeper that knows the live keepers.
        for context in self.keepers.values():
            if context.view.live_keepers:
                self.view.set_live_keepers(tuple(vm.id for vm in context.view.live_keepers))

    def stop_entries(self) -> None:
        """Stop all renewals and requests of the entries."""
        self._timers.cancel_all()

    async def _hold(self, id: str) -> None:
        claim = MemoryClaim(upstream=id, tokens=HELD_TOKENS)
        async with asyncio.timeout(20.0):
            while not (await self.holder.claim(f"held-{id}", claim, gang=False)).granted:
                await self._timers.sleep(0.5)

    async def request_on_each_engine(self) -> None:
        """Request on each engine a claim that fits and one that exceeds its free memory."""
        for id in ENGINES:
            for name, tokens in (("small", SMALL_TOKENS), ("beyond", EXCESS_TOKENS)):
                claim = MemoryClaim(upstream=id, tokens=tokens)
                response = await self.requester.claim(f"{name}-{id}", claim, gang=False)
                self.reasons[response.reason or "granted"] += 1
                self.granted_excess += response.granted and name == "beyond"
                if response.granted:
                    self.requester.release_claims(f"{name}-{id}", (id,))

    async def request_repeatedly(self) -> None:
        while True:
            with contextlib.suppress(BaobabError):
                await self.request_on_each_engine()
            await self._timers.sleep(0.1)

    async def restart(self, vm: str, *, graceful: bool) -> Counter[str]:
        """Restart a keeper during requests; return the counts of refusal reasons and grants."""
        self.reasons.clear()
        requests = asyncio.create_task(self.request_repeatedly())
        if graceful:
            await self.shut_down(vm)
        else:
            self.kill(vm)
        await self._timers.sleep(1.0)
        await self.start_keeper(vm)
        await wait_until(lambda: len(self.view.live_keepers) == len(VMS))
        await self._timers.sleep(2.0)
        requests.cancel()
        return Counter(self.reasons)


@pytest_asyncio.fixture
async def domain(base_port: int, tmp_path: Path) -> AsyncIterator[Domain]:
    running = Domain(tmp_path, base_port)
    await running.start()
    yield running
    running.close()


async def test_keys_of_a_restarted_keeper_skip_the_grace_period_unless_it_was_killed(
    domain: Domain,
) -> None:
    owners = Counter(owner_of(id, VMS) for id in ENGINES)
    vm = owners.most_common(1)[0][0]
    assert vm is not None
    graceful = await domain.restart(vm, graceful=True)
    killed = await domain.restart(vm, graceful=False)
    assert graceful["granted"] > 0 and graceful["the upstream has too little free memory now"] > 0
    assert graceful[OWNER_CHANGED_REASON] == 0, graceful
    assert killed[OWNER_CHANGED_REASON] > 0, killed
    assert domain.granted_excess == 0
    await check_successors_without_requests(
        domain, next(keeper for keeper in owners if keeper != vm)
    )


async def check_successors_without_requests(domain: Domain, vm: str | None) -> None:
    """Check that a keeper that shuts down hands over its ledgers without any holder's request."""
    assert vm is not None
    domain.stop_entries()
    granted = grantable_keys_of(domain.keepers[vm])
    assert granted >= {id for id in ENGINES if owner_of(id, VMS) == vm}
    await domain.shut_down(vm)
    assert granted <= set().union(
        *(grantable_keys_of(context) for context in domain.keepers.values())
    )


def grantable_keys_of(context: KeeperContext) -> set[str]:
    keeper = context.parts["reservations"]
    assert isinstance(keeper, ReservationKeeper)
    return set(keeper.ledger_handover.ledgers.handover.grantable_keys(now=context.timers.now()))


async def test_a_keeper_reports_no_live_keepers_until_each_peer_answered_or_timed_out(
    base_port: int, tmp_path: Path
) -> None:
    # Otherwise its entries would treat it alone as the owner of every key.
    addresses = {vm: f"{HOST}:{base_port + 10 * index}" for index, vm in enumerate(VMS)}
    context = make_keeper(
        tmp_path, vm="vm-0", domain=DOMAIN, address=addresses["vm-0"], speed=SPEED
    )
    context.view.set_vms(
        tuple(Vm(vm, "entry", DOMAIN, address) for vm, address in addresses.items())
    )
    membership = context.parts["membership"]
    assert isinstance(membership, HeartbeatMembership)
    await membership._tick()
    assert context.view.live_keepers == ()
    await wait_until(lambda: membership.settled)
    await membership._tick()
    assert [vm.id for vm in context.view.live_keepers] == ["vm-0"]
    context.timers.cancel_all()
    context.peers.close()
