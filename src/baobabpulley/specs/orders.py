"""A lease, a pause, a new holder, and an old order on its way to an engine.

Time passes in ticks. A holder stops at its own deadline, which lies a margin before the store
could let the lease lapse and goes on counting while the holder is paused. An order stays on its
way for at most ``MAX_DELAY_TICKS`` ticks; the connection's own deadline drops it then.

For engines that check fencing numbers the pause may fall between the holder's check and its
sending. For engines that ignore them check and sending are one step: that is the assumption
under which the deadline alone protects them, and the reason why each order is confirmed.
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
    """A keeper: its fence (0 when it holds nothing), its own deadline, and its wait.

    ``has_checked`` notes that it has checked its deadline and is about to send.
    """

    fence: int = 0
    ticks_left: int = 0
    wait_ticks: int = 0
    paused: bool = False
    has_checked: bool = False


class State(NamedTuple):
    """The store's lease, two keepers, orders on their way as (fence, ticks left), the engine.

    ``reordered`` notes that an order took effect after one with a higher fencing number had.
    """

    lease_ticks_left: int = 0
    owner: int = -1
    fence: int = 0
    holders: tuple[Holder, Holder] = (Holder(), Holder())
    orders: tuple[tuple[int, int], ...] = ()
    applied_fence: int = 0
    reordered: bool = False


def orders_spec(*, checks_fencing: bool, guards: frozenset[str] | None = None) -> Spec:
    """Return the specification for engines that check fencing numbers or ignore them."""
    if guards is None:
        guards = GUARDS_CHECKED if checks_fencing else GUARDS_IGNORED
    chosen = guards

    def steps(state: State) -> Iterator[Step]:
        yield "tick", _tick(state)
        for keeper_id in (0, 1):
            yield from _lease_steps(state, keeper_id, chosen)
            yield from _order_steps(state, keeper_id, chosen, checks_separately=checks_fencing)
        for order in state.orders:
            yield f"engine gets order of {order[0]}", _deliver(state, order, chosen)

    return Spec(
        name="orders",
        initial=State(),
        steps=steps,
        invariants={"no_old_order_after_newer": lambda s: not s.reordered},
        # The last fencing number of the bounded model has no successor to put things right.
        goal=lambda s: s.fence == MAX_FENCE or (s.fence == s.applied_fence and s.fence > 0),
    )


def _tick(state: State) -> State:
    holders = tuple(
        holder._replace(
            ticks_left=max(0, holder.ticks_left - 1), wait_ticks=max(0, holder.wait_ticks - 1)
        )
        for holder in state.holders
    )
    left = max(0, state.lease_ticks_left - 1)
    return state._replace(
        lease_ticks_left=left,
        owner=state.owner if left else -1,
        holders=holders,
        orders=tuple((fence, ticks - 1) for fence, ticks in state.orders if ticks > 1),
    )


def _lease_steps(state: State, keeper_id: int, guards: frozenset[str]) -> Iterator[Step]:
    holder = state.holders[keeper_id]
    if holder.paused:
        yield f"{keeper_id} thaws", _with_holder(state, keeper_id, holder._replace(paused=False))
        return
    if holder.fence:
        yield f"{keeper_id} is paused", _with_holder(state, keeper_id, holder._replace(paused=True))
    if state.owner == -1 and state.fence < MAX_FENCE and not holder.has_checked:
        wait = MAX_DELAY_TICKS if WAIT_OUT in guards else 0
        taken = Holder(
            fence=state.fence + 1, ticks_left=LEASE_TICKS - MARGIN_TICKS, wait_ticks=wait
        )
        yield f"{keeper_id} takes the lease", _with_holder(
            state._replace(owner=keeper_id, lease_ticks_left=LEASE_TICKS, fence=state.fence + 1),
            keeper_id,
            taken,
        )
    if state.owner == keeper_id and holder.fence == state.fence:
        renewed = holder._replace(ticks_left=LEASE_TICKS - MARGIN_TICKS)
        yield f"{keeper_id} renews", _with_holder(
            state._replace(lease_ticks_left=LEASE_TICKS), keeper_id, renewed
        )
        yield f"{keeper_id}'s renewal answer is lost", state._replace(lease_ticks_left=LEASE_TICKS)


def _order_steps(
    state: State, keeper_id: int, guards: frozenset[str], *, checks_separately: bool
) -> Iterator[Step]:
    holder = state.holders[keeper_id]
    if holder.paused or not holder.fence:
        return
    may = holder.ticks_left > 0 or LOCAL_DEADLINE not in guards
    if not holder.has_checked and may and not holder.wait_ticks:
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
    left = tuple(other for other in state.orders if other != order)
    if ENGINE_CHECKS in guards and fence < state.applied_fence:
        return state._replace(orders=left)
    return state._replace(
        orders=left, applied_fence=fence, reordered=state.reordered or fence < state.applied_fence
    )


def _with_holder(state: State, keeper_id: int, holder: Holder) -> State:
    holders = (holder, state.holders[1]) if keeper_id == 0 else (state.holders[0], holder)
    return state._replace(holders=holders)
