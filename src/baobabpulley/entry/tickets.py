"""Call tickets: a once-only call that may be repeated through any entry, without the store.

A ticket names the incarnation that issued it. Only that incarnation ever runs the call; any
other entry forwards to it. Once the incarnation is gone the outcome is unknown for good.
"""

from __future__ import annotations

import secrets
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final
from typing import final

import msgspec

from baobabpulley.adapters.envelope import Sealer
from baobabpulley.adapters.envelope import kind_of
from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch
from baobabpulley.adapters.signing import Signer
from baobabpulley.entry.web import REQUEST_ID_HEADER
from baobabpulley.entry.web import EntryHandler
from baobabpulley.entry.web import route
from baobabpulley.errors import BaobabError
from baobabpulley.errors import Forbidden
from baobabpulley.errors import MessageRejected
from baobabpulley.errors import NotReady
from baobabpulley.errors import OutcomeUnknown
from baobabpulley.errors import TicketInvalid
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamUnreached
from baobabpulley.errors import error_kinds
from baobabpulley.model.calls import PlainCall
from baobabpulley.model.calls import RunTicket
from baobabpulley.model.calls import Ticket
from baobabpulley.model.calls import TicketOutcome
from baobabpulley.policy.outcomes import OutcomeMemory
from baobabpulley.ports.plain_service import ServiceAnswer
from baobabpulley.settings import Count
from baobabpulley.settings import Seconds
from baobabpulley.settings import section
from baobabpulley.timers import TimerService

TICKET_HEADER: Final = "Call-Ticket"
FORWARD_PATH: Final = "/internal/tickets"


@section("tickets", "entry")
class TicketsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``remembered`` outcomes are kept; ``wait`` is how long a caller waits for one."""

    remembered: Count = 50_000
    wait: Seconds = 12.0


RunOnce = Callable[[PlainCall], Awaitable[ServiceAnswer]]


@final
class Tickets:
    """Issue tickets, run this incarnation's own, and forward the others."""

    __slots__ = (
        "_address",
        "_client",
        "_incarnation",
        "_memory",
        "_run_once",
        "_sealer",
        "_section",
        "_signer",
        "_timers",
    )

    def __init__(
        self,
        *,
        address: str,
        secret: str,
        section: TicketsSection,
        run_once: RunOnce,
        sealer: Sealer,
        client: HttpClient,
        timers: TimerService,
    ) -> None:
        self._address = address
        self._section = section
        self._run_once = run_once
        self._sealer = sealer
        self._client = client
        self._timers = timers
        self._incarnation = secrets.token_hex(8)
        self._memory = OutcomeMemory(capacity=section.remembered, owner=address)
        self._signer = Signer(secret=secret, kind="call-ticket", struct=Ticket)

    @property
    def running(self) -> int:
        """Ticketed calls without an outcome, whose caller may have gone away."""
        return self._memory.running

    def issue(self, *, team: str) -> str:
        """Return a new ticket for one call of a team."""
        ticket = Ticket(
            address=self._address,
            incarnation=self._incarnation,
            sequence=self._memory.issue(),
            team=team,
        )
        return self._signer.sign(ticket)

    async def run(self, token: str, call: PlainCall) -> ServiceAnswer:
        """Return the outcome of a ticket's call wherever it was issued.

        Raises `TicketInvalid` for a ticket that is forged or another team's.
        """
        try:
            ticket = self._signer.open(token)
        except Forbidden as error:
            raise TicketInvalid("the call ticket is not valid for this client account") from error
        if ticket.team != call.team:
            raise TicketInvalid("the call ticket is not valid for this client account")
        if ticket.address == self._address:
            return await self.run_here(ticket, call)
        return await self._forward(ticket, call)

    async def run_here(self, ticket: Ticket, call: PlainCall) -> ServiceAnswer:
        """Run a ticket of this incarnation, or tell its first outcome."""
        if ticket.incarnation != self._incarnation:
            raise OutcomeUnknown("the entry that issued the ticket has been replaced since")
        try:
            async with self._timers.limit(self._section.wait):
                return await self._memory.run(
                    ticket.sequence,
                    fingerprint=call.fingerprint,
                    run=lambda: self._run_once(call),
                )
        except TimeoutError:
            raise OutcomeUnknown(
                "the call has no outcome yet", remedy="Repeat it with the same ticket."
            ) from None

    async def answer_forwarded(self, data: bytes) -> bytes:
        """Run a call that another entry forwarded; raise `MessageRejected` if it is not one."""
        opened = self._sealer.open(data, receiver=self._address)
        question = opened.message
        if not isinstance(question, RunTicket):
            raise MessageRejected("the message is not a forwarded call")
        if question.ticket.team != question.call.team:
            raise MessageRejected("the ticket is another team's")
        outcome = await self._outcome(question)
        return self._sealer.seal(outcome, kind=kind_of(outcome), reply_to=opened.nonce).data

    async def _outcome(self, question: RunTicket) -> TicketOutcome:
        try:
            return TicketOutcome(answer=await self.run_here(question.ticket, question.call))
        except BaobabError as error:
            return TicketOutcome(code=error.code, message=error.message, remedy=error.remedy)

    async def _forward(self, ticket: Ticket, call: PlainCall) -> ServiceAnswer:
        question = RunTicket(ticket=ticket, call=call)
        sealed = self._sealer.seal(question, kind=kind_of(question), receiver=ticket.address)
        try:
            status, data = await fetch(
                self._client,
                address=ticket.address,
                method="POST",
                path=FORWARD_PATH,
                body=sealed.data,
                timeout=self._timers.real(self._section.wait),
            )
            if status != 200:
                raise UpstreamLost(f"the issuing entry answered with status {status}")
            outcome = self._sealer.open(data, reply_to=sealed.nonce).message
        except (UpstreamUnreached, UpstreamLost, MessageRejected) as error:
            # An earlier try may have run there, so this is never "not run".
            raise OutcomeUnknown(
                f"the entry that issued the ticket does not answer: {error.message}",
                remedy="Repeat it with the same ticket; if that entry is gone, ask the service.",
            ) from error
        return _answer_of(outcome)


def _answer_of(outcome: object) -> ServiceAnswer:
    if not isinstance(outcome, TicketOutcome):
        raise OutcomeUnknown("the entry that issued the ticket sent another answer")
    if outcome.answer is not None:
        return outcome.answer
    kind = error_kinds().get(outcome.code, OutcomeUnknown)
    raise kind(outcome.message, remedy=outcome.remedy)


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
            self.context.metrics.rejected.inc()
            raise
        finally:
            self.context.lifecycle.end()
        self.set_header("Content-Type", "application/octet-stream")
        await self.finish(answer)
