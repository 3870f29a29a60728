"""A stand-in plain service with a non-idempotent and an idempotent call and a journal of orders."""

from __future__ import annotations

from typing import Any
from typing import final

from baobabpulley.adapters.http_service import ATTEMPT_HEADER
from baobabpulley.standins.faults import Refusal
from baobabpulley.standins.web import Standin
from baobabpulley.standins.web import StandinHandler
from baobabpulley.standins.web import call_route
from baobabpulley.timers import TimerService


@final
class ServiceStandin(Standin):
    """A service where ``POST /orders`` is not idempotent and ``GET /catalogue/<item>`` is."""

    __slots__ = ("_id",)

    def __init__(self, *, id: str, address: str, timers: TimerService) -> None:
        super().__init__(address=address, timers=timers, delays_response=True)
        self._id = id

    def start(self) -> None:
        """Start listening; the event loop must run."""
        self.serve(
            (r"/orders", _OrdersHandler, {}),
            call_route(r"/catalogue/(.+)", lambda standin, _, item: standin.look_up(item)),
            call_route(r"/journal", lambda standin, _: {"lines": tuple(standin.journal)}, False),
        )

    def look_up(self, item: str) -> dict[str, Any]:
        """Return an item of the catalogue."""
        self._check_available()
        return {"item": item, "price": len(item)}

    def run_order(self, attempt: str, team: str, body: dict[str, Any]) -> dict[str, Any]:
        """Execute an order and append it to the journal."""
        self._check_available()
        number = len(self.journal) + 1
        line = {"attempt": attempt, "team": team, "order": body, "number": f"{self._id}-{number}"}
        self.journal.append(line)
        return {"number": line["number"], "order": body}

    def _check_available(self) -> None:
        if self.faults.leaving:
            raise Refusal("leaving", f"{self._id} is draining and accepts no new work")
        if seconds := self.faults.busy_seconds:
            message = f"{self._id} accepts no new work for {seconds:.2f} s"
            raise Refusal("overloaded", message, retry_after=seconds)


class _OrdersHandler(StandinHandler):
    async def post(self) -> None:
        headers = self.request.headers
        attempt, team = headers.get(ATTEMPT_HEADER, ""), headers.get("X-Team", "")
        order = self._standin.run_order(attempt, team, self.json())
        await self.respond(order, status=201, can_lose_response=True)
