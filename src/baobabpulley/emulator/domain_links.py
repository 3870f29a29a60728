"""Simulated network links between the failure domains of a local fleet and to the platform.

Each failure domain reaches the store and the entry VMs of other domains through its own link
addresses, which its own VM list contains. A test can thus partition a domain from all others and
from the platform.
"""

from __future__ import annotations

from typing import Final
from typing import final

import msgspec

from baobabpulley.adapters.addresses import split_address
from baobabpulley.emulator.link import Link
from baobabpulley.model.upstreams import Vm
from baobabpulley.standins.vm_list import VmListStandin
from baobabpulley.timers import TimerService

HOST: Final = "127.0.0.1"
STORE_LINK_PORT_OFFSET: Final = 10
VM_LIST_PORT_OFFSET: Final = 30
VM_LIST_LINK_PORT_OFFSET: Final = 50
VM_LINK_PORT_OFFSET: Final = 700
# The two sockets of a keeper and the listener of its entry.
PORTS_PER_VM: Final = 3

Sections = dict[str, dict[str, str]]


@final
class DomainLinks:
    """All links of one fleet: at most 20 failure domains, and 100 ports for links to VMs."""

    __slots__ = (
        "_base_port",
        "_domains",
        "_peer_links",
        "_platform_links",
        "_timers",
        "_vm_lists",
        "_vms",
    )

    def __init__(self, *, base_port: int, domains: tuple[str, ...], timers: TimerService) -> None:
        self._base_port = base_port
        self._domains = domains
        self._timers = timers
        self._peer_links: dict[str, list[Link]] = {domain: [] for domain in domains}
        self._platform_links: dict[str, list[Link]] = {domain: [] for domain in domains}
        self._vm_lists: dict[str, VmListStandin] = {}
        self._vms: list[Vm] = []

    def store(self, domain: str) -> str:
        """Return the address at which a failure domain reaches the store."""
        return self._address(STORE_LINK_PORT_OFFSET + self._domains.index(domain))

    def vm_list(self, domain: str) -> str:
        """Return the address at which a failure domain reaches its VM list."""
        return self._address(VM_LIST_LINK_PORT_OFFSET + self._domains.index(domain))

    def add_link_addresses(
        self, index: int, *, keepers: list[str], entry: Sections, keeper: Sections
    ) -> None:
        """Add link addresses and the other keepers of the domain to a VM's daemon settings.

        ``keepers`` are the addresses of all keepers; VMs are assigned to domains round robin.
        """
        domain = self._domains[index % len(self._domains)]
        own_domain = keepers[index % len(self._domains) :: len(self._domains)]
        peers = [address for address in own_domain if address != keepers[index]]
        entry["claims"]["store"] = self.store(domain)
        entry["keeper"]["others"] = ", ".join(peers)
        keeper["settings_relay"] = {"others": ", ".join(peers)}
        link_addresses = [
            self._vm_address(remote, index) for remote in self._domains if remote != domain
        ]
        keeper["keeper"] |= {
            "store": self.store(domain),
            "vm_list": self.vm_list(domain),
            "also_reached_at": ", ".join(link_addresses),
        }

    def partition(self, domain: str) -> None:
        """Partition a failure domain from all others, the store and the VM list."""
        for link in (*self._peer_links[domain], *self._platform_links[domain]):
            link.partition()

    def reconnect_peers(self, domain: str) -> None:
        """Reconnect a failure domain to all others, over new connections only."""
        for link in self._peer_links[domain]:
            link.restore()

    def reconnect_platform(self, domain: str) -> None:
        """Reconnect a failure domain to the store and the VM list, over new connections only."""
        for link in self._platform_links[domain]:
            link.restore()

    async def start(self, *, store: str) -> None:
        """Start the VM list of each failure domain and open the links to the platform."""
        for number, domain in enumerate(self._domains):
            list_address = self._address(VM_LIST_PORT_OFFSET + number)
            self._vm_lists[domain] = VmListStandin(
                address=list_address, lag=0.0, timers=self._timers
            )
            self._vm_lists[domain].start()
            for listen, target in (
                (self.store(domain), store),
                (self.vm_list(domain), list_address),
            ):
                self._platform_links[domain].append(await _open_link(listen=listen, target=target))

    async def put_vms(self, vms: list[Vm]) -> None:
        """Set the VM list of each failure domain and open links to new VMs."""
        new_vms = [vm for vm in vms if vm.role == "entry" and vm not in self._vms]
        for vm in new_vms:
            self._vms.append(vm)
            await self._open_links_to(vm)
        for domain, vm_list in self._vm_lists.items():
            rows = [self._seen_from(domain, vm) for vm in vms]
            vm_list.get_or_set(msgspec.to_builtins(rows))

    async def stop(self) -> None:
        """Close all links and stop the VM lists."""
        for domain in self._domains:
            for link in (*self._peer_links[domain], *self._platform_links[domain]):
                await link.stop()
        for vm_list in self._vm_lists.values():
            await vm_list.stop()

    async def _open_links_to(self, vm: Vm) -> None:
        for domain in self._domains:
            if domain == vm.failure_domain:
                continue
            row = self._seen_from(domain, vm)
            pairs = {
                row.address: vm.address,
                _next_port(row.address): _next_port(vm.address),
                row.http: vm.http,
            }
            for listen, target in pairs.items():
                link = await _open_link(listen=listen, target=target)
                self._peer_links[domain].append(link)
                self._peer_links[vm.failure_domain].append(link)

    def _seen_from(self, domain: str, vm: Vm) -> Vm:
        if vm.role != "entry" or vm.failure_domain == domain:
            return vm
        address = self._vm_address(domain, int(vm.id.removeprefix("vm-")))
        http = _next_port(_next_port(address))
        return msgspec.structs.replace(vm, address=address, http=http)

    def _vm_address(self, domain: str, index: int) -> str:
        number = index * len(self._domains) + self._domains.index(domain)
        return self._address(VM_LINK_PORT_OFFSET + PORTS_PER_VM * number)

    def _address(self, port: int) -> str:
        return f"{HOST}:{self._base_port + port}"


def _next_port(address: str) -> str:
    host, port = split_address(address)
    return f"{host}:{port + 1}"


async def _open_link(*, listen: str, target: str) -> Link:
    link = Link(listen=listen, target=target)
    await link.start()
    return link
