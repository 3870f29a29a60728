"""Builders of complete entries in the test process, and of requests to them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any
from typing import Final

import msgspec
from tornado.httpserver import HTTPServer

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch
from baobabpulley.entry.context import EntryContext
from baobabpulley.entry.daemon import build_entry
from baobabpulley.entry.daemon import start_server
from baobabpulley.model.documents import AccessDocument
from baobabpulley.model.documents import ServiceDocument
from baobabpulley.model.documents import ServiceRoute
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.documents import access_key
from baobabpulley.model.documents import encode_document
from baobabpulley.model.documents import service_key
from baobabpulley.model.settings_state import token_digest
from baobabpulley.model.upstreams import Vm
from baobabpulley.settings import load_settings
from baobabpulley.standins.service import ServiceStandin
from baobabpulley.standins.store import StoreStandin
from baobabpulley.timers import TimerService

TEAMS: Final = ("souk", "stall")
SHORT_TIMEOUTS: Final = {
    "services": {"once_timeout": 0.5},
    "tickets": {"wait": 1.0},
    "shutdown": {"balancer_lag": 0.05, "linger": 0.05},
}
SECRET: Final = "a-secret-for-tests-only"
LEDGER: Final = ServiceDocument(
    kind="plain",
    routes=(
        ServiceRoute(method="POST", path="/orders", idempotent=False),
        ServiceRoute(method="GET", path="/catalogue/", idempotent=True),
    ),
)


class LocalEntry:
    """An entry in this process; ``kill`` closes it without draining, as a crash would."""

    def __init__(self, *, directory: Path, name: str, port: int, **sections: dict[str, Any]):
        self.address = f"127.0.0.1:{port}"
        self._path = directory / f"{name}-{port}.ini"
        self._sections = {
            "node": {
                "id": name,
                "vm": name,
                "failure_domain": "fes",
                "http": self.address,
                "speed": 1.0,
            },
            "keeper": {"address": "127.0.0.1:9"},
            "peers": {"secret": SECRET},
        }
        for section, options in sections.items():
            self._sections.setdefault(section, {}).update(options)
        self.context: EntryContext | None = None
        self._server: HTTPServer | None = None

    @property
    def running(self) -> EntryContext:
        """The context of the running entry."""
        assert self.context is not None
        return self.context

    def start(self, *, vms: tuple[Vm, ...]) -> None:
        """Start a new incarnation with settings for the teams, the ledger service and the VMs."""
        lines = [
            line
            for section, options in self._sections.items()
            for line in (f"[{section}]", *(f"{key} = {value}" for key, value in options.items()))
        ]
        self._path.write_text("\n".join(lines), encoding="utf-8")
        self.context = build_entry(load_settings(self._path, daemon="entry"))
        entries = settings_entries()
        self.context.view.settings_state.install_snapshot(entries, revision=len(entries))
        self.context.view.set_vms(vms)
        self._server = start_server(self.context)

    async def shut_down(self) -> None:
        """Drain and stop as on SIGTERM."""
        context = self.running
        context.lifecycle.add_background_work(lambda: context.tickets.running)
        context.lifecycle.add_background_work(lambda: context.claims.running)
        await context.lifecycle.drain()
        await context.tickets.hand_over()
        await self.kill()

    async def kill(self) -> None:
        """Close the listener and all connections, and cancel the tasks that serve them."""
        assert self._server is not None
        self._server.stop()
        context = self.running
        context.timers.cancel_all()
        for task in asyncio.all_tasks():
            if task.get_name().startswith(f"{self.address} "):
                task.cancel()
        await self._server.close_all_connections()
        context.peers.close()


class LedgerFleet:
    """Two entries, two ledger upstreams and a store in this process."""

    def __init__(self, *, port: int, directory: Path) -> None:
        self.timers = TimerService()
        ledgers = tuple(ledger_vm(port + index, name=f"ledger-{index}") for index in range(2))
        self.vms = (*ledgers, *(entry_vm(port + 10 + index, index) for index in range(2)))
        self.services = [
            ServiceStandin(
                id=f"ledger-{index}", address=f"127.0.0.1:{port + index}", timers=self.timers
            )
            for index in range(2)
        ]
        self.store = StoreStandin(address=f"127.0.0.1:{port + 2}", timers=self.timers)
        sections = {
            **SHORT_TIMEOUTS,
            "claims": {"store": self.store.address, "wait": 1.0, "poll": 0.05},
        }
        self.entries = [
            LocalEntry(
                directory=directory,
                name=f"entry-{index}",
                port=port + 10 + index,
                **sections,
            )
            for index in range(2)
        ]

    @property
    def executed_orders(self) -> list[dict]:
        """Every order that any upstream executed."""
        return [line["order"] for service in self.services for line in service.journal]

    def list_unreachable_upstream(self) -> None:
        """List the first upstream at an address where nothing listens."""
        unreachable = msgspec.structs.replace(self.vms[0], address="127.0.0.1:9")
        for entry in self.entries:
            entry.running.view.set_vms((unreachable, *self.vms[1:]))

    def start(self) -> None:
        for service in self.services:
            service.start()
        self.store.start()
        for entry in self.entries:
            entry.start(vms=self.vms)

    async def stop(self) -> None:
        for entry in self.entries:
            await entry.kill()
        for standin in (*self.services, self.store):
            await standin.stop()
        self.timers.cancel_all()


def settings_entries() -> tuple[StoredEntry, ...]:
    """Return stored settings for the teams and the ledger service."""
    documents: dict[str, msgspec.Struct] = {service_key("ledger"): LEDGER}
    for team in TEAMS:
        tokens = (token_digest(f"caller-{team}"),)
        documents[access_key(team)] = AccessDocument(
            caller_tokens=tokens, operator_tokens=(token_digest(f"operator-{team}"),)
        )
    return tuple(
        StoredEntry(key=key, value=encode_document(document), mod_revision=number)
        for number, (key, document) in enumerate(documents.items(), start=1)
    )


def ledger_vm(port: int, *, name: str = "ledger-0") -> Vm:
    """Return the VM list entry of a ledger upstream."""
    return Vm(
        id=name,
        role="upstream",
        failure_domain="fes",
        address=f"127.0.0.1:{port}",
        service="ledger",
    )


def entry_vm(port: int, index: int) -> Vm:
    """Return the VM list entry of an entry VM whose keeper does not respond."""
    return Vm(
        id=f"entry-{index}",
        role="entry",
        failure_domain="fes",
        address="127.0.0.1:9",
        http=f"127.0.0.1:{port}",
    )


async def send_request(
    client: HttpClient,
    address: str,
    method: str,
    path: str,
    body: object = None,
    *,
    team: str = "souk",
    timeout: float = 30.0,
    **headers: str,
) -> tuple[int, Any]:
    """Send a JSON request as a caller of ``team``.

    ``headers`` are header names with underscores for dashes, and ``timeout`` is in seconds.

    Returns:
        The status and the decoded body of the response.
    """
    status, data = await fetch(
        client,
        address=address,
        method=method,
        path=path,
        body=b"" if body is None else msgspec.json.encode(body),
        headers={
            "Authorization": f"Bearer caller-{team}",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        },
        timeout=timeout,
    )
    return status, msgspec.json.decode(data)


async def send_order(
    client: HttpClient, address: str, id: int | str, *, team: str = "souk", **headers: str
) -> tuple[int, Any]:
    """Send a non-idempotent order to the ledger service through an entry."""
    body = {"id": id}
    return await send_request(
        client, address, "POST", "/services/ledger/orders", body, team=team, **headers
    )


@contextlib.asynccontextmanager
async def open_client() -> AsyncIterator[HttpClient]:
    """Yield an HTTP client and close it afterwards."""
    opened = HttpClient()
    try:
        yield opened
    finally:
        opened.close()
