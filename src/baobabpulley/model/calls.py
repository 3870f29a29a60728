"""Calls to plain services (those that are not engines), call tickets and idempotency claims."""

from __future__ import annotations

import hashlib
from typing import Annotated

import msgspec

from baobabpulley.ports.peers import peer_message
from baobabpulley.ports.plain_service import ServiceResponse


class PlainCall(msgspec.Struct, frozen=True):
    """A call to a plain service; ``path`` begins with a slash and includes the query."""

    service: str
    team: str
    method: str
    path: str
    body: bytes
    content_type: str

    @property
    def fingerprint(self) -> str:
        """Hex digest of all fields but ``content_type``; equal digests mean the same call."""
        digest = hashlib.blake2b(digest_size=16)
        for part in (self.service, self.team, self.method, self.path):
            digest.update(part.encode() + b"\0")
        digest.update(self.body)
        return digest.hexdigest()


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """Permission to run one call at most once, on the entry incarnation that issued it.

    ``address`` is that entry's HTTP address, ``sequence`` the ticket's number within the
    incarnation. When the entry shuts down, another entry of ``failure_domain`` succeeds it.
    """

    address: str
    incarnation: str
    sequence: int
    team: str
    failure_domain: str = ""


class ClaimDocument(msgspec.Struct, frozen=True):
    """``/baobab/claims/<team>/<digest>``: claim on an idempotency key, with the outcome.

    ``state`` is ``claimed`` until the outcome is known; only a ``done`` claim has an ``answer``.
    """

    claim_id: str
    entry: str
    fingerprint: str
    state: Annotated[str, msgspec.Meta(pattern="^(claimed|done|unknown)$")]
    answer: ServiceResponse | None = None


@peer_message("ticket.run")
class RunTicket(msgspec.Struct, frozen=True):
    """Request to the issuing entry to run a ticket's call, or return its first outcome."""

    ticket: Ticket
    call: PlainCall


class RetainedOutcome(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of a finished ticketed call: the service's answer, or an error."""

    sequence: int
    fingerprint: str
    answer: ServiceResponse | None
    code: str = ""
    message: str = ""


@peer_message("ticket.legacy")
class TicketHandover(msgspec.Struct, frozen=True):
    """The retained outcomes of an incarnation that has stopped, for its only successor.

    An outcome numbered up to ``floor`` that is not in ``kept`` has been evicted.
    """

    incarnation: str
    floor: int
    kept: tuple[RetainedOutcome, ...]


@peer_message("ticket.outcome")
class TicketOutcome(msgspec.Struct, frozen=True):
    """Reply to `RunTicket`: the service's answer, or an error by its code."""

    answer: ServiceResponse | None = None
    code: str = ""
    message: str = ""
    remedy: str = ""
