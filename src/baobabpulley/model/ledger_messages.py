"""Messages by which the books of keys pass from one home keeper to the next."""

from __future__ import annotations

import msgspec

from baobabpulley.model.reservation_messages import HeldClaim
from baobabpulley.model.reservation_messages import TeamHold
from baobabpulley.ports.peers import peer_message


class ExportedKey(msgspec.Struct, frozen=True, array_like=True):
    """A key whose book is given away, and the model seconds since a holder last named it."""

    key: str
    ago: float


class ExportedGrant(msgspec.Struct, frozen=True, array_like=True):
    """A grant of memory."""

    holder: str
    held: HeldClaim


class ExportedShare(msgspec.Struct, frozen=True, array_like=True):
    """A holder's share of a team's tokens in flight."""

    holder: str
    hold: TeamHold


class ExportedGang(msgspec.Struct, frozen=True, array_like=True):
    """A gang that waits for its turn; times are model seconds."""

    reservation: str
    waited: float
    ideal: float
    unseen: float


@peer_message("books.ready")
class LedgerExportReady(msgspec.Struct, frozen=True):
    """A keeper that leaves asks the next home of some keys to fetch their books."""

    vm: str
    keys: tuple[str, ...]


@peer_message("books.ask")
class LedgerExportRequest(msgspec.Struct, frozen=True):
    """Ask for the books of keys; the asker is their next home."""

    keys: tuple[str, ...]


@peer_message("books")
class LedgerExport(msgspec.Struct, frozen=True):
    """The books of those keys that the sender could grant; from now on it grants none of them."""

    keys: tuple[ExportedKey, ...] = ()
    grants: tuple[ExportedGrant, ...] = ()
    shares: tuple[ExportedShare, ...] = ()
    gangs: tuple[ExportedGang, ...] = ()
    turn: str = ""
