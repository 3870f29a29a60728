"""A bounded memory of the outcomes of once-only calls, by sequence number.

What has been forgotten is known exactly: every finished call up to a floor.
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
from baobabpulley.ports.plain_service import ServiceAnswer

# Bytes of outcomes that go to an heir, and what each takes beside its answer.
LEGACY_BYTES: Final = 2_000_000
KEPT_BYTES: Final = 256

Run = Callable[[], Awaitable[ServiceAnswer]]


@final
class _Record:
    __slots__ = ("fingerprint", "outcome")

    def __init__(self, *, fingerprint: str, outcome: asyncio.Future[ServiceAnswer]) -> None:
        self.fingerprint = fingerprint
        self.outcome = outcome


@final
class OutcomeMemory:
    """Run each sequence number's call once and give every repeat the first outcome.

    At most ``capacity`` finished outcomes are kept. A call that truly did not run is forgotten
    at once, so that a repeat may run it.
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
        """Calls that run or whose outcome is kept."""
        return len(self._records)

    @property
    def running(self) -> int:
        """Calls that have no outcome yet."""
        return sum(1 for record in self._records.values() if not record.outcome.done())

    @classmethod
    def adopt(cls, legacy: TicketHandover, *, capacity: int, owner: str) -> OutcomeMemory:
        """Return the memory of an incarnation that has handed it over."""
        memory = cls(capacity=capacity, owner=owner)
        memory._floor = legacy.floor
        for kept in legacy.kept:
            memory._records[kept.sequence] = _Record(
                fingerprint=kept.fingerprint, outcome=_outcome_of(kept)
            )
        return memory

    def legacy(self, incarnation: str) -> TicketHandover:
        """Return what to hand to an heir; no call may be running."""
        floor = self._floor
        kept: list[RetainedOutcome] = []
        left = LEGACY_BYTES
        for sequence in sorted(self._records, reverse=True):
            outcome = _kept(sequence, self._records[sequence])
            left -= KEPT_BYTES + (len(outcome.answer.body) if outcome.answer else 0)
            if left < 0:
                floor = max(floor, sequence)
                break
            kept.append(outcome)
        return TicketHandover(incarnation=incarnation, floor=floor, kept=tuple(kept))

    def issue(self) -> int:
        """Return the next sequence number."""
        self._issued += 1
        return self._issued

    async def run(self, sequence: int, *, fingerprint: str, run: Run) -> ServiceAnswer:
        """Return the outcome of a call, running it if this is its first time.

        The call goes on when its caller goes away. Raises `OutcomeExpired` past the memory's
        bound, `CallMismatch` for another call than the first, and the call's own error.
        """
        record = self._records.get(sequence)
        if record is None:
            if sequence <= self._floor:
                raise OutcomeExpired(
                    f"outcomes up to call {self._floor} are forgotten; this is call {sequence}"
                )
            record = self._start(sequence, fingerprint, run)
        elif record.fingerprint != fingerprint:
            raise CallMismatch("the ticket was used before for another call")
        return await asyncio.shield(record.outcome)

    def _start(self, sequence: int, fingerprint: str, run: Run) -> _Record:
        async def once() -> ServiceAnswer:
            return await run()

        task = asyncio.get_running_loop().create_task(once(), name=f"{self._owner} call {sequence}")
        record = _Record(fingerprint=fingerprint, outcome=task)
        self._records[sequence] = record
        task.add_done_callback(lambda done: self._finished(sequence, done))
        return record

    def _finished(self, sequence: int, task: asyncio.Task[ServiceAnswer]) -> None:
        error = None if task.cancelled() else task.exception()
        if isinstance(error, BaobabError) and error.ran is False:
            del self._records[sequence]
        self._forget()

    def _forget(self) -> None:
        done = [number for number, record in self._records.items() if record.outcome.done()]
        for number in sorted(done)[: max(0, len(done) - self._capacity)]:
            del self._records[number]
            self._floor = max(self._floor, number)


def _kept(sequence: int, record: _Record) -> RetainedOutcome:
    error = _error_of(record.outcome)
    return RetainedOutcome(
        sequence=sequence,
        fingerprint=record.fingerprint,
        answer=None if error is not None else record.outcome.result(),
        code=error.code if error is not None else "",
        message=error.message if error is not None else "",
    )


def _error_of(outcome: asyncio.Future[ServiceAnswer]) -> BaobabError | None:
    if not outcome.done() or outcome.cancelled():
        return OutcomeUnknown("the call had no outcome when its entry shut down")
    error = outcome.exception()
    if error is None or isinstance(error, BaobabError):
        return error
    return OutcomeUnknown(f"the call failed at its entry: {error!r}")


def _outcome_of(kept: RetainedOutcome) -> asyncio.Future[ServiceAnswer]:
    outcome: asyncio.Future[ServiceAnswer] = asyncio.get_running_loop().create_future()
    if kept.answer is not None:
        outcome.set_result(kept.answer)
    else:
        outcome.set_exception(errors_by_code().get(kept.code, OutcomeUnknown)(kept.message))
        # Nobody may ever ask; asyncio must not log it as forgotten.
        outcome.exception()
    return outcome
