"""Faults that a test switches on in a stand-in by ``POST /faults``."""

from __future__ import annotations

import os
import time
from typing import Literal
from typing import final
from weakref import WeakSet

import msgspec
from tornado.iostream import IOStream

from baobabpulley.timers import TimerService


class Refusal(Exception):
    """A call did not run; ``code`` and ``status`` go into the answer."""

    def __init__(self, code: str, message: str, *, status: int = 503) -> None:
        super().__init__(message)
        self.code = code
        self.status = status


Kind = Literal["die", "freeze", "silent", "delay", "delay_answer", "lose_answer", "lose_request"]
Kind |= Literal["cross", "repeat", "down", "leaving", "none"]


class FaultOrder(msgspec.Struct, forbid_unknown_fields=True):
    """``kind`` is one of the kinds below; ``count`` and ``seconds`` bound it.

    ``die`` ends the process, ``freeze`` stops it, ``silent`` stops writing on the connections
    open now, ``delay`` holds each call back before it runs (at a plain service: its answer),
    ``delay_answer`` holds each answer back after the call ran, ``lose_answer`` runs the next
    ``count`` calls and closes their connections, ``cross`` sends events of another attempt,
    ``repeat`` sends events twice, ``down`` refuses all calls, ``leaving`` takes no new work,
    ``lose_request`` closes the connection of the next ``count`` calls without running them.
    """

    kind: Kind
    count: int = 1
    seconds: float = 0.0


@final
class Faults:
    """What is wrong with this stand-in at present. Times are model seconds.

    ``delay`` holds each call back before it runs and ``delay_answer`` after; with ``runs_first``
    both hold the answer back. ``open`` are the connections open now.
    """

    __slots__ = (
        "_counts",
        "_down_until",
        "_runs_first",
        "_silenced",
        "delay",
        "delay_answer",
        "leaving",
        "open",
        "timers",
    )

    def __init__(self, timers: TimerService, *, runs_first: bool = False) -> None:
        self.timers = timers
        self.open: WeakSet[IOStream] = WeakSet()
        self._silenced: WeakSet[IOStream] = WeakSet()
        self._runs_first = runs_first
        self._clear()

    @property
    def down(self) -> bool:
        """Whether all calls are refused at present."""
        return self.timers.now() < self._down_until

    def silences(self, stream: IOStream) -> bool:
        """Whether a connection has gone silent."""
        return stream in self._silenced

    def take(self, kind: str) -> bool:
        """Whether the next call has this fault; counts it off."""
        left = self._counts.get(kind, 0)
        self._counts[kind] = max(0, left - 1)
        return left > 0

    def apply(self, order: FaultOrder) -> None:
        """Switch a fault on, or all off with ``none``; silenced connections stay silent."""
        if order.kind == "die":
            os._exit(1)
        elif order.kind == "freeze":
            # Blocking on purpose: a frozen process answers nothing at all.
            time.sleep(self.timers.real(order.seconds))
        elif order.kind == "silent":
            self._silenced |= self.open
        elif order.kind == "delay" and not self._runs_first:
            self.delay = order.seconds
        elif order.kind in {"delay", "delay_answer"}:
            self.delay_answer = order.seconds
        elif order.kind == "down":
            self._down_until = self.timers.now() + order.seconds
        elif order.kind == "leaving":
            self.leaving = True
        elif order.kind == "none":
            self._clear()
        else:
            self._counts[order.kind] = order.count

    def _clear(self) -> None:
        self._counts: dict[str, int] = {}
        self._down_until = self.delay = self.delay_answer = 0.0
        self.leaving = False
