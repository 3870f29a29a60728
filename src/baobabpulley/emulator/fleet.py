"""Start and stop stand-ins, keepers and entries as separate processes on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path
from typing import Any
from typing import Final
from typing import final

import msgspec

from baobabpulley.adapters.etcd_store import EtcdStore
from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch
from baobabpulley.emulator.domain_links import DomainLinks
from baobabpulley.emulator.domain_links import Sections
from baobabpulley.emulator.fleet_plan import FleetPlan
from baobabpulley.emulator.processes import Process
from baobabpulley.errors import BaobabError
from baobabpulley.model.documents import COMMITMENTS_KEY
from baobabpulley.model.documents import AccessDocument
from baobabpulley.model.documents import CommitmentsDocument
from baobabpulley.model.documents import LimitDocument
from baobabpulley.model.documents import ModelDocument
from baobabpulley.model.documents import ServiceDocument
from baobabpulley.model.documents import ServiceRoute
from baobabpulley.model.documents import access_key
from baobabpulley.model.documents import encode_document
from baobabpulley.model.documents import limit_key
from baobabpulley.model.documents import model_key
from baobabpulley.model.documents import service_key
from baobabpulley.model.settings_state import token_digest
from baobabpulley.model.upstreams import Vm
from baobabpulley.ports.config_store import Swap
from baobabpulley.timers import TimerService

HOST: Final = "127.0.0.1"
START_TIMEOUT_SECONDS: Final = 30.0
SECRET: Final = "a-secret-for-stand-ins-only"
CREDENTIAL: Final = "a-credential-for-stand-ins-only"
MODEL: Final = "recipes"
# The default limit of etcd on the operations in a transaction.
MAX_SWAPS_PER_TRANSACTION: Final = 128
ENGINE_SERVICE: Final = "kitchen"
PLAIN_SERVICE: Final = "ledger"


@final
class Fleet:
    """A running fleet; use it as an asynchronous context manager.

    ``entries`` and ``keepers`` map process names to HTTP addresses. ``links`` are the links between
    failure domains, if the plan has them; ``vms`` are the rows of the VM list.
    """

    __slots__ = (
        "_client",
        "_directory",
        "_plan",
        "_store",
        "entries",
        "keepers",
        "links",
        "processes",
        "vms",
    )

    def __init__(self, *, plan: FleetPlan, directory: Path) -> None:
        self._plan = plan
        self._directory = directory
        self._client = HttpClient()
        timers = TimerService(speed=plan.speed)
        self._store = EtcdStore(client=self._client, address=self.store_address, timers=timers)
        self.links: DomainLinks | None = None
        if plan.links:
            self.links = DomainLinks(base_port=plan.base_port, domains=plan.domains, timers=timers)
        self.processes: dict[str, Process] = {}
        self.entries: dict[str, str] = {}
        self.keepers: dict[str, str] = {}
        self.vms: list[Vm] = []

    @property
    def plan(self) -> FleetPlan:
        """The plan that the fleet was started from."""
        return self._plan

    @property
    def store(self) -> EtcdStore:
        """A client of the configuration store."""
        return self._store

    @property
    def store_address(self) -> str:
        """Address of the configuration store."""
        return f"{HOST}:{self._plan.base_port}"

    @property
    def vm_list_address(self) -> str:
        """Address of the VM list."""
        return f"{HOST}:{self._plan.base_port + 1}"

    @property
    def client(self) -> HttpClient:
        """An HTTP client for the fleet's addresses."""
        return self._client

    async def __aenter__(self) -> Fleet:
        try:
            await self.start()
        except BaseException:
            self.kill_all()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        self.kill_all()
        if self.links is not None:
            await self.links.stop()
        self._client.close()

    async def start(self) -> None:
        """Start all processes and wait until every upstream responds and every entry is ready."""
        await self.start_platform()
        self._start_upstreams()
        await self.start_daemons(*self._plan.daemons)
        for vm in self.vms:
            if vm.role == "upstream":
                await self.wait_for(vm.address, "/journal")
        if "entry" in self._plan.daemons:
            for address in self.entries.values():
                await self.wait_for(address, "/readyz")

    async def start_platform(self) -> None:
        """Start the store and the VM list, and write the settings."""
        self._start_platform()
        await self.wait_for(self.store_address, "/counts")
        await self.wait_for(self.vm_list_address, "/vms")
        if self.links is not None:
            await self.links.start(store=self.store_address)
        await self._write_settings()

    async def start_daemons(self, *kinds: str) -> None:
        """Write all settings files, set the VM list and start the daemons of the given kinds."""
        self._write_all_daemon_settings()
        await self.put_vms(self.vms)
        for name, process in self.processes.items():
            if name.startswith(kinds):
                process.start()

    async def put_vms(self, vms: list[Vm]) -> None:
        """Set the rows of the VM list; its clients see them after the plan's ``vm_list_lag``."""
        await self.request(self.vm_list_address, "PUT", "/vms", vms)
        if self.links is not None:
            await self.links.put_vms(vms)

    async def inject_fault(self, address: str, kind: str, **options: object) -> None:
        """Switch a fault of a stand-in on, or all off with ``none``; ignore a missing response."""
        with contextlib.suppress(BaobabError):
            await self.request(address, "POST", "/faults", {"kind": kind, **options})

    async def request(self, address: str, method: str, path: str, body: object = None) -> Any:
        """Make a JSON call and return the decoded response; raise `BaobabError` if it failed."""
        status, data = await fetch(
            self._client,
            address=address,
            method=method,
            path=path,
            body=b"" if body is None else msgspec.json.encode(body),
            timeout=5.0,
        )
        if status >= 400:
            raise BaobabError(f"{address}{path} responded with status {status}: {data[:200]!r}")
        return msgspec.json.decode(data)

    async def wait_for(
        self, address: str, path: str, *, timeout: float = START_TIMEOUT_SECONDS
    ) -> None:
        """Wait until a process responds with success; raise `BaobabError` after ``timeout``."""
        end = time.monotonic() + timeout
        while True:
            try:
                await self.request(address, "GET", path)
                return
            except BaobabError as error:
                self._check_running()
                if time.monotonic() > end:
                    raise BaobabError(
                        f"{address}{path} is not up after {timeout:g} s: {error.message}"
                    ) from error
                await asyncio.sleep(0.05)

    def _check_running(self) -> None:
        for process in self.processes.values():
            if process.returncode is not None:
                raise BaobabError(
                    f"{process.name} exited with {process.returncode}; its log:\n{process.log}"
                )

    def address_of(self, id: str) -> str:
        """Return the address of a VM in the VM list."""
        return next(vm.address for vm in self.vms if vm.id == id)

    def kill_all(self) -> None:
        """Kill every process of this fleet, also suspended ones."""
        for process in self.processes.values():
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
        for process in self.processes.values():
            process.kill()

    def add(self, name: str, *arguments: str) -> Process:
        """Add a process without starting it."""
        command = [sys.executable, "-m", "baobabpulley", *arguments]
        process = Process(name=name, command=command, log=self._directory / f"{name}.log")
        self.processes[name] = process
        return process

    def _start_platform(self) -> None:
        plan = self._plan
        speed = ("--speed", str(plan.speed))
        self.add("store", "standin", "store", "--address", self.store_address, *speed).start()
        lag = ("--lag", str(plan.vm_list_lag))
        self.add("vms", "standin", "vms", "--address", self.vm_list_address, *speed, *lag).start()

    def _start_upstreams(self) -> None:
        plan = self._plan
        speed = ("--speed", str(plan.speed))
        for index in range(plan.engines):
            domain = plan.domain_of_engine(index)
            vm = self._add_upstream(
                "engine", index, ENGINE_SERVICE, domain, plan.base_port + 100 + index
            )
            common = ("--id", vm.id, "--address", vm.address, *speed)
            options = ("--models", MODEL, "--seed", str(index), "--credential", CREDENTIAL)
            options += plan.engine_options
            self.add(vm.id, "standin", "engine", *common, *options).start()
        for index in range(plan.plain_services):
            domain = plan.domain_of(index)
            vm = self._add_upstream(
                "service", index, PLAIN_SERVICE, domain, plan.base_port + 300 + index
            )
            common = ("--id", vm.id, "--address", vm.address, *speed)
            self.add(vm.id, "standin", "service", *common).start()

    def _add_upstream(self, kind: str, index: int, service: str, domain: str, port: int) -> Vm:
        vm = Vm(
            id=f"{kind}-{index}",
            role="upstream",
            failure_domain=domain,
            address=f"{HOST}:{port}",
            service=service,
        )
        self.vms.append(vm)
        return vm

    def _write_all_daemon_settings(self) -> None:
        for index in range(self._plan.entries):
            self._write_vm_settings(index)

    def _write_vm_settings(self, index: int) -> None:
        plan = self._plan
        http = f"{HOST}:{plan.base_port + 600 + index}"
        vm = Vm(
            id=f"vm-{index}",
            role="entry",
            failure_domain=plan.domain_of(index),
            address=self._keeper_address(index),
            http=http,
        )
        self.vms.append(vm)
        self.entries[f"entry-{index}"] = http
        entry_sections = {
            "node": self._node_section(f"entry-{index}", vm, http),
            "keeper": {"address": vm.address},
            "peers": {"secret": SECRET},
            "claims": {"store": self.store_address},
        }
        keeper_http = f"{HOST}:{plan.base_port + 800 + index}"
        self.keepers[f"keeper-{index}"] = keeper_http
        keeper_sections = {
            "node": self._node_section(f"keeper-{index}", vm, keeper_http),
            "keeper": {
                "address": vm.address,
                "store": self.store_address,
                "vm_list": self.vm_list_address,
            },
            "peers": {"secret": SECRET},
            "tender": {"credential": CREDENTIAL},
        }
        if self.links is not None:
            keepers = [self._keeper_address(number) for number in range(plan.entries)]
            self.links.add_link_addresses(
                index, keepers=keepers, entry=entry_sections, keeper=keeper_sections
            )
        self._write_settings_file("entry", index, entry_sections, plan.entry_sections)
        self._write_settings_file("keeper", index, keeper_sections, plan.keeper_sections)

    def _keeper_address(self, index: int) -> str:
        return f"{HOST}:{self._plan.base_port + 400 + 4 * index}"

    def _node_section(self, id: str, vm: Vm, http: str) -> dict[str, str]:
        return {
            "id": id,
            "vm": vm.id,
            "failure_domain": vm.failure_domain,
            "http": http,
            "speed": str(self._plan.speed),
        }

    def _write_settings_file(
        self, daemon: str, index: int, sections: Sections, extra: Sections
    ) -> None:
        for name, options in extra.items():
            sections.setdefault(name, {}).update(options)
        lines = []
        for name, options in sections.items():
            lines.append(f"[{name}]")
            lines += [f"{option} = {value}" for option, value in options.items()]
        path = self._directory / f"{daemon}-{index}.ini"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        self.add(f"{daemon}-{index}", daemon, "--settings", str(path))

    async def _write_settings(self) -> None:
        documents: dict[str, msgspec.Struct] = {
            service_key(ENGINE_SERVICE): ServiceDocument(kind="engine", dialect=self._plan.dialect),
            service_key(PLAIN_SERVICE): ServiceDocument(
                kind="plain",
                routes=(
                    ServiceRoute(method="POST", path="/orders", idempotent=False),
                    ServiceRoute(method="GET", path="/catalogue/", idempotent=True),
                ),
            ),
            model_key(MODEL): ModelDocument(service=ENGINE_SERVICE),
            COMMITMENTS_KEY: CommitmentsDocument(teams=self._plan.limits),
        }
        for team, limit in self._plan.limits.items():
            documents[limit_key(team)] = LimitDocument(limit=limit)
            documents[access_key(team)] = AccessDocument(
                caller_tokens=(token_digest(caller_token(team)),),
                operator_tokens=(token_digest(operator_token(team)),),
            )
        swaps = [
            Swap(key=key, value=encode_document(document), expected_revision=0)
            for key, document in documents.items()
        ]
        for start in range(0, len(swaps), MAX_SWAPS_PER_TRANSACTION):
            await self._store.swap(*swaps[start : start + MAX_SWAPS_PER_TRANSACTION])


def caller_token(team: str) -> str:
    """Return the bearer token of a team's callers in a local fleet."""
    return f"caller-{team}"


def operator_token(team: str) -> str:
    """Return the bearer token of a team's operators in a local fleet."""
    return f"operator-{team}"
