"""Model of one settings key that propagates from the store through keepers to an entry.

The stored value changes a few times, once by a manual edit that lowers it. Two keepers read the
store or each other. Their messages to the entry may be delayed and reordered, and keepers and the
entry may restart. A starting keeper loads its state from the store or from the other keeper. A
starting entry loads its state from all keepers that are ready; it drops earlier messages.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final
from typing import NamedTuple

from baobabpulley.specs.explore import Spec
from baobabpulley.specs.explore import Step

# Values of revisions 1 to 4: the first one, a raise, a manual edit below both, another raise.
HISTORY: Final = (1, 2, 0, 3)
MAX_RESTARTS: Final = 2
MAX_MESSAGES: Final = 2

NEWER_ONLY: Final = "newer_only"
LIMITS_GROW: Final = "limits_grow"
SNAPSHOT_HAS_LIMITS: Final = "snapshot_has_limits"
JOIN_QUERIES_ALL: Final = "join_asks_all"
GUARDS: Final = frozenset({NEWER_ONLY, LIMITS_GROW, SNAPSHOT_HAS_LIMITS, JOIN_QUERIES_ALL})


class Node(NamedTuple):
    """The settings that a process applies; revision 0 means that it is not ready."""

    revision: int = 0
    limit: int = 0


class State(NamedTuple):
    """The store's revision, two keepers, the entry, messages, and the entry's history.

    ``ledger`` is the largest limit accepted through the operators' API.
    ``newest`` and ``highest`` are the newest revision and highest limit the entry has applied
    since its start; ``highest`` starts at the highest limit that a ready keeper of the entry's
    failure domain has in force when the entry joins.
    ``reverted`` is set once the entry applies a revision below ``newest``, and ``lowered`` once it
    applies a limit below ``highest``.
    """

    revision: int = 1
    ledger: int = 1
    keepers: tuple[Node, Node] = (Node(), Node())
    entry: Node = Node()
    messages: tuple[Node, ...] = ()
    restarts: int = 0
    newest: int = 0
    highest: int = 0
    reverted: bool = False
    lowered: bool = False


def settings_spec(guards: frozenset[str] = GUARDS) -> Spec:
    """Return the specification; leaving a guard out gives a mutant.

    ``newer_only``: a value is applied only if its revision is greater.
    ``limits_grow``: the limit in force is the larger of the current and the received one.
    ``snapshot_has_limits``: a snapshot carries the limits in force, not only stored documents.
    ``join_asks_all``: a starting entry queries every keeper.
    """

    def steps(state: State) -> Iterator[Step]:
        yield from _store_steps(state)
        for keeper_id in (0, 1):
            yield from _keeper_steps(state, keeper_id, guards)
        yield from _entry_steps(state, guards)

    return Spec(
        name="settings",
        initial=State(),
        steps=steps,
        invariants={
            "never_reverts": lambda s: not s.reverted,
            "limit_never_lowered": lambda s: not s.lowered,
        },
        goal=lambda s: s.entry.revision == len(HISTORY) and s.entry.limit == max(HISTORY),
    )


def _store_steps(state: State) -> Iterator[Step]:
    if state.revision < len(HISTORY):
        value = HISTORY[state.revision]
        yield f"the stored value changes to {value}", state._replace(
            revision=state.revision + 1, ledger=max(state.ledger, value)
        )


def _keeper_steps(state: State, keeper_id: int, guards: frozenset[str]) -> Iterator[Step]:
    keeper, other_keeper = state.keepers[keeper_id], state.keepers[1 - keeper_id]
    # A keeper that reads the store also sees the ledger, which holds the accepted limits.
    limit = state.ledger if SNAPSHOT_HAS_LIMITS in guards else HISTORY[state.revision - 1]
    read = Node(state.revision, max(limit, HISTORY[state.revision - 1]))
    yield f"keeper {keeper_id} reads the store", _with_keeper(
        state, keeper_id, _merged(keeper, read, guards)
    )
    if keeper.revision:
        # A watch delivers only the document; the ledger is a different key.
        watched = Node(state.revision, HISTORY[state.revision - 1])
        yield f"keeper {keeper_id} receives a watch event", _with_keeper(
            state, keeper_id, _merged(keeper, watched, guards)
        )
    if other_keeper.revision:
        shared = other_keeper if SNAPSHOT_HAS_LIMITS in guards else _stored_only(other_keeper)
        yield f"keeper {keeper_id} reads the other keeper", _with_keeper(
            state, keeper_id, _merged(keeper, shared, guards)
        )
    if keeper.revision and len(state.messages) < MAX_MESSAGES:
        sent = keeper if SNAPSHOT_HAS_LIMITS in guards else _stored_only(keeper)
        if sent not in state.messages:
            yield f"keeper {keeper_id} sends", state._replace(
                messages=tuple(sorted((*state.messages, sent)))
            )
    if keeper.revision and state.restarts < MAX_RESTARTS:
        yield f"keeper {keeper_id} restarts", _with_keeper(
            state._replace(restarts=state.restarts + 1), keeper_id, Node()
        )


def _entry_steps(state: State, guards: frozenset[str]) -> Iterator[Step]:
    for message in state.messages:
        pending = tuple(queued for queued in state.messages if queued != message)
        yield "a message is lost", state._replace(messages=pending)
        if not state.entry.revision:
            continue
        entry = _merged(state.entry, message, guards)
        yield f"entry receives revision {message.revision}", _recorded(
            state._replace(messages=pending, entry=entry)
        )
    if not state.entry.revision:
        yield from _join(state, guards)
    elif state.restarts < MAX_RESTARTS:
        yield "entry restarts", state._replace(
            entry=Node(), newest=0, highest=0, restarts=state.restarts + 1
        )


def _join(state: State, guards: frozenset[str]) -> Iterator[Step]:
    ready = [keeper for keeper in state.keepers if keeper.revision]
    highest = max((keeper.limit for keeper in ready), default=0)
    shared = [keeper if SNAPSHOT_HAS_LIMITS in guards else _stored_only(keeper) for keeper in ready]
    if JOIN_QUERIES_ALL not in guards:
        for keeper in shared:
            joined = state._replace(entry=_merged(Node(), keeper, guards), highest=highest)
            yield "entry joins from one keeper", _recorded(joined)
    elif shared:
        entry = Node()
        for keeper in sorted(shared):
            entry = _merged(entry, keeper, guards)
        yield "entry joins", _recorded(state._replace(entry=entry, highest=highest))


def _merged(current: Node, received: Node, guards: frozenset[str]) -> Node:
    if NEWER_ONLY in guards and received.revision <= current.revision:
        # An equal revision may still carry a higher limit in force.
        limit = max(current.limit, received.limit) if LIMITS_GROW in guards else current.limit
        return Node(current.revision, limit)
    limit = max(current.limit, received.limit) if LIMITS_GROW in guards else received.limit
    return Node(received.revision, limit)


def _stored_only(node: Node) -> Node:
    return Node(node.revision, HISTORY[node.revision - 1])


def _recorded(state: State) -> State:
    entry = state.entry
    return state._replace(
        reverted=state.reverted or entry.revision < state.newest,
        lowered=state.lowered or entry.limit < state.highest,
        newest=max(state.newest, entry.revision),
        highest=max(state.highest, entry.limit),
    )


def _with_keeper(state: State, keeper_id: int, keeper: Node) -> State:
    keepers = (keeper, state.keepers[1]) if keeper_id == 0 else (state.keepers[0], keeper)
    return state._replace(keepers=keepers)
