"""Faults that a test switches on in a stand-in by ``POST /faults``."""

from __future__ import annotations

import asyncio
import os
import time
from typing import Annotated
from typing import final

import msgspec
from tornado.web import RequestHandler

from baobabpulley.timers import TimerService


class FaultOrder(msgspec.Struct, forbid_unknown_fields=True):
    """``kind`` is one of the kinds below; ``count`` and ``seconds`` bound it.

    ``die`` ends the process, ``freeze`` stops it, ``silent`` stops writing on the connections
    open now, ``delay`` holds each answer back, ``lose_answer`` runs the next ``count`` calls and
    closes their connections, ``cross`` sends events of another attempt, ``repeat`` sends
    events twice, ``down`` refuses all calls, ``leaving`` takes no new work,
    ``lose_request`` closes the connection of the next ``count`` calls without running them.
    """

    kind: Annotated[
        str,
        msgspec.Meta(
            pattern="^(die|freeze|silent|delay|lose_answer|lose_request|cross|repeat|down|leaving"
            "|none)$"
        ),
    ]
    count: int = 1
    seconds: float = 0.0


@final
class Faults:
    """What is wrong with this stand-in at present. Times are model seconds."""

    __slots__ = ("_counts", "_delay", "_down_until", "_leaving", "_silenced_at", "_timers")

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._counts: dict[str, int] = {}
        self._delay = 0.0
        self._down_until = 0.0
        self._leaving = False
        self._silenced_at = float("-inf")

    @property
    def down(self) -> bool:
        """Whether all calls are refused at present."""
        return self._timers.now() < self._down_until

    @property
    def leaving(self) -> bool:
        """Whether new work is refused because this upstream leaves."""
        return self._leaving

    @property
    def delay(self) -> float:
        """Model seconds that each answer is held back."""
        return self._delay

    def silences(self, opened: float) -> bool:
        """Whether a connection opened at a model time has gone silent."""
        return opened <= self._silenced_at

    def take(self, kind: str) -> bool:
        """Whether the next call has this fault; counts it off."""
        left = self._counts.get(kind, 0)
        self._counts[kind] = max(0, left - 1)
        return left > 0

    def apply(self, order: FaultOrder) -> None:
        """Switch a fault on, or all off with ``none``."""
        now = self._timers.now()
        if order.kind == "die":
            os._exit(1)
        elif order.kind == "freeze":
            # Blocking on purpose: a frozen process answers nothing at all.
            time.sleep(self._timers.real(order.seconds))
        elif order.kind == "silent":
            self._silenced_at = now
        elif order.kind == "delay":
            self._delay = order.seconds
        elif order.kind == "down":
            self._down_until = now + order.seconds
        elif order.kind == "leaving":
            self._leaving = True
        elif order.kind == "none":
            self._counts.clear()
            self._delay = 0.0
            self._down_until = 0.0
            self._leaving = False
        else:
            self._counts[order.kind] = order.count


class FaultsHandler(RequestHandler):
    """``POST /faults`` with a `FaultOrder`."""

    def initialize(self, faults: Faults) -> None:
        self._faults = faults

    async def post(self) -> None:
        order = msgspec.json.decode(self.request.body, type=FaultOrder)
        self.finish({})
        # The answer leaves first, so that the test knows that the order was taken.
        await asyncio.sleep(0.01)
        self._faults.apply(order)
