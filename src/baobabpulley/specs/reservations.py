"""Model of two gangs that each reserve the same two engines while ownership changes.

A keeper owns the grant of each engine, and ownership may move. A new owner starts without state:
it waits one expiry time and learns the holder from renewals. The owner of engine 0 may leave
instead: it stops granting and exports its ledger to its successor. The transfer may arrive
immediately, late or never, also after ownership has moved on and back.

A gang acquires engines in ascending order and renews what it holds at each tick. It may crash, and
renewals may be lost; a grant that is not renewed expires. The first step chooses how many crashes
and losses occur, possibly none, so that a fault does not count as a way out of a circular wait.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final
from typing import NamedTuple

from baobabpulley.specs.explore import Spec
from baobabpulley.specs.explore import Step

ENGINES: Final = (0, 1)
EXPIRY_TICKS: Final = 2
MAX_MOVES: Final = 2
MAX_MOVES_LEAVING: Final = 3
LEAVING_ENGINE: Final = 0
SUCCESSOR: Final = 1
THIRD_OWNER: Final = 2
FAULT_BUDGETS: Final = ((0, 0), (1, 0), (0, 2), (1, 1))
FAULT_BUDGETS_LEAVING: Final = ((0, 0), (1, 0), (0, 1))
NOBODY: Final = -1

ASCENDING: Final = "ascending"
WAIT_AFTER_MOVE: Final = "wait_after_move"
EXPIRES: Final = "expires"
ALL_OR_NONE: Final = "all_or_none"
OWNER_STOPS: Final = "giver_stops"
IMPORTED_ONCE: Final = "given_once"
FRESH_TRANSFER: Final = "fresh_book"
FULL_EXPIRY: Final = "whole_expiry"
GUARDS: Final = frozenset({ASCENDING, WAIT_AFTER_MOVE, EXPIRES, ALL_OR_NONE})
GUARDS_LEAVING: Final = frozenset({OWNER_STOPS, IMPORTED_ONCE, FRESH_TRANSFER, FULL_EXPIRY})


class Grant(NamedTuple):
    """An engine's grant as its owner records it.

    ``ticks_left`` counts to the grant's expiry. During ``grace_ticks`` the owner grants nothing.
    """

    holder: int = NOBODY
    ticks_left: int = 0
    grace_ticks: int = 0


class Gang(NamedTuple):
    """The engines a gang assumes it holds, by ticks until it must stop using each."""

    ticks_left: tuple[int, int] = (0, 0)
    done: bool = False
    has_crashed: bool = False


class LedgerTransfer(NamedTuple):
    """A ledger in transit: the exported grant, and the ticks since its export."""

    holder: int
    ticks_left: int
    age: int = 0


class State(NamedTuple):
    """Both engines' grants, both gangs, ownership, and the remaining fault budget.

    ``moves`` counts ownership changes. ``owner`` is the keeper that owns engine 0: initially 0,
    and ``SUCCESSOR`` if that one leaves.
    """

    started: bool = False
    crashes: int = 0
    losses: int = 0
    grants: tuple[Grant, Grant] = (Grant(), Grant())
    gangs: tuple[Gang, Gang] = (Gang(), Gang())
    moves: int = 0
    owner: int = 0
    transfer: LedgerTransfer | None = None


def reservations_spec(
    guards: frozenset[str] = GUARDS | GUARDS_LEAVING, *, leaving: bool = False
) -> Spec:
    """Return the specification, with or without a leaving owner.

    Leaving a guard out gives a mutant.
    ``ascending``: engines are acquired in ascending order.
    ``wait_after_move``: a new owner grants nothing for one expiry time.
    ``expires``: a grant that is not renewed is freed.
    ``all_or_none``: a gang that loses an engine releases all and acquires them again in order.
    ``giver_stops``: an owner that has exported its ledger grants nothing more.
    ``given_once``: a ledger is imported at most once.
    ``fresh_book``: a successor rejects a ledger that is at least one expiry time old.
    ``whole_expiry``: an imported grant is valid for a full expiry time from its import, as its
    holder may have renewed it with another owner meanwhile.
    """

    def steps(state: State) -> Iterator[Step]:
        if not state.started:
            for crashes, losses in FAULT_BUDGETS_LEAVING if leaving else FAULT_BUDGETS:
                yield f"{crashes} crashes, {losses} losses", state._replace(
                    started=True, crashes=crashes, losses=losses
                )
            return
        yield "tick", _tick(state, guards, lost=NOBODY)
        if state.losses:
            fewer = state._replace(losses=state.losses - 1)
            for gang_id in (0, 1):
                yield f"tick, {gang_id}'s renewals are lost", _tick(fewer, guards, lost=gang_id)
        for engine in ENGINES:
            if state.moves < (MAX_MOVES_LEAVING if leaving else MAX_MOVES):
                grace_ticks = EXPIRY_TICKS if WAIT_AFTER_MOVE in guards else 0
                moved = state._replace(moves=state.moves + 1)
                if leaving and engine == LEAVING_ENGINE:
                    moved = moved._replace(
                        owner=THIRD_OWNER if state.owner != THIRD_OWNER else SUCCESSOR
                    )
                yield f"owner of {engine} moves", _with_grant(
                    moved, engine, Grant(grace_ticks=grace_ticks)
                )
        if leaving:
            yield from _transfer_steps(state, guards)
        for gang_id in (0, 1):
            yield from _gang_steps(state, gang_id, guards)

    return Spec(
        name="reservations_leaving" if leaving else "reservations",
        initial=State(),
        steps=steps,
        invariants={
            "no_engine_granted_twice": lambda s: all(
                sum(1 for gang in s.gangs if gang.ticks_left[engine]) <= 1 for engine in ENGINES
            ),
        },
        goal=lambda s: all(gang.done or gang.has_crashed for gang in s.gangs)
        and all(grant.holder == NOBODY for grant in s.grants),
    )


def _transfer_steps(state: State, guards: frozenset[str]) -> Iterator[Step]:
    grant = state.grants[LEAVING_ENGINE]
    transfer = state.transfer
    if transfer is None:
        if state.owner == 0 and not grant.grace_ticks and state.moves < MAX_MOVES_LEAVING:
            departed = state._replace(
                owner=SUCCESSOR,
                moves=state.moves + 1,
                transfer=LedgerTransfer(grant.holder, grant.ticks_left),
            )
            yield "owner of 0 leaves", _with_grant(
                departed, LEAVING_ENGINE, Grant(grace_ticks=EXPIRY_TICKS)
            )
        return
    yield "the ledger is lost", state._replace(transfer=None)
    if state.owner == SUCCESSOR:
        ticks_left = transfer.ticks_left
        if FULL_EXPIRY in guards and transfer.holder != NOBODY:
            ticks_left = EXPIRY_TICKS
        imported = grant if grant.holder != NOBODY else Grant(transfer.holder, ticks_left)
        remaining = state._replace(transfer=None) if IMPORTED_ONCE in guards else state
        yield "the ledger is imported", _with_grant(
            remaining, LEAVING_ENGINE, imported._replace(grace_ticks=0)
        )
    if OWNER_STOPS not in guards and transfer.holder == NOBODY:
        for gang_id in (0, 1):
            gang = state.gangs[gang_id]
            if not gang.done and not gang.has_crashed and not gang.ticks_left[LEAVING_ENGINE]:
                granted = _with_gang(
                    state, gang_id, gang._replace(ticks_left=(EXPIRY_TICKS, gang.ticks_left[1]))
                )
                yield f"gang {gang_id} acquires 0 from its former owner", granted


def _tick(state: State, guards: frozenset[str], *, lost: int) -> State:
    grants = []
    for grant in state.grants:
        ticks_left = max(0, grant.ticks_left - 1)
        holder = grant.holder if ticks_left or EXPIRES not in guards else NOBODY
        grants.append(Grant(holder, ticks_left, max(0, grant.grace_ticks - 1)))
    # A holder stops using an engine it could not renew no later than the owner's grant expires.
    gangs = tuple(
        gang._replace(ticks_left=tuple(max(0, ticks - 1) for ticks in gang.ticks_left))
        for gang in state.gangs
    )
    transfer = state.transfer
    if transfer is not None:
        ticks_left = max(0, transfer.ticks_left - 1)
        holder = transfer.holder if ticks_left or FULL_EXPIRY in guards else NOBODY
        transfer = LedgerTransfer(holder, ticks_left, min(EXPIRY_TICKS, transfer.age + 1))
        if transfer.age == EXPIRY_TICKS and FRESH_TRANSFER in guards:
            transfer = None
    after_tick = state._replace(grants=tuple(grants), gangs=gangs, transfer=transfer)
    for gang_id in (0, 1):
        if gang_id != lost:
            after_tick = _renew(state, after_tick, gang_id)
        if ALL_OR_NONE in guards and _lost_engine(state.gangs[gang_id], after_tick.gangs[gang_id]):
            after_tick = _release_all(after_tick, gang_id)
    return after_tick


def _lost_engine(before: Gang, after: Gang) -> bool:
    return any(
        held_before and not held_after
        for held_before, held_after in zip(before.ticks_left, after.ticks_left, strict=True)
    )


def _renew(before: State, after_tick: State, gang_id: int) -> State:
    for engine in ENGINES:
        if before.gangs[gang_id].ticks_left[engine] and after_tick.grants[engine].holder in {
            gang_id,
            NOBODY,
        }:
            after_tick = _acquire(after_tick, gang_id, engine)
    return after_tick


def _gang_steps(state: State, gang_id: int, guards: frozenset[str]) -> Iterator[Step]:
    gang = state.gangs[gang_id]
    if gang.done or gang.has_crashed:
        return
    if state.crashes:
        crashed = state._replace(crashes=state.crashes - 1)
        yield f"gang {gang_id} crashes", _with_gang(crashed, gang_id, Gang(has_crashed=True))
    order = ENGINES if ASCENDING in guards or gang_id == 0 else ENGINES[::-1]
    wanted = next((engine for engine in order if not gang.ticks_left[engine]), None)
    if wanted is None:
        yield f"gang {gang_id} ends", _with_gang(
            _release_all(state, gang_id), gang_id, Gang(done=True)
        )
    elif state.grants[wanted].holder in {NOBODY, gang_id} and not state.grants[wanted].grace_ticks:
        yield f"gang {gang_id} acquires {wanted}", _acquire(state, gang_id, wanted)


def _acquire(state: State, gang_id: int, engine: int) -> State:
    grace_ticks = state.grants[engine].grace_ticks
    granted = _with_grant(
        state, engine, Grant(holder=gang_id, ticks_left=EXPIRY_TICKS, grace_ticks=grace_ticks)
    )
    gang = state.gangs[gang_id]
    ticks_left = (
        (EXPIRY_TICKS, gang.ticks_left[1]) if engine == 0 else (gang.ticks_left[0], EXPIRY_TICKS)
    )
    return _with_gang(granted, gang_id, gang._replace(ticks_left=ticks_left))


def _release_all(state: State, gang_id: int) -> State:
    for engine in ENGINES:
        if state.grants[engine].holder == gang_id:
            freed = state.grants[engine]._replace(holder=NOBODY, ticks_left=0)
            state = _with_grant(state, engine, freed)
    return _with_gang(state, gang_id, state.gangs[gang_id]._replace(ticks_left=(0, 0)))


def _with_grant(state: State, engine: int, grant: Grant) -> State:
    grants = (grant, state.grants[1]) if engine == 0 else (state.grants[0], grant)
    return state._replace(grants=grants)


def _with_gang(state: State, gang_id: int, gang: Gang) -> State:
    gangs = (gang, state.gangs[1]) if gang_id == 0 else (state.gangs[0], gang)
    return state._replace(gangs=gangs)
