"""A play of a store that comes back from a copy, over gateways in processes.

Run ``PYTHONPATH=src:testing python testing/copy_play.py --variant all``. With ``--source DIR``, the
gateways of ``--others`` (all without it) run the code of another source tree.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from pathlib import Path
from typing import Any
from typing import Final
from typing import final

import msgspec
from copy_variants import VARIANTS
from copy_variants import Variant
from gateway_builders import KITCHEN
from gateway_builders import LEDGER
from gateway_builders import GatewayProcess
from gateway_builders import World
from gateway_builders import configuration
from gateway_builders import open_world
from gateway_builders import read_reply
from gateway_builders import request_bytes
from gateway_builders import route
from gateway_builders import wait_until
from platform_upstream import stream
from store_path import StorePath

from baobabpulley.platform import names

REQUEST_PERIOD_SECONDS: Final = 0.04
REQUEST_TIMEOUT_SECONDS: Final = 5.0
# From then on after a change, nothing may be done by what was before.
IN_FORCE_SECONDS: Final = 2.0
AWAY_SECONDS: Final = 0.6
# Servers and operators write their entries again within this time after a return.
REWRITTEN_SECONDS: Final = 0.8
# A path to the store is cut from the one time before a change to the other time after it.
CUT_BEFORE_SECONDS: Final = 0.3
CUT_AFTER_SECONDS: Final = 1.0
CALLS_AFTER_RETURN_SECONDS: Final = 3.0
STARTED_WITHIN_SECONDS: Final = 20.0
SERVERS_PER_SERVICE: Final = 5
# What requests ask for: a route of the current or the previous version, or one of all versions.
KINDS: Final = ("current", "previous", "order", "draft")


class Sent(msgspec.Struct):
    """A request to a gateway for a route of a version; ``at`` is a monotonic time."""

    gateway: str
    kind: str
    version: int
    at: float
    status: int = 0


class Counts(msgspec.Struct):
    """What was seen in a play, requests by gateway; the first four are breaches.

    ``older`` are requests that ran though only an earlier version than the one in force allowed
    them, ``draining`` and ``removed`` those that such servers got, and ``lacking`` those that the
    version in force allows and that were turned away, all from `IN_FORCE_SECONDS` after the change.
    ``failed`` are others that weren't served. Calls are those to the store.
    """

    older: dict[str, int]
    draining: dict[str, int]
    removed: dict[str, int]
    lacking: dict[str, int]
    failed: dict[str, int]
    requests: int
    calls_after_return: int
    calls_per_second: float
    events: dict[str, dict[str, int]]

    @property
    def breaches(self) -> int:
        """Number of requests that broke a rule."""
        kinds = (self.older, self.draining, self.removed, self.lacking)
        return sum(sum(kind.values()) for kind in kinds)


@final
class CopyPlay:
    """Gateways, servers and callers around a store that comes back from a copy.

    Gateways whose names are in ``others`` run the code of the ``source`` tree.
    """

    def __init__(
        self,
        world: World,
        variant: Variant,
        *,
        seed: int,
        source: Path | None = None,
        others: frozenset[str] = frozenset(),
    ) -> None:
        self._world = world
        self._variant = variant
        self._random = random.Random(seed)
        self._source = source
        self._others = others
        self._gateways: dict[str, GatewayProcess] = {}
        self._paths: dict[str, StorePath] = {}
        self._sent: list[Sent] = []
        self._version = 1
        # When each version was written first (monotonic seconds).
        self._written_at: dict[int, float] = {}
        self._left_at = 0.0
        self._sequence = 1
        self._down: set[str] = set()
        self._callers: list[asyncio.Task[None]] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._calls_after_return = 0
        self._is_over = False

    async def run(self) -> Counts:
        """Run the play and return what was seen."""
        variant = self._variant
        try:
            await self._start()
            calls, started_at = self._world.store.calls, time.monotonic()
            for _ in range(variant.returns):
                await self._lose_and_return()
            if not variant.returns:
                self._put_version(self._version + 1)
                await asyncio.sleep(variant.steps[0])
            await asyncio.sleep(variant.steps[1])
            await self._change(lambda: self._put_version(self._version + 1))
            await asyncio.sleep(variant.steps[2])
            await self._change(self._let_servers_leave)
            await asyncio.sleep(variant.steps[3])
            calls_per_second = (self._world.store.calls - calls) / (time.monotonic() - started_at)
        finally:
            await self._stop()
        return self._counts(calls_per_second)

    async def _start(self) -> None:
        if not self._variant.states_era:
            self._world.store.era = None
        self._put_version(1)
        for service in (LEDGER, KITCHEN):
            for number in range(SERVERS_PER_SERVICE):
                server = await self._world.add_upstream(f"{service}-{number}", service=service)
                if service == KITCHEN:
                    server.behaviour = stream(events=2)
        for number in range(1, self._variant.gateways + 1):
            # The last one is alone in its failure domain.
            is_last = number == self._variant.gateways
            await self._start_gateway(f"front-{number}", "rabat" if is_last else "fes")
        if self._variant.pathless:
            self._paths[self._variant.pathless].cut()
        await asyncio.sleep(1.0)

    async def _start_gateway(self, name: str, domain: str = "fes") -> None:
        if name not in self._paths:
            self._paths[name] = StorePath(self._world.store.address)
            await self._paths[name].start()
        process = self._world.start_gateway_process(
            name,
            source=self._source if name in self._others else None,
            failure_domain=domain,
            store=self._paths[name].address,
            watch_wait="5",
            returned_within="2.2",
        )
        await wait_until(
            lambda: {"configuration", "upstream"} <= process.events(),
            seconds=STARTED_WITHIN_SECONDS,
        )
        is_new = name not in self._gateways
        self._gateways[name] = process
        self._down.discard(name)
        if is_new:
            self._callers.append(asyncio.create_task(self._call_forever(name)))

    async def _stop(self) -> None:
        self._is_over = True
        await asyncio.gather(*self._callers, *self._tasks)
        for path in self._paths.values():
            await path.stop()

    async def _lose_and_return(self) -> None:
        """Let the store lose writes and a version, which are written again when it is back."""
        store = self._world.store
        copy = store.copy()
        for _ in range(self._variant.heartbeats):
            self._register(self._random.choice(sorted(self._world.upstreams)))
        self._put_version(self._version + 1)
        if self._variant.starts_late:
            self._tasks.append(asyncio.create_task(self._start_gateway("front-late")))
        await asyncio.sleep(self._variant.steps[0])
        if self._variant.restarts:
            self._tasks.append(asyncio.create_task(self._restart("front-1")))
        if self._variant.cuts_paths:
            self._cut_a_path()
        store.mode = "reset"
        for path in self._paths.values():
            path.drop()
        await asyncio.sleep(AWAY_SECONDS)
        store.return_from(copy)
        store.mode = ""
        self._tasks.append(asyncio.create_task(self._count_calls()))
        await self._write_again()

    async def _write_again(self) -> None:
        """Write the version and all entries once more, in any order."""
        keys = [*sorted(self._world.upstreams), ""]
        self._random.shuffle(keys)
        for key in keys:
            await asyncio.sleep(REWRITTEN_SECONDS / len(keys))
            if key:
                self._register(key)
            else:
                self._put_version(self._version)

    async def _count_calls(self) -> None:
        calls = self._world.store.calls
        await asyncio.sleep(CALLS_AFTER_RETURN_SECONDS)
        self._calls_after_return = max(self._calls_after_return, self._world.store.calls - calls)

    async def _restart(self, name: str) -> None:
        process = self._gateways[name]
        self._down.add(name)
        process.signal(signal.SIGTERM)
        with contextlib.suppress(AssertionError):
            await wait_until(lambda: not process.running)
        process.kill()
        await self._start_gateway(name)

    async def _change(self, make: Callable[[], None]) -> None:
        if self._variant.cuts_paths:
            self._cut_a_path()
            await asyncio.sleep(CUT_BEFORE_SECONDS)
        make()

    def _cut_a_path(self) -> None:
        """Cut a gateway off from the store around a change, so that it follows another one."""
        path = self._paths[self._random.choice(sorted(self._paths)[:-1])]
        path.cut()
        seconds = CUT_BEFORE_SECONDS + CUT_AFTER_SECONDS
        asyncio.get_running_loop().call_later(seconds, path.mend)

    def _put_version(self, version: int) -> None:
        prefixes = ((f"/v{version}/", LEDGER), ("/order/", LEDGER))
        routes = [route(prefix, service, names.KIND_ONCE) for prefix, service in prefixes]
        routes.append(route("/draft/", KITCHEN, names.KIND_STREAM))
        self._world.store.put(names.CONFIGURATION_KEY, configuration(version, routes=routes))
        self._version = version
        self._written_at.setdefault(version, time.monotonic())

    def _register(self, server: str, *, state: str = names.STATE_READY) -> None:
        self._sequence += 1
        entry = self._world.upstreams[server].entry(state=state, sequence=self._sequence)
        self._world.store.put(names.UPSTREAM_PREFIX + server, entry)

    def _let_servers_leave(self) -> None:
        """Let one server of each service say that it leaves, and remove another one."""
        for service in (LEDGER, KITCHEN):
            self._register(f"{service}-0", state=names.STATE_DRAINING)
            self._world.store.delete(f"{names.UPSTREAM_PREFIX}{service}-1")
        self._left_at = time.monotonic()

    async def _call_forever(self, gateway: str) -> None:
        """Send requests in turn for all kinds of routes, each on a connection of its own."""
        calls: set[asyncio.Task[None]] = set()
        number = 0
        while not self._is_over:
            kind = KINDS[number % len(KINDS)]
            version = self._version - (kind == "previous")
            if version:
                sent = Sent(gateway, kind, version, time.monotonic())
                call = asyncio.create_task(self._call(sent))
                calls.add(call)
                call.add_done_callback(calls.discard)
            number += 1
            await asyncio.sleep(REQUEST_PERIOD_SECONDS)
        await asyncio.gather(*calls)

    async def _call(self, sent: Sent) -> None:
        if sent.gateway in self._down:
            return
        prefix = f"v{sent.version}" if sent.kind in ("current", "previous") else sent.kind
        host, port = self._gateways[sent.gateway].node.callers.split(":")
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request_bytes(f"/{prefix}/{sent.gateway}"))
            reply = await asyncio.wait_for(read_reply(reader), REQUEST_TIMEOUT_SECONDS)
            sent.status = reply.status
            writer.close()
        if sent.gateway not in self._down:
            self._sent.append(sent)

    def _counts(self, calls_per_second: float) -> Counts:
        old = [each for each in self._sent if each.kind == "previous" and self._is_due(each)]
        new = [each for each in self._sent if each.kind == "current" and self._is_due(each)]
        rest = [each for each in self._sent if each.kind in ("order", "draft")]
        return Counts(
            older=_counts(each.gateway for each in old if each.status == 200),
            draining=self._late_arrivals(0),
            removed=self._late_arrivals(1),
            lacking=_counts(each.gateway for each in new if each.status != 200),
            failed=_counts(each.gateway for each in rest if each.status != 200),
            requests=len(self._sent),
            calls_after_return=self._calls_after_return,
            calls_per_second=round(calls_per_second, 1),
            events={name: dict(each.event_counts()) for name, each in self._gateways.items()},
        )

    def _is_due(self, sent: Sent) -> bool:
        """Whether the latest version when a request was sent had to be in force."""
        latest = sent.version + (sent.kind == "previous")
        return latest > 1 and sent.at > self._written_at[latest] + IN_FORCE_SECONDS

    def _late_arrivals(self, number: int) -> dict[str, int]:
        due_at = self._left_at + IN_FORCE_SECONDS
        servers = (self._world.upstreams[f"{service}-{number}"] for service in (LEDGER, KITCHEN))
        calls = (call for each in servers for call in each.arrivals if call.received_at > due_at)
        # The paths of requests end in the name of the gateway that they were sent to.
        return _counts(call.target.rpartition("/")[2] for call in calls)


def _counts(gateways: Iterable[str]) -> dict[str, int]:
    return dict(sorted(Counter(gateways).items()))


async def play(variant: Variant, **options: Any) -> Counts:
    """Run one play in a folder of its own; the options are those of `CopyPlay`."""
    with tempfile.TemporaryDirectory() as folder:
        async with open_world(Path(folder)) as world:
            return await CopyPlay(world, variant, **options).run()


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--variant", choices=[*VARIANTS, "all"], default="plain")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--gateways", type=int, default=0, help="as the variant has it if 0")
    parser.add_argument("--source", type=Path, help="another source tree")
    parser.add_argument("--others", default="", help="names of the gateways that run it")
    parser.add_argument("--events", action="store_true", help="print what the gateways logged")
    given = parser.parse_args()
    others = given.others.split(",") if given.others else [f"front-{n}" for n in range(1, 100)]
    for name in VARIANTS if given.variant == "all" else [given.variant]:
        variant = VARIANTS[name]
        if given.gateways:
            variant = msgspec.structs.replace(variant, gateways=given.gateways)
        counts = asyncio.run(
            play(
                variant,
                seed=given.seed,
                source=given.source,
                others=frozenset([*others, "front-late"]),
            )
        )
        fields = msgspec.structs.asdict(counts)
        events = fields.pop("events")
        texts = (f"{field}={value}" for field, value in fields.items())
        print(name, f"breaches={counts.breaches}", *texts, flush=True)
        if given.events:
            for gateway, logged in events.items():
                print(f"  {gateway}: {logged}", flush=True)


if __name__ == "__main__":
    _main()
