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
    """The active faults of one stand-in. Times are in model seconds.

    ``connections`` are the connections that are open now.
    With ``delays_response``, a ``delay`` postpones the response instead of the call.
    """

    __slots__ = ("_active", "_runs_first", "_silenced", "connections", "timers")

    def __init__(self, timers: TimerService, *, delays_response: bool = False) -> None:
        self.timers = timers
        self.connections: WeakSet[IOStream] = WeakSet()
        self._silenced: WeakSet[IOStream] = WeakSet()
        self._runs_first = delays_response
        # By kind: the seconds of a delay, the end of an outage, or the calls left to strike.
        self._active: dict[str, float] = {}

    @property
    def down(self) -> bool:
        """Whether all calls are refused at present."""
        return self.timers.now() < self._active.get("down", 0.0)

    @property
    def leaving(self) -> bool:
        """Whether no new work is taken."""
        return "leaving" in self._active

    async def apply_delay(self, kind: str) -> None:
        """Wait as long as a kind of delay says."""
        await self.timers.sleep(self._active.get(kind, 0.0))

    def is_silenced(self, stream: IOStream) -> bool:
        """Whether a connection has gone silent."""
        return stream in self._silenced

    def consume(self, kind: str) -> bool:
        """Whether the next call has this fault; counts it off."""
        left = self._active.get(kind, 0)
        self._active[kind] = max(0, left - 1)
        return left > 0

    def apply(self, order: FaultOrder) -> None:
        """Switch a fault on, or all off with ``none``; silenced connections stay silent."""
        if order.kind == "die":
            os._exit(1)
        elif order.kind == "freeze":
            # Blocking on purpose: a frozen process answers nothing at all.
            time.sleep(self.timers.real(order.seconds))
        elif order.kind == "silent":
            self._silenced |= self.connections
        elif order.kind == "none":
            self._active.clear()
        elif order.kind == "down":
            self._active["down"] = self.timers.now() + order.seconds
        elif order.kind in {"delay", "delay_answer"}:
            self._active["delay_answer" if self._runs_first else order.kind] = order.seconds
        else:
            self._active[order.kind] = order.count
