"""Call tickets: a once-only call that may be repeated through any entry, without the store.

A ticket names the incarnation that issued it. Only that incarnation ever runs the call; any
other entry forwards to it. An incarnation that shuts down closes, then hands what it remembers to
one heir in its failure domain, which stands in for it from then on. Once an incarnation is gone
without an heir the outcome is unknown for good.
"""

from __future__ import annotations

import contextlib
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
from baobabpulley.errors import BaobabError
from baobabpulley.errors import Forbidden
from baobabpulley.errors import MessageRejected
from baobabpulley.errors import NotReady
from baobabpulley.errors import OutcomeUnknown
from baobabpulley.errors import TicketInvalid
from baobabpulley.errors import TicketIssuerUnavailable
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.errors import errors_by_code
from baobabpulley.model.calls import PlainCall
from baobabpulley.model.calls import RunTicket
from baobabpulley.model.calls import Ticket
from baobabpulley.model.calls import TicketHandover
from baobabpulley.model.calls import TicketOutcome
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.messages import Acknowledgement
from baobabpulley.policy.outcomes import OutcomeCache
from baobabpulley.policy.rendezvous import ranked
from baobabpulley.ports.plain_service import ServiceResponse
from baobabpulley.settings import Count
from baobabpulley.settings import Seconds
from baobabpulley.settings import section
from baobabpulley.timers import TimerService

TICKET_HEADER: Final = "Call-Ticket"
FORWARD_PATH: Final = "/internal/tickets"
LEGACY_PATH: Final = "/internal/tickets/legacy"
LEGACY_TIMEOUT: Final = 2.0
# Incarnations of other entries that one entry stands in for at a time.
MAX_ADOPTED: Final = 16


