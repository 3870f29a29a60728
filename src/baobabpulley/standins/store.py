"""An in-memory stand-in for the configuration store: etcd v3's HTTP/JSON gateway.

Faults can make it unavailable, slow or silent on open watches, or lose a response after the call
took effect. It counts calls and open watches.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
from typing import Any
from typing import Final
from typing import final

import msgspec
from sortedcontainers import SortedDict
from tornado.iostream import StreamClosedError

from baobabpulley.standins.web import CallHandler
from baobabpulley.standins.web import Standin
from baobabpulley.standins.web import call_route
from baobabpulley.standins.web import wait_for
from baobabpulley.timers import TimerService

PROGRESS_PERIOD_SECONDS: Final = 1.0
LEASE_SWEEP_PERIOD_SECONDS: Final = 0.2
FIRST_LEASE_ID: Final = 1001

Body = dict[str, Any]


@final
class StoreStandin(Standin):
    """Keys, leases and the event history that watches read.

    The public methods accept the request bodies of etcd's calls and return response bodies.
    """

    __slots__ = (
        "_items",
        "_lease_ids",
        "_leases",
        "_wake",
        "calls",
        "compacted_revision",
        "history",
        "revision",
        "watches",
    )

    def __init__(self, *, address: str, timers: TimerService) -> None:
        super().__init__(address=address, timers=timers)
        self._items: SortedDict = SortedDict()
        self._lease_ids = itertools.count(FIRST_LEASE_ID)
        self._leases: dict[str, tuple[float, float]] = {}
        self._wake = asyncio.Event()
        self.calls: dict[str, int] = {}
        self.compacted_revision = 0
        self.history: list[dict[str, Any]] = []
        self.revision = 1
        self.watches = 0

    def start(self) -> None:
        """Start listening; the event loop must run."""
        self.serve(*_ROUTES)
        self.timers.every(LEASE_SWEEP_PERIOD_SECONDS, self._revoke_expired, name="leases")

    def range(self, body: Body) -> Body:
        """Return one key, or all keys from ``key`` up to but excluding ``range_end``."""
        key = _decode(body["key"])
        if "range_end" in body:
            names = self._items.irange(key, _decode(body["range_end"]), (True, False))
        else:
            names = [key] if key in self._items else []
        items = [self._items[name] for name in names]
        return {"kvs": items, "count": str(len(items))}

    def txn(self, body: Body) -> Body:
        """Apply the operations if all comparisons match and all leases exist."""
        operations = body.get("success", ())
        leases = {str(operation.get("request_put", {}).get("lease", 0)) for operation in operations}
        matched = all(self._matches(compare) for compare in body.get("compare", ()))
        if not matched or not leases <= {"0", *self._leases}:
            return {"succeeded": False}
        self._write(operations)
        return {"succeeded": True}

    def grant(self, body: Body) -> Body:
        """Grant a lease."""
        lease = str(next(self._lease_ids))
        self._leases[lease] = (float(body["TTL"]), 0.0)
        return {"ID": lease, "TTL": self.keep_alive({"ID": lease})["result"]["TTL"]}

    def keep_alive(self, body: Body) -> Body:
        """Renew a lease; its TTL in the response is 0 if it has expired."""
        seconds, _ = self._leases.get(body["ID"], (0.0, 0.0))
        if seconds:
            self._leases[body["ID"]] = (seconds, self.timers.now() + seconds)
        return {"result": {"ID": body["ID"], "TTL": str(int(seconds))}}

    def revoke(self, body: Body) -> Body:
        """Revoke a lease and delete its keys."""
        if self._leases.pop(body["ID"], None):
            bound = [item for item in self._items.values() if item["lease"] == body["ID"]]
            self._write([{"request_delete_range": {"key": item["key"]}} for item in bound])
        return {}

    def compact(self, body: Body) -> Body:
        """Compact the history up to a revision, at most the current one."""
        self.compacted_revision = max(
            self.compacted_revision, min(int(body["revision"]), self.revision)
        )
        return {}

    def events_since(self, index: int, key: str, range_end: str, start: int) -> list[Body]:
        """Return the events from a history index on that match a watch's keys and start."""
        return [
            {"type": event["type"], "kv": event["kv"]}
            for event in self.history[index:]
            if key <= event["name"] < range_end and int(event["kv"]["mod_revision"]) >= start
        ]

    async def wait_for_change(self, seconds: float) -> None:
        """Wait for a change, at most ``seconds`` model seconds."""
        await wait_for(self._wake, seconds, timers=self.timers)

    def _matches(self, compare: Body) -> bool:
        item = self._items.get(_decode(compare["key"]), {"mod_revision": "0"})
        return int(item["mod_revision"]) == int(compare.get("mod_revision", 0))

    def _write(self, operations: list[Body]) -> None:
        self.revision += 1 if operations else 0
        for operation in operations:
            if "request_put" in operation:
                self._put(operation["request_put"])
            else:
                self._delete(operation["request_delete_range"]["key"])
        self._wake.set()
        self._wake = asyncio.Event()

    def _put(self, body: Body) -> None:
        name = _decode(body["key"])
        revision = str(self.revision)
        item = {
            "key": body["key"],
            "value": body.get("value", ""),
            "mod_revision": revision,
            "create_revision": self._items.get(name, {}).get("create_revision", revision),
            "lease": str(body.get("lease", "0")),
        }
        self._items[name] = item
        self.history.append({"type": "PUT", "kv": item, "name": name})

    def _delete(self, key: str) -> None:
        if self._items.pop(_decode(key), None) is not None:
            kv = {"key": key, "mod_revision": str(self.revision)}
            self.history.append({"type": "DELETE", "kv": kv, "name": _decode(key)})

    def _revoke_expired(self) -> None:
        now = self.timers.now()
        for lease, (_, expires_at) in tuple(self._leases.items()):
            if now > expires_at:
                self.revoke({"ID": lease})


