"""Messages between entries and owner keepers: engine memory, gangs' turns and teams' tokens.

Each upstream, each team and the queue of gangs has one owner among the keepers, chosen by
rendezvous hashing, that grants memory, tokens or turns. The entry that receives a grant is its
holder.
"""

from __future__ import annotations

import msgspec

from baobabpulley.model.reservations import MemoryClaim
from baobabpulley.ports.peers import peer_message


@peer_message("memory.ask")
class MemoryRequest(msgspec.Struct, frozen=True):
    """Request memory on one upstream.

    If there isn't enough free memory for the claim of a ``gang``, no other reservation gets a new
    grant on that upstream while the gang waits.
    """

    holder: str
    reservation: str
    claim: MemoryClaim
    gang: bool


@peer_message("memory.answer")
class MemoryResponse(msgspec.Struct, frozen=True):
    """Whether memory was granted, and the reason if it wasn't.

    ``retry_after`` is the time after which to retry, in model seconds.
    """

    granted: bool
    reason: str = ""
    retry_after: float = 0.0


@peer_message("memory.release")
class MemoryRelease(msgspec.Struct, frozen=True):
    """Release memory, or stop waiting for it, on the given upstreams."""

    holder: str
    reservation: str
    upstreams: tuple[str, ...]


class HeldClaim(msgspec.Struct, frozen=True, array_like=True):
    """Memory that was granted to a holder."""

    reservation: str
    claim: MemoryClaim


class TeamUsage(msgspec.Struct, frozen=True, array_like=True):
    """A holder's share of a team's tokens in flight, and how much of it is in use.

    ``version`` increases with each request for tokens of the team, so that the owner recognizes
    superseded messages.
    """

    team: str
    held: int
    in_use: int
    version: int


@peer_message("holder.renewal")
class HolderRenewal(msgspec.Struct, frozen=True, array_like=True):
    """Renew everything that one owner keeper has granted to a holder.

    ``digest`` identifies the set of keepers among which the holder looks up owners. ``keepers``
    are their ids, which may be omitted once the owner knows the set by its digest.
    """

    holder: str
    digest: int
    claims: tuple[HeldClaim, ...] = ()
    teams: tuple[TeamUsage, ...] = ()
    keepers: tuple[str, ...] = ()


@peer_message("holder.renewed")
class HolderRenewalResponse(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a renewal.

    ``recalled`` are the teams whose unused tokens the holder is to return. ``unknown`` says that
    the owner doesn't know the set of keepers with this digest.
    """

    recalled: tuple[str, ...] = ()
    unknown: bool = False


@peer_message("team.ask")
class TeamTokensRequest(msgspec.Struct, frozen=True):
    """Request a larger share of a team's tokens in flight.

    ``held`` is the holder's present share. ``need`` is the smallest and ``want`` the desired new
    size of the whole share.
    """

    holder: str
    team: str
    held: int
    need: int
    want: int
    version: int


@peer_message("team.answer")
class TeamTokensResponse(msgspec.Struct, frozen=True):
    """A holder's share of a team's tokens in flight after a request.

    ``held`` is the size of the share, ``limit`` the team's limit. ``in_grace_period`` says that
    the keeper has only just become the team's owner and grants nothing during a grace period.
    ``retry_after`` is the time after which to retry, in model seconds. ``superseded`` says that
    the request was ignored because a later message of the holder had arrived before it.
    """

    granted: bool
    held: int
    limit: int
    in_grace_period: bool = msgspec.field(default=False, name="warming")
    retry_after: float = 0.0
    superseded: bool = msgspec.field(default=False, name="overtaken")


@peer_message("gang.ask")
class GangTurnRequest(msgspec.Struct, frozen=True):
    """Request or renew a gang's turn to acquire engines; ``done`` ends it.

    Only one gang of a failure domain acquires engines at a time. ``waited`` is how long this one
    has waited and ``ideal`` how long it would run without waiting, both in model seconds.
    """

    holder: str
    reservation: str
    waited: float
    ideal: float
    done: bool = False


@peer_message("gang.answer")
class GangTurnResponse(msgspec.Struct, frozen=True):
    """Whether it is the gang's turn to acquire engines."""

    granted: bool
