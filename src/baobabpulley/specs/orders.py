"""Model of orders that a paused lease holder sends to an engine after losing its lease.

Time passes in ticks. A lease holder stops at a local deadline, which is ``MARGIN_TICKS`` before
the store may expire the lease and keeps running while the holder is paused. An order is in transit
for at most ``MAX_DELAY_TICKS`` ticks; the connection's deadline then drops it.

For engines that check fencing numbers, the pause may occur between the holder's deadline check and
its send. For engines that ignore them, check and send are one step: the local deadline protects
these engines only under this assumption, which is why each order must be confirmed.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final
from typing import NamedTuple

from baobabpulley.specs.explore import Spec
from baobabpulley.specs.explore import Step

LEASE_TICKS: Final = 3
MARGIN_TICKS: Final = 1
MAX_DELAY_TICKS: Final = 3
MAX_FENCE: Final = 2

LOCAL_DEADLINE: Final = "local_deadline"
ENGINE_CHECKS: Final = "engine_checks"
WAIT_OUT: Final = "wait_out"
GUARDS_CHECKED: Final = frozenset({ENGINE_CHECKS})
GUARDS_IGNORED: Final = frozenset({LOCAL_DEADLINE, WAIT_OUT})


class Holder(NamedTuple):
    """A keeper: its fencing number (0 if it holds no lease), local deadline and waiting time.

    ``has_checked`` is set after the deadline check until the order is sent.
    """

    fence: int = 0
    ticks_left: int = 0
    wait_ticks: int = 0
    paused: bool = False
    has_checked: bool = False


class State(NamedTuple):
    """The store's lease, two keepers, orders in transit as (fence, ticks left), and the engine.

    ``reordered`` is set once an order takes effect after one with a higher fencing number.
    """

    lease_ticks_left: int = 0
    owner: int = -1
    fence: int = 0
    holders: tuple[Holder, Holder] = (Holder(), Holder())
    orders: tuple[tuple[int, int], ...] = ()
    applied_fence: int = 0
    reordered: bool = False


def orders_spec(*, checks_fencing: bool, guards: frozenset[str] | None = None) -> Spec:
    """Return the specification for engines that check fencing numbers or ignore them.

    Leaving a guard out gives a mutant.
    ``local_deadline``: a lease holder sends no orders after its local deadline.
    ``engine_checks``: an engine refuses orders with a fencing number below the last applied one.
    ``wait_out``: a new lease holder sends nothing until earlier orders have arrived or expired.
    """
    if guards is None:
        guards = GUARDS_CHECKED if checks_fencing else GUARDS_IGNORED
    active_guards = guards

    def steps(state: State) -> Iterator[Step]:
        yield "tick", _tick(state)
        for keeper_id in (0, 1):
            yield from _lease_steps(state, keeper_id, active_guards)
            yield from _order_steps(
                state, keeper_id, active_guards, checks_separately=checks_fencing
            )
        for order in state.orders:
            yield f"engine receives order with fence {order[0]}", _deliver(
                state, order, active_guards
            )

    return Spec(
        name="orders",
        initial=State(),
        steps=steps,
        invariants={"no_old_order_after_newer": lambda s: not s.reordered},
        # After the model's last fencing number no later lease can correct the engine's state.
        goal=lambda s: s.fence == MAX_FENCE or (s.fence == s.applied_fence and s.fence > 0),
    )


def _tick(state: State) -> State:
    holders = tuple(
        holder._replace(
            ticks_left=max(0, holder.ticks_left - 1), wait_ticks=max(0, holder.wait_ticks - 1)
        )
        for holder in state.holders
    )
    ticks_left = max(0, state.lease_ticks_left - 1)
    return state._replace(
        lease_ticks_left=ticks_left,
        owner=state.owner if ticks_left else -1,
        holders=holders,
        orders=tuple((fence, ticks - 1) for fence, ticks in state.orders if ticks > 1),
    )


def _lease_steps(state: State, keeper_id: int, guards: frozenset[str]) -> Iterator[Step]:
    holder = state.holders[keeper_id]
    if holder.paused:
        yield f"{keeper_id} resumes", _with_holder(state, keeper_id, holder._replace(paused=False))
        return
    if holder.fence:
        yield f"{keeper_id} is paused", _with_holder(state, keeper_id, holder._replace(paused=True))
    if state.owner == -1 and state.fence < MAX_FENCE and not holder.has_checked:
        wait = MAX_DELAY_TICKS if WAIT_OUT in guards else 0
        acquired = Holder(
            fence=state.fence + 1, ticks_left=LEASE_TICKS - MARGIN_TICKS, wait_ticks=wait
        )
        yield f"{keeper_id} acquires the lease", _with_holder(
            state._replace(owner=keeper_id, lease_ticks_left=LEASE_TICKS, fence=state.fence + 1),
            keeper_id,
            acquired,
        )
    if state.owner == keeper_id and holder.fence == state.fence:
        renewed = holder._replace(ticks_left=LEASE_TICKS - MARGIN_TICKS)
        yield f"{keeper_id} renews", _with_holder(
            state._replace(lease_ticks_left=LEASE_TICKS), keeper_id, renewed
        )
        yield f"{keeper_id}'s renewal response is lost", state._replace(
            lease_ticks_left=LEASE_TICKS
        )


def _order_steps(
    state: State, keeper_id: int, guards: frozenset[str], *, checks_separately: bool
) -> Iterator[Step]:
    holder = state.holders[keeper_id]
    if holder.paused or not holder.fence:
        return
    may_send = holder.ticks_left > 0 or LOCAL_DEADLINE not in guards
    if not holder.has_checked and may_send and not holder.wait_ticks:
        if checks_separately:
            yield f"{keeper_id} checks", _with_holder(
                state, keeper_id, holder._replace(has_checked=True)
            )
        else:
            yield f"{keeper_id} checks and sends", _send(state, keeper_id)
    if holder.has_checked:
        yield f"{keeper_id} sends", _send(state, keeper_id)


def _send(state: State, keeper_id: int) -> State:
    holder = state.holders[keeper_id]
    orders = tuple(sorted({*state.orders, (holder.fence, MAX_DELAY_TICKS)}))
    return _with_holder(
        state._replace(orders=orders), keeper_id, holder._replace(has_checked=False)
    )


def _deliver(state: State, order: tuple[int, int], guards: frozenset[str]) -> State:
    fence = order[0]
    remaining = tuple(pending for pending in state.orders if pending != order)
    if ENGINE_CHECKS in guards and fence < state.applied_fence:
        return state._replace(orders=remaining)
    return state._replace(
        orders=remaining,
        applied_fence=fence,
        reordered=state.reordered or fence < state.applied_fence,
    )


def _with_holder(state: State, keeper_id: int, holder: Holder) -> State:
    holders = (holder, state.holders[1]) if keeper_id == 0 else (state.holders[0], holder)
    return state._replace(holders=holders)
