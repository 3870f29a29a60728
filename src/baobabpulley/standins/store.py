"""The configuration store: etcd v3's HTTP/JSON gateway in memory.

It can be down, slow, silent on open watches, and lose an answer after taking effect; it counts
calls and waiting watches.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
from typing import Any
from typing import Final
from typing import final

import msgspec
from sortedcontainers import SortedDict
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application
from tornado.web import RequestHandler

from baobabpulley.adapters.addresses import split_address
from baobabpulley.standins.faults import Faults
from baobabpulley.standins.faults import FaultsHandler
from baobabpulley.timers import TimerService

PROGRESS_PERIOD: Final = 1.0
LEASE_SWEEP_PERIOD: Final = 0.2
HISTORY: Final = 100_000


@final
class StoreStandin:
    """Keys, leases and the history that watches read."""

    __slots__ = (
        "_compacted",
        "_history",
        "_items",
        "_leases",
        "_next_lease",
        "_revision",
        "_server",
        "_wake",
        "address",
        "calls",
        "faults",
        "timers",
        "watches",
    )

    def __init__(self, *, address: str, timers: TimerService) -> None:
        self.address = address
        self.timers = timers
        self.faults = Faults(timers)
        self.calls: dict[str, int] = {}
        self.watches = 0
        self._items: SortedDict = SortedDict()
        self._leases: dict[int, list[float]] = {}
        self._next_lease = 1000
        self._revision = 1
        self._compacted = 0
        self._history: list[dict[str, Any]] = []
        self._wake = asyncio.Event()
        self._server: HTTPServer | None = None

    @property
    def revision(self) -> int:
        """Revision of the newest change."""
        return self._revision

    @property
    def compacted(self) -> int:
        """Revision up to which the history is gone."""
        return self._compacted

    def compact(self, revision: int) -> None:
        """Forget the history up to a revision."""
        self._compacted = max(self._compacted, min(revision, self._revision))

    def start(self) -> None:
        """Listen; the event loop must run."""
        self._server = HTTPServer(Application(_routes(self)), max_body_size=4_000_000)
        host, port = split_address(self.address)
        self._server.listen(port, host)
        self.timers.every(LEASE_SWEEP_PERIOD, self._lapse, name="leases")

    def header(self) -> dict[str, str]:
        """Return the header that each answer carries."""
        return {"revision": str(self._revision)}

    def find(self, key: str, range_end: str | None) -> list[dict[str, Any]]:
        """Return one key, or all from ``key`` up to ``range_end`` without it."""
        if range_end is None:
            found = self._items.get(key)
            return [found] if found is not None else []
        return [self._items[name] for name in self._items.irange(key, range_end, (True, False))]

    def transact(self, body: dict[str, Any]) -> bool:
        """Apply the operations if all comparisons hold."""
        for compare in body.get("compare", ()):
            held = self._items.get(_text(compare["key"]))
            revision = int(held["mod_revision"]) if held else 0
            if revision != int(compare.get("mod_revision", 0)):
                return False
        operations = body.get("success", ())
        if any(
            int(item.get("request_put", {}).get("lease", 0)) not in {0, *self._leases}
            for item in operations
        ):
            return False
        if operations:
            self._revision += 1
        for item in operations:
            if "request_put" in item:
                self.put(item["request_put"])
            else:
                self.delete(_text(item["request_delete_range"]["key"]))
        self._tell()
        return True

    def put(self, body: dict[str, str]) -> None:
        """Write a key at the current revision."""
        key = _text(body["key"])
        held = self._items.get(key)
        item = {
            "key": body["key"],
            "value": body.get("value", ""),
            "mod_revision": str(self._revision),
            "create_revision": held["create_revision"] if held else str(self._revision),
            "lease": str(body.get("lease", "0")),
        }
        self._items[key] = item
        self._history.append({"type": "PUT", "kv": item, "name": key})

    def delete(self, key: str) -> None:
        """Remove a key at the current revision."""
        held = self._items.pop(key, None)
        if held is not None:
            kv = {"key": held["key"], "mod_revision": str(self._revision)}
            self._history.append({"type": "DELETE", "kv": kv, "name": key})

    def grant(self, seconds: float) -> int:
        """Return a new lease."""
        self._next_lease += 1
        self._leases[self._next_lease] = [seconds, self.timers.now() + seconds]
        return self._next_lease

    def keep_alive(self, lease: int) -> float:
        """Renew a lease; return its seconds, 0 if it has lapsed."""
        held = self._leases.get(lease)
        if held is None:
            return 0.0
        held[1] = self.timers.now() + held[0]
        return held[0]

    def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        if self._leases.pop(lease, None) is None:
            return
        bound = [key for key, item in self._items.items() if item["lease"] == str(lease)]
        if bound:
            self._revision += 1
        for key in bound:
            self.delete(key)
        self._tell()

    def since(self, index: int, key: str, range_end: str, start: int) -> list[dict[str, Any]]:
        """Return the history from an index on, as far as a watch wants it."""
        return [
            {"type": event["type"], "kv": event["kv"]}
            for event in self._history[index:]
            if key <= event["name"] < range_end and int(event["kv"]["mod_revision"]) >= start
        ]

    @property
    def history_length(self) -> int:
        """Number of events so far."""
        return len(self._history)

    async def wait(self, seconds: float) -> None:
        """Wait for a change, at most ``seconds``."""
        with contextlib.suppress(TimeoutError):
            async with self.timers.limit(seconds):
                await self._wake.wait()

    def _tell(self) -> None:
        self._wake.set()
        self._wake = asyncio.Event()

    def _lapse(self) -> None:
        now = self.timers.now()
        for lease, (_, ends) in tuple(self._leases.items()):
            if now > ends:
                self.revoke(lease)


class _Handler(RequestHandler):
    def initialize(self, store: StoreStandin) -> None:
        self._store = store
        self._opened = store.timers.now()

    async def prepare(self) -> None:
        store = self._store
        path = self.request.path
        store.calls[path] = store.calls.get(path, 0) + 1
        if store.faults.delay:
            await store.timers.sleep(store.faults.delay)
        if store.faults.down or store.faults.take("lose_request"):
            self.drop()

    def drop(self) -> None:
        """Close the connection without an answer."""
        self._finished = True
        self.request.connection.stream.close()  # type: ignore[union-attr]

    def answer(self, document: dict[str, Any]) -> None:
        """Send an answer, unless it is to be lost."""
        if self.request.path != "/v3/kv/range" and self._store.faults.take("lose_answer"):
            self.drop()
            return
        self.finish({"header": self._store.header(), **document})

    @property
    def body(self) -> dict[str, Any]:
        """The request's JSON document."""
        return msgspec.json.decode(self.request.body, type=dict[str, Any])


