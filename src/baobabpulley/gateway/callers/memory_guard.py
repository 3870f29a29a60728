"""Refuse bodies and close connections of callers when memory or descriptors run short."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from enum import StrEnum
from typing import Final
from typing import Protocol
from typing import final

from loguru import logger

from baobabpulley.errors import BaobabError
from baobabpulley.errors import MemoryShort
from baobabpulley.gateway.callers.unsent_bytes import UnsentBytes
from baobabpulley.policy.memory_budget import MIN_IDLE_SECONDS
from baobabpulley.policy.memory_budget import SMALL_BYTES
from baobabpulley.policy.memory_budget import Held
from baobabpulley.policy.memory_budget import MemoryBudget
from baobabpulley.policy.memory_budget import first_to_evict
from baobabpulley.policy.memory_budget import is_stalled
from baobabpulley.timers import TimerService

RETRY_AFTER_SECONDS: Final = 1.0
# A log line for each of many refusals would add to the load.
LOG_PERIOD_SECONDS: Final = 1.0


class MemoryAction(StrEnum):
    """What was done to free memory or a descriptor."""

    BODY_REFUSED = "body_refused"
    UNREAD_CLOSED = "unread_closed"
    IDLE_CLOSED = "idle_closed"
    CONNECTION_REFUSED = "connection_refused"


class ReceivedBody(Held, Protocol):
    """A request whose body is arriving."""

    def end(self, error: BaobabError) -> None:
        """Refuse the request."""


class GuardedConnection(Protocol):
    """A caller's connection."""

    unsent: UnsentBytes

    @property
    def receiving_body(self) -> ReceivedBody | None:
        """The request whose body is arriving, if there is one."""

    @property
    def idle(self) -> bool:
        """Whether no request is in progress and no byte of another one has been received."""

    @property
    def silent_since(self) -> float | None:
        """Since when a request is expected, if none has arrived and nothing is to be sent."""

    @property
    def is_lingering(self) -> bool:
        """Whether the last response has been written, and what still arrives is ignored."""

    def close_for_memory(self) -> None:
        """Close the connection."""


@final
class MemoryGuard:
    """Apply the budget to the connections of a listener."""

    __slots__ = ("_actions", "_count", "_log_after", "_timers", "budget")

    def __init__(
        self,
        budget: MemoryBudget,
        *,
        timers: TimerService,
        count: Callable[[MemoryAction], None] = lambda action: None,
    ) -> None:
        self.budget = budget
        self._timers = timers
        self._count = count
        self._actions = 0
        self._log_after = 0.0

    def free_memory(self, connections: Iterable[GuardedConnection], grown: ReceivedBody) -> None:
        """Refuse arriving bodies, the largest and slowest first, until ``grown`` fits."""
        now = self._timers.now()
        bodies = [each.receiving_body for each in connections]
        # A small body that is arriving frees nothing worth a refusal.
        evictable = [
            body
            for body in bodies
            if body is not None and (body.held_bytes > SMALL_BYTES or is_stalled(body, now=now))
        ]
        while not self.budget.fits_body(grown.held_bytes):
            refused = first_to_evict(evictable, now=now) or grown
            self._refuse_body(refused)
            if refused is grown:
                return
            evictable.remove(refused)

    def close_stalled(self, connections: Iterable[GuardedConnection]) -> None:
        """Close callers that read nothing, or were refused, while memory is short.

        A caller that may wait for an order's answer is never closed. Bodies that have stopped
        arriving are refused while answers wait for memory.
        """
        if not self.budget.is_short:
            return
        now, connections = self._timers.now(), tuple(connections)
        if self.budget.answers_waiting:
            self._refuse_stalled_bodies(connections, now=now)
        stalled = {
            each.unsent: each
            for each in connections
            if each.unsent.protected_until < now
            and (each.is_lingering or is_stalled(each.unsent, now=now))
        }
        while (closed := first_to_evict(stalled, now=now)) is not None:
            self._record(MemoryAction.UNREAD_CLOSED, closed.held_bytes)
            stalled.pop(closed).close_for_memory()
            closed.count()
            if not self.budget.is_crowded:
                # An answer that waits for memory looks for it before the next check.
                return

    def admit(self, connections: Collection[GuardedConnection], *, closing: int) -> bool:
        """Whether a new connection may stay; one that has long sent no request may have to go.

        ``closing`` is the number of descriptors that are open for refusals.
        """
        if self.budget.fits_connections(len(connections) + closing):
            return True
        now = self._timers.now()
        ages = [(each.silent_since, each) for each in connections]
        silent = [
            (since, each)
            for since, each in ages
            if since is not None and now - since >= MIN_IDLE_SECONDS
        ]
        oldest_first = (each for _, each in sorted(silent, key=lambda pair: pair[0]))
        # Bytes that were received and not read yet may be a request.
        closed = next((each for each in oldest_first if each.idle), None)
        closed = closed or self._longest_stalled(connections, now=now)
        if closed is None:
            self._record(MemoryAction.CONNECTION_REFUSED, 0)
            return False
        self._record(MemoryAction.IDLE_CLOSED, closed.unsent.held_bytes)
        closed.close_for_memory()
        return True

    def _longest_stalled(
        self, connections: Iterable[GuardedConnection], *, now: float
    ) -> GuardedConnection | None:
        """Return the connection whose body has stopped arriving first, if there is one."""
        stalled = [
            (body.progress_at, each)
            for each in connections
            if (body := each.receiving_body) is not None and is_stalled(body, now=now)
        ]
        return min(stalled, key=lambda pair: pair[0], default=(now, None))[1]

    def _refuse_stalled_bodies(
        self, connections: Iterable[GuardedConnection], *, now: float
    ) -> None:
        """Refuse large bodies that have stopped arriving."""
        for each in connections:
            body = each.receiving_body
            if body is not None and body.held_bytes > SMALL_BYTES and is_stalled(body, now=now):
                self._refuse_body(body)

    def _refuse_body(self, body: ReceivedBody) -> None:
        self._record(MemoryAction.BODY_REFUSED, body.held_bytes)
        body.end(
            MemoryShort(
                f"the gateway holds {self.budget.used_bytes} bytes for its callers, of "
                f"{self.budget.limit_bytes}, and can't hold this request's body",
                retry_after=RETRY_AFTER_SECONDS,
            )
        )

    def _record(self, action: MemoryAction, size: int) -> None:
        self._count(action)
        self._actions += 1
        now = self._timers.now()
        if now < self._log_after:
            return
        self._log_after = now + LOG_PERIOD_SECONDS
        logger.bind(
            event="memory_short",
            action=str(action),
            actions=self._actions,
            bytes=size,
            held=self.budget.used_bytes,
            limit=self.budget.limit_bytes,
            max_connections=self.budget.max_connections,
        ).warning("memory or descriptors are short: {}", action)
        self._actions = 0