class _Handler(CallHandler):
    async def prepare(self) -> None:
        calls = self._standin.calls
        calls[self.request.path] = calls.get(self.request.path, 0) + 1
        await super().prepare()

    async def respond(
        self, document: Any, *, status: int = 200, can_lose_response: bool = False
    ) -> None:
        await super().respond(
            {**self._header(), **document}, status=status, can_lose_response=can_lose_response
        )

    def _header(self) -> Body:
        return {"header": {"revision": str(self._standin.revision)}}


class _WatchHandler(_Handler):
    async def post(self, *_: str) -> None:
        create = self.json()["create_request"]
        key, end = _decode(create["key"]), _decode(create["range_end"])
        start = int(create.get("start_revision", 0))
        store = self._standin
        index = 0 if start else len(store.history)
        store.watches += 1
        try:
            await self._send_result({"created": True})
            if 0 < start <= store.compacted_revision:
                oldest = str(store.compacted_revision + 1)
                await self._send_result({"canceled": True, "compact_revision": oldest})
                self.finish()
                return
            while not store.faults.down:
                events = store.events_since(index, key, end, start)
                index = len(store.history)
                await self._send_result({"events": events})
                if index == len(store.history):
                    await store.wait_for_change(PROGRESS_PERIOD_SECONDS)
            self.drop()
        except StreamClosedError:
            pass
        finally:
            store.watches -= 1

    async def _send_result(self, document: Body) -> None:
        result = {**self._header(), **document}
        await self.send(msgspec.json.encode({"result": result}) + b"\n")


def _decode(encoded: str) -> str:
    return base64.b64decode(encoded).decode()


_ROUTES: Final = (
    (r"/v3/kv/range", _Handler, {"run": StoreStandin.range}),
    (r"/v3/kv/txn", _Handler, {"run": StoreStandin.txn, "can_lose_response": True}),
    (r"/v3/kv/compaction", _Handler, {"run": StoreStandin.compact}),
    (r"/v3/lease/grant", _Handler, {"run": StoreStandin.grant, "can_lose_response": True}),
    (r"/v3/lease/keepalive", _Handler, {"run": StoreStandin.keep_alive, "can_lose_response": True}),
    (r"/v3/lease/revoke", _Handler, {"run": StoreStandin.revoke, "can_lose_response": True}),
    (r"/v3/watch", _WatchHandler, {"run": StoreStandin.range}),
    call_route(
        r"/counts", lambda store, _: {"calls": store.calls, "watches": store.watches}, False
    ),
)
