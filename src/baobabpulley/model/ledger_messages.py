"""Messages that hand the ledgers of keys over from their owner to its successor.

A key stands for an upstream, a team or the queue of gangs. Its owner is the keeper that makes
grants for it; the holder of a grant is an entry.
"""

from __future__ import annotations

import msgspec

from baobabpulley.model.reservation_messages import HeldClaim
from baobabpulley.model.reservation_messages import TeamUsage
from baobabpulley.ports.peers import peer_message


class ExportedKey(msgspec.Struct, frozen=True, array_like=True):
    """A key whose ledger is exported, and the model seconds since a holder last referred to it."""

    key: str
    ago: float


class ExportedGrant(msgspec.Struct, frozen=True, array_like=True):
    """A grant of engine memory to a holder."""

    holder: str
    held: HeldClaim


class ExportedShare(msgspec.Struct, frozen=True, array_like=True):
    """A holder's share of a team's limit of tokens in flight."""

    holder: str
    hold: TeamUsage


class ExportedGang(msgspec.Struct, frozen=True, array_like=True):
    """A request for several engines at once that waits for its turn; times are model seconds.

    ``ideal`` is its expected duration without any wait, ``unseen`` the time since its last request.
    """

    reservation: str
    waited: float
    ideal: float
    unseen: float


@peer_message("books.ready")
class LedgerExportReady(msgspec.Struct, frozen=True):
    """Request of a keeper that shuts down: the successor is to fetch the ledgers of these keys."""

    vm: str
    keys: tuple[str, ...]


@peer_message("books.ask")
class LedgerExportRequest(msgspec.Struct, frozen=True):
    """Request for the ledgers of keys, from the keeper that becomes their owner."""

    keys: tuple[str, ...]


@peer_message("books")
class LedgerExport(msgspec.Struct, frozen=True):
    """The ledgers of those requested keys that the sender owned; it makes no more grants for them.

    ``turn`` is the gang whose turn it is, empty if there is none.
    """

    keys: tuple[ExportedKey, ...] = ()
    grants: tuple[ExportedGrant, ...] = ()
    shares: tuple[ExportedShare, ...] = ()
    gangs: tuple[ExportedGang, ...] = ()
    turn: str = ""
