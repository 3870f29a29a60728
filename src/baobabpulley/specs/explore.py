"""Explore a specification exhaustively with the model checker `minicheck`.

`minicheck` is a development dependency: daemons never import this module.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import Final
from typing import final

from minicheck import Protocol
from minicheck import check_liveness
from minicheck import check_safety

MAX_STATES: Final = 400_000

State = Any
Step = tuple[str, State]


@final
class Spec:
    """A finite state machine whose states are named tuples.

    ``steps`` yields the labelled successors of a state.
    ``invariants`` must hold in every reachable state, and ``goal`` must stay reachable from each.
    """

    __slots__ = ("goal", "initial", "invariants", "name", "steps")

    def __init__(
        self,
        *,
        name: str,
        initial: State,
        steps: Callable[[State], Iterable[Step]],
        invariants: dict[str, Callable[[State], bool]],
        goal: Callable[[State], bool],
    ) -> None:
        self.name = name
        self.initial = initial
        self.steps = steps
        self.invariants = invariants
        self.goal = goal


@final
class Verdict:
    """The result of an exploration.

    ``finished`` is false if the search stopped at ``MAX_STATES``.
    ``violated`` maps each violated invariant to the labels of a counterexample.
    ``goal_reachable`` is None if it was not checked.
    """

    __slots__ = ("finished", "goal_reachable", "states", "violated")

    def __init__(
        self,
        *,
        finished: bool,
        states: int,
        violated: dict[str, list[str]],
        goal_reachable: bool | None,
    ) -> None:
        self.finished = finished
        self.states = states
        self.violated = violated
        self.goal_reachable = goal_reachable


def explore(spec: Spec) -> Verdict:
    """Visit every reachable state of a specification, at most ``MAX_STATES`` of them."""
    protocol = _protocol(spec)
    safety = check_safety(protocol, max_states=MAX_STATES)
    violated = {
        name: [step["label"] or "start" for step in result["counterexample"]]
        for name, result in safety["properties"].items()
        if result["holds"] is False
    }
    reachable = None
    if safety["exhaustive"] and not violated:
        reachable = check_liveness(protocol)["holds"]
    return Verdict(
        finished=safety["exhaustive"],
        states=safety["reachable_states"],
        violated=violated,
        goal_reachable=reachable,
    )


def _protocol(spec: Spec) -> Protocol:
    state_type = type(spec.initial)

    def on_fields(predicate: Callable[[State], bool]) -> Callable[[dict[str, Any]], bool]:
        return lambda fields: predicate(state_type(**fields))

    return Protocol(
        name=spec.name,
        candidate=False,
        fields=state_type._fields,
        initial=spec.initial,
        transitions=lambda state: list(spec.steps(state)),
        invariants={name: on_fields(invariant) for name, invariant in spec.invariants.items()},
        goal=on_fields(spec.goal),
    )
