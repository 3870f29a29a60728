"""A bounded cache of the outcomes of calls that run at most once, by sequence number.

Eviction is tracked by a low watermark: a call that is not in the cache and whose sequence number is
at or below the watermark counts as evicted and is never run again.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final
from typing import final

from baobabpulley.errors import BaobabError
from baobabpulley.errors import CallMismatch
from baobabpulley.errors import OutcomeExpired
from baobabpulley.errors import OutcomeUnknown
from baobabpulley.errors import errors_by_code
from baobabpulley.model.calls import RetainedOutcome
from baobabpulley.model.calls import TicketHandover
from baobabpulley.ports.plain_service import ServiceResponse

# Limit on the outcomes handed over to a successor, and the size of each besides its answer's body.
MAX_HANDOVER_BYTES: Final = 2_000_000
OUTCOME_OVERHEAD_BYTES: Final = 256

Run = Callable[[], Awaitable[ServiceResponse]]


@final
class _Record:
    __slots__ = ("fingerprint", "outcome")

    def __init__(self, *, fingerprint: str, outcome: asyncio.Future[ServiceResponse]) -> None:
        self.fingerprint = fingerprint
        self.outcome = outcome


@final
class OutcomeCache:
    """Run the call of each sequence number once, and return its outcome to every repeated call.

    At most ``capacity`` finished outcomes are retained. A call that certainly did not run is
    dropped at once, so that a repeated call may run it.
    """

    __slots__ = ("_capacity", "_floor", "_issued", "_owner", "_records")

    def __init__(self, *, capacity: int, owner: str = "") -> None:
        self._capacity = capacity
        self._owner = owner
        self._records: OrderedDict[int, _Record] = OrderedDict()
        self._issued = 0
        self._floor = 0

    @property
    def size(self) -> int:
        """Number of calls that are running or whose outcome is retained."""
        return len(self._records)

    @property
    def running(self) -> int:
        """Number of calls that have no outcome yet."""
        return sum(1 for record in self._records.values() if not record.outcome.done())

    @classmethod
    def restore(cls, handover: TicketHandover, *, capacity: int, owner: str) -> OutcomeCache:
        """Return the cache that another incarnation has handed over."""
        cache = cls(capacity=capacity, owner=owner)
        cache._floor = handover.floor
        for retained in handover.kept:
            cache._records[retained.sequence] = _Record(
                fingerprint=retained.fingerprint, outcome=_restored_outcome(retained)
            )
        return cache

    def export(self, incarnation: str) -> TicketHandover:
        """Return the message that hands the cache over to a successor; no call may be running."""
        floor = self._floor
        retained: list[RetainedOutcome] = []
        bytes_left = MAX_HANDOVER_BYTES
        for sequence in sorted(self._records, reverse=True):
            outcome = _retained_outcome(sequence, self._records[sequence])
            bytes_left -= OUTCOME_OVERHEAD_BYTES + (
                len(outcome.answer.body) if outcome.answer else 0
            )
            if bytes_left < 0:
                floor = max(floor, sequence)
                break
            retained.append(outcome)
        return TicketHandover(incarnation=incarnation, floor=floor, kept=tuple(retained))

    def issue(self) -> int:
        """Return the next sequence number."""
        self._issued += 1
        return self._issued

    async def run(self, sequence: int, *, fingerprint: str, run: Run) -> ServiceResponse:
        """Return the outcome of a call; run the call if it has not been run yet.

        The call continues if its caller disconnects. Raise `OutcomeExpired` if the outcome was
        evicted, `CallMismatch` if the sequence number was used for a different call, and any error
        of the call itself.
        """
        record = self._records.get(sequence)
        if record is None:
            if sequence <= self._floor:
                raise OutcomeExpired(
                    f"outcomes up to call {self._floor} have been evicted; this is call {sequence}"
                )
            record = self._start(sequence, fingerprint, run)
        elif record.fingerprint != fingerprint:
            raise CallMismatch("the ticket was used for a different call before")
        return await asyncio.shield(record.outcome)

    def _start(self, sequence: int, fingerprint: str, run: Run) -> _Record:
        async def once() -> ServiceResponse:
            return await run()

        task = asyncio.get_running_loop().create_task(once(), name=f"{self._owner} call {sequence}")
        record = _Record(fingerprint=fingerprint, outcome=task)
        self._records[sequence] = record
        task.add_done_callback(lambda done: self._finished(sequence, done))
        return record

    def _finished(self, sequence: int, task: asyncio.Task[ServiceResponse]) -> None:
        error = None if task.cancelled() else task.exception()
        if isinstance(error, BaobabError) and error.ran is False:
            del self._records[sequence]
        self._evict()

    def _evict(self) -> None:
        done = [number for number, record in self._records.items() if record.outcome.done()]
        for number in sorted(done)[: max(0, len(done) - self._capacity)]:
            del self._records[number]
            self._floor = max(self._floor, number)


def _retained_outcome(sequence: int, record: _Record) -> RetainedOutcome:
    error = _error_of(record.outcome)
    return RetainedOutcome(
        sequence=sequence,
        fingerprint=record.fingerprint,
        answer=None if error is not None else record.outcome.result(),
        code=error.code if error is not None else "",
        message=error.message if error is not None else "",
    )


def _error_of(outcome: asyncio.Future[ServiceResponse]) -> BaobabError | None:
    if not outcome.done() or outcome.cancelled():
        return OutcomeUnknown("the call had no outcome when its entry shut down")
    error = outcome.exception()
    if error is None or isinstance(error, BaobabError):
        return error
    return OutcomeUnknown(f"the call failed at its entry: {error!r}")


def _restored_outcome(retained: RetainedOutcome) -> asyncio.Future[ServiceResponse]:
    outcome: asyncio.Future[ServiceResponse] = asyncio.get_running_loop().create_future()
    if retained.answer is not None:
        outcome.set_result(retained.answer)
    else:
        outcome.set_exception(errors_by_code().get(retained.code, OutcomeUnknown)(retained.message))
        # Marks the exception as retrieved: asyncio would log it if no caller awaited the future.
        outcome.exception()
    return outcome
