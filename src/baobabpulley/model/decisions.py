"""Decision records: the decisions made for each request and their reasons."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final
from typing import final

import msgspec

DEFAULT_CAPACITY: Final = 20_000

Detail = str | int | float | bool | None


class DecisionStep(msgspec.Struct, frozen=True):
    """One decision; ``at`` is in model seconds since the request arrived."""

    at: float
    what: str
    detail: dict[str, Detail] = {}


class DecisionRecord(msgspec.Struct):
    """All decisions for one request, oldest first."""

    request_id: str
    team: str
    lane: str = ""
    outcome: str = "running"
    steps: list[DecisionStep] = []

    def add_step(self, what: str, *, at: float, **detail: Detail) -> None:
        """Append a step; ``at`` is in model seconds since the request arrived."""
        self.steps.append(DecisionStep(at=round(at, 4), what=what, detail=detail))


@final
class DecisionLog:
    """The records of the most recent requests, at most ``capacity``."""

    __slots__ = ("_capacity", "_records")

    def __init__(self, *, capacity: int = DEFAULT_CAPACITY) -> None:
        self._capacity = capacity
        self._records: OrderedDict[str, DecisionRecord] = OrderedDict()

    def open(self, *, request_id: str, team: str) -> DecisionRecord:
        """Start a record, and evict the oldest ones beyond the capacity."""
        record = DecisionRecord(request_id=request_id, team=team)
        self._records[request_id] = record
        while len(self._records) > self._capacity:
            self._records.popitem(last=False)
        return record

    def find(self, request_id: str) -> DecisionRecord | None:
        """Return the record of a request, or ``None`` if there is none or it was evicted."""
        return self._records.get(request_id)
