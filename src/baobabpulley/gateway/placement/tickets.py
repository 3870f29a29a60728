"""Reservations of engine memory for prompts that are spread over several engines."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterable
from typing import Final
from typing import final

from loguru import logger

from baobabpulley.errors import UpstreamOutOfMemory
from baobabpulley.gateway.exchanges.attempt_progress import AttemptProgress
from baobabpulley.gateway.placement.placement import Placement
from baobabpulley.gateway.placement.unused_memory import UnusedMemoryWatch
from baobabpulley.gateway.placement.upstream_record import UpstreamRecord
from baobabpulley.gateway.sections import EnginesSection
from baobabpulley.model.exchanges import HelperEngine
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.prompt_placement import Plan
from baobabpulley.ports.exchange_wire import MemoryReservations
from baobabpulley.timers import TimerService

# A renewal that has no answer yet is given up; the next one is due.
RENEWAL_TIMEOUT_SECONDS: Final = 0.4
# An engine without an answer to a first reservation for so long is silent. It may be pausing.
SILENCE_SECONDS: Final = 0.4
# A silent engine is waited for no longer, as memory is held elsewhere meanwhile.
MAX_SILENCE_SECONDS: Final = 2.0
# A stream that is silent for longer has likely ended, its last bytes lost: its memory isn't renewed
# until it goes on, so that it is free again within 4 s. Sound upstreams pause for a second or so.
MAX_RENEWED_SILENCE_SECONDS: Final = 1.5
# Silence that is noticed later than by this may have been a hold-up of this process.
MAX_LATENESS_SECONDS: Final = 0.1
# While an engine is silent, the others are looked at this often.
CHECK_PERIOD_SECONDS: Final = 0.25

# Whether a prompt could be placed without the engines of these ids.
CanPlaceWithout = Callable[[frozenset[str]], bool]


class _Ticket:
    """A reservation of memory at one engine, identified by a random name.

    ``is_sent`` is whether the engine may have been asked for it.
    """

    __slots__ = ("is_sent", "name", "tokens", "upstream")

    def __init__(self, *, upstream: ListedUpstream, tokens: int) -> None:
        self.name = secrets.token_hex(12)
        self.upstream = upstream
        self.tokens = tokens
        self.is_sent = False


@final
class TicketManager:
    """Reserve the memory of a prompt at all engines or none, renew it, and release it.

    Memory of running prompts is renewed also at engines that are leaving or asked for no requests,
    and in evacuated failure domains, where none is reserved for other prompts.
    """

    __slots__ = ("_record", "_reservations", "_section", "_tasks", "_timers")

    def __init__(
        self,
        *,
        reservations: MemoryReservations,
        record: UpstreamRecord,
        section: EnginesSection,
        timers: TimerService,
    ) -> None:
        self._reservations = reservations
        self._record = record
        self._section = section
        self._timers = timers
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def reserved(
        self,
        placement: Placement,
        *,
        request: str,
        is_stream: bool,
        is_replaceable: Callable[[], bool],
        seconds: float,
        progress: AttemptProgress,
        can_place_without: CanPlaceWithout,
    ) -> AsyncIterator[tuple[HelperEngine, ...]]:
        """Yield the helper engines of a placement, with their tickets renewed within the block.

        An engine that is silent is waited for, at most ``seconds``, while the prompt has no place
        without it; the wait is recorded in ``progress``, as the first engine has no request yet.
        ``request`` is the id by which the request is logged, ``is_stream`` whether events show that
        it has begun, and ``is_replaceable`` returns whether another attempt could follow.

        Raise `UpstreamOutOfMemory` if an engine no longer has enough free memory, and
        `UpstreamSkipped` if one asked for no requests while memory was reserved, or if its failure
        domain is evacuated. The block is ended with `UpstreamStalled` if no event of a stream shows
        in time that its memory is used.
        """
        plan = placement.plan
        if plan is None:
            yield ()
            return
        for engine in (plan.first, *plan.helpers):
            # Memory for a prompt that can't be sent would only be kept from others.
            self._record.check_not_evacuated(engine)
        tickets = [
            _Ticket(upstream=helper, tokens=plan.ticket_tokens)
            for helper in plan.helpers[: plan.tickets]
        ]
        renewal: asyncio.Task[None] | None = None
        try:
            if tickets:
                await self._reserve_all(
                    tickets,
                    timeout=min(MAX_SILENCE_SECONDS, seconds),
                    progress=progress,
                    can_place_without=can_place_without,
                )
                for helper in plan.helpers:
                    self._record.check_accepting(helper)
                _log_reserved(request, tickets)
                renewal = asyncio.get_running_loop().create_task(self._renew(tickets, progress))
            ticket_names = {ticket.upstream.id: ticket.name for ticket in tickets}
            watched = tickets if is_stream else []
            async with self._ended_if_unused(
                plan, watched, progress, request=request, is_replaceable=is_replaceable
            ):
                yield tuple(
                    HelperEngine(address=helper.address, ticket=ticket_names.get(helper.id))
                    for helper in plan.helpers
                )
        finally:
            if renewal is not None:
                renewal.cancel()
            for ticket in tickets:
                if ticket.is_sent:
                    self._release_later(ticket)

    def _ended_if_unused(
        self,
        plan: Plan,
        tickets: list[_Ticket],
        progress: AttemptProgress,
        *,
        request: str,
        is_replaceable: Callable[[], bool],
    ) -> contextlib.AbstractAsyncContextManager[None]:
        if not tickets:
            return contextlib.nullcontext()
        watch = UnusedMemoryWatch(
            plan,
            progress,
            max_idle=self._section.max_idle,
            is_replaceable=is_replaceable,
            timers=self._timers,
        )
        return watch.ending(request=request, tickets=[ticket.name for ticket in tickets])

    async def _reserve_all(
        self,
        tickets: list[_Ticket],
        *,
        timeout: float,
        progress: AttemptProgress,
        can_place_without: CanPlaceWithout,
    ) -> None:
        loop = asyncio.get_running_loop()
        requests = {
            loop.create_task(self._reserve(ticket, timeout=timeout, is_first=True)): ticket
            for ticket in tickets
        }
        renewal: asyncio.Task[None] | None = None
        try:
            answered, silent = await asyncio.wait(requests, timeout=SILENCE_SECONDS)
            _check_reserved(requests, answered)
            held = [requests[request] for request in answered]
            if silent:
                renewal = loop.create_task(self._renew(held, progress))
            while silent:
                _check_needed(requests, silent, can_place_without)
                progress.record()
                answered, silent = await asyncio.wait(
                    silent, timeout=CHECK_PERIOD_SECONDS, return_when=asyncio.FIRST_COMPLETED
                )
                _check_reserved(requests, answered)
                held += [requests[request] for request in answered]
        finally:
            if renewal is not None:
                renewal.cancel()
            for request in requests:
                request.cancel()
            await asyncio.gather(*requests, return_exceptions=True)

    async def _reserve(self, ticket: _Ticket, *, timeout: float, is_first: bool = False) -> bool:
        def check_first() -> None:
            # Again, as opening the connection may have taken a while.
            self._record.check_not_evacuated(ticket.upstream)
            ticket.is_sent = True

        outcome = await self._reservations.reserve(
            ticket.upstream,
            ticket=ticket.name,
            tokens=ticket.tokens,
            hold_seconds=self._section.ticket_hold,
            timeout=timeout,
            before_send=check_first if is_first else None,
        )
        if outcome.head is not None:
            self._record.record_head(ticket.upstream, outcome.head)
        return outcome.reserved

    async def _renew(self, tickets: list[_Ticket], progress: AttemptProgress) -> None:
        """Renew tickets until cancelled, also those added meanwhile, but not of a silent stream.

        An unresponsive engine doesn't delay the others.
        """
        async with asyncio.TaskGroup() as renewals:
            while True:
                begun = self._timers.now()
                await self._timers.sleep(self._section.ticket_renewal)
                now = self._timers.now()
                is_late = now - begun > self._section.ticket_renewal + MAX_LATENESS_SECONDS
                is_silent = now - progress.at > MAX_RENEWED_SILENCE_SECONDS
                if progress.is_streaming and is_silent and not is_late:
                    continue
                for ticket in tickets:
                    renewals.create_task(self._renew_once(ticket))

    async def _renew_once(self, ticket: _Ticket) -> None:
        if not await self._reserve(ticket, timeout=RENEWAL_TIMEOUT_SECONDS):
            logger.bind(
                event="ticket_lost", upstream=ticket.upstream.id, ticket=ticket.name
            ).warning("the engine did not renew a memory reservation")

    def _release_later(self, ticket: _Ticket) -> None:
        # A task of its own, as the memory has to be released even if the caller disconnects.
        task = asyncio.get_running_loop().create_task(self._release(ticket))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _release(self, ticket: _Ticket) -> None:
        head = await self._reservations.release(ticket.upstream, ticket=ticket.name)
        if head is not None:
            self._record.record_head(ticket.upstream, head)


def _log_reserved(request: str, tickets: list[_Ticket]) -> None:
    logger.bind(
        event="memory_reserved",
        request=request,
        tickets={ticket.upstream.id: ticket.name for ticket in tickets},
        tokens=tickets[0].tokens,
    ).info("memory is reserved on other engines")


_Requests = dict[asyncio.Task[bool], _Ticket]


def _check_reserved(requests: _Requests, answered: Iterable[asyncio.Task[bool]]) -> None:
    """Raise `UpstreamOutOfMemory` if an engine has refused a reservation."""
    for request in answered:
        ticket = requests[request]
        if not request.result():
            raise UpstreamOutOfMemory(
                f"{ticket.upstream.id} did not reserve memory for {ticket.tokens} tokens",
                at_fault=ticket.upstream.id,
            )


def _check_needed(
    requests: _Requests, silent: set[asyncio.Task[bool]], can_place_without: CanPlaceWithout
) -> None:
    """Raise `UpstreamOutOfMemory` if the prompt has a place without the silent engines."""
    engines = sorted(requests[request].upstream.id for request in silent)
    if can_place_without(frozenset(engines)):
        raise UpstreamOutOfMemory(
            f"{engines[0]} did not answer a reservation within {SILENCE_SECONDS} s",
            at_fault=engines[0],
        )
