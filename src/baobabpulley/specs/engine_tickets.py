"""Two prompts, each past one engine, whose gateways reserve memory on the same two engines.

An engine keeps one reservation for a few ticks under the name that it was asked with; the gateway
renews it at each tick. An order may be answered, or stay without an answer and be carried out at
once, later or never. A prompt that misses one reservation gives all back and tries again under
new names, and is refused after its last try. A gateway may crash at any moment. How many crashes
and unanswered orders come is drawn at the start, so that neither counts as a way out of a wait.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final
from typing import NamedTuple

from baobabpulley.specs.explore import Spec
from baobabpulley.specs.explore import Step

ENGINES: Final = (0, 1)
PROMPTS: Final = (0, 1)
HOLD_TICKS: Final = 2
MAX_ATTEMPTS: Final = 2
FAULT_BUDGETS: Final = ((0, 0), (1, 0), (0, 1), (1, 1), (0, 2))

RESERVE: Final = "reserve"
RELEASE: Final = "release"

LAPSES: Final = "lapses"
RENEWED: Final = "renewed"
RELEASES_ALL: Final = "gives_back"
ALL_OR_NONE: Final = "all_or_none"
FRESH_NAMES: Final = "fresh_names"
GUARDS: Final = frozenset({LAPSES, RENEWED, RELEASES_ALL, ALL_OR_NONE, FRESH_NAMES})


class Ticket(NamedTuple):
    """A reservation: whose prompt, under which name, and ticks until it lapses."""

    prompt: int
    name: int
    ticks_left: int


class Prompt(NamedTuple):
    """What a gateway believes to hold for a prompt, and how far the prompt is."""

    held: tuple[bool, bool] = (False, False)
    attempts: int = 0
    running: bool = False
    done: bool = False
    has_crashed: bool = False


class Order(NamedTuple):
    """An unanswered order that an engine may still carry out."""

    kind: str
    engine: int
    prompt: int
    name: int


class State(NamedTuple):
    """Both engines, both prompts, and the troubles still to come."""

    started: bool = False
    crashes: int = 0
    unanswered: int = 0
    tickets: tuple[Ticket | None, Ticket | None] = (None, None)
    prompts: tuple[Prompt, Prompt] = (Prompt(), Prompt())
    delayed: Order | None = None


def engine_tickets_spec(guards: frozenset[str] = GUARDS) -> Spec:
    """Return the specification; leaving a guard out gives a mutant.

    ``lapses``: an engine frees what nobody renews. ``renewed``: a gateway renews while its prompt
    runs. ``gives_back``: a prompt that misses one reservation keeps none. ``all_or_none``: a
    prompt runs with all of its reservations only. ``fresh_names``: each try has names of its own.
    """

    def steps(state: State) -> Iterator[Step]:
        if not state.started:
            for crashes, unanswered in FAULT_BUDGETS:
                yield f"{crashes} crashes, {unanswered} unanswered", state._replace(
                    started=True, crashes=crashes, unanswered=unanswered
                )
            return
        yield "tick", _tick(state, guards)
        if state.delayed is not None:
            yield "a late order is carried out", _executed(
                state._replace(delayed=None), state.delayed
            )
            yield "a late order is lost", state._replace(delayed=None)
        for prompt_id in PROMPTS:
            yield from _prompt_steps(state, prompt_id, guards)

    return Spec(
        name="engine_tickets",
        initial=State(),
        steps=steps,
        invariants={"tickets_stand_while_used": lambda s: _running_prompts_hold_tickets(s, guards)},
        goal=lambda s: all(prompt.done or prompt.has_crashed for prompt in s.prompts)
        and all(ticket is None for ticket in s.tickets),
    )


def _running_prompts_hold_tickets(state: State, guards: frozenset[str]) -> bool:
    return all(
        ticket is not None and ticket.prompt == prompt_id and ticket.name == _name(prompt, guards)
        for prompt_id, prompt in enumerate(state.prompts)
        if prompt.running
        for ticket in state.tickets
    )


def _name(prompt: Prompt, guards: frozenset[str]) -> int:
    return prompt.attempts if FRESH_NAMES in guards else 0


def _prompt_steps(state: State, prompt_id: int, guards: frozenset[str]) -> Iterator[Step]:
    prompt = state.prompts[prompt_id]
    if prompt.done or prompt.has_crashed:
        return
    if state.crashes:
        crashed = state._replace(crashes=state.crashes - 1)
        yield f"gateway of {prompt_id} crashes", _with_prompt(
            crashed, prompt_id, Prompt(has_crashed=True)
        )
    if prompt.running:
        ended = _with_prompt(state, prompt_id, prompt._replace(running=False, done=True))
        yield from _released(ended, prompt_id, prompt, guards, label=f"prompt {prompt_id} ends")
        return
    enough = all(prompt.held) if ALL_OR_NONE in guards else any(prompt.held)
    if enough:
        yield f"prompt {prompt_id} runs", _with_prompt(
            state, prompt_id, prompt._replace(running=True)
        )
    for engine in ENGINES:
        if not prompt.held[engine]:
            yield from _reserve_steps(state, prompt_id, engine, guards)


def _reserve_steps(
    state: State, prompt_id: int, engine: int, guards: frozenset[str]
) -> Iterator[Step]:
    prompt = state.prompts[prompt_id]
    order = Order(RESERVE, engine, prompt_id, _name(prompt, guards))
    taken = _executed(state, order)
    label = f"prompt {prompt_id} asks {engine}"
    if _is_holder(taken, order):
        yield f"{label}: granted", _with_prompt(taken, prompt_id, _with_held(prompt, engine))
    else:
        yield from _refused(state, prompt_id, guards, label=f"{label}: refused")
    if state.unanswered and state.delayed is None:
        fewer = state._replace(unanswered=state.unanswered - 1)
        yield from _refused(
            _executed(fewer, order), prompt_id, guards, label=f"{label}: carried out, no answer"
        )
        yield from _refused(
            fewer._replace(delayed=order), prompt_id, guards, label=f"{label}: late, no answer"
        )


def _refused(state: State, prompt_id: int, guards: frozenset[str], *, label: str) -> Iterator[Step]:
    """A reservation was not granted, as far as the gateway knows."""
    prompt = state.prompts[prompt_id]
    if RELEASES_ALL not in guards:
        yield label, state
        return
    attempts = prompt.attempts + 1
    tried = _with_prompt(state, prompt_id, Prompt(attempts=attempts, done=attempts >= MAX_ATTEMPTS))
    yield from _released(tried, prompt_id, prompt, guards, label=label)


def _released(
    state: State, prompt_id: int, prompt: Prompt, guards: frozenset[str], *, label: str
) -> Iterator[Step]:
    """All reservations of a try are released; one release may stay without an answer."""
    orders = [Order(RELEASE, engine, prompt_id, _name(prompt, guards)) for engine in ENGINES]
    freed = state
    for order in orders:
        freed = _executed(freed, order)
    yield label, freed
    if state.unanswered and state.delayed is None:
        for delayed, other in (orders, orders[::-1]):
            fewer = state._replace(unanswered=state.unanswered - 1, delayed=delayed)
            yield f"{label}, release at {delayed.engine} is late", _executed(fewer, other)


def _executed(state: State, order: Order) -> State:
    ticket = state.tickets[order.engine]
    if order.kind == RELEASE:
        return _with_ticket(state, order.engine, None) if _is_holder(state, order) else state
    if ticket is None or _is_holder(state, order):
        return _with_ticket(state, order.engine, Ticket(order.prompt, order.name, HOLD_TICKS))
    return state


def _is_holder(state: State, order: Order) -> bool:
    ticket = state.tickets[order.engine]
    return ticket is not None and (ticket.prompt, ticket.name) == (order.prompt, order.name)


def _tick(state: State, guards: frozenset[str]) -> State:
    for engine in ENGINES:
        ticket = state.tickets[engine]
        if ticket is None:
            continue
        prompt = state.prompts[ticket.prompt]
        is_own = prompt.held[engine] and ticket.name == _name(prompt, guards)
        if RENEWED in guards and is_own and not (prompt.done or prompt.has_crashed):
            state = _with_ticket(state, engine, ticket._replace(ticks_left=HOLD_TICKS))
        elif ticket.ticks_left > 1 or LAPSES not in guards:
            state = _with_ticket(
                state, engine, ticket._replace(ticks_left=max(1, ticket.ticks_left - 1))
            )
        else:
            state = _with_ticket(state, engine, None)
    return state


def _with_held(prompt: Prompt, engine: int) -> Prompt:
    first, second = prompt.held
    return prompt._replace(held=(True, second) if engine == 0 else (first, True))


def _with_ticket(state: State, engine: int, ticket: Ticket | None) -> State:
    first, second = state.tickets
    return state._replace(tickets=(ticket, second) if engine == 0 else (first, ticket))


def _with_prompt(state: State, prompt_id: int, prompt: Prompt) -> State:
    first, second = state.prompts
    return state._replace(prompts=(prompt, second) if prompt_id == 0 else (first, prompt))
