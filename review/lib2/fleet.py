"""A small deployment on loopback: the platform's stand-ins and gateways as separate processes."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from platform_store import StoreStandin
from platform_upstream import UpstreamStandin

from baobabpulley.platform import names

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
KEY = "key-of-technicians"
LLM = "assistant"
DESK = "job-desk"
# The desk's requests wait for so long at most (route's timeout-ms on the sheet of mtc-kochi).
DESK_TIMEOUT_MS = 800
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

_numbers = itertools.count(1)


def route(prefix: str, service: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route as in the operators' configuration."""
    return {
        "name": "r" + prefix.strip("/"),
        "host": HOST,
        "path-prefix": prefix,
        "kind": kind,
        "timeout-ms": DESK_TIMEOUT_MS if service == DESK else 10_000,
        "target-latency-ms": 300,
        "priority": 1,
        "service": service,
        "max-attempts": 1 if kind == names.KIND_ONCE else 2,
        "allow-anonymous": False,
        "resumable-streams": kind == names.KIND_STREAM,
        "target-gap-ms": 250,
        **changes,
    }


def configuration(version: int = 1, **changes: Any) -> bytes:
    """Return an operators' configuration like that of mtc-kochi."""
    engine = {
        "slots": 8, "kv-cache-tokens": 232000, "stride": 43, "step_ms": 1.02,
        "per_seq_ms": 0.00226, "context_per_k": 0.00431, "read_per_s": 206000.0,
        "pairs_per_m": 0.138, "usual": {"prompt": 12328, "answer": 1303},
    }  # fmt: skip
    document = {
        "version": version,
        "routes": [
            route("/triage/", LLM, names.KIND_STREAM),
            route("/booking/", DESK, names.KIND_ONCE),
            route("/status/", DESK, names.KIND_IDEMPOTENT),
        ],
        "services": [
            {"name": LLM, "connection-limit": 274, "engine": engine},
            {"name": DESK, "connection-limit": 110},
        ],
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 4194304,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "technicians", "api-keys": [KEY], "priority": 1}],
        **changes,
    }  # fmt: skip
    return json.dumps(document).encode()


def free_ports(host: str, count: int) -> list[int]:
    """Return free TCP ports of a loopback address."""
    held = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in held]
    for each in held:
        each.close()
    return ports


class Record:
    """Lines of what was sent, answered and run, in ``record.txt`` beside the script."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._begun = time.monotonic()

    def line(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._begun:8.3f} {text}\n")
        self._file.flush()


class GatewayProcess:
    """A gateway, started by the command of the deploy file."""

    def __init__(self, folder: Path, number: int, zone: str, store: str, seeds: list[str],
                 news_port: int, **env: str) -> None:  # fmt: skip
        self.host = f"127.0.0.{10 + number}"
        callers, ready, control, metrics = free_ports(self.host, 4)
        self.address, self.ready = (self.host, callers), (self.host, ready)
        self.control = f"{self.host}:{control}"
        self.settings = folder / f"gateway-{number}.ini"
        self.settings.write_text(
            f"[node]\nid = front-{zone}-{number}\nfailure_domain = {zone}\n"
            f"callers = {self.host}:{callers}\nreadiness = {self.host}:{ready}\n"
            f"control = {self.control}\nnews_port = {news_port}\nmetrics_port = {metrics}\n\n"
            f"[store]\naddress = {store}\nin_force_within_ms = 2000\n\n"
            f"[peers]\nseeds = {','.join(seeds)}\n\n"
            "[repeats]\nratio = 0.2\nslack = 106\nwindow = 10\nlending = true\n\n"
            "[shutdown]\ngrace = 8\n"
        )
        self.log = folder / f"gateway-{number}.log"
        self._env = {
            "PATH": os.environ["PATH"],
            "HOME": str(folder),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "BAOBABPULLEY_SETTINGS": str(self.settings),
            "BAOBABPULLEY_MEMORY_MACHINE_MB": "430",
            "BAOBABPULLEY_MEMORY_DESCRIPTORS": "6150",
            "BAOBABPULLEY_ENGINES_MAX_IDLE_MS": "9000",
            **env,
        }
        self.popen: subprocess.Popen[bytes] | None = None
        self.start()

    def start(self) -> None:
        """Start the process, again if it was killed."""
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                ["python3", "deploy/launch.py", "gateway"],
                cwd=ROOT, env=self._env, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            )  # fmt: skip

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.popen is not None
        self.popen.send_signal(number)

    def end(self) -> None:
        """Kill the process, stopped or not."""
        assert self.popen is not None
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()


class Fleet:
    """Stand-ins and gateways; ends what it started."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self.store = StoreStandin()
        self.upstreams: dict[str, UpstreamStandin] = {}
        self.gateways: list[GatewayProcess] = []
        self._news_port = free_ports("127.0.0.1", 1)[0]

    async def start_store(self, config: bytes | None = None) -> None:
        """Start the store with a configuration."""
        self.store.start()
        self.store.put(names.CONFIGURATION_KEY, config or configuration())

    async def add_upstream(self, name: str, **options: Any) -> UpstreamStandin:
        """Start a server and register it."""
        upstream = UpstreamStandin(name, **options)
        await upstream.start()
        self.upstreams[name] = upstream
        self.store.put(names.UPSTREAM_PREFIX + name, upstream.entry())
        return upstream

    async def add_gateway(self, zone: str = "kochi", **env: str) -> GatewayProcess:
        """Start a gateway and wait until it says that it is ready."""
        gateway = GatewayProcess(
            self.folder, len(self.gateways) + 1, zone, self.store.address,
            [each.control for each in self.gateways][:3], self._news_port, **env,
        )  # fmt: skip
        self.gateways.append(gateway)
        await self.wait_ready(gateway)
        return gateway

    async def wait_ready(self, gateway: GatewayProcess, seconds: float = 20.0) -> None:
        """Wait until a gateway answers 200 at its ready address."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await readiness(gateway) == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("a gateway did not become ready")

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for gateway in self.gateways:
            gateway.end()
        for upstream in self.upstreams.values():
            await upstream.stop()
        await self.store.stop()
        self._temporary.cleanup()


class Answer:
    """What a client got: status 0 is no answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, whole: bool,
                 seconds: float) -> None:  # fmt: skip
        self.status, self.headers, self.body = status, headers, body
        self.whole, self.seconds = whole, seconds


