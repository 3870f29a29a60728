"""The links between the failure domains of a local fleet, and from each to the platform.

Each failure domain reaches the store and the others' entry VMs at link addresses of its own, and
its VM list names these. So it can be cut off from all others and from the platform.
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
STORE_PORT: Final = 10
LIST_PORT: Final = 30
LIST_LINK_PORT: Final = 50
VM_PORT: Final = 700
# A keeper's two sockets and its entry's listener.
PORTS_OF_A_VM: Final = 3

Sections = dict[str, dict[str, str]]


@final
class DomainLinks:
    """All links of one fleet; at most 20 failure domains and 100 ports for their VMs."""

    __slots__ = ("_base_port", "_domains", "_links", "_lists", "_platform", "_timers", "_vms")

    def __init__(self, *, base_port: int, domains: tuple[str, ...], timers: TimerService) -> None:
        self._base_port = base_port
        self._domains = domains
        self._timers = timers
        self._links: dict[str, list[Link]] = {domain: [] for domain in domains}
        self._platform: dict[str, list[Link]] = {domain: [] for domain in domains}
        self._lists: dict[str, VmListStandin] = {}
        self._vms: list[Vm] = []

    def store(self, domain: str) -> str:
        """Return the address at which a failure domain reaches the store."""
        return self._address(STORE_PORT + self._domains.index(domain))

    def vm_list(self, domain: str) -> str:
        """Return the address at which a failure domain reaches its VM list."""
        return self._address(LIST_LINK_PORT + self._domains.index(domain))

    def lead(self, index: int, *, keepers: list[str], entry: Sections, keeper: Sections) -> None:
        """Let the settings of a VM's daemons name the links, and the keepers beside the VM's own.

        ``keepers`` are the addresses of all, over whose VMs the failure domains take turns.
        """
        domain = self._domains[index % len(self._domains)]
        own_domain = keepers[index % len(self._domains) :: len(self._domains)]
        peers = [address for address in own_domain if address != keepers[index]]
        entry["claims"]["store"] = self.store(domain)
        entry["keeper"]["others"] = ", ".join(peers)
        keeper["settings_relay"] = {"others": ", ".join(peers)}
        far = [self._vm_address(other, index) for other in self._domains if other != domain]
        keeper["keeper"] |= {
            "store": self.store(domain),
            "vm_list": self.vm_list(domain),
            "also_reached_at": ", ".join(far),
        }

    def cut(self, domain: str) -> None:
        """Part a failure domain from all others, the store and the VM list."""
        for link in (*self._links[domain], *self._platform[domain]):
            link.cut()

    def mend_peers(self, domain: str) -> None:
        """Join a failure domain to all others again, over new connections only."""
        for link in self._links[domain]:
            link.mend()

    def mend_platform(self, domain: str) -> None:
        """Join a failure domain to the store and the VM list again."""
        for link in self._platform[domain]:
            link.mend()

    async def start(self, *, store: str) -> None:
        """Open the links to the platform."""
        for number, domain in enumerate(self._domains):
            own = self._address(LIST_PORT + number)
            self._lists[domain] = VmListStandin(address=own, lag=0.0, timers=self._timers)
            self._lists[domain].start()
            for listen, target in ((self.store(domain), store), (self.vm_list(domain), own)):
                self._platform[domain].append(await _open(listen=listen, target=target))

    async def put_vms(self, vms: list[Vm]) -> None:
        """Set each failure domain's VM list, and open the links to VMs that are new."""
        new = [vm for vm in vms if vm.role == "entry" and vm not in self._vms]
        for vm in new:
            self._vms.append(vm)
            await self._open_to(vm)
        for domain, shown in self._lists.items():
            rows = [self._seen_from(domain, vm) for vm in vms]
            shown.get_or_set(msgspec.to_builtins(rows))

    async def stop(self) -> None:
        """Close all."""
        for domain in self._domains:
            for link in (*self._links[domain], *self._platform[domain]):
                await link.stop()
        for shown in self._lists.values():
            await shown.stop()

    async def _open_to(self, vm: Vm) -> None:
        for domain in self._domains:
            if domain == vm.failure_domain:
                continue
            seen = self._seen_from(domain, vm)
            pairs = {
                seen.address: vm.address,
                _next_port(seen.address): _next_port(vm.address),
                seen.http: vm.http,
            }
            for listen, target in pairs.items():
                link = await _open(listen=listen, target=target)
                self._links[domain].append(link)
                self._links[vm.failure_domain].append(link)

    def _seen_from(self, domain: str, vm: Vm) -> Vm:
        if vm.role != "entry" or vm.failure_domain == domain:
            return vm
        address = self._vm_address(domain, int(vm.id.removeprefix("vm-")))
        http = _next_port(_next_port(address))
        return msgspec.structs.replace(vm, address=address, http=http)

    def _vm_address(self, domain: str, index: int) -> str:
        number = index * len(self._domains) + self._domains.index(domain)
        return self._address(VM_PORT + PORTS_OF_A_VM * number)

    def _address(self, port: int) -> str:
        return f"{HOST}:{self._base_port + port}"


def _next_port(address: str) -> str:
    host, port = split_address(address)
    return f"{host}:{port + 1}"


async def _open(*, listen: str, target: str) -> Link:
    link = Link(listen=listen, target=target)
    await link.start()
    return link
