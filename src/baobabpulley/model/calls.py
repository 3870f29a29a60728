"""Calls of plain services: what callers send, tickets and claims."""

from __future__ import annotations

import hashlib
from typing import Annotated

import msgspec

from baobabpulley.ports.peers import peer_message
from baobabpulley.ports.plain_service import ServiceAnswer


class PlainCall(msgspec.Struct, frozen=True):
    """A caller's call of a plain service; ``path`` begins with a slash, with its query."""

    service: str
    team: str
    method: str
    path: str
    body: bytes
    content_type: str

    @property
    def fingerprint(self) -> str:
        """Digest of everything that makes this call the one it is."""
        digest = hashlib.blake2b(digest_size=16)
        for part in (self.service, self.team, self.method, self.path):
            digest.update(part.encode() + b"\0")
        digest.update(self.body)
        return digest.hexdigest()


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """Leave to run one call once, at the incarnation of the entry that issued it.

    ``address`` is that entry's HTTP address; ``sequence`` counts the incarnation's tickets. An
    heir of that incarnation is another entry of ``failure_domain``.
    """

    address: str
    incarnation: str
    sequence: int
    team: str
    failure_domain: str = ""


class ClaimDocument(msgspec.Struct, frozen=True):
    """``/baobab/claims/<team>/<digest>``: a caller's own key, its claimant and its outcome.

    ``state`` is ``claimed`` until the outcome is known; ``answer`` stands in ``done`` alone.
    """

    claim_id: str
    entry: str
    fingerprint: str
    state: Annotated[str, msgspec.Meta(pattern="^(claimed|done|unknown)$")]
    answer: ServiceAnswer | None = None


@peer_message("ticket.run")
class RunTicket(msgspec.Struct, frozen=True):
    """Ask the entry that issued a ticket to run its call, or to tell the first outcome."""

    ticket: Ticket
    call: PlainCall


class RetainedOutcome(msgspec.Struct, frozen=True, array_like=True):
    """A finished call of a ticket and what its caller was told."""

    sequence: int
    fingerprint: str
    answer: ServiceAnswer | None
    code: str = ""
    message: str = ""


@peer_message("ticket.legacy")
class TicketHandover(msgspec.Struct, frozen=True):
    """The tickets of an incarnation that runs nothing more, for its one heir.

    Outcomes up to ``floor`` that are not among those kept are forgotten.
    """

    incarnation: str
    floor: int
    kept: tuple[RetainedOutcome, ...]


@peer_message("ticket.outcome")
class TicketOutcome(msgspec.Struct, frozen=True):
    """The outcome of a ticketed call: an answer, or a typed error."""

    answer: ServiceAnswer | None = None
    code: str = ""
    message: str = ""
    remedy: str = ""
