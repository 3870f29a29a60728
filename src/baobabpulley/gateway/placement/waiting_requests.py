"""The requests that wait for an upstream, by service, in one order that is fair between accounts.

Without a list of client accounts in the configuration, all requests share one account, and are
ordered by objective and priority.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Callable
from typing import Final
from typing import final

from loguru import logger

from baobabpulley.gateway.placement.placement import Placement
from baobabpulley.gateway.placement.planning import PlacementRequest
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.policy.account_use import AccountUse
from baobabpulley.policy.fair_waiting import ANY_SLOT
from baobabpulley.policy.fair_waiting import FairQueue
from baobabpulley.policy.fair_waiting import restricted_class
from baobabpulley.policy.fair_waiting import size_class
from baobabpulley.timers import TimerService

# Account of the requests that have none.
NO_ACCOUNT: Final = ""


@final
class WaitingRequest:
    """A request in the queue; ``cost`` is in seconds of engine work."""

    __slots__ = ("account", "cost", "future", "order", "request", "size_class")

    def __init__(
        self, request: PlacementRequest, *, account: str, cost: float, size_class: int
    ) -> None:
        self.request = request
        self.account = account
        self.cost = cost
        self.order = request.times.sort_key
        self.size_class = size_class
        self.future: asyncio.Future[Placement] = asyncio.get_running_loop().create_future()


@final
class WaitingRequests:
    """The queues of all services; ``call_seconds`` returns how long a service's calls take."""

    __slots__ = (
        "_call_seconds",
        "_expiries",
        "_fleet_state",
        "_max_waiting",
        "_numbers",
        "_queues",
        "_timers",
        "_use",
    )

    def __init__(
        self,
        *,
        fleet_state: FleetState,
        use: AccountUse,
        timers: TimerService,
        max_waiting: int,
        call_seconds: Callable[[str], float],
    ) -> None:
        self._fleet_state = fleet_state
        self._use = use
        self._timers = timers
        self._max_waiting = max_waiting
        self._call_seconds = call_seconds
        self._numbers = itertools.count()
        self._queues: dict[str, FairQueue[WaitingRequest]] = {}
        # Of each service, by the time at which they are refused.
        self._expiries: dict[str, list[tuple[float, int, WaitingRequest]]] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    @property
    def accounts(self) -> int:
        """Number of client accounts with waiting requests."""
        return len({account for queue in self._queues.values() for account in queue.accounts})

    @property
    def services(self) -> tuple[str, ...]:
        """Services with waiting requests."""
        return tuple(self._queues)

    @property
    def is_fair(self) -> bool:
        """Whether the order is fair between client accounts: the configuration lists them."""
        table = self._fleet_state.table
        return table is not None and table.needs_keys

    def requests(self) -> list[WaitingRequest]:
        """Return all waiting requests."""
        return [waiter for queue in self._queues.values() for waiter in queue]

    def must_join(self, request: PlacementRequest) -> bool:
        """Whether an arriving request has to join the waiting ones before it may be placed.

        Without accounts an arriving prompt is placed at once if it has room.
        """
        is_waiting = request.service.name in self._queues
        return is_waiting and (self.is_fair or not request.needs.prompt_tokens)

    def is_full(self, service: str) -> bool:
        """Whether more requests wait for a service than may."""
        queue = self._queues.get(service)
        return queue is not None and len(queue) > self._max_waiting

    def add(self, request: PlacementRequest) -> WaitingRequest:
        """Add a request to the queue of its service."""
        service, number = request.service.name, next(self._numbers)
        waiter = WaitingRequest(
            request,
            account=self._account(request),
            cost=request.engine_seconds(call_seconds=self._call_seconds(service)),
            size_class=_size_class(request, number, is_shared=self.is_fair),
        )
        if service not in self._queues:
            self._queues[service] = FairQueue(use=self._known_use)
            self._expiries[service] = []
        self._queues[service].push(waiter)
        expiry = (request.times.wait_until, number, waiter)
        heapq.heappush(self._expiries[service], expiry)
        return waiter

    def discard(self, waiter: WaitingRequest) -> None:
        """Remove a request if it still waits."""
        service = waiter.request.service.name
        queue = self._queues.get(service)
        if queue is not None:
            queue.remove(waiter)
            self._drop_if_empty(service)

    def position(self, waiter: WaitingRequest) -> int:
        """Return how many requests of its service precede a waiting one."""
        return self._queues[waiter.request.service.name].count_before(waiter)

    def take_expired(self, service: str) -> list[WaitingRequest]:
        """Remove and return the requests whose time in the queue is over."""
        expiries, now = self._expiries.get(service, []), self._timers.now()
        expired = []
        while expiries and expiries[0][0] <= now:
            waiter = heapq.heappop(expiries)[-1]
            if waiter in self._queues[service] and not waiter.future.done():
                self.record_refused(waiter)
                self._queues[service].remove(waiter)
                expired.append(waiter)
        self._drop_if_empty(service)
        return expired

    def serve(
        self,
        service: str,
        try_place: Callable[[WaitingRequest], bool],
        *,
        only_unblocked: bool = False,
    ) -> None:
        """Offer a service's requests in order, as `FairQueue.serve` does."""
        queue = self._queues.get(service)
        if queue is not None:
            queue.serve(try_place, only_unblocked=only_unblocked)
            self._drop_if_empty(service)

    def record_served(self, request: PlacementRequest) -> None:
        """Charge the client account of a request that was placed."""
        self._record(request, served=True)

    def record_refused(self, waiter: WaitingRequest, *, expected: float = 0.0) -> None:
        """Credit the client account of a waiting request that is refused, and log its position."""
        request, position = waiter.request, self.position(waiter)
        self._record(request, served=False)
        logger.bind(
            event="waiting_refused",
            request=request.needs.logged_attempt,
            account=request.account,
            service=request.service.name,
            position=position,
            waiting=len(self._queues[request.service.name]),
            expected=round(expected, 3),
            waited=round(self._timers.now() - request.times.arrived, 3),
            use=round(self._known_use(waiter.account), 3),
        ).info("refused at position {} of the queue", position)

    def _record(self, request: PlacementRequest, *, served: bool) -> None:
        if self.is_fair:
            seconds = request.engine_seconds(call_seconds=self._call_seconds(request.service.name))
            self._use.record(self._account(request), seconds, served=served, now=self._timers.now())

    def _account(self, request: PlacementRequest) -> str:
        return request.account or NO_ACCOUNT if self.is_fair else NO_ACCOUNT

    def _known_use(self, account: str) -> float:
        return self._use.use(account, now=self._timers.now()) if self.is_fair else 0.0

    def _drop_if_empty(self, service: str) -> None:
        queue = self._queues.get(service)
        if queue is not None and not len(queue):
            del self._queues[service], self._expiries[service]


def _size_class(request: PlacementRequest, number: int, *, is_shared: bool) -> int:
    """Return the size class of a request; one of its own unless they are shared."""
    if request.accepts_any_slot:
        return ANY_SLOT
    if not is_shared:
        return -1 - number
    if request.excluded:
        return restricted_class(number)
    return size_class(request.needs.prompt_tokens)