@section("tickets", "entry")
class TicketsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``remembered`` outcomes are kept; ``wait`` is how long a caller waits for one."""

    remembered: Count = 50_000
    wait: Seconds = 12.0


RunOnce = Callable[[PlainCall], Awaitable[ServiceResponse]]


@final
class Tickets:
    """Issue tickets, run this incarnation's own, and forward the others."""

    __slots__ = (
        "_address",
        "_adopted",
        "_client",
        "_closed",
        "_incarnation",
        "_memory",
        "_run_once",
        "_sealer",
        "_section",
        "_signer",
        "_timers",
        "_view",
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
        view: FleetView,
    ) -> None:
        self._address = address
        self._section = section
        self._run_once = run_once
        self._sealer = sealer
        self._client = client
        self._timers = timers
        self._view = view
        self._closed = False
        self._adopted: dict[str, OutcomeCache] = {}
        self._incarnation = secrets.token_hex(8)
        self._memory = OutcomeCache(capacity=section.remembered, owner=address)
        self._signer = Signer(secret=secret, kind="call-ticket", struct=Ticket)

    @property
    def running(self) -> int:
        """Ticketed calls without an outcome, whose caller may have gone away."""
        adopted = sum(memory.running for memory in self._adopted.values())
        return self._memory.running + adopted

    def issue(self, *, team: str) -> str:
        """Return a new ticket for one call of a team."""
        ticket = Ticket(
            address=self._address,
            incarnation=self._incarnation,
            sequence=self._memory.issue(),
            team=team,
            failure_domain=self._view.failure_domain,
        )
        return self._signer.sign(ticket)

    async def run(self, token: str, call: PlainCall) -> ServiceResponse:
        """Return the outcome of a ticket's call wherever it was issued.

        Raises `TicketInvalid` for a ticket that is forged or another team's.
        """
        try:
            ticket = self._signer.open(token)
        except Forbidden as error:
            raise TicketInvalid("the call ticket is not valid for this client account") from error
        if ticket.team != call.team:
            raise TicketInvalid("the call ticket is not valid for this client account")
        here = ticket.address == self._address or ticket.incarnation in self._adopted
        try:
            if here:
                return await self.run_here(ticket, call)
            return await self._forward(ticket.address, ticket, call)
        except TicketIssuerUnavailable as gone:
            for heir in self._heirs(ticket.incarnation, ticket.failure_domain):
                with contextlib.suppress(TicketIssuerUnavailable):
                    return await self._forward(heir, ticket, call)
            raise OutcomeUnknown(gone.message, remedy=gone.remedy) from gone

    async def run_here(self, ticket: Ticket, call: PlainCall) -> ServiceResponse:
        """Run a ticket of this incarnation, or tell its first outcome."""
        memory = self._memory_of(ticket.incarnation)
        try:
            async with self._timers.timeout(self._section.wait):
                return await memory.run(
                    ticket.sequence,
                    fingerprint=call.fingerprint,
                    run=lambda: self._run_once(call),
                )
        except TimeoutError:
            raise OutcomeUnknown(
                "the call has no outcome yet", remedy="Repeat it with the same ticket."
            ) from None

    def _memory_of(self, incarnation: str) -> OutcomeCache:
        memory = self._adopted.get(incarnation)
        if incarnation == self._incarnation:
            memory = self._memory
        if memory is None or self._closed:
            raise TicketIssuerUnavailable(
                "the entry that issued the ticket has been replaced since"
            )
        return memory

    async def hand_over(self) -> None:
        """Run nothing more, and hand what is remembered to an heir; call it once all has ended."""
        self._closed = True
        memories = {**self._adopted, self._incarnation: self._memory}
        for incarnation, memory in memories.items():
            await self._hand(memory.export(incarnation))

    async def _hand(self, legacy: TicketHandover) -> None:
        for heir in self._heirs(legacy.incarnation, self._view.failure_domain):
            try:
                if await self._ask(heir, LEGACY_PATH, legacy, seconds=LEGACY_TIMEOUT) is not None:
                    return
            except UpstreamUnreachable:
                continue
            except (UpstreamLost, MessageRejected):
                # It may have adopted them, and there must not be two heirs.
                return

    def _heirs(self, incarnation: str, failure_domain: str) -> tuple[str, ...]:
        """Return the entries that may stand in for an incarnation, the likeliest first."""
        addresses = [
            vm.http
            for vm in self._view.entry_vms
            if vm.failure_domain == failure_domain and vm.http
        ]
        return tuple(
            address for address in ranked(incarnation, addresses) if address != self._address
        )

    def adopt(self, data: bytes) -> bytes:
        """Stand in for an incarnation that hands its tickets over; see `answer_forwarded`."""
        opened = self._sealer.open(data, receiver=self._address)
        legacy = opened.message
        if not isinstance(legacy, TicketHandover):
            raise MessageRejected("the message hands over no tickets")
        if self._closed:
            raise NotReady("this entry is shutting down itself")
        if legacy.incarnation not in self._adopted:
            self._adopted[legacy.incarnation] = OutcomeCache.restore(
                legacy, capacity=self._section.remembered, owner=self._address
            )
        while len(self._adopted) > MAX_ADOPTED:
            del self._adopted[next(iter(self._adopted))]
        return self._sealer.seal(
            Acknowledgement(), kind=kind_of(Acknowledgement()), reply_to=opened.nonce
        ).data

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

    async def _forward(self, address: str, ticket: Ticket, call: PlainCall) -> ServiceResponse:
        question = RunTicket(ticket=ticket, call=call)
        try:
            outcome = await self._ask(address, FORWARD_PATH, question, seconds=self._section.wait)
        except (UpstreamUnreachable, UpstreamLost, MessageRejected) as error:
            # An earlier try may have run there, so this is never "not run".
            kind = (
                TicketIssuerUnavailable
                if isinstance(error, UpstreamUnreachable)
                else OutcomeUnknown
            )
            raise kind(
                f"the entry that issued the ticket does not answer: {error.message}",
                remedy="Repeat it with the same ticket; if that entry is gone, ask the service.",
            ) from error
        if outcome is None:
            raise TicketIssuerUnavailable("the entry that issued the ticket is shutting down")
        return _answer_of(outcome)

    async def _ask(
        self, address: str, path: str, question: msgspec.Struct, *, seconds: float
    ) -> msgspec.Struct | None:
        """Return another entry's answer, or ``None`` if it refused to look at the question."""
        sealed = self._sealer.seal(question, kind=kind_of(question), receiver=address)
        status, data = await fetch(
            self._client,
            address=address,
            method="POST",
            path=path,
            body=sealed.data,
            timeout=self._timers.to_real_seconds(seconds),
        )
        if status == NotReady.status:
            return None
        if status != 200:
            raise UpstreamLost(f"the entry at {address} answered with status {status}")
        return self._sealer.open(data, reply_to=sealed.nonce).message


def _answer_of(outcome: object) -> ServiceResponse:
    if not isinstance(outcome, TicketOutcome):
        raise OutcomeUnknown("the entry that issued the ticket sent another answer")
    if outcome.answer is not None:
        return outcome.answer
    kind = errors_by_code().get(outcome.code, OutcomeUnknown)
    raise kind(outcome.message, remedy=outcome.remedy)