def request_bytes(path: str, *, method: str = "POST", body: bytes = b"hello",
                  attempt: str | None = None, remaining_ms: int = 1500,
                  chunked: bool = False, **extra: str) -> tuple[str, bytes]:  # fmt: skip
    """Return the id of a client attempt and its encoded request."""
    attempt = attempt or f"{os.getpid():x}{next(_numbers):08x}"
    framing = ("Transfer-Encoding", "chunked") if chunked else ("Content-Length", str(len(body)))
    headers = {
        "Host": HOST,
        names.ATTEMPT: attempt,
        names.REMAINING_MS: str(remaining_ms),
        names.AUTHORIZATION: f"Bearer {KEY}",
        framing[0]: framing[1],
        **{name.replace("_", "-"): value for name, value in extra.items()},
    }
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {text}" for name, text in headers.items())]
    return attempt, ("\r\n".join(lines) + "\r\n\r\n").encode() + (b"" if chunked else body)


async def ask(address: tuple[str, int], data: bytes, *, seconds: float) -> Answer:
    """Send one request on a new connection and return its answer, or none after ``seconds``."""
    begun = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            status, headers, body, whole = await read_answer(reader)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        status, headers, body, whole = 0, {}, b"", False
    finally:
        if writer is not None:
            writer.close()
    return Answer(status, headers, body, whole, time.monotonic() - begun)


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes, bool]:
    """Read one answer."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin1").rstrip("\r\n").split("\r\n")
    headers = {name.lower(): text for name, text in (line.split(": ", 1) for line in lines)}
    body, whole = b"", True
    if headers.get("transfer-encoding") == "chunked":
        try:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        except (asyncio.IncompleteReadError, ConnectionError):
            whole = False
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(first.split(" ")[1]), headers, body, whole


async def readiness(gateway: GatewayProcess, seconds: float = 1.0) -> int:
    """Return the status of a readiness question, 0 without an answer."""
    data = f"GET {names.READINESS} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
    return (await ask(gateway.ready, data, seconds=seconds)).status


def main(run: Any, folder: str) -> None:
    """Run a case: exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    fleet = Fleet(Path(folder))

    async def whole() -> int:
        try:
            return int(await asyncio.wait_for(run(fleet), 110))
        finally:
            await fleet.stop()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = asyncio.run(whole())
    except Exception as error:
        fleet.record.line(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
