"""Explore a specification to its end with the model checker `minicheck`.

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
    """A finite state machine. States are named tuples; ``goal`` must stay reachable."""

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
    """What an exploration found; ``violated`` maps invariants to the steps that break them."""

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
    """Visit every reachable state of a specification."""
    protocol = _protocol(spec)
    safety = check_safety(protocol, max_states=MAX_STATES)
    violated = {
        name: [step["label"] or "start" for step in found["counterexample"]]
        for name, found in safety["properties"].items()
        if found["holds"] is False
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
    kind = type(spec.initial)

    def on_fields(predicate: Callable[[State], bool]) -> Callable[[dict[str, Any]], bool]:
        return lambda fields: predicate(kind(**fields))

    return Protocol(
        name=spec.name,
        candidate=False,
        fields=kind._fields,
        initial=spec.initial,
        transitions=lambda state: list(spec.steps(state)),
        invariants={name: on_fields(rule) for name, rule in spec.invariants.items()},
        goal=on_fields(spec.goal),
    )
