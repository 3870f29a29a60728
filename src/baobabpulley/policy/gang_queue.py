"""Whose turn it is to acquire the members of a gang, in one failure domain."""

from __future__ import annotations

from typing import Final
from typing import final

from baobabpulley.model.ledger_messages import ExportedGang
from baobabpulley.model.reservation_messages import GangTurnAsk
from baobabpulley.policy.handover import Handover
from baobabpulley.policy.reservation_book import ReservationsSection

GANGS_KEY: Final = "gangs"


@final
class _Waiting:
    __slots__ = ("ideal", "seen", "since")

    def __init__(self, *, since: float, ideal: float, seen: float) -> None:
        self.since = since
        self.ideal = ideal
        self.seen = seen


@final
class GangQueue:
    """One gang at a time: the highest response ratio, or the oldest past the bound on waiting."""

    __slots__ = ("_handover", "_section", "_turn", "_waiting")

    def __init__(self, *, section: ReservationsSection, handover: Handover) -> None:
        self._section = section
        self._handover = handover
        self._waiting: dict[str, _Waiting] = {}
        self._turn = ""

    @property
    def turn(self) -> str:
        """The reservation whose turn it is, or an empty text."""
        return self._turn

    def ask(self, ask: GangTurnAsk, *, now: float) -> bool:
        """Join or stay in the queue; return whether it is this gang's turn."""
        self._handover.hear(GANGS_KEY, now=now)
        if ask.done:
            self._waiting.pop(ask.reservation, None)
        else:
            self._waiting[ask.reservation] = _Waiting(
                since=now - ask.waited, ideal=ask.ideal, seen=now
            )
        self._lapse(now)
        if self._handover.remaining(GANGS_KEY, now=now) > 0:
            return False
        if self._turn not in self._waiting:
            self._turn = self._next(now)
        return bool(self._turn) and self._turn == ask.reservation

    def copy(self, *, now: float) -> tuple[ExportedGang, ...]:
        """Return the waiting gangs for the next home."""
        return tuple(
            ExportedGang(
                reservation=name,
                waited=now - item.since,
                ideal=item.ideal,
                unseen=now - item.seen,
            )
            for name, item in self._waiting.items()
        )

    def take(self, gangs: tuple[ExportedGang, ...], *, turn: str, now: float) -> None:
        """Go on with another home's queue; gangs that have asked here since stay as they are."""
        for gang in gangs:
            item = _Waiting(since=now - gang.waited, ideal=gang.ideal, seen=now - gang.unseen)
            self._waiting.setdefault(gang.reservation, item)
        self._turn = turn

    def _next(self, now: float) -> str:
        if not self._waiting:
            return ""
        oldest = min(self._waiting, key=lambda name: self._waiting[name].since)
        if now - self._waiting[oldest].since > self._section.gang_wait_bound:
            return oldest
        return max(self._waiting, key=lambda name: self._ratio(name, now))

    def _ratio(self, name: str, now: float) -> tuple[float, float]:
        waiting = self._waiting[name]
        return response_ratio(waited=now - waiting.since, ideal=waiting.ideal), -waiting.since

    def _lapse(self, now: float) -> None:
        bound = now - self._section.expiry
        for name in [name for name, item in self._waiting.items() if item.seen < bound]:
            del self._waiting[name]


def response_ratio(*, waited: float, ideal: float) -> float:
    """Return how many times its ideal a request has taken if it starts now.

    >>> response_ratio(waited=5.0, ideal=5.0)
    2.0
    """
    return (waited + ideal) / max(ideal, 1e-6)
