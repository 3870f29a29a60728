"""Two gangs that each need both engines, their home keepers, crashes and a change of home.

Engine ``i`` is kept by a home that may move; the new home knows nothing, waits one expiry time
and learns from renewals. A gang takes engines in ascending order and renews what it has at each
tick. It may crash, and renewals may be lost; what nobody renews expires. How many crashes and
losses come is drawn at the start, so that neither counts as a way out of a circular wait.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final
from typing import NamedTuple

from baobabpulley.specs.explore import Spec
from baobabpulley.specs.explore import Step

ENGINES: Final = (0, 1)
EXPIRY: Final = 2
MAX_MOVES: Final = 2
TROUBLES: Final = ((0, 0), (1, 0), (0, 2), (1, 1))
NOBODY: Final = -1

ASCENDING: Final = "ascending"
WAIT_AFTER_MOVE: Final = "wait_after_move"
EXPIRES: Final = "expires"
ALL_OR_NONE: Final = "all_or_none"
GUARDS: Final = frozenset({ASCENDING, WAIT_AFTER_MOVE, EXPIRES, ALL_OR_NONE})


class Grant(NamedTuple):
    """What an engine's home knows: the holder, ticks until it expires, ticks it grants nothing."""

    holder: int = NOBODY
    left: int = 0
    closed: int = 0


class Gang(NamedTuple):
    """The engines a gang believes to hold, with ticks until it must stop using each."""

    left: tuple[int, int] = (0, 0)
    done: bool = False
    dead: bool = False


class State(NamedTuple):
    """Both engines' grants, both gangs, the homes' moves, crashes and losses still to come."""

    started: bool = False
    crashes: int = 0
    losses: int = 0
    grants: tuple[Grant, Grant] = (Grant(), Grant())
    gangs: tuple[Gang, Gang] = (Gang(), Gang())
    moves: int = 0


def reservations_spec(guards: frozenset[str] = GUARDS) -> Spec:
    """Return the specification; leaving a guard out gives a mutant.

    ``ascending``: engines are taken in ascending order. ``wait_after_move``: a new home grants
    nothing for one expiry time. ``expires``: what nobody renews is freed. ``all_or_none``: a
    gang that loses an engine gives back those above it and takes them again in order.
    """

    def steps(state: State) -> Iterator[Step]:
        if not state.started:
            for crashes, losses in TROUBLES:
                yield f"{crashes} crashes, {losses} losses", state._replace(
                    started=True, crashes=crashes, losses=losses
                )
            return
        yield "tick", _tick(state, guards, lost=NOBODY)
        if state.losses:
            fewer = state._replace(losses=state.losses - 1)
            for who in (0, 1):
                yield f"tick, {who}'s renewals are lost", _tick(fewer, guards, lost=who)
        for engine in ENGINES:
            if state.moves < MAX_MOVES:
                closed = EXPIRY if WAIT_AFTER_MOVE in guards else 0
                moved = state._replace(moves=state.moves + 1)
                yield f"home of {engine} moves", _grant(moved, engine, Grant(closed=closed))
        for who in (0, 1):
            yield from _gang_steps(state, who, guards)

    return Spec(
        name="reservations",
        initial=State(),
        steps=steps,
        invariants={
            "no_engine_granted_twice": lambda s: all(
                sum(1 for gang in s.gangs if gang.left[engine]) <= 1 for engine in ENGINES
            ),
        },
        goal=lambda s: all(gang.done or gang.dead for gang in s.gangs)
        and all(grant.holder == NOBODY for grant in s.grants),
    )


def _tick(state: State, guards: frozenset[str], *, lost: int) -> State:
    grants = []
    for grant in state.grants:
        left = max(0, grant.left - 1)
        holder = grant.holder if left or EXPIRES not in guards else NOBODY
        grants.append(Grant(holder, left, max(0, grant.closed - 1)))
    # A holder stops using what it could not renew no later than the home forgets it.
    gangs = tuple(
        gang._replace(left=tuple(max(0, ticks - 1) for ticks in gang.left)) for gang in state.gangs
    )
    passed = state._replace(grants=tuple(grants), gangs=gangs)
    for who in (0, 1):
        if who != lost:
            passed = _renew(state, passed, who)
        if ALL_OR_NONE in guards and _lost_one(state.gangs[who], passed.gangs[who]):
            passed = _give_back(passed, who)
    return passed


def _lost_one(before: Gang, after: Gang) -> bool:
    return any(had and not has for had, has in zip(before.left, after.left, strict=True))


def _renew(before: State, passed: State, who: int) -> State:
    for engine in ENGINES:
        if before.gangs[who].left[engine] and passed.grants[engine].holder in {who, NOBODY}:
            passed = _hold(passed, who, engine)
    return passed


def _gang_steps(state: State, who: int, guards: frozenset[str]) -> Iterator[Step]:
    gang = state.gangs[who]
    if gang.done or gang.dead:
        return
    if state.crashes:
        crashed = state._replace(crashes=state.crashes - 1)
        yield f"gang {who} crashes", _gang(crashed, who, Gang(dead=True))
    order = ENGINES if ASCENDING in guards or who == 0 else ENGINES[::-1]
    wanted = next((engine for engine in order if not gang.left[engine]), None)
    if wanted is None:
        yield f"gang {who} ends", _gang(_give_back(state, who), who, Gang(done=True))
    elif state.grants[wanted].holder in {NOBODY, who} and not state.grants[wanted].closed:
        yield f"gang {who} takes {wanted}", _hold(state, who, wanted)


def _hold(state: State, who: int, engine: int) -> State:
    closed = state.grants[engine].closed
    granted = _grant(state, engine, Grant(holder=who, left=EXPIRY, closed=closed))
    gang = state.gangs[who]
    left = (EXPIRY, gang.left[1]) if engine == 0 else (gang.left[0], EXPIRY)
    return _gang(granted, who, gang._replace(left=left))


def _give_back(state: State, who: int) -> State:
    for engine in ENGINES:
        if state.grants[engine].holder == who:
            freed = state.grants[engine]._replace(holder=NOBODY, left=0)
            state = _grant(state, engine, freed)
    return _gang(state, who, state.gangs[who]._replace(left=(0, 0)))


def _grant(state: State, engine: int, grant: Grant) -> State:
    grants = (grant, state.grants[1]) if engine == 0 else (state.grants[0], grant)
    return state._replace(grants=grants)


def _gang(state: State, who: int, gang: Gang) -> State:
    gangs = (gang, state.gangs[1]) if who == 0 else (state.gangs[0], gang)
    return state._replace(gangs=gangs)
