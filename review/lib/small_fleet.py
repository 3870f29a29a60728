"""A small deployment for review scripts: gateways as processes, everything else as stand-ins.

Gateways are started with the command of deploy/system.toml, on loopback addresses and the real
clock, with settings that are rendered from deploy/gateway.ini. The store and the servers are the
stand-ins of testing/, which run in the process of the script.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path
from typing import Any

from platform_store import StoreStandin
from platform_upstream import Call
from platform_upstream import UpstreamStandin

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
ZONES = ("kochi", "kochi", "thrissur", "kozhikode")
START_SECONDS = 20.0
CASE_SECONDS = 112.0
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2

# Bounds of the small deployment mtc-kochi that the gateway's settings and the checks use.
CONFIGURATION_MS = 2000
GRACE_SECONDS = 8
RETRY_RATIO, RETRY_SLACK, BUDGET_WINDOW_SECONDS = 0.2, 106, 10


class CannotRun(Exception):
    """The case could not be run; nothing is said about the rule."""


class Record:
    """What was sent, answered and run, in record.txt of the case's folder."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._begun = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._begun:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write one line and print it."""
        self.write(text)
        print(text, flush=True)


class Answer:
    """A response as a client received it; status 0 if the connection ended without one."""

    def __init__(self, attempt: str, status: int, headers: dict[str, str], body: bytes) -> None:
        self.attempt = attempt
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def is_own(self) -> bool:
        """Whether the gateway itself made this answer: no server sealed it."""
        return "x-response-seal" not in self.headers


class RunRecord:
    """Behaviour of servers that run each request at once, and the attempts that they ran."""

    def __init__(self, record: Record) -> None:
        self.ran: set[str] = set()
        self._record = record

    async def serve(self, server: UpstreamStandin, call: Call) -> None:
        """Run a request and answer it."""
        self.ran.add(call.attempt)
        tenant = call.headers.get("x-tenant")
        self._record.write(f"server {server.name} runs {call.attempt} X-Tenant={tenant}")
        await call.write(call.sealed(f"{server.name} ran {call.attempt}".encode()))


class GatewayProcess:
    """One gateway, started as deploy/system.toml says."""

    def __init__(self, *, folder: Path, index: int, ip: str, ports: list[int], store: str) -> None:
        self.name = f"front-{ZONES[index]}-{index + 1}"
        self.zone = ZONES[index]
        self.ip = ip
        self.front, self.ready, self.control, self.news = ports
        self._settings = folder / f"{self.name}.ini"
        self._log = folder / f"{self.name}.log"
        self._store = store
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, seeds: list[str]) -> None:
        """Write the settings and start the process."""
        template = (ROOT / "deploy/gateway.ini").read_text()
        values = {
            "node": self.name,
            "zone": self.zone,
            "listen-addresses.front": f"{self.ip}:{self.front}",
            "listen-addresses.ready": f"{self.ip}:{self.ready}",
            "listen-addresses.control": f"{self.ip}:{self.control}",
            "internal-port-range.0": str(self.news),
            "platform.address": self._store,
            "bounds.configuration-ms": str(CONFIGURATION_MS),
            "seeds": ",".join(seeds),
            "bounds.retry-budget-ratio": str(RETRY_RATIO),
            "bounds.retry-budget-slack": str(RETRY_SLACK),
            "bounds.budget-window-s": str(BUDGET_WINDOW_SECONDS),
            "bounds.grace-s": str(GRACE_SECONDS),
        }
        rendered = re.sub(r"\{\{([^}]+)\}\}", lambda found: values[found.group(1)], template)
        self._settings.write_text(rendered)
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"][
            "run"
        ]
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                shlex.split(command),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/tmp"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "BAOBABPULLEY_SETTINGS": str(self._settings),
                },
            )

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def anonymous_megabytes(self) -> float:
        """Return the memory that the process itself has allocated, without mapped files."""
        assert self._process is not None
        lines = Path(f"/proc/{self._process.pid}/status").read_text().splitlines()
        kilobytes = next((line.split()[1] for line in lines if line.startswith("RssAnon")), "0")
        return int(kilobytes) / 1024

    def log(self) -> str:
        """Return what the process has logged."""
        return self._log.read_text(errors="replace")

    async def is_ready(self) -> bool:
        """Whether the readiness probe gets 200."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            try:
                writer.write(b"GET /baobabpulley/readiness HTTP/1.1\r\nHost: probe\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1.0)
                return b" 200 " in line
            finally:
                writer.close()
        return False


class Fleet:
    """Store, servers and gateways of one small deployment."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = StoreStandin()
        self.servers: list[UpstreamStandin] = []
        self.gateways: list[GatewayProcess] = []

    async def add_server(
        self, name: str, *, service: str, zone: str, slots: int
    ) -> UpstreamStandin:
        """Start a server and register it in the store."""
        server = UpstreamStandin(name, service=service, zone=zone, slots=slots)
        await server.start()
        self.servers.append(server)
        self.store.put(f"servers/{name}", server.entry())
        return server

    async def start_gateways(self, count: int = len(ZONES)) -> None:
        """Start gateways and wait until all are ready."""
        base = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        ports = free_ports(4)
        self.gateways = [
            GatewayProcess(
                folder=self.folder,
                index=index,
                ip=f"{base}.{index + 1}",
                ports=ports,
                store=self.store.address,
            )
            for index in range(count)
        ]
        seeds = [f"{gateway.ip}:{gateway.control}" for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.start(seeds)
        end = time.monotonic() + START_SECONDS
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > end or not gateway.running:
                    raise CannotRun(f"{gateway.name} is not ready: {gateway.log()[-400:]}")
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for gateway in self.gateways:
            gateway.end()
        for server in self.servers:
            await server.stop()
        await self.store.stop()


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on now."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def route(prefix: str, service: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "path-prefix": prefix,
        "kind": kind,
        "timeout-ms": 3000,
        "target-latency-ms": 300,
        "priority": 2,
        "service": service,
        "max-attempts": 1,
        "allow-anonymous": False,
        **changes,
    }


