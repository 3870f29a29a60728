"""The queue of gangs that wait to acquire their engines, in one failure domain."""

from __future__ import annotations

from typing import Final
from typing import final

from baobabpulley.model.ledger_messages import ExportedGang
from baobabpulley.model.reservation_messages import GangTurnRequest
from baobabpulley.policy.handover import Handover
from baobabpulley.policy.memory_ledger import ReservationsSection

GANG_QUEUE_KEY: Final = "gangs"


@final
class _WaitingGang:
    __slots__ = ("ideal", "seen", "since")

    def __init__(self, *, since: float, ideal: float, seen: float) -> None:
        self.since = since
        self.ideal = ideal
        self.seen = seen


@final
class GangQueue:
    """Let one gang at a time acquire its engines.

    The next gang is the one with the highest response ratio, unless the oldest has waited longer
    than ``gang_wait_bound``: then it is the oldest.
    """

    __slots__ = ("_handover", "_section", "_turn", "_waiting")

    def __init__(self, *, section: ReservationsSection, handover: Handover) -> None:
        self._section = section
        self._handover = handover
        self._waiting: dict[str, _WaitingGang] = {}
        self._turn = ""

    @property
    def turn(self) -> str:
        """The reservation of the gang whose turn it is, or an empty string."""
        return self._turn

    def request(self, request: GangTurnRequest, *, now: float) -> bool:
        """Return whether it is this gang's turn, and keep it in the queue.

        A request that is ``done`` removes the gang from the queue.
        """
        self._handover.renew(GANG_QUEUE_KEY, now=now)
        if request.done:
            self._waiting.pop(request.reservation, None)
        else:
            self._waiting[request.reservation] = _WaitingGang(
                since=now - request.waited, ideal=request.ideal, seen=now
            )
        self._drop_expired(now)
        if self._handover.grace_remaining(GANG_QUEUE_KEY, now=now) > 0:
            return False
        if self._turn not in self._waiting:
            self._turn = self._choose_next(now)
        return bool(self._turn) and self._turn == request.reservation

    def export(self, *, now: float) -> tuple[ExportedGang, ...]:
        """Return the waiting gangs for the next owner."""
        return tuple(
            ExportedGang(
                reservation=name,
                waited=now - gang.since,
                ideal=gang.ideal,
                unseen=now - gang.seen,
            )
            for name, gang in self._waiting.items()
        )

    def take_over(self, gangs: tuple[ExportedGang, ...], *, turn: str, now: float) -> None:
        """Continue the queue of the previous owner; gangs already queued here are not changed."""
        for gang in gangs:
            waiting = _WaitingGang(
                since=now - gang.waited, ideal=gang.ideal, seen=now - gang.unseen
            )
            self._waiting.setdefault(gang.reservation, waiting)
        self._turn = turn

    def _choose_next(self, now: float) -> str:
        if not self._waiting:
            return ""
        oldest = min(self._waiting, key=lambda name: self._waiting[name].since)
        if now - self._waiting[oldest].since > self._section.gang_wait_bound:
            return oldest
        return max(self._waiting, key=lambda name: self._priority(name, now))

    def _priority(self, name: str, now: float) -> tuple[float, float]:
        gang = self._waiting[name]
        return response_ratio(waited=now - gang.since, ideal=gang.ideal), -gang.since

    def _drop_expired(self, now: float) -> None:
        bound = now - self._section.expiry
        for name in [name for name, gang in self._waiting.items() if gang.seen < bound]:
            del self._waiting[name]


def response_ratio(*, waited: float, ideal: float) -> float:
    """Return the response time over the ideal time of a request that starts now.

    ``waited`` and ``ideal`` are in seconds. Unlike that of `lanes`, it accepts an ideal time of 0.

    >>> response_ratio(waited=5.0, ideal=5.0)
    2.0
    """
    return (waited + ideal) / max(ideal, 1e-6)
