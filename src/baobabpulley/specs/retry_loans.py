"""Model of a retry that one gateway lends to another, by messages that are lost and repeated.

The lender may send one retry within a window, and lends it instead. The borrower has nothing of its
own. A message that was sent may arrive at any later time, any number of times, or never. The
borrower may restart; the lender's restart is covered by spending half of the share, and is not
modeled. Time passes in ticks: a loan may be used until `LOAN_TICKS` after the question, and the
budget holds for every `WINDOW_TICKS`.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final
from typing import NamedTuple

from baobabpulley.specs.explore import Spec
from baobabpulley.specs.explore import Step

SHARE: Final = 1
LOAN_TICKS: Final = 1
WINDOW_TICKS: Final = 2
MAX_WANTS: Final = 3
MAX_RESTARTS: Final = 1
# Above what counts for any check, so that the states stay finite.
OLD: Final = WINDOW_TICKS + LOAN_TICKS + 1

CHARGE: Final = "charge"
LASTING: Final = "lasting"
EXPIRY: Final = "expiry"
ONCE: Final = "once"
KNOWN: Final = "known"
GUARDS: Final = frozenset({CHARGE, LASTING, EXPIRY, ONCE, KNOWN})


class State(NamedTuple):
    """The borrower's questions, messages that may still arrive, charges and retries sent.

    ``wants`` are the ages of the questions, by number; those before ``first_own`` were asked by the
    borrower's process before this one. ``asked`` and ``lent`` are the numbers of the questions
    whose message, and whose loan's message, may arrive. ``held`` are loans received and not used,
    ``seen`` all that this process received. ``charges`` are the ages of the lender's charges,
    ``sent`` those of the retries.
    """

    wants: tuple[int, ...] = ()
    first_own: int = 0
    asked: frozenset[int] = frozenset()
    lent: frozenset[int] = frozenset()
    held: frozenset[int] = frozenset()
    seen: frozenset[int] = frozenset()
    charges: tuple[int, ...] = ()
    sent: tuple[int, ...] = ()
    restarts: int = 0
    has_sent: bool = False


def retry_loans_spec(guards: frozenset[str] = GUARDS) -> Spec:
    """Return the specification; leaving a guard out gives a mutant.

    ``charge``: a lender charges itself for a loan.
    ``lasting``: the charge lasts for the window and for as long as the loan may be used.
    ``expiry``: a loan is not used later than so long after the question.
    ``once``: a loan that was received before is not accepted again.
    ``known``: a loan is accepted only for a question of this process.
    """

    def steps(state: State) -> Iterator[Step]:
        yield "time passes", _tick(state, guards)
        if len(state.wants) < MAX_WANTS:
            number = len(state.wants)
            yield f"want {number} is asked", state._replace(
                wants=(*state.wants, 0), asked=state.asked | {number}
            )
        for number in sorted(state.asked):
            yield f"want {number} is lost", state._replace(asked=state.asked - {number})
            if number not in state.lent and len(state.charges) < SHARE:
                yield f"want {number} is answered", _lend(state, number, guards)
        for number in sorted(state.lent):
            if _accepts(state, number, guards):
                yield f"loan {number} arrives", state._replace(
                    held=state.held | {number}, seen=state.seen | {number}
                )
        for number in sorted(state.held) if len(state.sent) <= SHARE else ():
            yield f"loan {number} is used", state._replace(
                held=state.held - {number}, sent=(*state.sent, 0), has_sent=True
            )
        if state.restarts < MAX_RESTARTS:
            yield "the borrower restarts", state._replace(
                first_own=len(state.wants),
                held=frozenset(),
                seen=frozenset(),
                restarts=state.restarts + 1,
            )

    return Spec(
        name="retry_loans",
        initial=State(),
        steps=steps,
        invariants={"retries_within_budget": lambda s: len(s.sent) <= SHARE},
        # Every message may be lost, so a retry is certain to be reachable only with wants left.
        goal=lambda s: s.has_sent or len(s.wants) == MAX_WANTS,
    )


def _lend(state: State, number: int, guards: frozenset[str]) -> State:
    charges = (*state.charges, 0) if CHARGE in guards else state.charges
    return state._replace(lent=state.lent | {number}, charges=charges)


def _accepts(state: State, number: int, guards: frozenset[str]) -> bool:
    """Whether the borrower keeps a loan that arrives now."""
    if KNOWN in guards and number < state.first_own:
        return False
    if ONCE in guards and number in state.seen:
        return False
    return EXPIRY not in guards or state.wants[number] <= LOAN_TICKS


def _tick(state: State, guards: frozenset[str]) -> State:
    wants = tuple(min(OLD, age + 1) for age in state.wants)
    lasts = WINDOW_TICKS + (LOAN_TICKS if LASTING in guards else 0)
    held = state.held
    if EXPIRY in guards:
        held = frozenset(number for number in held if wants[number] <= LOAN_TICKS)
    return state._replace(
        wants=wants,
        held=held,
        charges=tuple(age + 1 for age in state.charges if age < lasts),
        sent=tuple(age + 1 for age in state.sent if age < WINDOW_TICKS),
    )
