"""Faults that a test injects into a stand-in by ``POST /faults``."""

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
    """A call was refused and did not run; the attributes go into the response.

    ``retry_after`` is the Retry-After in seconds.
    """

    def __init__(
        self, code: str, message: str, *, status: int = 503, retry_after: float | None = None
    ) -> None:
        super().__init__(message)
        self.code = code
        self.status = status
        self.retry_after = retry_after


Kind = Literal["die", "freeze", "silent", "delay", "delay_answer", "lose_answer", "lose_request"]
Kind |= Literal["cross", "repeat", "down", "leaving", "none"]
Kind |= Literal["pause", "busy"]


class FaultOrder(msgspec.Struct, forbid_unknown_fields=True):
    """An order to inject a fault; ``count`` and ``seconds`` limit it.

    Kinds:

    ``die`` ends the process.
    ``freeze`` blocks it for ``seconds``.
    ``silent`` stops writing on the connections that are open now.
    ``delay`` delays each call before it runs (at a plain service, its response).
    ``delay_answer`` delays each response after the call ran.
    ``lose_answer`` runs the next ``count`` calls and closes their connections.
    ``lose_request`` closes the connections of the next ``count`` calls without running them.
    ``cross`` sends events of another attempt.
    ``repeat`` sends events twice.
    ``down`` refuses all calls for ``seconds``.
    ``leaving`` accepts no new work.
    ``pause`` reads and sends nothing for ``seconds`` and then goes on.
    ``busy`` refuses new work for ``seconds`` with 503 and the rest of them as Retry-After.
    ``none`` switches all faults off.
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

    __slots__ = ("_active", "_delays_response", "_silenced", "connections", "timers")

    def __init__(self, timers: TimerService, *, delays_response: bool = False) -> None:
        self.timers = timers
        self.connections: WeakSet[IOStream] = WeakSet()
        self._silenced: WeakSet[IOStream] = WeakSet()
        self._delays_response = delays_response
        # By kind: the seconds of a delay, the end of an outage, a pause or refusals, or the number
        # of calls left to affect.
        self._active: dict[str, float] = {}

    @property
    def down(self) -> bool:
        """Whether all calls are refused now."""
        return self._seconds_left("down") > 0

    @property
    def leaving(self) -> bool:
        """Whether the stand-in is draining: it accepts no new work."""
        return "leaving" in self._active

    @property
    def busy_seconds(self) -> float:
        """For how long the stand-in still refuses new work; 0 if it accepts it."""
        return self._seconds_left("busy")

    async def wait_while_paused(self) -> None:
        """Wait for the end of a pause, if there is one."""
        while left := self._seconds_left("pause"):
            await self.timers.sleep(left)

    async def apply_delay(self, kind: str) -> None:
        """Wait for the time of a delay fault, if it is active."""
        await self.timers.sleep(self._active.get(kind, 0.0))

    def is_silenced(self, stream: IOStream) -> bool:
        """Whether writing on a connection has stopped."""
        return stream in self._silenced

    def consume(self, kind: str) -> bool:
        """Return whether a fault applies to the next call, and decrement its count."""
        left = self._active.get(kind, 0)
        self._active[kind] = max(0, left - 1)
        return left > 0

    def apply(self, order: FaultOrder) -> None:
        """Activate a fault, or deactivate all with ``none``; silenced connections stay silent."""
        if order.kind == "die":
            os._exit(1)
        elif order.kind == "freeze":
            # Blocks the event loop deliberately: a frozen process must not respond at all.
            time.sleep(self.timers.to_real_seconds(order.seconds))
        elif order.kind == "silent":
            self._silenced |= self.connections
        elif order.kind == "none":
            self._active.clear()
        elif order.kind in {"down", "pause", "busy"}:
            self._active[order.kind] = self.timers.now() + order.seconds
        elif order.kind in {"delay", "delay_answer"}:
            self._active["delay_answer" if self._delays_response else order.kind] = order.seconds
        else:
            self._active[order.kind] = order.count

    def _seconds_left(self, kind: str) -> float:
        return max(0.0, self._active.get(kind, 0.0) - self.timers.now())
