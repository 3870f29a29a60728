"""The VM list reaches all keepers of a failure domain although only two of them read it."""

from __future__ import annotations

import contextlib
from collections import Counter
from collections.abc import AsyncIterator

import msgspec
import pytest
import pytest_asyncio
from settings_cluster import Cluster
from settings_cluster import Member

from baobabpulley.errors import StoreUnavailable
from baobabpulley.keeper.settings_relay import SettingsRelay
from baobabpulley.keeper.vm_relay import vm_relay_of
from baobabpulley.model.settings_messages import VmListDelta
from baobabpulley.model.upstreams import LEAVING
from baobabpulley.model.upstreams import Vm
from baobabpulley.ports.vm_list import VmList

KEEPERS = 6
READ_PERIOD_SECONDS = 1.0
# One read period of the watchers and one pull period of the others, 1 s each, with jitter.
UPDATED_WITHIN_SECONDS = 2.5
UPDATED_WITHOUT_WATCHERS_SECONDS = 5.0

pytestmark = pytest.mark.asyncio


class ListedVms(VmList):
    """The platform's list as one keeper reads it; counts the reads."""

    def __init__(self, rows: dict[str, Vm], reads: Counter[str], name: str) -> None:
        self.rows = rows
        self.reads = reads
        self.name = name
        self.down = False

    async def read(self) -> tuple[Vm, ...]:
        self.reads[self.name] += 1
        if self.down:
            raise StoreUnavailable("the VM list does not respond")
        return tuple(self.rows.values())


class ListDomain:
    """A failure domain whose keepers follow the VM list, and one keeper of another domain."""

    def __init__(self) -> None:
        self.cluster = Cluster(keepers={"fes": KEEPERS, "meknes": 1})
        self.rows: dict[str, Vm] = {vm.id: vm for vm in self.cluster.vms}
        self.reads: Counter[str] = Counter()
        self.lists: dict[str, ListedVms] = {}

    @property
    def keepers(self) -> dict[str, Member]:
        members = self.cluster.members.items()
        return {name: member for name, member in members if name.startswith("keeper-fes")}

    @property
    def watchers(self) -> list[str]:
        return [name for name, member in self.keepers.items() if relay_of(member).is_watcher]

    async def start(self) -> None:
        for index in range(20):
            self.put(f"engine-{index}")
        await self.cluster.start()
        for name, member in self.keepers.items():
            assert member.context is not None
            listed = ListedVms(self.rows, self.reads, name)
            self.lists[name] = member.context.vm_list = listed
            self.follow(member)
        await self.cluster.advance(5.0)
        assert self.outdated() == []

    def follow(self, member: Member) -> None:
        context = member.context
        assert context is not None

        async def refresh() -> None:
            with contextlib.suppress(StoreUnavailable):
                await vm_relay_of(context).refresh(is_watcher=relay_of(member).is_watcher)

        context.timers.every(READ_PERIOD_SECONDS, refresh, jitter=0.2)

    def put(self, id: str, *, state: str = "live") -> None:
        self.rows[id] = Vm(id, "upstream", "fes", "127.0.0.1:9", "kitchen", state)

    def outdated(self, *, frozen: str = "") -> list[str]:
        """Return the keepers whose upstreams differ from the list."""
        listed = {vm.id: vm.state for vm in self.rows.values() if vm.role == "upstream"}
        return [
            name
            for name, member in self.keepers.items()
            if name != frozen
            and {id: vm.state for id, vm in member.view.upstreams.items()} != listed
        ]

    async def change(self) -> None:
        self.put("engine-3", state=LEAVING)
        self.put("engine-new")
        del self.rows["engine-7"]


def relay_of(member: Member) -> SettingsRelay:
    assert member.context is not None
    part = member.context.parts["settings_relay"]
    assert isinstance(part, SettingsRelay)
    return part


@pytest_asyncio.fixture
async def domain() -> AsyncIterator[ListDomain]:
    running = ListDomain()
    await running.start()
    yield running
    for name in tuple(running.cluster.members):
        running.cluster.kill(name)


async def test_two_keepers_read_the_list_for_all(domain: ListDomain) -> None:
    domain.reads.clear()
    await domain.change()
    await domain.cluster.advance(UPDATED_WITHIN_SECONDS)
    assert domain.outdated() == []
    await domain.cluster.advance(10.0)
    assert sorted(domain.reads) == sorted(domain.watchers)
    assert len(domain.reads) == 2


async def test_change_reaches_all_after_the_watchers_are_killed(domain: ListDomain) -> None:
    for name in domain.watchers:
        domain.cluster.kill(name)
    await domain.change()
    await domain.cluster.advance(UPDATED_WITHOUT_WATCHERS_SECONDS)
    assert domain.outdated() == []


async def test_keepers_read_the_list_themselves_while_the_watchers_are_cut_off(
    domain: ListDomain,
) -> None:
    for name in domain.watchers:
        domain.lists[name].down = True
    await domain.change()
    await domain.cluster.advance(UPDATED_WITHOUT_WATCHERS_SECONDS)
    # The watchers may receive the list from keepers that can read it, or not receive it at all.
    assert set(domain.outdated()) <= set(domain.watchers)


async def test_list_is_kept_while_the_platform_is_down_and_updated_after_it(
    domain: ListDomain,
) -> None:
    for listed in domain.lists.values():
        listed.down = True
    before = {name: dict(member.view.upstreams) for name, member in domain.keepers.items()}
    await domain.change()
    await domain.cluster.advance(20.0)
    assert {name: member.view.upstreams for name, member in domain.keepers.items()} == before
    for listed in domain.lists.values():
        listed.down = False
    await domain.cluster.advance(UPDATED_WITHOUT_WATCHERS_SECONDS)
    assert domain.outdated() == []


async def test_older_list_does_not_undo_a_newer_one(domain: ListDomain) -> None:
    name, member = next(iter(domain.keepers.items()))
    assert member.context is not None
    relay = vm_relay_of(member.context)
    older_delta = relay.delta_since(0)
    assert older_delta is not None
    await domain.change()
    await domain.cluster.advance(UPDATED_WITHIN_SECONDS)
    outdated_delta = msgspec.structs.replace(
        older_delta, age=older_delta.age + UPDATED_WITHIN_SECONDS
    )
    relay.receive(outdated_delta)
    assert name not in domain.outdated()


async def test_only_changed_rows_are_relayed(domain: ListDomain) -> None:
    member = next(iter(domain.keepers.values()))
    assert member.context is not None
    relay = vm_relay_of(member.context)
    known = relay.digest
    await domain.change()
    await domain.cluster.advance(UPDATED_WITHIN_SECONDS)
    changes = relay.delta_since(known)
    assert changes is not None and changes.since == known
    assert sorted(vm.id for vm in changes.rows) == ["engine-3", "engine-new"]
    assert changes.removed == ("engine-7",)
    assert relay.delta_since(relay.digest) == VmListDelta(
        digest=relay.digest, since=relay.digest, age=relay.age
    )