def configuration(
    version: int, *, routes: list[dict[str, Any]], tenants: list[dict[str, Any]]
) -> bytes:
    """Return a configuration document as the operator writes it."""
    services = sorted({each["service"] for each in routes})
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "health-check-path": "/health",
                    "connection-limit": 110,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in services
            ],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 4194304,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            "tenants": tenants,
        }
    ).encode()


class Client:
    """One client connection to a gateway; it sends one request at a time."""

    def __init__(self, gateway: GatewayProcess, record: Record) -> None:
        self.gateway = gateway
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self, method: str, path: str, *, key: str | None, attempt: str, body: bytes = b""
    ) -> Answer:
        """Send a request, on the open connection if there is one, and return its answer."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self.gateway.ip, self.gateway.front
            )
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Identifier: {attempt}",
            "X-Remaining-Milliseconds: 3000",
        ]
        if key is not None:
            lines.append(f"Authorization: Bearer {key}")
        lines.append(f"Content-Length: {len(body)}")
        self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        answer = await self._read(attempt, has_body=method != "HEAD")
        self._record.write(
            f"client {self.gateway.name} {attempt} {method} {path} key={key} -> {answer.status}"
            f"{' own' if answer.is_own else ''} {answer.body[:200]!r}"
        )
        return answer

    async def _read(self, attempt: str, *, has_body: bool) -> Answer:
        assert self._reader is not None
        try:
            head = await asyncio.wait_for(self._reader.readuntil(b"\r\n\r\n"), 10.0)
            first, *rest = head.decode("latin1").rstrip("\r\n").split("\r\n")
            headers = {n.lower(): v for n, v in (line.split(": ", 1) for line in rest)}
            body = await self._read_body(headers) if has_body else b""
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            self.close()
            return Answer(attempt, 0, {}, b"")
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(attempt, int(first.split(" ")[1]), headers, body)

    async def _read_body(self, headers: dict[str, str]) -> bytes:
        assert self._reader is not None
        if "transfer-encoding" not in headers:
            return await self._reader.readexactly(int(headers.get("content-length", "0")))
        body = b""
        while size := int(await self._reader.readuntil(b"\r\n"), 16):
            body += (await self._reader.readexactly(size + 2))[:-2]
        await self._reader.readexactly(2)
        return body

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


@contextlib.asynccontextmanager
async def small_fleet() -> AsyncIterator[Fleet]:
    """Yield a deployment with a running store, and end all of it afterwards."""
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        fleet = Fleet(Path(folder))
        fleet.store.start()
        try:
            yield fleet
        finally:
            await fleet.stop()


def run_case(case: Callable[[Record, bool], Awaitable[bool]], folder: Path) -> None:
    """Run a case and exit: 1 if it returns that the rule was broken, 0 if it held, 2 otherwise."""
    record = Record(folder)
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(_run(case, record, with_trouble), CASE_SECONDS))
    except (Exception, asyncio.CancelledError) as error:
        # A failure of the case itself says nothing about the rule.
        record.say(f"the case could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    record.say("the rule was BROKEN" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)


async def _run(
    case: Callable[[Record, bool], Awaitable[bool]], record: Record, with_trouble: bool
) -> bool:
    task = asyncio.current_task()
    assert task is not None
    # A script that is ended early still ends its processes.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await case(record, with_trouble)
