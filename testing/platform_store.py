"""A small stand-in of the platform's store, with a switch for each way in which it fails."""

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
class StoreStandin:
    """Keys with revisions in memory.

    ``mode`` is empty or one of ``silent``, ``busy``, ``reset``. ``silent_watches`` never answer.
    ``responses_to_lose`` counts writes that take effect unanswered. ``history_start`` is the oldest
    revision of which the history is kept.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.revision = 1
        self.history_start = 0
        self.mode = ""
        self.silent_watches = False
        self.responses_to_lose = 0
        self.calls = 0
        self.leases: dict[int, set[str]] = {}
        self.lease_numbers = itertools.count(1000)
        self.page_size = 500
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
            (names.STORE_KEEP_ALIVE + "([0-9]+)", _Keep, {"store": self}),
            (names.STORE_LEASE_END + "([0-9]+)", _LeaseEnd, {"store": self}),
        ]
        sockets = bind_sockets(0, "127.0.0.1")
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        self._server = HTTPServer(Application(handlers, log_function=lambda handler: None))
        self._server.add_sockets(sockets)

    async def stop(self) -> None:
        """Close everything."""
        assert self._server is not None
        self._server.stop()
        await self._server.close_all_connections()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key; return its revision."""
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
        """End a lease, by its holder or by its time, and remove its keys."""
        for key in self.leases.pop(lease, set()):
            self.delete(key)

    def _record_event(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def changes(self, prefix: str, after: int, wait: float) -> list[dict[str, Any]]:
        """Return what changed after a revision, waiting for something to do so."""
        ends = asyncio.get_running_loop().time() + wait
        while True:
            changed = self._changed
            found = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = ends - asyncio.get_running_loop().time()
            if found or left <= 0:
                return found
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                return []


class _Handler(RequestHandler):
    def initialize(self, store: StoreStandin) -> None:
        self.store = store

    async def prepare(self) -> None:
        self.store.calls += 1
        if self.store.mode == "busy":
            self.set_status(503)
            self.finish()
        elif self.store.mode == "reset":
            self.request.connection.stream.close()  # type: ignore[union-attr]
        elif self.store.mode == "silent":
            await asyncio.sleep(3600)

    def answer(self, document: dict[str, Any], status: int = 200) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(document))


class _Key(_Handler):
    def get(self) -> None:
        item = self.store.items.get(self.get_query_argument("key"))
        if item is None:
            self.answer({}, 404)
        else:
            self.answer({**item, "at": self.store.revision})


class _Range(_Handler):
    def get(self) -> None:
        prefix = self.get_query_argument("path-prefix")
        after = self.get_query_argument("after", "")
        found = sorted(key for key in self.store.items if key.startswith(prefix) and key > after)
        page = found[: self.store.page_size]
        self.answer(
            {
                "items": [self.store.items[key] for key in page],
                "has-more": len(found) > len(page),
                "at": self.store.revision,
            }
        )


class _Watch(_Handler):
    async def get(self) -> None:
        if self.store.silent_watches:
            await asyncio.sleep(3600)
        after = int(self.get_query_argument("after"))
        if after < self.store.history_start:
            self.answer({}, 410)
            return
        prefix = self.get_query_argument("path-prefix")
        wait = int(self.get_query_argument("wait-ms")) / 1000
        events = await self.store.changes(prefix, after, wait)
        if self.store.silent_watches:
            await asyncio.sleep(3600)
        if self.store.mode:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.answer({"events": events, "at": self.store.revision})


class _Transaction(_Handler):
    async def post(self) -> None:
        wish = json.loads(self.request.body)
        for row in wish["expected"]:
            item = self.store.items.get(row["key"])
            if (0 if item is None else item["revision"]) != row["revision"]:
                self.answer({"items": []}, 412)
                return
        for put in wish["puts"]:
            if put["lease"]:
                if put["lease"] not in self.store.leases:
                    self.answer({}, 404)
                    return
                self.store.leases[put["lease"]].add(put["key"])
            self.store.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in wish["remove"]:
            self.store.delete(key)
        if self.store.responses_to_lose:
            self.store.responses_to_lose -= 1
            await asyncio.sleep(3600)
        self.answer({"revision": self.store.revision})


class _Lease(_Handler):
    def post(self) -> None:
        lease = next(self.store.lease_numbers)
        self.store.leases[lease] = set()
        self.answer({"lease": lease, "ttl-ms": json.loads(self.request.body)["ttl-ms"]})


class _Keep(_Handler):
    def post(self, lease: str) -> None:
        known = int(lease) in self.store.leases
        self.answer({"ttl-ms": 3000} if known else {}, 200 if known else 404)


class _LeaseEnd(_Handler):
    def delete(self, lease: str) -> None:
        self.store.end_lease(int(lease))
        self.answer({})
