"""Memory of engines reserved for prompts that are larger than one engine."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from collections.abc import AsyncIterator
from typing import final

from loguru import logger

from baobabpulley.errors import UpstreamOutOfMemory
from baobabpulley.gateway.placer import Placement
from baobabpulley.gateway.sections import EnginesSection
from baobabpulley.model.exchanges import HelperEngine
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.ports.exchange_wire import MemoryReservations
from baobabpulley.timers import TimerService


class _Ticket:
    __slots__ = ("name", "tokens", "upstream")

    def __init__(self, *, upstream: ListedUpstream, tokens: int) -> None:
        self.name = secrets.token_hex(12)
        self.upstream = upstream
        self.tokens = tokens


@final
class TicketManager:
    """Take all tickets of a prompt or none, renew them while it runs, and give them back."""

    __slots__ = ("_reservations", "_section", "_tasks", "_timers")

    def __init__(
        self, *, reservations: MemoryReservations, section: EnginesSection, timers: TimerService
    ) -> None:
        self._reservations = reservations
        self._section = section
        self._timers = timers
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def reserved(self, placement: Placement) -> AsyncIterator[tuple[HelperEngine, ...]]:
        """Yield the helpers of a placement, with their tickets held until the block ends.

        Raises `UpstreamOutOfMemory` if an engine has not got the memory any more.
        """
        plan = placement.plan
        if plan is None:
            yield ()
            return
        tickets = [
            _Ticket(upstream=helper, tokens=plan.ticket_tokens)
            for helper in plan.helpers[: plan.tickets]
        ]
        renewal: asyncio.Task[None] | None = None
        try:
            if tickets:
                await self._reserve_all(tickets)
                renewal = asyncio.get_running_loop().create_task(self._renew(tickets))
            named = {ticket.upstream.id: ticket.name for ticket in tickets}
            yield tuple(
                HelperEngine(address=helper.address, ticket=named.get(helper.id))
                for helper in plan.helpers
            )
        finally:
            if renewal is not None:
                renewal.cancel()
            for ticket in tickets:
                self._release_later(ticket)

    async def _reserve_all(self, tickets: list[_Ticket]) -> None:
        held = await asyncio.gather(*(self._reserve(ticket) for ticket in tickets))
        for ticket, taken in zip(tickets, held, strict=True):
            if not taken:
                raise UpstreamOutOfMemory(
                    f"{ticket.upstream.id} has no memory for a part of the prompt",
                    at_fault=ticket.upstream.id,
                )

    async def _reserve(self, ticket: _Ticket) -> bool:
        return await self._reservations.reserve(
            ticket.upstream,
            ticket=ticket.name,
            tokens=ticket.tokens,
            hold_seconds=self._section.ticket_hold,
        )

    async def _renew(self, tickets: list[_Ticket]) -> None:
        """Renew tickets until cancelled; an engine that does not answer holds nothing up."""
        async with asyncio.TaskGroup() as renewals:
            while True:
                await self._timers.sleep(self._section.ticket_renewal)
                for ticket in tickets:
                    renewals.create_task(self._renew_once(ticket))

    async def _renew_once(self, ticket: _Ticket) -> None:
        if not await self._reserve(ticket):
            logger.bind(event="ticket_lost", upstream=ticket.upstream.id).warning(
                "a reservation was not renewed"
            )

    def _release_later(self, ticket: _Ticket) -> None:
        # The caller may be gone already; the memory has to be given back all the same.
        release = self._reservations.release(ticket.upstream, ticket=ticket.name)
        task = asyncio.get_running_loop().create_task(release)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
