"""Call tickets: calls that run at most once and may be retried through any entry.

Tickets need no configuration store. A ticket names the entry incarnation that issued it. Only that
incarnation runs the call; other entries forward to it. An incarnation that shuts down stops running
calls, then hands its outcomes over to one successor in its failure domain, which serves them from
then on. If an incarnation ends without a successor, the outcome stays unknown.
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
HANDOVER_PATH: Final = "/internal/tickets/legacy"
HANDOVER_TIMEOUT_SECONDS: Final = 2.0
# Incarnations of other entries whose outcomes one entry keeps; the oldest is evicted.
MAX_RESTORED_CACHES: Final = 16


@section("tickets", "entry")
class TicketsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``remembered`` is the number of outcomes kept, ``wait`` how long a caller waits for one."""

    remembered: Count = 50_000
    wait: Seconds = 12.0


RunOnce = Callable[[PlainCall], Awaitable[ServiceResponse]]


@final
class Tickets:
    """Issue call tickets, run those of this incarnation, and forward the others."""

    __slots__ = (
        "_address",
        "_cache",
        "_client",
        "_closed",
        "_incarnation",
        "_restored",
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
        self._restored: dict[str, OutcomeCache] = {}
        self._incarnation = secrets.token_hex(8)
        self._cache = OutcomeCache(capacity=section.remembered, owner=address)
        self._signer = Signer(secret=secret, kind="call-ticket", struct=Ticket)

    @property
    def running(self) -> int:
        """Number of ticketed calls without an outcome; their callers may have disconnected."""
        restored = sum(cache.running for cache in self._restored.values())
        return self._cache.running + restored

    def issue(self, *, team: str) -> str:
        """Return a new signed ticket for one call of a team."""
        ticket = Ticket(
            address=self._address,
            incarnation=self._incarnation,
            sequence=self._cache.issue(),
            team=team,
            failure_domain=self._view.failure_domain,
        )
        return self._signer.sign(ticket)

    async def run(self, token: str, call: PlainCall) -> ServiceResponse:
        """Return the outcome of a ticket's call, whichever entry issued the ticket.

        Raises `TicketInvalid` for a ticket that is forged or of another team, `OutcomeUnknown` if
        neither the issuer nor a successor responds.
        """
        try:
            ticket = self._signer.open(token)
        except Forbidden as error:
            raise TicketInvalid("the call ticket is not valid for this client account") from error
        if ticket.team != call.team:
            raise TicketInvalid("the call ticket is not valid for this client account")
        is_local = ticket.address == self._address or ticket.incarnation in self._restored
        try:
            if is_local:
                return await self.run_locally(ticket, call)
            return await self._forward(ticket.address, ticket, call)
        except TicketIssuerUnavailable as error:
            for successor in self._successors(ticket.incarnation, ticket.failure_domain):
                with contextlib.suppress(TicketIssuerUnavailable):
                    return await self._forward(successor, ticket, call)
            raise OutcomeUnknown(error.message, remedy=error.remedy) from error

    async def run_locally(self, ticket: Ticket, call: PlainCall) -> ServiceResponse:
        """Run a ticket's call on this entry, or return its first outcome."""
        cache = self._cache_of(ticket.incarnation)
        try:
            async with self._timers.timeout(self._section.wait):
                return await cache.run(
                    ticket.sequence,
                    fingerprint=call.fingerprint,
                    run=lambda: self._run_once(call),
                )
        except TimeoutError:
            raise OutcomeUnknown(
                "the call has no outcome yet", remedy="Retry with the same ticket."
            ) from None

    def _cache_of(self, incarnation: str) -> OutcomeCache:
        cache = self._restored.get(incarnation)
        if incarnation == self._incarnation:
            cache = self._cache
        if cache is None or self._closed:
            raise TicketIssuerUnavailable(
                "the entry incarnation that issued the ticket has been replaced"
            )
        return cache

    async def hand_over(self) -> None:
        """Stop running calls and hand the outcomes over; call it once no call is running."""
        self._closed = True
        caches = {**self._restored, self._incarnation: self._cache}
        for incarnation, cache in caches.items():
            await self._hand_to_successor(cache.export(incarnation))

    async def _hand_to_successor(self, handover: TicketHandover) -> None:
        for successor in self._successors(handover.incarnation, self._view.failure_domain):
            try:
                if (
                    await self._request(
                        successor, HANDOVER_PATH, handover, seconds=HANDOVER_TIMEOUT_SECONDS
                    )
                    is not None
                ):
                    return
            except UpstreamUnreachable:
                continue
            except (UpstreamLost, MessageRejected):
                # The entry may have taken them over, and there must be only one successor.
                return

    def _successors(self, incarnation: str, failure_domain: str) -> tuple[str, ...]:
        """Return addresses of entries that may succeed an incarnation, the preferred one first."""
        addresses = [
            vm.http
            for vm in self._view.entry_vms
            if vm.failure_domain == failure_domain and vm.http
        ]
        return tuple(
            address for address in ranked(incarnation, addresses) if address != self._address
        )

    def take_over(self, data: bytes) -> bytes:
        """Take over the outcomes of another incarnation; return the sealed acknowledgement.

        Raises `MessageRejected` if the message is not a handover, `NotReady` during shutdown.
        """
        opened = self._sealer.open(data, receiver=self._address)
        handover = opened.message
        if not isinstance(handover, TicketHandover):
            raise MessageRejected("the message is not a ticket handover")
        if self._closed:
            raise NotReady("this entry is shutting down, too")
        if handover.incarnation not in self._restored:
            self._restored[handover.incarnation] = OutcomeCache.restore(
                handover, capacity=self._section.remembered, owner=self._address
            )
        while len(self._restored) > MAX_RESTORED_CACHES:
            del self._restored[next(iter(self._restored))]
        return self._sealer.seal(
            Acknowledgement(), kind=kind_of(Acknowledgement()), reply_to=opened.nonce
        ).data

    async def run_forwarded(self, data: bytes) -> bytes:
        """Run a call that another entry forwarded; return the sealed outcome.

        Raises `MessageRejected` if the message is not a valid forwarded call.
        """
        opened = self._sealer.open(data, receiver=self._address)
        request = opened.message
        if not isinstance(request, RunTicket):
            raise MessageRejected("the message is not a forwarded call")
        if request.ticket.team != request.call.team:
            raise MessageRejected("the ticket belongs to another team")
        outcome = await self._outcome(request)
        return self._sealer.seal(outcome, kind=kind_of(outcome), reply_to=opened.nonce).data

    async def _outcome(self, request: RunTicket) -> TicketOutcome:
        try:
            return TicketOutcome(answer=await self.run_locally(request.ticket, request.call))
        except BaobabError as error:
            return TicketOutcome(code=error.code, message=error.message, remedy=error.remedy)

    async def _forward(self, address: str, ticket: Ticket, call: PlainCall) -> ServiceResponse:
        request = RunTicket(ticket=ticket, call=call)
        try:
            outcome = await self._request(
                address, FORWARD_PATH, request, seconds=self._section.wait
            )
        except (UpstreamUnreachable, UpstreamLost, MessageRejected) as error:
            # An earlier attempt may have run there, so the error must not say "not run".
            error_class = (
                TicketIssuerUnavailable
                if isinstance(error, UpstreamUnreachable)
                else OutcomeUnknown
            )
            raise error_class(
                f"the entry that issued the ticket did not respond: {error.message}",
                remedy="Retry with the same ticket; if that entry is removed, ask the service.",
            ) from error
        if outcome is None:
            raise TicketIssuerUnavailable("the entry that issued the ticket is shutting down")
        return _response_of(outcome)

    async def _request(
        self, address: str, path: str, request: msgspec.Struct, *, seconds: float
    ) -> msgspec.Struct | None:
        """Return another entry's reply, or ``None`` if it is not ready to handle the message."""
        sealed = self._sealer.seal(request, kind=kind_of(request), receiver=address)
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
            raise UpstreamLost(f"the entry at {address} responded with status {status}")
        return self._sealer.open(data, reply_to=sealed.nonce).message


def _response_of(outcome: object) -> ServiceResponse:
    if not isinstance(outcome, TicketOutcome):
        raise OutcomeUnknown("the entry that issued the ticket sent an unexpected reply")
    if outcome.answer is not None:
        return outcome.answer
    error_class = errors_by_code().get(outcome.code, OutcomeUnknown)
    raise error_class(outcome.message, remedy=outcome.remedy)
