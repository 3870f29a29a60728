"""The home's book of engine memory: who holds how much on which upstream."""

from __future__ import annotations

from typing import Annotated
from typing import Final
from typing import final

import msgspec

from baobabpulley.model.fleet_view import TimedLoad
from baobabpulley.model.ledger_messages import ExportedGrant
from baobabpulley.model.reservation_messages import HeldClaim
from baobabpulley.model.reservation_messages import MemoryAnswer
from baobabpulley.model.reservation_messages import MemoryAsk
from baobabpulley.model.reservations import MemoryClaim
from baobabpulley.policy.handover import Handover
from baobabpulley.settings import Count
from baobabpulley.settings import Seconds
from baobabpulley.settings import section

ASK_AGAIN: Final = 0.5


@section("reservations", "entry", "keeper")
class ReservationsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Expiry and renewal in model seconds; all processes of a fleet need the same figures.

    ``shorts_share`` of each engine's memory is left to prompts that reserve nothing.
    ``team_allowance`` are tokens in flight that an entry holds for a team beyond those in use.
    ``linger`` is how long a lapsed holder's tokens still count, until its streams are swept.
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
class MemoryBook:
    """Grants by upstream and reservation; each lapses unless it is renewed."""

    __slots__ = ("_barriers", "_grants", "_handover", "_section")

    def __init__(self, *, section: ReservationsSection, handover: Handover) -> None:
        self._section = section
        self._handover = handover
        self._grants: dict[str, dict[str, _Grant]] = {}
        self._barriers: dict[str, _Barrier] = {}

    def reserved(self, upstream: str, *, now: float) -> int:
        """Return the tokens held on an upstream."""
        self._lapse(upstream, now)
        return sum(grant.tokens for grant in self._grants.get(upstream, {}).values())

    def ask(self, ask: MemoryAsk, *, load: TimedLoad | None, now: float) -> MemoryAnswer:
        """Grant or refuse; a repeat of a granted question is granted again."""
        upstream = ask.claim.upstream
        self._handover.hear(upstream, now=now)
        self._lapse(upstream, now)
        if ask.reservation in self._grants.get(upstream, {}):
            self._put(ask.holder, ask.reservation, ask.claim, now)
            return MemoryAnswer(granted=True)
        warming = self._handover.remaining(upstream, now=now)
        if warming > 0:
            return _refused("the upstream's home has just changed", warming)
        if load is None or now - load.measured_at > self._section.stale_load:
            return _refused("the upstream's load is not known", ASK_AGAIN)
        barrier = self._barriers.get(upstream)
        if barrier is not None and barrier.reservation != ask.reservation:
            return _refused("a gang waits for this upstream", ASK_AGAIN)
        if ask.claim.tokens > self._room(ask.claim, load, now):
            if ask.gang:
                self._bar(upstream, ask.reservation, now)
            return _refused("the upstream has no room now", ASK_AGAIN)
        self._barriers.pop(upstream, None)
        self._put(ask.holder, ask.reservation, ask.claim, now)
        return MemoryAnswer(granted=True)

    def renew(self, holder: str, held: HeldClaim, *, now: float) -> None:
        """Keep a grant, and enter one that another home gave."""
        self._put(holder, held.reservation, held.claim, now)

    def release(self, reservation: str, upstream: str) -> None:
        """Give a grant back and stop waiting; idempotent."""
        self._grants.get(upstream, {}).pop(reservation, None)
        barrier = self._barriers.get(upstream)
        if barrier is not None and barrier.reservation == reservation:
            del self._barriers[upstream]

    def copy(self, upstream: str, *, now: float) -> tuple[ExportedGrant, ...]:
        """Return an upstream's grants for its next home."""
        self._lapse(upstream, now)
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

    def take(self, booked: ExportedGrant, *, now: float) -> None:
        """Enter another home's grant for one expiry time, as if its holder renewed it now.

        The holder may have renewed it at a third home after this book was given.
        """
        self._put(booked.holder, booked.held.reservation, booked.held.claim, now)

    def _room(self, claim: MemoryClaim, load: TimedLoad, now: float) -> int:
        # Memory in use by reservations shows in the report as well: count the larger of both.
        total = load.report.memory_total
        left_to_shorts = int(self._section.shorts_share * total)
        reserved = self.reserved(claim.upstream, now=now)
        if claim.tokens > total - left_to_shorts and not reserved:
            # It fits on no engine otherwise; shorts find room on the others meanwhile.
            left_to_shorts = 0
        return total - max(load.report.memory_held, reserved + left_to_shorts)

    def _put(self, holder: str, reservation: str, claim: MemoryClaim, now: float) -> None:
        grants = self._grants.setdefault(claim.upstream, {})
        until = now + self._section.expiry
        grants[reservation] = _Grant(holder=holder, tokens=claim.tokens, until=until)

    def _bar(self, upstream: str, reservation: str, now: float) -> None:
        until = now + self._section.expiry
        self._barriers[upstream] = _Barrier(reservation=reservation, until=until)

    def _lapse(self, upstream: str, now: float) -> None:
        grants = self._grants.get(upstream, {})
        for reservation in [name for name, grant in grants.items() if grant.until < now]:
            del grants[reservation]
        barrier = self._barriers.get(upstream)
        if barrier is not None and barrier.until < now:
            del self._barriers[upstream]


def _refused(reason: str, retry_after: float) -> MemoryAnswer:
    return MemoryAnswer(granted=False, reason=reason, retry_after=retry_after)
