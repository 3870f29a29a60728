"""Model of how keepers repair a limit that a manual edit lowered in the store.

The limit is stored in two copies, and a manual edit may lower one or both. Two keepers read the
limit from the store or from each other, and they may restart. A keeper that finds a copy below
the limit in force reads both copies and later replaces those that are too low by a
compare-and-swap; that write may arrive twice. Operators may raise the limit meanwhile.

The protocol gives no guarantee if, before an accepted limit is written back, restarts leave no
process that knows it. The model leaves such steps out.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final
from typing import NamedTuple

from baobabpulley.specs.explore import Spec
from baobabpulley.specs.explore import Step

MAX_LIMIT: Final = 2
MAX_EDITS: Final = 1
MAX_RESTARTS: Final = 2
# Above what raises, edits and repairs with `compare` can reach; bounds the search without it.
MAX_REVISION: Final = 6

COMPARE: Final = "compare"
WRITE_BACK: Final = "write_back"
GUARDS: Final = frozenset({COMPARE, WRITE_BACK})


class Copy(NamedTuple):
    """One stored copy: the team's own key, or its entry in the ledger."""

    value: int = 1
    revision: int = 1


class Repair(NamedTuple):
    """A pending compare-and-swap: the copies as read, and the limit to write."""

    seen: tuple[Copy, Copy]
    limit: int


class State(NamedTuple):
    """Both copies, the limit in force at each keeper, their repairs, and the accepted limit."""

    copies: tuple[Copy, Copy] = (Copy(), Copy())
    keepers: tuple[int, int] = (1, 1)
    repairs: tuple[Repair | None, Repair | None] = (None, None)
    accepted: int = 1
    edits: int = 0
    restarts: int = 0


def limit_repair_spec(guards: frozenset[str] = GUARDS) -> Spec:
    """Return the specification; leaving a guard out gives a mutant.

    ``compare``: a copy is replaced only if its revision is still the one that was read.
    ``write_back``: keepers repair copies at all.
    """

    def steps(state: State) -> Iterator[Step]:
        yield from _operator_steps(state)
        for keeper_id in (0, 1):
            yield from _keeper_steps(state, keeper_id)
            if WRITE_BACK in guards:
                yield from _repair_steps(state, keeper_id, guards)

    return Spec(
        name="limit_repair",
        initial=State(),
        steps=steps,
        invariants={"accepted_is_known": lambda s: _highest_known(s) >= s.accepted},
        goal=lambda s: all(copy.value >= s.accepted for copy in s.copies),
    )


def _operator_steps(state: State) -> Iterator[Step]:
    if state.accepted < MAX_LIMIT:
        raised = tuple(_written(copy, state.accepted + 1) for copy in state.copies)
        yield "the limit is raised", state._replace(copies=raised, accepted=state.accepted + 1)
    if state.edits < MAX_EDITS:
        for label, lowered in (("the key", (0,)), ("the ledger", (1,)), ("both", (0, 1))):
            copies = tuple(
                _written(copy, 0) if index in lowered else copy
                for index, copy in enumerate(state.copies)
            )
            edited = state._replace(copies=copies, edits=state.edits + 1)
            # A limit that no keeper has read before both copies are lowered cannot be recovered.
            if _highest_known(edited) >= state.accepted:
                yield f"a manual edit lowers {label}", edited


def _keeper_steps(state: State, keeper_id: int) -> Iterator[Step]:
    in_force = state.keepers[keeper_id]
    stored = max(copy.value for copy in state.copies)
    yield f"keeper {keeper_id} reads", _with_limit(state, keeper_id, max(in_force, stored))
    yield f"keeper {keeper_id} joins", _with_limit(state, keeper_id, max(state.keepers))
    restarted = _with_limit(state, keeper_id, 0)._replace(restarts=state.restarts + 1)
    if state.restarts < MAX_RESTARTS and _highest_known(restarted) >= state.accepted:
        yield f"keeper {keeper_id} restarts", _with_repair(restarted, keeper_id, None)


def _repair_steps(state: State, keeper_id: int, guards: frozenset[str]) -> Iterator[Step]:
    limit, repair = state.keepers[keeper_id], state.repairs[keeper_id]
    if repair is None:
        if any(copy.value < limit for copy in state.copies):
            repair_started = Repair(seen=state.copies, limit=limit)
            yield f"keeper {keeper_id} reads to repair", _with_repair(
                state, keeper_id, repair_started
            )
        return
    written = state._replace(copies=_swapped(state.copies, repair, guards))
    yield f"keeper {keeper_id} writes back", _with_repair(written, keeper_id, None)
    yield f"keeper {keeper_id}'s write arrives and is repeated later", written
    yield f"keeper {keeper_id}'s write is lost", _with_repair(state, keeper_id, None)


def _swapped(
    copies: tuple[Copy, Copy], repair: Repair, guards: frozenset[str]
) -> tuple[Copy, Copy]:
    too_low = [seen.value < repair.limit for seen in repair.seen]
    as_read = all(
        copy == seen
        for copy, seen, needs_repair in zip(copies, repair.seen, too_low, strict=True)
        if needs_repair
    )
    revisions_exhausted = max(copy.revision for copy in copies) >= MAX_REVISION
    if revisions_exhausted or (COMPARE in guards and not as_read):
        return copies
    first, second = (
        _written(copy, repair.limit) if needs_repair else copy
        for copy, needs_repair in zip(copies, too_low, strict=True)
    )
    return first, second


def _highest_known(state: State) -> int:
    return max(*state.keepers, *(copy.value for copy in state.copies))


def _written(copy: Copy, value: int) -> Copy:
    return Copy(value=value, revision=copy.revision + 1)


def _with_limit(state: State, keeper_id: int, limit: int) -> State:
    first, second = state.keepers
    return state._replace(keepers=(limit, second) if keeper_id == 0 else (first, limit))


def _with_repair(state: State, keeper_id: int, repair: Repair | None) -> State:
    first, second = state.repairs
    return state._replace(repairs=(repair, second) if keeper_id == 0 else (first, repair))
