"""A stand-in of the platform's store with injectable faults."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
from typing import Any
from typing import final

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

from baobabpulley.platform import names


@final
class StoreCopy:
    """What a store held at one moment."""

    def __init__(
        self, items: dict[str, dict[str, Any]], leases: dict[int, set[str]], revision: int
    ) -> None:
        self.items = dict(items)
        self.leases = {lease: set(keys) for lease, keys in leases.items()}
        self.revision = revision


@final
class StoreStandin:
    """An HTTP server over keys with revisions in memory.

    ``mode`` is the fault injected into all requests: empty for none, ``silent`` (no response),
    ``busy`` (503), ``reset`` (connection closed) or ``cut`` (only pending watches closed). With
    ``silent_watches``, watches get no response.
    ``responses_to_lose`` is how many more transactions take effect without a response, and
    ``transactions_to_refuse`` how many get 503 without effect. A watch from a revision before
    ``history_start`` gets 410. ``page_size`` is the number of keys in a
    page of a range. ``odd_events`` are sent as they are, before the others of each watch. ``era``
    is stated in all answers unless it is ``None``.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.revision = 1
        self.history_start = 0
        self.mode = ""
        self.era: int | None = 0
        self.silent_watches = False
        self.responses_to_lose = 0
        self.transactions_to_refuse = 0
        self.calls = 0
        self.returns = 0
        self.leases: dict[int, set[str]] = {}
        self.lease_numbers = itertools.count(1000)
        self.page_size = 500
        self.odd_events: list[Any] = []
        self._changed = asyncio.Event()
        self._server: HTTPServer | None = None
        self.address = ""

    def start(self) -> None:
        """Listen on a free port."""
        handlers = [
            (names.STORE_KEY, _Key, {"store": self}),
            (names.STORE_RANGE, _Range, {"store": self}),
            (names.STORE_WATCH, _Watch, {"store": self}),
            (names.STORE_TXN, _Transaction, {"store": self}),
            (names.STORE_LEASE, _Lease, {"store": self}),
            (names.STORE_KEEP_ALIVE + "([0-9]+)", _KeepAlive, {"store": self}),
            (names.STORE_LEASE_END + "([0-9]+)", _LeaseEnd, {"store": self}),
        ]
        sockets = bind_sockets(0, "127.0.0.1")
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        self._server = HTTPServer(Application(handlers, log_function=lambda handler: None))
        self._server.add_sockets(sockets)

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        assert self._server is not None
        self._server.stop()
        await self._server.close_all_connections()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key and return its revision."""
        self.revision += 1
        before = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": self.revision if before is None else before["created"],
            "lease": lease,
        }
        self.items[key] = item
        self._record_event(item)
        return self.revision

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record_event({"key": key, "revision": self.revision, "tombstone": True})

    def end_lease(self, lease: int) -> None:
        """Revoke or expire a lease and delete its keys."""
        for key in self.leases.pop(lease, set()):
            self.delete(key)

    def copy(self) -> StoreCopy:
        """Return a copy of what the store holds now."""
        return StoreCopy(self.items, self.leases, self.revision)

    def return_from(self, copy: StoreCopy) -> None:
        """Lose all that was written since a copy, in the next era; pending watches are cut."""
        self.items = dict(copy.items)
        self.leases = {lease: set(keys) for lease, keys in copy.leases.items()}
        self.lease_numbers = itertools.count(max(copy.leases, default=999) + 1)
        self.revision = copy.revision
        self.history = [event for event in self.history if event["revision"] <= copy.revision]
        if self.era is not None:
            self.era += 1
        self.returns += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def _record_event(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def changes(self, prefix: str, after: int, wait: float) -> list[dict[str, Any]] | None:
        """Return the events after a revision, waiting up to ``wait`` seconds for one.

        Return ``None`` if the store came back from a copy meanwhile.
        """
        end = asyncio.get_running_loop().time() + wait
        returns = self.returns
        while returns == self.returns:
            changed = self._changed
            events = self._events_after(after, prefix)
            if events:
                return events
            try:
                await asyncio.wait_for(
                    changed.wait(), max(0.0, end - asyncio.get_running_loop().time())
                )
            except TimeoutError:
                # A change may come just as the time is over, and the answer's revision covers it.
                return self._events_after(after, prefix) if returns == self.returns else None
        return None

    def _events_after(self, revision: int, prefix: str) -> list[dict[str, Any]]:
        return [
            event
            for event in self.history
            if event["revision"] > revision and event["key"].startswith(prefix)
        ]


class _Handler(RequestHandler):
    def initialize(self, store: StoreStandin) -> None:
        self.store = store

    async def prepare(self) -> None:
        self.store.calls += 1
        if self.store.era is not None:
            self.set_header(names.STORE_ERA, str(self.store.era))
        if self.store.mode == "busy":
            self.set_status(503)
            self.finish()
        elif self.store.mode == "reset":
            self.request.connection.stream.close()  # type: ignore[union-attr]
        elif self.store.mode == "silent":
            await asyncio.sleep(3600)

    def respond(self, document: dict[str, Any], status: int = 200) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(document))


class _Key(_Handler):
    def get(self) -> None:
        item = self.store.items.get(self.get_query_argument("key"))
        if item is None:
            self.respond({}, 404)
        else:
            self.respond({**item, "at": self.store.revision})


class _Range(_Handler):
    def get(self) -> None:
        prefix = self.get_query_argument("path-prefix")
        after = self.get_query_argument("after", "")
        keys = sorted(key for key in self.store.items if key.startswith(prefix) and key > after)
        page = keys[: self.store.page_size]
        self.respond(
            {
                "items": [self.store.items[key] for key in page],
                "has-more": len(keys) > len(page),
                "at": self.store.revision,
            }
        )


class _Watch(_Handler):
    async def get(self) -> None:
        if self.store.silent_watches:
            await asyncio.sleep(3600)
        after = int(self.get_query_argument("after"))
        if after < self.store.history_start or after > self.store.revision:
            self.respond({}, 410)
            return
        prefix = self.get_query_argument("path-prefix")
        wait = int(self.get_query_argument("wait-ms")) / 1000
        events = await self.store.changes(prefix, after, wait)
        if self.store.silent_watches:
            await asyncio.sleep(3600)
        if self.store.mode or events is None:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        if events:
            events = [*self.store.odd_events, *events]
        self.respond({"events": events, "at": self.store.revision})


class _Transaction(_Handler):
    async def post(self) -> None:
        if self.store.transactions_to_refuse:
            self.store.transactions_to_refuse -= 1
            self.respond({}, 503)
            return
        transaction = json.loads(self.request.body)
        for row in transaction["expected"]:
            item = self.store.items.get(row["key"])
            if (0 if item is None else item["revision"]) != row["revision"]:
                self.respond({"items": []}, 412)
                return
        for put in transaction["puts"]:
            if put["lease"]:
                if put["lease"] not in self.store.leases:
                    self.respond({}, 404)
                    return
                self.store.leases[put["lease"]].add(put["key"])
            self.store.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in transaction["remove"]:
            self.store.delete(key)
        if self.store.responses_to_lose:
            self.store.responses_to_lose -= 1
            await asyncio.sleep(3600)
        self.respond({"revision": self.store.revision})


class _Lease(_Handler):
    def post(self) -> None:
        lease = next(self.store.lease_numbers)
        self.store.leases[lease] = set()
        self.respond({"lease": lease, "ttl-ms": json.loads(self.request.body)["ttl-ms"]})


class _KeepAlive(_Handler):
    def post(self, lease: str) -> None:
        known = int(lease) in self.store.leases
        self.respond({"ttl-ms": 3000} if known else {}, 200 if known else 404)


class _LeaseEnd(_Handler):
    def delete(self, lease: str) -> None:
        self.store.end_lease(int(lease))
        self.respond({})
