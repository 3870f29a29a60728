"""The owner's ledger of engine memory: how many tokens each holder has on each upstream."""

from __future__ import annotations

from typing import Annotated
from typing import Final
from typing import final

import msgspec

from baobabpulley.model.fleet_view import TimedLoad
from baobabpulley.model.ledger_messages import ExportedGrant
from baobabpulley.model.reservation_messages import HeldClaim
from baobabpulley.model.reservation_messages import MemoryRequest
from baobabpulley.model.reservation_messages import MemoryResponse
from baobabpulley.model.reservations import MemoryClaim
from baobabpulley.policy.handover import Handover
from baobabpulley.settings import Count
from baobabpulley.settings import Seconds
from baobabpulley.settings import section

RETRY_AFTER_SECONDS: Final = 0.5


@section("reservations", "entry", "keeper")
class ReservationsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Times of reservations in model seconds; all processes of a fleet need the same values.

    ``expiry`` is how long a grant stays valid without a renewal, ``renewal`` the usual interval
    between two renewals. ``linger`` is how long the tokens of an expired holder still count, until
    its streams have been swept. ``stale_load`` is the age past which a load report is not used,
    ``sweep`` the interval between two sweeps, and ``gang_wait_bound`` the waiting time past which
    the oldest gang goes first. ``shorts_share`` is the fraction of each engine's memory that is
    left to short prompts, which reserve nothing. ``team_allowance`` is the number of tokens in
    flight that an entry holds for a team beyond those in use.
    """

    expiry: Seconds = 4.0
    renewal: Seconds = 1.0
    linger: Seconds = 8.0
    stale_load: Seconds = 5.0
    sweep: Seconds = 1.0
    gang_wait_bound: Seconds = 30.0
    shorts_share: Annotated[float, msgspec.Meta(ge=0, lt=1)] = 0.05
    team_allowance: Count = 32_000


@final
class _Grant:
    __slots__ = ("holder", "tokens", "until")

    def __init__(self, *, holder: str, tokens: int, until: float) -> None:
        self.holder = holder
        self.tokens = tokens
        self.until = until


@final
class _Barrier:
    __slots__ = ("reservation", "until")

    def __init__(self, *, reservation: str, until: float) -> None:
        self.reservation = reservation
        self.until = until


@final
class MemoryLedger:
    """Grants by upstream and reservation; each expires unless it is renewed.

    A gang's claim that finds too little free memory sets a barrier on the upstream: until the
    barrier expires or is removed, nothing is granted there to other reservations.
    """

    __slots__ = ("_barriers", "_grants", "_handover", "_section")

    def __init__(self, *, section: ReservationsSection, handover: Handover) -> None:
        self._section = section
        self._handover = handover
        self._grants: dict[str, dict[str, _Grant]] = {}
        self._barriers: dict[str, _Barrier] = {}

    def reserved(self, upstream: str, *, now: float) -> int:
        """Return the tokens held on an upstream."""
        self._drop_expired(upstream, now)
        return sum(grant.tokens for grant in self._grants.get(upstream, {}).values())

    def request(
        self, request: MemoryRequest, *, load: TimedLoad | None, now: float
    ) -> MemoryResponse:
        """Grant or refuse a claim; idempotent for a reservation that already has a grant."""
        upstream = request.claim.upstream
        self._handover.renew(upstream, now=now)
        self._drop_expired(upstream, now)
        if request.reservation in self._grants.get(upstream, {}):
            self._put(request.holder, request.reservation, request.claim, now)
            return MemoryResponse(granted=True)
        grace = self._handover.grace_remaining(upstream, now=now)
        if grace > 0:
            return _refused("the keeper that owns this upstream has just changed", grace)
        if load is None or now - load.measured_at > self._section.stale_load:
            return _refused("the upstream's load report is missing or stale", RETRY_AFTER_SECONDS)
        barrier = self._barriers.get(upstream)
        if barrier is not None and barrier.reservation != request.reservation:
            return _refused("a waiting gang has priority on this upstream", RETRY_AFTER_SECONDS)
        if request.claim.tokens > self._free_tokens(request.claim, load, now):
            if request.gang:
                self._set_barrier(upstream, request.reservation, now)
            return _refused("the upstream has too little free memory now", RETRY_AFTER_SECONDS)
        self._barriers.pop(upstream, None)
        self._put(request.holder, request.reservation, request.claim, now)
        return MemoryResponse(granted=True)

    def renew(self, holder: str, held: HeldClaim, *, now: float) -> None:
        """Extend a grant by the expiry time; record it if another owner made it."""
        self._put(holder, held.reservation, held.claim, now)

    def release(self, reservation: str, upstream: str) -> None:
        """Remove a reservation's grant and its barrier on an upstream; idempotent."""
        self._grants.get(upstream, {}).pop(reservation, None)
        barrier = self._barriers.get(upstream)
        if barrier is not None and barrier.reservation == reservation:
            del self._barriers[upstream]

    def export(self, upstream: str, *, now: float) -> tuple[ExportedGrant, ...]:
        """Return an upstream's grants for its next owner."""
        self._drop_expired(upstream, now)
        return tuple(
            ExportedGrant(
                holder=grant.holder,
                held=HeldClaim(
                    reservation=reservation,
                    claim=MemoryClaim(upstream=upstream, tokens=grant.tokens),
                ),
            )
            for reservation, grant in self._grants.get(upstream, {}).items()
        )

    def take_over(self, grant: ExportedGrant, *, now: float) -> None:
        """Record a grant of the previous owner for one expiry time, as if it was renewed now.

        The full time is needed because the holder may have renewed it with a third owner after the
        ledger was handed over.
        """
        self._put(grant.holder, grant.held.reservation, grant.held.claim, now)

    def _free_tokens(self, claim: MemoryClaim, load: TimedLoad, now: float) -> int:
        # Reserved memory that is in use is also included in the report, so count the larger figure.
        total = load.report.memory_total
        short_prompt_reserve = int(self._section.shorts_share * total)
        reserved = self.reserved(claim.upstream, now=now)
        if claim.tokens > total - short_prompt_reserve and not reserved:
            # Otherwise such a claim would fit on no engine. Short prompts can use other engines.
            short_prompt_reserve = 0
        return total - max(load.report.memory_held, reserved + short_prompt_reserve)

    def _put(self, holder: str, reservation: str, claim: MemoryClaim, now: float) -> None:
        grants = self._grants.setdefault(claim.upstream, {})
        until = now + self._section.expiry
        grants[reservation] = _Grant(holder=holder, tokens=claim.tokens, until=until)

    def _set_barrier(self, upstream: str, reservation: str, now: float) -> None:
        until = now + self._section.expiry
        self._barriers[upstream] = _Barrier(reservation=reservation, until=until)

    def _drop_expired(self, upstream: str, now: float) -> None:
        grants = self._grants.get(upstream, {})
        for reservation in [name for name, grant in grants.items() if grant.until < now]:
            del grants[reservation]
        barrier = self._barriers.get(upstream)
        if barrier is not None and barrier.until < now:
            del self._barriers[upstream]


def _refused(reason: str, retry_after: float) -> MemoryResponse:
    return MemoryResponse(granted=False, reason=reason, retry_after=retry_after)
