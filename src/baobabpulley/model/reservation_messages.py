"""Messages between entries and home keepers about memory, gangs' turns and teams' tokens."""

from __future__ import annotations

import msgspec

from baobabpulley.model.reservations import MemoryClaim
from baobabpulley.ports.peers import peer_message


@peer_message("memory.ask")
class MemoryRequest(msgspec.Struct, frozen=True):
    """Ask for memory on one upstream.

    A claim of a ``gang`` that finds no room stops newer grants of others on that upstream.
    """

    holder: str
    reservation: str
    claim: MemoryClaim
    gang: bool


@peer_message("memory.answer")
class MemoryResponse(msgspec.Struct, frozen=True):
    """Whether memory was granted; if not, why, and the model seconds after which to ask again."""

    granted: bool
    reason: str = ""
    retry_after: float = 0.0


@peer_message("memory.release")
class MemoryRelease(msgspec.Struct, frozen=True):
    """Give memory back, or stop waiting for it, on the upstreams named."""

    holder: str
    reservation: str
    upstreams: tuple[str, ...]


class HeldClaim(msgspec.Struct, frozen=True, array_like=True):
    """Memory that a holder was granted."""

    reservation: str
    claim: MemoryClaim


class TeamUsage(msgspec.Struct, frozen=True, array_like=True):
    """What a holder may spend of a team's tokens in flight, and how much of it is in use.

    ``version`` grows with each question about the team, so that an older message is known.
    """

    team: str
    held: int
    in_use: int
    version: int


@peer_message("holder.renewal")
class HolderRenewal(msgspec.Struct, frozen=True, array_like=True):
    """All that a holder has of one home keeper.

    ``digest`` is that of the keepers among which it looks for homes, and ``keepers`` are their
    ids, which may be left out once the home knows them.
    """

    holder: str
    digest: int
    claims: tuple[HeldClaim, ...] = ()
    teams: tuple[TeamUsage, ...] = ()
    keepers: tuple[str, ...] = ()


@peer_message("holder.renewed")
class HolderRenewalResponse(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a renewal: teams of which unused tokens are wanted back.

    ``unknown`` says that the home cannot tell which keepers the digest stands for.
    """

    recalled: tuple[str, ...] = ()
    unknown: bool = False


@peer_message("team.ask")
class TeamTokensRequest(msgspec.Struct, frozen=True):
    """Ask for tokens in flight of a team: ``need`` in all at least, ``want`` at best."""

    holder: str
    team: str
    held: int
    need: int
    want: int
    version: int


@peer_message("team.answer")
class TeamTokensResponse(msgspec.Struct, frozen=True):
    """What the holder may spend now.

    ``warming`` says that the keeper has just become the team's home, ``overtaken`` that a later
    message of the holder came first, so that the question was not looked at.
    """

    granted: bool
    held: int
    limit: int
    warming: bool = False
    retry_after: float = 0.0
    overtaken: bool = False


@peer_message("gang.ask")
class GangTurnRequest(msgspec.Struct, frozen=True):
    """Ask for the failure domain's turn to acquire members, or keep it, or end it (``done``).

    ``waited`` and ``ideal`` are model seconds.
    """

    holder: str
    reservation: str
    waited: float
    ideal: float
    done: bool = False


@peer_message("gang.answer")
class GangTurnResponse(msgspec.Struct, frozen=True):
    """Whether it is this gang's turn."""

    granted: bool
