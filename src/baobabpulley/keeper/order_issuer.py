"""Issue model orders to the engines of a failure domain while holding its order lease.

One keeper per failure domain holds the lease. Guarantees, with W for ``order_window``:

- The holder checks its deadline after every wait, and again between sending the head and the body
  of an order's request. The deadline is ``margin`` seconds, which is more than two W, before the
  store can expire the lease. Each order uses a connection of its own, which the kernel drops if
  bytes stay unacknowledged for W.
- Engines that check fencing tokens: no order takes effect after an order of a later holder,
  wherever a holder was frozen and for how long.
- Engines that ignore fencing tokens: the same. If a holder is frozen between its last check and
  the body for longer than the lease, the kernel kills the process before it can send, so the
  connection closes without the body, however long the engine's HTTP server would wait. A new
  holder waits W before its first order to such engines, and to engines that do not authenticate
  the sender of an order, since anybody may have sent those a fencing token.
- Not guaranteed for engines that ignore fencing tokens if a VM's monotonic clock stops while
  those of other VMs advance, or if the engine itself is frozen after it has received an order. An
  old order may then take effect late. The holder reads back the state of every engine and
  corrects it.
"""

from __future__ import annotations

from collections import deque
from typing import Final
from typing import final

import msgspec
from loguru import logger

from baobabpulley.errors import BaobabError
from baobabpulley.errors import OrderTooLate
from baobabpulley.errors import StoreUnavailable
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.context import KeeperPart
from baobabpulley.keeper.context import keeper_parts
from baobabpulley.keeper.engine_states import EngineStates
from baobabpulley.keeper.order_credentials import OrderCredentials
from baobabpulley.keeper.order_lease import OrderLease
from baobabpulley.keeper.order_settings import OrderIssuerSection
from baobabpulley.keeper.order_settings import checked_times
from baobabpulley.model.documents import order_lease_key
from baobabpulley.model.messages import OrderDecision
from baobabpulley.model.messages import OrderDecisionsRequest
from baobabpulley.model.messages import OrderDecisionsResponse
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.model_placement import LOAD
from baobabpulley.policy.model_placement import PlannedOrder
from baobabpulley.policy.model_placement import plan_orders
from baobabpulley.policy.rendezvous import owner_of
from baobabpulley.policy.token_bucket import TokenBucket
from baobabpulley.ports.engine import EngineState
from baobabpulley.ports.engine import Order

MAX_DECISIONS: Final = 1_000
# Attempts skipped while a live keeper holds the lease, to reduce requests to the store.
SKIPPED_ATTEMPTS: Final = 4


@final
class UnconfirmedOrder:
    """An order that was sent and is not confirmed yet; retries keep its ``id``."""

    __slots__ = ("created_at", "id", "incarnation", "sent_at")

    def __init__(self, *, id: str, incarnation: str, now: float) -> None:
        self.id = id
        self.incarnation = incarnation
        self.created_at = now
        self.sent_at = now


OrderKey = tuple[str, str, str, str, tuple[str, ...]]


