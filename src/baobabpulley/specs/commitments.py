"""Model of two operators who raise their teams' limits while the store loses responses.

Each operator first updates the ledger of limit commitments by a compare-and-swap and then writes
its team's limit; both writes carry a change id. A manual edit may lower the stored limit once.

As in the operators' API, a lost response is resolved by reading back, and the limit in force is
the larger of the stored limit and the ledger's.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final
from typing import NamedTuple

from baobabpulley.specs.explore import Spec
from baobabpulley.specs.explore import Step

CAPACITY: Final = 3
REQUESTED_LIMIT: Final = 2
MAX_LEDGER_REVISION: Final = 6

SWAP_LEDGER: Final = "swap_ledger"
READ_BACK: Final = "read_back"
LEDGER_COUNTS: Final = "ledger_counts"
GUARDS: Final = frozenset({SWAP_LEDGER, READ_BACK, LEDGER_COUNTS})

IDLE, READ, LEDGER_LOST, LEDGER_WRITTEN, LIMIT_LOST, ACCEPTED, REFUSED = range(7)


class Operator(NamedTuple):
    """One operator's change: its phase and the ledger as it was read."""

    phase: int = IDLE
    seen_revision: int = 0
    seen: tuple[int, int] = (0, 0)


class State(NamedTuple):
    """The store, both operators and whether the manual edit was made.

    ``writers`` stand for the change ids stored with the limits: an operator's index, -1 for none,
    or 9 for the manual edit.
    """

    ledger: tuple[int, int] = (0, 0)
    ledger_revision: int = 0
    limits: tuple[int, int] = (0, 0)
    writers: tuple[int, int] = (-1, -1)
    operators: tuple[Operator, Operator] = (Operator(), Operator())
    edited: bool = False


def commitments_spec(guards: frozenset[str] = GUARDS) -> Spec:
    """Return the specification; leaving a guard out gives a mutant.

    ``swap_ledger``: the ledger is replaced only if its revision is still the one that was read.
    ``read_back``: a lost response is resolved by reading.
    ``ledger_counts``: the ledger counts towards the limit in force.
    """

    def steps(state: State) -> Iterator[Step]:
        if not state.edited and state.limits[0]:
            yield "manual edit lowers limit 0", state._replace(
                edited=True, limits=(0, state.limits[1]), writers=(9, state.writers[1])
            )
        for operator_id in (0, 1):
            yield from _operator_steps(state, operator_id, guards)

    def in_force(state: State, operator_id: int) -> int:
        if LEDGER_COUNTS in guards:
            return max(state.limits[operator_id], state.ledger[operator_id])
        return state.limits[operator_id]

    def accepted_in_force(state: State) -> bool:
        return all(
            in_force(state, operator_id) >= REQUESTED_LIMIT
            for operator_id in (0, 1)
            if state.operators[operator_id].phase == ACCEPTED
        )

    return Spec(
        name="promises",
        initial=State(),
        steps=steps,
        invariants={
            "promises_within_capacity": lambda s: sum(s.ledger) <= CAPACITY,
            "limits_within_capacity": lambda s: sum(s.limits) <= CAPACITY,
            "accepted_is_in_force": accepted_in_force,
            "refused_did_not_hold": lambda s: all(
                s.limits[operator_id] < REQUESTED_LIMIT
                for operator_id in (0, 1)
                if s.operators[operator_id].phase == REFUSED
            ),
        },
        goal=lambda s: all(operator.phase in {ACCEPTED, REFUSED} for operator in s.operators),
    )


def _operator_steps(state: State, operator_id: int, guards: frozenset[str]) -> Iterator[Step]:
    operator = state.operators[operator_id]
    if operator.phase == IDLE:
        seen = operator._replace(phase=READ, seen_revision=state.ledger_revision, seen=state.ledger)
        yield f"{operator_id} reads the ledger", _with_operator(state, operator_id, seen)
    elif operator.phase == READ:
        yield from _swap_ledger(state, operator_id, guards)
    elif operator.phase == LEDGER_LOST:
        is_written = state.ledger[operator_id] == REQUESTED_LIMIT
        phase = LEDGER_WRITTEN if is_written else IDLE
        yield f"{operator_id} reads the ledger back", _with_operator(
            state, operator_id, Operator(phase=phase)
        )
    elif operator.phase == LEDGER_WRITTEN:
        written = _write_limit(state, operator_id)
        yield f"{operator_id} writes its limit", _with_operator(
            written, operator_id, Operator(phase=ACCEPTED)
        )
        yield f"{operator_id}'s limit response is lost", _with_operator(
            written, operator_id, Operator(phase=LIMIT_LOST)
        )
        yield f"{operator_id}'s limit write is lost", _with_operator(
            state, operator_id, Operator(phase=LIMIT_LOST)
        )
    elif operator.phase == LIMIT_LOST:
        if READ_BACK not in guards:
            yield f"{operator_id} assumes that the write failed", _with_operator(
                state, operator_id, Operator(phase=REFUSED)
            )
            return
        phase = ACCEPTED if state.writers[operator_id] == operator_id else LEDGER_WRITTEN
        yield f"{operator_id} reads its limit back", _with_operator(
            state, operator_id, Operator(phase=phase)
        )


def _swap_ledger(state: State, operator_id: int, guards: frozenset[str]) -> Iterator[Step]:
    operator = state.operators[operator_id]
    if operator.seen[1 - operator_id] + REQUESTED_LIMIT > CAPACITY:
        yield f"{operator_id} is refused", _with_operator(
            state, operator_id, Operator(phase=REFUSED)
        )
        return
    if SWAP_LEDGER in guards and operator.seen_revision != state.ledger_revision:
        yield f"{operator_id}'s swap fails", _with_operator(state, operator_id, Operator())
        return
    if state.ledger_revision >= MAX_LEDGER_REVISION:
        return
    ledger = (
        (REQUESTED_LIMIT, state.ledger[1])
        if operator_id == 0
        else (state.ledger[0], REQUESTED_LIMIT)
    )
    swapped = state._replace(ledger=ledger, ledger_revision=state.ledger_revision + 1)
    yield f"{operator_id} swaps the ledger", _with_operator(
        swapped, operator_id, Operator(phase=LEDGER_WRITTEN)
    )
    yield f"{operator_id}'s ledger response is lost", _with_operator(
        swapped, operator_id, Operator(phase=LEDGER_LOST)
    )
    yield f"{operator_id}'s ledger swap is lost", _with_operator(
        state, operator_id, Operator(phase=LEDGER_LOST)
    )


def _write_limit(state: State, operator_id: int) -> State:
    limits = (
        (REQUESTED_LIMIT, state.limits[1])
        if operator_id == 0
        else (state.limits[0], REQUESTED_LIMIT)
    )
    writers = (0, state.writers[1]) if operator_id == 0 else (state.writers[0], 1)
    return state._replace(limits=limits, writers=writers)


def _with_operator(state: State, operator_id: int, operator: Operator) -> State:
    operators = (
        (operator, state.operators[1]) if operator_id == 0 else (state.operators[0], operator)
    )
    return state._replace(operators=operators)
