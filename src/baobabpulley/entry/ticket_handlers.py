"""HTTP handlers of call tickets, for callers and for other entries."""

from __future__ import annotations

from typing import final

from baobabpulley.entry.tickets import FORWARD_PATH
from baobabpulley.entry.tickets import HANDOVER_PATH
from baobabpulley.entry.tickets import TICKET_HEADER
from baobabpulley.entry.web import REQUEST_ID_HEADER
from baobabpulley.entry.web import EntryHandler
from baobabpulley.entry.web import route
from baobabpulley.errors import MessageRejected
from baobabpulley.errors import NotReady


@route("/v1/tickets")
@final
class TicketsHandler(EntryHandler):
    """``POST /v1/tickets``: issue a ticket for one call that runs at most once."""

    def post(self) -> None:
        team = self.authenticate()
        if self.context.lifecycle.draining:
            raise NotReady("this entry is shutting down and issues no tickets")
        self.set_header(REQUEST_ID_HEADER, self.request_id)
        self.finish({"ticket": self.context.tickets.issue(team=team), "header": TICKET_HEADER})


@route(FORWARD_PATH)
@final
class ForwardedCallHandler(EntryHandler):
    """Run calls that other entries forward, sealed with the fleet's secret."""

    async def post(self) -> None:
        self.context.lifecycle.begin()
        try:
            reply = await self.context.tickets.run_forwarded(self.request.body)
        except MessageRejected:
            self.context.metrics.rejected_messages.inc()
            raise
        finally:
            self.context.lifecycle.end()
        self.set_header("Content-Type", "application/octet-stream")
        await self.finish(reply)


@route(HANDOVER_PATH)
@final
class TicketHandoverHandler(EntryHandler):
    """Take over tickets of an entry that shuts down, sealed with the fleet's secret."""

    async def post(self) -> None:
        try:
            reply = self.context.tickets.take_over(self.request.body)
        except MessageRejected:
            self.context.metrics.rejected_messages.inc()
            raise
        self.set_header("Content-Type", "application/octet-stream")
        await self.finish(reply)
