"""Model of a call that must run at most once and is retried through two entries.

The call carries either a ticket or an idempotency key of the caller.

With a ticket, entry 0 is the issuer. It may crash and restart as another incarnation; entry 1
forwards the call to it. An issuer that shuts down may hand its record of the call over to one
successor, which may receive it late or never. The successor then acts in place of the issuer.

With an idempotency key, both entries claim it in the store, whose responses may be lost.

The service runs every call that reaches it, even if the entry that sent it has failed since.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final
from typing import NamedTuple

from baobabpulley.specs.explore import Spec
from baobabpulley.specs.explore import Step

ISSUER_ONLY: Final = "issuer_only"
NO_RETRY: Final = "no_retry"
CLOSES_FIRST: Final = "closes_first"
DRAINED: Final = "drained"
ONE_SUCCESSOR: Final = "one_heir"
TICKET_GUARDS: Final = frozenset({ISSUER_ONLY, NO_RETRY, CLOSES_FIRST, DRAINED, ONE_SUCCESSOR})

READ_BACK: Final = "read_back"
CLAIM_FIRST: Final = "claim_first"
CLAIM_GUARDS: Final = frozenset({READ_BACK, CLAIM_FIRST})

NEW, CLAIMING, CLAIM_LOST, CLAIMED, SENT, ENDED = range(6)
NO_OUTCOME, RAN, NOT_RUN, UNKNOWN = range(4)
NOBODY: Final = -1
HELD_BY_ISSUER, IN_TRANSIT, ADOPTED, LOST = range(4)


class Attempt(NamedTuple):
    """One attempt of the caller through the entry of the same index, and the reply it got."""

    phase: int = NEW
    reply: int = NO_OUTCOME


class CallRecord(NamedTuple):
    """An entry's record of the ticket's call: whether it was sent, and its outcome."""

    sent: bool = False
    outcome: int = NO_OUTCOME


class State(NamedTuple):
    """The service, the issuer's record of the call, the store's claim and both attempts.

    ``in_flight`` counts calls on their way to the service and ``executions`` those that it ran.
    ``sent`` and ``outcome`` are the issuer's record.
    ``claim_owner`` is the entry whose claim the store holds.
    ``stored_outcome`` is the outcome in the store.
    ``handover`` is the state of the handover, ``transferred`` the record as it was handed over,
    and ``successor`` that record as updated since then.
    ``false_not_run`` is set once a caller got "not run" for a call that ran or could still run.
    """

    executions: int = 0
    in_flight: int = 0
    issuer_up: bool = True
    sent: bool = False
    outcome: int = NO_OUTCOME
    claim_owner: int = NOBODY
    stored_outcome: int = NO_OUTCOME
    attempts: tuple[Attempt, Attempt] = (Attempt(), Attempt())
    false_not_run: bool = False
    handover: int = HELD_BY_ISSUER
    transferred: CallRecord = CallRecord()
    successor: CallRecord = CallRecord()


def ticket_spec(guards: frozenset[str] = TICKET_GUARDS) -> Spec:
    """Return the specification of call tickets; leaving a guard out gives a mutant.

    ``issuer_only``: no entry runs the call of a ticket that another incarnation issued.
    ``no_retry``: a call is not sent again once any byte of it may have been sent.
    ``closes_first``: an issuer runs no calls after handing its record over.
    ``drained``: an issuer hands its record over only when no call it sent awaits an outcome.
    ``one_heir``: if the successor's response is lost, no other successor receives the record.
    """

    def steps(state: State) -> Iterator[Step]:
        yield from _service_steps(state)
        if state.issuer_up:
            yield "issuer crashes", state._replace(issuer_up=False, outcome=NO_OUTCOME)
            yield from _issuer_steps(state, guards)
        yield from _handover_steps(state, guards)
        for entry_id in (0, 1):
            yield from _ticket_attempt(state, entry_id, guards)

    return _spec("tickets", steps)


def claim_spec(guards: frozenset[str] = CLAIM_GUARDS) -> Spec:
    """Return the specification of idempotency keys; leaving a guard out gives a mutant.

    ``read_back``: a lost response to a claim is resolved by reading the store.
    ``claim_first``: a claim is created only if none exists.
    """

    def steps(state: State) -> Iterator[Step]:
        yield from _service_steps(state)
        for entry_id in (0, 1):
            yield from _claim_attempt(state, entry_id, guards)

    return _spec("claims", steps)


def _spec(name: str, steps: object) -> Spec:
    return Spec(
        name=name,
        initial=State(),
        steps=steps,  # type: ignore[arg-type]
        invariants={
            "runs_at_most_once": lambda s: s.executions <= 1,
            "not_run_is_true": lambda s: not s.false_not_run,
        },
        goal=lambda s: all(attempt.phase == ENDED for attempt in s.attempts) and not s.in_flight,
    )


def _service_steps(state: State) -> Iterator[Step]:
    if state.in_flight:
        removed = state._replace(in_flight=state.in_flight - 1)
        yield "a call is lost", removed
        yield "service runs", removed._replace(
            executions=state.executions + 1,
            false_not_run=state.false_not_run or _all_replied_not_run(state),
        )


def _issuer_steps(state: State, guards: frozenset[str]) -> Iterator[Step]:
    if not state.sent or state.outcome:
        return
    if state.executions:
        yield "issuer gets the response", state._replace(outcome=RAN)
    yield "issuer gives up", state._replace(outcome=UNKNOWN)
    if NO_RETRY not in guards and state.in_flight < 2 and state.executions < 2:
        yield "issuer sends again", state._replace(in_flight=state.in_flight + 1)


def _handover_steps(state: State, guards: frozenset[str]) -> Iterator[Step]:
    is_drained = not state.sent or state.outcome or DRAINED not in guards
    if state.issuer_up and state.handover == HELD_BY_ISSUER and is_drained:
        record = CallRecord(sent=bool(state.outcome), outcome=state.outcome)
        up = CLOSES_FIRST not in guards
        yield "issuer hands over", state._replace(
            handover=IN_TRANSIT, transferred=record, successor=record, issuer_up=up
        )
    if state.handover == IN_TRANSIT:
        yield "successor adopts the record", state._replace(handover=ADOPTED)
        yield "the record is lost", state._replace(handover=LOST)
    if state.handover == ADOPTED:
        yield "successor crashes", state._replace(handover=LOST)
        if ONE_SUCCESSOR not in guards:
            yield "another successor adopts the record", state._replace(successor=state.transferred)
        if state.successor.sent and not state.successor.outcome:
            if state.executions:
                yield "successor gets the response", _with_successor(state, outcome=RAN)
            yield "successor gives up", _with_successor(state, outcome=UNKNOWN)


def _successor_attempt(state: State, entry_id: int) -> Iterator[Step]:
    if state.successor.outcome:
        yield f"attempt {entry_id} gets the outcome from the successor", _with_reply(
            state, entry_id, state.successor.outcome
        )
    elif not state.successor.sent and state.in_flight < 2 and state.executions < 2:
        sent = _with_successor(state, sent=True)._replace(in_flight=state.in_flight + 1)
        yield f"attempt {entry_id} is sent by the successor", sent
        yield f"attempt {entry_id} is not sent by the successor", _with_reply(
            state, entry_id, NOT_RUN
        )


def _with_successor(state: State, **changes: object) -> State:
    return state._replace(successor=state.successor._replace(**changes))


def _ticket_attempt(state: State, entry_id: int, guards: frozenset[str]) -> Iterator[Step]:
    if state.attempts[entry_id].phase == ENDED:
        return
    if state.handover == ADOPTED:
        yield from _successor_attempt(state, entry_id)
    if state.issuer_up:
        if state.outcome:
            yield f"attempt {entry_id} gets the outcome", _with_reply(
                state, entry_id, state.outcome
            )
        elif not state.sent:
            sent = state._replace(sent=True, in_flight=state.in_flight + 1)
            yield f"attempt {entry_id} is sent", sent
            # The connection was refused: no byte was sent, and the call is not recorded as sent.
            yield f"attempt {entry_id} is not sent", _with_reply(state, entry_id, NOT_RUN)
        return
    if ISSUER_ONLY in guards:
        yield f"attempt {entry_id} finds the issuer down", _with_reply(state, entry_id, UNKNOWN)
    elif state.in_flight < 2 and state.executions < 2:
        yield f"attempt {entry_id} is run elsewhere", _with_reply(
            state._replace(in_flight=state.in_flight + 1), entry_id, UNKNOWN
        )


def _claim_attempt(state: State, entry_id: int, guards: frozenset[str]) -> Iterator[Step]:
    phase = state.attempts[entry_id].phase
    if phase == NEW:
        yield f"{entry_id} is refused, the store is down", _with_reply(state, entry_id, NOT_RUN)
        is_free = state.claim_owner == NOBODY or CLAIM_FIRST not in guards
        claimed = state._replace(claim_owner=entry_id) if is_free else state
        yield f"{entry_id} claims", _with_phase(claimed, entry_id, CLAIMED if is_free else CLAIMING)
        yield f"{entry_id}'s claim response is lost", _with_phase(claimed, entry_id, CLAIM_LOST)
        yield f"{entry_id}'s claim is lost", _with_phase(state, entry_id, CLAIM_LOST)
    elif phase == CLAIM_LOST and READ_BACK not in guards:
        yield f"{entry_id} assumes that it holds the claim", _with_phase(state, entry_id, CLAIMED)
    elif phase == CLAIM_LOST:
        if state.claim_owner == NOBODY:
            # The write may still reach the store, so the claim must be retried, not abandoned.
            yield f"{entry_id} claims again", _with_phase(state, entry_id, NEW)
        else:
            is_owner = state.claim_owner == entry_id
            yield f"{entry_id} reads back", _with_phase(
                state, entry_id, CLAIMED if is_owner else CLAIMING
            )
    elif phase == CLAIMING:
        yield f"{entry_id} finds another's claim", _with_reply(
            state, entry_id, state.stored_outcome or UNKNOWN
        )
    elif phase == CLAIMED:
        sent = state._replace(in_flight=state.in_flight + 1)
        yield f"{entry_id} sends", _with_phase(sent, entry_id, SENT)
        yield f"{entry_id} crashes before sending", _with_reply(state, entry_id, UNKNOWN)
    elif phase == SENT:
        if state.executions:
            yield f"{entry_id} stores the outcome", _with_reply(
                state._replace(stored_outcome=RAN), entry_id, RAN
            )
        yield f"{entry_id} gives up", _with_reply(state, entry_id, UNKNOWN)


def _all_replied_not_run(state: State) -> bool:
    # A refused attempt did not run the call, but the caller's other attempt may have.
    return bool(state.attempts) and all(attempt.reply == NOT_RUN for attempt in state.attempts)


def _with_reply(state: State, entry_id: int, reply: int) -> State:
    false_not_run = state.false_not_run or (
        reply == NOT_RUN and state.attempts[entry_id].phase in {CLAIMED, SENT}
    )
    return _with_attempt(
        state._replace(false_not_run=false_not_run), entry_id, Attempt(phase=ENDED, reply=reply)
    )


def _with_phase(state: State, entry_id: int, phase: int) -> State:
    return _with_attempt(state, entry_id, state.attempts[entry_id]._replace(phase=phase))


def _with_attempt(state: State, entry_id: int, attempt: Attempt) -> State:
    attempts = (attempt, state.attempts[1]) if entry_id == 0 else (state.attempts[0], attempt)
    return state._replace(attempts=attempts)