class _RangeHandler(_Handler):
    def post(self) -> None:
        body = self.body
        end = _text(body["range_end"]) if "range_end" in body else None
        found = self._store.find(_text(body["key"]), end)
        self.answer({"kvs": found, "count": str(len(found))})


class _TxnHandler(_Handler):
    def post(self) -> None:
        self.answer({"succeeded": self._store.transact(self.body)})


class _PutHandler(_Handler):
    def post(self) -> None:
        self._store.transact({"success": [{"request_put": self.body}]})
        self.answer({})


class _GrantHandler(_Handler):
    def post(self) -> None:
        seconds = float(self.body["TTL"])
        self.answer({"ID": str(self._store.grant(seconds)), "TTL": self.body["TTL"]})


class _KeepAliveHandler(_Handler):
    def post(self) -> None:
        left = self._store.keep_alive(int(self.body["ID"]))
        self.answer({"result": {"ID": self.body["ID"], "TTL": str(int(left))}})


class _RevokeHandler(_Handler):
    def post(self) -> None:
        self._store.revoke(int(self.body["ID"]))
        self.answer({})


class _CompactionHandler(_Handler):
    def post(self) -> None:
        self._store.compact(int(self.body["revision"]))
        self.answer({})


class _WatchHandler(_Handler):
    def initialize(self, store: StoreStandin) -> None:
        super().initialize(store)
        self._gone = asyncio.Event()

    def on_connection_close(self) -> None:
        self._gone.set()

    async def post(self) -> None:
        create = self.body["create_request"]
        key, end = _text(create["key"]), _text(create["range_end"])
        start = int(create.get("start_revision", 0))
        store = self._store
        index = 0 if start else store.history_length
        store.watches += 1
        try:
            await self._send({"created": True})
            if 0 < start <= store.compacted:
                gone = str(store.compacted + 1)
                await self._send({"canceled": True, "compact_revision": gone})
                self.finish()
                return
            while not store.faults.down:
                events = store.since(index, key, end, start)
                index = store.history_length
                await self._send({"events": events})
                if index == store.history_length:
                    await store.wait(PROGRESS_PERIOD)
            self.drop()
        except StreamClosedError:
            pass
        finally:
            store.watches -= 1

    async def _send(self, document: dict[str, Any]) -> None:
        if self._store.faults.silences(self._opened):
            await self._gone.wait()
            raise StreamClosedError
        self.write(msgspec.json.encode({"result": {"header": self._store.header(), **document}}))
        self.write(b"\n")
        await self.flush()


class _CountsHandler(RequestHandler):
    def initialize(self, store: StoreStandin) -> None:
        self._store = store

    def get(self) -> None:
        self.finish({"calls": self._store.calls, "watches": self._store.watches})


def _text(encoded: str) -> str:
    return base64.b64decode(encoded).decode()


def _routes(store: StoreStandin) -> list[Any]:
    own = {"store": store}
    return [
        (r"/v3/kv/range", _RangeHandler, own),
        (r"/v3/kv/txn", _TxnHandler, own),
        (r"/v3/kv/put", _PutHandler, own),
        (r"/v3/kv/compaction", _CompactionHandler, own),
        (r"/v3/lease/grant", _GrantHandler, own),
        (r"/v3/lease/keepalive", _KeepAliveHandler, own),
        (r"/v3/lease/revoke", _RevokeHandler, own),
        (r"/v3/watch", _WatchHandler, own),
        (r"/counts", _CountsHandler, own),
        (r"/faults", FaultsHandler, {"faults": store.faults}),
    ]