@keeper_parts.register("tender")
@final
class OrderIssuer(KeeperPart):
    """Acquire the order lease when it is free, and bring the engines to their desired state."""

    __slots__ = (
        "_bucket",
        "_busy",
        "_context",
        "_credentials",
        "_decisions",
        "_lease",
        "_orders",
        "_section",
        "_states",
        "_unconfirmed",
    )

    def __init__(self, context: KeeperContext) -> None:
        self._context = context
        self._section = checked_times(context.settings.get(OrderIssuerSection))
        self._lease = OrderLease(
            store=context.store,
            timers=context.timers,
            key=order_lease_key(context.node.failure_domain),
            vm=context.node.vm,
            ttl=self._section.ttl,
            margin=self._section.margin,
        )
        self._states = EngineStates(view=context.view, engine=context.engine, timers=context.timers)
        self._bucket = self._new_bucket()
        self._decisions: deque[OrderDecision] = deque(maxlen=MAX_DECISIONS)
        self._unconfirmed: dict[OrderKey, UnconfirmedOrder] = {}
        self._credentials = OrderCredentials(
            credential=self._section.credential,
            settings_state=context.view.settings_state,
            metrics=context.metrics,
        )
        self._orders = 0
        self._busy = False

    @property
    def bytes_per_second(self) -> float:
        """Control traffic for auditing engine states, 0 unless this keeper has the lease."""
        return self._states.bytes_per_second if self._lease.acquired else 0.0

    @property
    def lease(self) -> OrderLease:
        """The lease that permits this keeper to issue orders."""
        return self._lease

    @property
    def decisions(self) -> tuple[OrderDecision, ...]:
        """The latest decisions, oldest first."""
        return tuple(self._decisions)

    async def start(self) -> None:
        timers = self._context.timers
        self._context.peers.register_handler(OrderDecisionsRequest, self._handle_decisions_request)
        timers.every(self._section.renew, self.renew_lease, jitter=0.2, name="order lease renewal")
        timers.every(
            self._section.try_again, self.try_acquire_lease, jitter=0.4, name="order lease"
        )
        timers.every(self._section.period, self.issue_orders, jitter=0.2, name="orders")

    async def stop(self) -> None:
        await self._lease.release()

    async def renew_lease(self) -> None:
        """Renew the lease if this keeper has acquired it."""
        if self._lease.acquired:
            await self._lease.renew()
            if not self._lease.acquired:
                self._record_decision("lease_lost", reason="the lease expired in the store")

    async def try_acquire_lease(self) -> None:
        """Try to acquire the lease if this keeper ranks first among the live keepers."""
        node = self._context.node
        live = [vm.id for vm in self._context.membership.live_keepers(node.failure_domain)]
        first = owner_of(order_lease_key(node.failure_domain), {*live, node.vm})
        if self._lease.acquired or first != node.vm or self._is_held_by_live_keeper(set(live)):
            return
        try:
            acquired = await self._lease.acquire()
        except StoreUnavailable as error:
            logger.debug("could not acquire the order lease: {}", error.message)
            return
        if acquired:
            # The previous holder may have used the weight store's rate until just now.
            self._bucket = self._new_bucket()
            self._unconfirmed.clear()
            self._credentials.reset_alarms()
            self._states.clear()
            self._record_decision("lease_acquired", reason="no keeper held the lease")

    def _is_held_by_live_keeper(self, live: set[str]) -> bool:
        """Whether another live keeper was recently seen to hold the lease."""
        seen_age = self._context.timers.now() - self._lease.other_holder_seen_at
        max_age = SKIPPED_ATTEMPTS * self._section.try_again
        return self._lease.other_holder in live - {self._context.node.vm} and seen_age < max_age

    async def issue_orders(self) -> None:
        """Compare the desired with the actual state once and issue the orders that are due."""
        if self._busy or not self._lease.holds():
            return
        self._busy = True
        try:
            await self._issue_orders()
        except OrderTooLate as error:
            self._record_decision("orders_stopped", reason=error.message)
        finally:
            self._busy = False

    async def _issue_orders(self) -> None:
        settings_state = self._context.view.settings_state
        await self._states.refresh(self._upstreams())
        self._lease.check()
        states = self._states.by_service()
        self._confirm()
        for planned in plan_orders(settings_state.models, states):
            upstream = self._context.view.upstreams.get(planned.upstream)
            if upstream is None or not self._may_send_now(upstream):
                continue
            await self._issue(upstream, planned)
            self._lease.check()

    def _upstreams(self) -> list[Upstream]:
        view = self._context.view
        services = view.settings_state.services
        engines = {name for name, service in services.items() if service.kind == "engine"}
        return [
            upstream
            for upstream in view.upstreams.values()
            if upstream.service in engines and view.accepts_work(upstream)
        ]

    def _may_send_now(self, upstream: Upstream) -> bool:
        if self._states.age(upstream.id) > self._section.period * 2:
            return False
        service = self._context.view.settings_state.services[upstream.service]
        # Without sender authentication the fencing token of the last order may come from anybody.
        if service.checks_fencing and service.checks_sender:
            return True
        waited = self._context.timers.now() - self._lease.acquired_at
        return waited >= self._section.order_window

    async def _issue(self, upstream: Upstream, planned: PlannedOrder) -> None:
        state = self._states.get(upstream.id)
        now = self._context.timers.now()
        unconfirmed = self._unconfirmed.get(_order_key(planned))
        if unconfirmed is not None and self._is_awaiting_effect(unconfirmed, state, now):
            return
        if planned.kind == LOAD and not self._bucket.take(now=now):
            return
        if unconfirmed is None or now - unconfirmed.created_at > self._section.confirm_within:
            unconfirmed = self._new_order(planned, state)
        await self._send(upstream, planned, unconfirmed)

    def _is_awaiting_effect(
        self, unconfirmed: UnconfirmedOrder, state: EngineState, now: float
    ) -> bool:
        """Whether an order sent to this incarnation may still take visible effect."""
        return (
            unconfirmed.incarnation == state.incarnation
            and now - unconfirmed.sent_at < self._section.order_window
        )

    def _new_order(self, planned: PlannedOrder, state: EngineState) -> UnconfirmedOrder:
        self._orders += 1
        unconfirmed = UnconfirmedOrder(
            id=f"{self._lease.fence}.{self._orders}.{planned.upstream}.{planned.kind}",
            incarnation=state.incarnation,
            now=self._context.timers.now(),
        )
        self._unconfirmed[_order_key(planned)] = unconfirmed
        return unconfirmed

    async def _send(
        self, upstream: Upstream, planned: PlannedOrder, unconfirmed: UnconfirmedOrder
    ) -> None:
        order = Order(
            id=unconfirmed.id,
            kind=planned.kind,
            model=planned.model,
            version=planned.version,
            fence=self._lease.fence,
            adapters=planned.adapters,
        )
        unconfirmed.sent_at = self._context.timers.now()
        self._record_decision(planned.kind, planned=planned, order=order.id, reason=planned.reason)
        self._context.metrics.orders.labels(kind=planned.kind).inc()
        self._states.invalidate(upstream.id)
        alarm = self._credentials.alarm_if_unauthenticated(upstream)
        if alarm:
            self._record_decision("sender_not_proved", planned=planned, reason=alarm)
        try:
            await self._context.engine.order(
                upstream,
                order,
                guard=self._lease.check,
                window=self._section.order_window,
                credential=self._credentials.credential(upstream),
            )
        except OrderTooLate:
            self._record_decision(
                "not_sent", planned=planned, order=order.id, reason="the lease deadline has passed"
            )
            raise
        except BaobabError as error:
            # The state that is read back shows whether the order took effect.
            self._record_decision(
                "unanswered", planned=planned, order=order.id, reason=error.message
            )

    def _confirm(self) -> None:
        """Discard orders that have taken effect, and those to engines that have restarted."""
        for key, unconfirmed in tuple(self._unconfirmed.items()):
            upstream, kind, model, version, adapters = key
            state = self._states.find(upstream)
            if state is None or state.incarnation != unconfirmed.incarnation:
                del self._unconfirmed[key]
                continue
            matches = state.models.get(model) == version
            matches = matches and state.adapters.get(model, ()) == adapters
            loaded = matches and model not in state.loading
            if loaded if kind == LOAD else model not in state.models:
                del self._unconfirmed[key]
                self._decisions.append(
                    OrderDecision(
                        at=self._context.timers.wall_time,
                        what="confirmed",
                        upstream=upstream,
                        model=model,
                        version=version,
                        order=unconfirmed.id,
                        fence=self._lease.fence,
                    )
                )

    def _new_bucket(self) -> TokenBucket:
        return TokenBucket(
            rate=self._section.loads_per_second,
            burst=self._section.loads_burst,
            now=self._context.timers.now(),
        )

    def _record_decision(
        self, what: str, *, planned: PlannedOrder | None = None, order: str = "", reason: str = ""
    ) -> None:
        decision = OrderDecision(
            at=self._context.timers.wall_time,
            what=what,
            upstream=planned.upstream if planned else "",
            model=planned.model if planned else "",
            version=planned.version if planned else "",
            order=order,
            fence=self._lease.fence,
            reason=reason,
        )
        self._decisions.append(decision)
        logger.info("{} {} {} {}", what, decision.upstream, decision.model, reason)

    async def _handle_decisions_request(
        self, message: msgspec.Struct, sender: str
    ) -> msgspec.Struct:
        del sender
        assert isinstance(message, OrderDecisionsRequest)
        node = self._context.node
        matching = [
            decision for decision in self._decisions if message.upstream in ("", decision.upstream)
        ]
        limit = min(MAX_DECISIONS, max(1, message.limit))
        return OrderDecisionsResponse(
            vm=node.vm,
            failure_domain=node.failure_domain,
            holds=self._lease.holds(),
            fence=self._lease.fence,
            decisions=tuple(matching[-limit:]),
        )


def _order_key(planned: PlannedOrder) -> OrderKey:
    return planned.upstream, planned.kind, planned.model, planned.version, planned.adapters
