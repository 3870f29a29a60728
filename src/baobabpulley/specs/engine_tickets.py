"""Model of memory reservations that two prompts make on the same two engines.

Each prompt is larger than one engine, so its gateway reserves memory on both engines. An engine
holds one reservation at a time, identified by prompt and reservation name, and expires it after a
few ticks. The gateway renews the reservations of its prompt at each tick. An order may get a
response, or it may get none and be executed immediately, later or never. A prompt that fails to
get one reservation releases all of them and retries under new names; it is refused after its last
attempt. A gateway may crash at any time.

The first step chooses how many crashes and unanswered orders occur, possibly none, so that a
fault does not count as a way out of a blocked state.
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

EXPIRES: Final = "lapses"
RENEWED: Final = "renewed"
RELEASES_ALL: Final = "gives_back"
ALL_OR_NONE: Final = "all_or_none"
FRESH_NAMES: Final = "fresh_names"
GUARDS: Final = frozenset({EXPIRES, RENEWED, RELEASES_ALL, ALL_OR_NONE, FRESH_NAMES})


class Ticket(NamedTuple):
    """A reservation: its prompt, its name, and the ticks until it expires."""

    prompt: int
    name: int
    ticks_left: int


class Prompt(NamedTuple):
    """The gateway's view of the reservations held for a prompt, and the prompt's progress."""

    held: tuple[bool, bool] = (False, False)
    attempts: int = 0
    running: bool = False
    done: bool = False
    has_crashed: bool = False


class Order(NamedTuple):
    """An unanswered order that an engine may still execute."""

    kind: str
    engine: int
    prompt: int
    name: int


class State(NamedTuple):
    """Both engines, both prompts, and the remaining fault budget."""

    started: bool = False
    crashes: int = 0
    unanswered: int = 0
    tickets: tuple[Ticket | None, Ticket | None] = (None, None)
    prompts: tuple[Prompt, Prompt] = (Prompt(), Prompt())
    delayed: Order | None = None


def engine_tickets_spec(guards: frozenset[str] = GUARDS) -> Spec:
    """Return the specification; leaving a guard out gives a mutant.

    ``lapses``: an engine frees a reservation that is not renewed.
    ``renewed``: a gateway renews reservations until its prompt ends.
    ``gives_back``: a prompt that fails to get one reservation releases all of them.
    ``all_or_none``: a prompt runs only with all of its reservations.
    ``fresh_names``: each attempt uses new reservation names.
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
            yield "a delayed order is executed", _executed(
                state._replace(delayed=None), state.delayed
            )
            yield "a delayed order is lost", state._replace(delayed=None)
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
    may_run = all(prompt.held) if ALL_OR_NONE in guards else any(prompt.held)
    if may_run:
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
    reserved = _executed(state, order)
    label = f"prompt {prompt_id} requests {engine}"
    if _is_holder(reserved, order):
        yield f"{label}: granted", _with_prompt(reserved, prompt_id, _with_held(prompt, engine))
    else:
        yield from _refused(state, prompt_id, guards, label=f"{label}: refused")
    if state.unanswered and state.delayed is None:
        fewer = state._replace(unanswered=state.unanswered - 1)
        yield from _refused(
            _executed(fewer, order), prompt_id, guards, label=f"{label}: executed, no response"
        )
        yield from _refused(
            fewer._replace(delayed=order), prompt_id, guards, label=f"{label}: delayed, no response"
        )


def _refused(state: State, prompt_id: int, guards: frozenset[str], *, label: str) -> Iterator[Step]:
    """Handle a reservation that was not granted as far as the gateway knows."""
    prompt = state.prompts[prompt_id]
    if RELEASES_ALL not in guards:
        yield label, state
        return
    attempts = prompt.attempts + 1
    ended = _with_prompt(state, prompt_id, Prompt(attempts=attempts, done=attempts >= MAX_ATTEMPTS))
    yield from _released(ended, prompt_id, prompt, guards, label=label)


def _released(
    state: State, prompt_id: int, prompt: Prompt, guards: frozenset[str], *, label: str
) -> Iterator[Step]:
    """Release all reservations of an attempt; one release may stay unanswered."""
    orders = [Order(RELEASE, engine, prompt_id, _name(prompt, guards)) for engine in ENGINES]
    freed = state
    for order in orders:
        freed = _executed(freed, order)
    yield label, freed
    if state.unanswered and state.delayed is None:
        for delayed, executed in (orders, orders[::-1]):
            fewer = state._replace(unanswered=state.unanswered - 1, delayed=delayed)
            yield f"{label}, release at {delayed.engine} is delayed", _executed(fewer, executed)


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
        elif ticket.ticks_left > 1 or EXPIRES not in guards:
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
