"""A plain service: it places orders and answers lookups, and keeps a journal of what ran."""

from __future__ import annotations

from typing import Any
from typing import final

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application
from tornado.web import RequestHandler

from baobabpulley.adapters.addresses import split_address
from baobabpulley.adapters.http_service import ATTEMPT_HEADER
from baobabpulley.standins.faults import Faults
from baobabpulley.standins.faults import FaultsHandler
from baobabpulley.timers import TimerService


@final
class ServiceStandin:
    """``POST /orders`` runs once for each call; ``GET /catalogue/<item>`` is idempotent."""

    __slots__ = ("_address", "_id", "_server", "faults", "journal", "timers")

    def __init__(self, *, id: str, address: str, timers: TimerService) -> None:
        self._id = id
        self._address = address
        self.timers = timers
        self.faults = Faults(timers)
        self.journal: list[dict[str, Any]] = []
        self._server: HTTPServer | None = None

    def start(self) -> None:
        """Listen; the event loop must run."""
        own = {"service": self}
        routes = [
            (r"/orders", _OrdersHandler, own),
            (r"/catalogue/(.+)", _CatalogueHandler, own),
            (r"/journal", _JournalHandler, own),
            (r"/faults", FaultsHandler, {"faults": self.faults}),
        ]
        self._server = HTTPServer(Application(routes))  # type: ignore[arg-type]
        host, port = split_address(self._address)
        self._server.listen(port, host)

    def run_order(self, attempt: str, team: str, body: dict[str, Any]) -> dict[str, Any]:
        """Place an order and note that it ran."""
        number = len(self.journal) + 1
        line = {"attempt": attempt, "team": team, "order": body, "number": f"{self._id}-{number}"}
        self.journal.append(line)
        return {"number": line["number"], "order": body}


class _Handler(RequestHandler):
    def initialize(self, service: ServiceStandin) -> None:
        self._service = service

    async def prepare(self) -> None:
        faults = self._service.faults
        if faults.down or faults.take("lose_request"):
            self.drop()
        elif faults.leaving:
            self.set_status(503)
            self.finish({"error": {"code": "leaving", "message": "leaving", "ran": False}})

    def drop(self) -> None:
        """Close the connection without an answer."""
        self._finished = True
        self.request.connection.stream.close()  # type: ignore[union-attr]


class _OrdersHandler(_Handler):
    async def post(self) -> None:
        body = msgspec.json.decode(self.request.body, type=dict[str, Any])
        attempt = self.request.headers.get(ATTEMPT_HEADER, "")
        answer = self._service.run_order(attempt, self.request.headers.get("X-Team", ""), body)
        if self._service.faults.delay:
            await self._service.timers.sleep(self._service.faults.delay)
        if self._service.faults.take("lose_answer"):
            self.drop()
            return
        self.set_status(201)
        self.finish(answer)


class _CatalogueHandler(_Handler):
    async def get(self, item: str) -> None:
        if self._service.faults.delay:
            await self._service.timers.sleep(self._service.faults.delay)
        self.finish({"item": item, "price": len(item)})


class _JournalHandler(RequestHandler):
    def initialize(self, service: ServiceStandin) -> None:
        self._service = service

    def get(self) -> None:
        self.finish({"lines": self._service.journal})
