"""HTTP handlers of call tickets: for callers, and for what entries send each other."""

from __future__ import annotations

from typing import final

from baobabpulley.entry.tickets import FORWARD_PATH
from baobabpulley.entry.tickets import LEGACY_PATH
from baobabpulley.entry.tickets import TICKET_HEADER
from baobabpulley.entry.web import REQUEST_ID_HEADER
from baobabpulley.entry.web import EntryHandler
from baobabpulley.entry.web import route
from baobabpulley.errors import MessageRejected
from baobabpulley.errors import NotReady


@route("/v1/tickets")
@final
class TicketsHandler(EntryHandler):
    """``POST /v1/tickets``: a ticket for one once-only call."""

    def post(self) -> None:
        team = self.authenticate()
        if self.context.lifecycle.draining:
            raise NotReady("this entry is shutting down and issues no tickets")
        self.set_header(REQUEST_ID_HEADER, self.request_id)
        self.finish({"ticket": self.context.tickets.issue(team=team), "header": TICKET_HEADER})


@route(FORWARD_PATH)
@final
class ForwardedHandler(EntryHandler):
    """Calls that other entries forward, sealed with the fleet's secret."""

    async def post(self) -> None:
        self.context.lifecycle.begin()
        try:
            answer = await self.context.tickets.answer_forwarded(self.request.body)
        except MessageRejected:
            self.context.metrics.rejected_messages.inc()
            raise
        finally:
            self.context.lifecycle.end()
        self.set_header("Content-Type", "application/octet-stream")
        await self.finish(answer)


@route(LEGACY_PATH)
@final
class LegacyHandler(EntryHandler):
    """Tickets that another entry hands over at its shutdown, sealed with the fleet's secret."""

    async def post(self) -> None:
        try:
            answer = self.context.tickets.adopt(self.request.body)
        except MessageRejected:
            self.context.metrics.rejected_messages.inc()
            raise
        self.set_header("Content-Type", "application/octet-stream")
        await self.finish(answer)
