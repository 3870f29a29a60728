"""A soak of planned stops: callers that keep their connections, over gateways in processes.

Gateways are stopped, reloaded and started again in series while callers send streams, orders and
look-ups on connections that they keep until the gateway closes them. On request, a failure domain
is evacuated in each round. Times are those of the small deployments, times `Soak.scale`.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import signal
import time
from typing import Final
from typing import final

from gateway_builders import API_KEY
from gateway_builders import HOST
from gateway_builders import KITCHEN
from gateway_builders import LEDGER
from gateway_builders import GatewayProcess
from gateway_builders import World
from gateway_builders import configuration
from gateway_builders import route
from gateway_builders import wait_until
from platform_upstream import Call
from platform_upstream import UpstreamStandin

from baobabpulley.platform import names

GRACE_SECONDS: Final = 8.0
BALANCER_LAG_SECONDS: Final = 3.2
LENIENT_SECONDS: Final = 2.5
# The operators' rules excuse a cut only for requests that were sent no later after the SIGTERM.
EXCUSED_SECONDS: Final = 3.0
# The server has to be at work still in the last part of the grace period.
EXCUSED_FROM_RATIO: Final = 5 / 6
STREAM_TIMEOUT_SECONDS: Final = 10.0
CALL_TIMEOUT_SECONDS: Final = 3.0
# A caller that is sent to another gateway doesn't take those that the load balancer has taken out.
PROBE_SECONDS: Final = 2.0
EVENT_GAP_SECONDS: Final = 0.1
MAX_PAUSE_SECONDS: Final = 1.2
# How long an answer may take to be read after a process has written it.
SLACK_SECONDS: Final = 0.5
ZONES: Final = ("fes", "rabat", "safi")
# From then on after a request to evacuate a domain, nothing may arrive there; not scaled, as the
# gateways follow the store in real time.
EVACUATED_SECONDS: Final = 2.0
# With a domain evacuated, two thirds of these are left. With 8 as otherwise, streams waited for 1.3
# of their 4 s, and were cut by their deadlines.
EVACUATING_SLOTS: Final = 14
KINDS: Final = ("draft", "draft", "order", "lookup")


@final
class Sent:
    """One request; times are monotonic. ``outcome`` is ``complete``, ``refused`` or ``cut``."""

    __slots__ = (
        "attempt",
        "ended",
        "gateway",
        "kept",
        "kind",
        "outcome",
        "seconds",
        "sent",
        "status",
    )

    def __init__(
        self, *, attempt: str, gateway: str, kind: str, seconds: float, kept: bool
    ) -> None:
        self.attempt = attempt
        self.gateway = gateway
        self.kind = kind
        self.seconds = seconds
        self.kept = kept
        self.sent = time.monotonic()
        self.ended = 0.0
        self.status = 0
        self.outcome = "cut"


@final
class Stop:
    """A SIGTERM to a gateway, and when its process was gone or killed."""

    __slots__ = ("at", "gateway", "gone")

    def __init__(self, gateway: str, at: float) -> None:
        self.gateway = gateway
        self.at = at
        self.gone = 0.0


@final
class Soak:
    """Callers, servers and planned stops; all that happened is recorded.

    ``runs`` is how often servers ran an attempt. With ``evacuates``, each round evacuates a domain,
    and ``strays`` lists the attempts that arrived at it nevertheless.
    """

    def __init__(
        self,
        world: World,
        *,
        seed: int,
        gateways: int,
        callers: int,
        scale: float,
        evacuates: bool = False,
    ) -> None:
        self.world = world
        self.scale = scale
        self.random = random.Random(seed)
        self.sent: list[Sent] = []
        self.stops: list[Stop] = []
        self.runs: dict[str, int] = {}
        self.strays: list[str] = []
        self._evacuates = evacuates
        # The evacuated domain, and the monotonic time from which nothing may arrive there.
        self._evacuated: tuple[str, float] | None = None
        self._count = gateways
        self._callers = callers
        self._gateways: dict[str, GatewayProcess] = {}
        self._avoided: dict[str, float] = {}
        self._numbers = itertools.count(1)
        self._version = 1
        self._over = False

    async def run(self, *, rounds: int) -> None:
        """Start the deployment, stop one gateway in each round, and end the callers."""
        self._put_configuration()
        for number, zone in enumerate(ZONES):
            for service in (KITCHEN, LEDGER):
                name = f"i-{service}-{number}"
                server = await self.world.add_upstream(
                    name,
                    service=service,
                    zone=zone if self._evacuates else ZONES[0],
                    slots=EVACUATING_SLOTS if self._evacuates else 8,
                )
                server.behaviour = self._serve
        for number in range(self._count):
            await self._start_gateway(f"front-{number + 1}")
        callers = [
            asyncio.create_task(self._call_forever(name))
            for name in self._gateways
            for _ in range(self._callers)
        ]
        await asyncio.sleep(1.5 * self.scale)
        for number in range(rounds):
            if self._evacuates:
                await asyncio.gather(self._stop_one(), self._evacuate(ZONES[number % len(ZONES)]))
            else:
                await self._stop_one()
        self._over = True
        await asyncio.gather(*callers)

    def breaches(self) -> list[str]:
        """Return the requests that broke a rule, one line each."""
        lost = [line for each in self.sent if (line := self._breach(each)) is not None]
        return lost + [f"STRAY {attempt}" for attempt in self.strays]

    def counts(self) -> dict[str, int]:
        """Return the number of requests by outcome."""
        outcomes = [each.outcome for each in self.sent]
        return {outcome: outcomes.count(outcome) for outcome in sorted(set(outcomes))}

    def _breach(self, each: Sent) -> str | None:
        runs = self.runs.get(each.attempt, 0)
        if each.kind == "order" and runs > 1:
            return self._describe("TWICE", each)
        if each.kind == "order" and each.outcome == "refused" and runs:
            return self._describe("REFUSED", each)
        if each.outcome == "cut" and not self._is_excused(each, runs):
            return self._describe("LOST", each)
        return None

    def _is_excused(self, each: Sent, runs: int) -> bool:
        if not runs and each.ended - each.sent < SLACK_SECONDS:
            # The request crossed the close.
            return True
        stop = self._stop_of(each)
        if stop is None:
            return False
        in_time = each.sent <= stop.at + EXCUSED_SECONDS * self.scale
        was_running = each.sent + each.seconds > stop.at + (
            EXCUSED_FROM_RATIO * GRACE_SECONDS * self.scale
        )
        return in_time and was_running

    def _stop_of(self, each: Sent) -> Stop | None:
        """Return the stop during which a request ended, if any."""
        return next(
            (
                stop
                for stop in self.stops
                if stop.gateway == each.gateway and stop.at <= each.ended <= stop.gone + 1.0
            ),
            None,
        )

    def _describe(self, rule: str, each: Sent) -> str:
        stop = self._stop_of(each)
        base = each.sent if stop is None else stop.at
        return (
            f"{rule} {each.attempt} at {each.gateway}, {each.kind} of {each.seconds:.2f} s, sent"
            f" {(each.sent - base) / self.scale:+.3f} end {(each.ended - base) / self.scale:+.3f},"
            f" status {each.status}, {'kept' if each.kept else 'new'} connection,"
            f" ran {self.runs.get(each.attempt, 0)}"
        )

    async def _stop_one(self) -> None:
        """Stop one gateway, with signals and changes around it, and start it again."""
        name = self.random.choice(sorted(self._gateways))
        process = self._gateways[name]
        extras = self.random.sample(("hup", "second term", "configuration", "leaving"), k=2)
        if "hup" in extras:
            process.signal(signal.SIGHUP)
            await asyncio.sleep(self.random.uniform(0, 1.0) * self.scale)
        stop = Stop(name, time.monotonic())
        self.stops.append(stop)
        process.signal(signal.SIGTERM)
        self._avoided[name] = stop.at + PROBE_SECONDS * self.scale
        end = stop.at + GRACE_SECONDS * self.scale
        late = asyncio.create_task(self._disturb(process, extras))
        with contextlib.suppress(AssertionError):
            await wait_until(lambda: not process.running, seconds=end - time.monotonic())
        process.kill()
        stop.gone = time.monotonic()
        await late
        await self._start_gateway(name)
        self._avoided.pop(name)

    async def _evacuate(self, zone: str) -> None:
        """Evacuate a domain for as long as it takes to see whether requests arrive there."""
        key = names.EVACUATION_PREFIX + zone
        self.world.store.put(key, b"{}")
        self._evacuated = (zone, time.monotonic() + EVACUATED_SECONDS)
        await asyncio.sleep(2 * EVACUATED_SECONDS)
        self._evacuated = None
        self.world.store.delete(key)

    async def _disturb(self, process: GatewayProcess, extras: list[str]) -> None:
        await asyncio.sleep(self.random.uniform(0.2, 5.0) * self.scale)
        if "second term" in extras and process.running:
            process.signal(signal.SIGTERM)
        if "configuration" in extras:
            self._put_configuration()
        if "leaving" in extras:
            name = self.random.choice(sorted(self.world.upstreams))
            entry = self.world.upstreams[name].entry
            self.world.store.put(names.UPSTREAM_PREFIX + name, entry(state=names.STATE_DRAINING))
            await asyncio.sleep(self.scale)
            self.world.store.put(names.UPSTREAM_PREFIX + name, entry())

    async def _start_gateway(self, name: str) -> None:
        process = self.world.start_gateway_process(
            name,
            grace=str(GRACE_SECONDS * self.scale),
            balancer_lag=str(BALANCER_LAG_SECONDS * self.scale),
            lenient_admission=str(LENIENT_SECONDS * self.scale),
        )
        await wait_until(lambda: "configuration" in process.events(), seconds=20.0)
        self._gateways[name] = process

    def _put_configuration(self) -> None:
        stream_ms = int(STREAM_TIMEOUT_SECONDS * self.scale * 1000)
        call_ms = int(CALL_TIMEOUT_SECONDS * self.scale * 1000)
        routes = [
            route("/draft/", KITCHEN, names.KIND_STREAM, **{"timeout-ms": stream_ms}),
            route("/order/", LEDGER, names.KIND_ONCE, **{"timeout-ms": call_ms}),
            route("/lookup/", LEDGER, names.KIND_IDEMPOTENT, **{"timeout-ms": call_ms}),
        ]
        self._version += 1
        document = configuration(self._version, routes=routes)
        self.world.store.put(names.CONFIGURATION_KEY, document)

    async def _serve(self, server: UpstreamStandin, call: Call) -> None:
        """Answer for as long as the path says, with a pause now and then."""
        self.runs[call.attempt] = self.runs.get(call.attempt, 0) + 1
        if self._evacuated is not None:
            zone, since = self._evacuated
            if server.zone == zone and time.monotonic() > since:
                self.strays.append(call.attempt)
        left = int(call.target.rpartition("/")[2]) / 1000
        if "/draft/" not in call.target:
            await asyncio.sleep(left)
            await call.write(call.sealed(b"done"))
            return
        stream_head = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        await call.write(call.head(200, f"{names.SEAL}: s", *stream_head))
        last = int(call.headers.get(names.LAST_EVENT.lower(), "0"))
        for number in range(1, max(2, int(left / (EVENT_GAP_SECONDS * self.scale)))):
            if number > last:
                await call.write_chunk(b"id: %d\ndata: piece\n\n" % number)
                await asyncio.sleep(EVENT_GAP_SECONDS * self.scale)
        await call.write(b"0\r\n\r\n")

    async def _call_forever(self, home: str) -> None:
        """Send requests one after the other, on one connection for as long as it lasts."""
        gateway = home
        while not self._over:
            if time.monotonic() > self._avoided.get(gateway, time.monotonic()):
                gateway = self.random.choice(sorted(set(self._gateways) - set(self._avoided)))
            try:
                node = self._gateways[gateway].node
                host, port = node.callers.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                gateway = self.random.choice(sorted(self._gateways))
                await asyncio.sleep(0.05)
                continue
            kept, is_open = False, True
            while is_open and not self._over:
                is_open = await self._call(gateway, reader, writer, kept=kept)
                kept = True
                if self.random.random() < 0.3:
                    await asyncio.sleep(self.random.uniform(0, 0.3) * self.scale)
            writer.close()
            gateway = home if self.random.random() < 0.7 else gateway

    async def _call(
        self,
        gateway: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        kept: bool,
    ) -> bool:
        """Send one request and read its answer; return whether the connection can be kept."""
        kind = self.random.choice(KINDS)
        longest = 7.0 if kind == "draft" else 1.5
        seconds = self.random.choice((0.2, 0.5, 1.0, longest)) * self.scale
        attempt = f"a-{next(self._numbers)}"
        sent = Sent(attempt=attempt, gateway=gateway, kind=kind, seconds=seconds, kept=kept)
        self.sent.append(sent)
        try:
            await self._write(writer, kind, sent)
            sent.sent = time.monotonic()
            return await self._read(reader, sent)
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            sent.ended = time.monotonic()

    async def _write(self, writer: asyncio.StreamWriter, kind: str, sent: Sent) -> None:
        longest = STREAM_TIMEOUT_SECONDS if kind == "draft" else CALL_TIMEOUT_SECONDS
        body = b"hello"
        is_chunked = self.random.random() < 0.5
        lines = [
            f"POST /{kind}/{int(sent.seconds * 1000)} HTTP/1.1",
            f"Host: {HOST}",
            f"{names.ATTEMPT}: {sent.attempt}",
            f"{names.REMAINING_MS}: {int(longest * self.scale * 1000)}",
            f"{names.AUTHORIZATION}: Bearer {API_KEY}",
            "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {len(body)}",
        ]
        if kind == "draft":
            lines.append(f"{names.TOKEN_COUNTS}: 1000,80")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode()
        data += b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body) if is_chunked else body
        if self.random.random() < 0.2:
            middle = self.random.randrange(1, len(data))
            writer.write(data[:middle])
            await asyncio.sleep(0.02)
            data = data[middle:]
        writer.write(data)

    async def _read(self, reader: asyncio.StreamReader, sent: Sent) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").lower()
        sent.status = int(head.split(" ")[1])
        if "transfer-encoding" in head:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                await reader.readexactly(size + 2)
            await reader.readexactly(2)
        else:
            length = head.partition("content-length: ")[2].partition("\r\n")[0]
            await reader.readexactly(int(length))
        sent.outcome = "complete" if sent.status == 200 else "refused"
        return "connection: close" not in head
