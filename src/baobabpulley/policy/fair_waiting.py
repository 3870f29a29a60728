"""One order for the requests that wait for a service's upstreams: fair between client accounts.

The load: twice what the engines can serve, from accounts of very different size, with prompts of
1,000 to 600,000 tokens. Accounts go in the rounds of a `DeficitQueue` by what they used; within a
round, and within an account, requests go by objective and priority. Requests of a size that finds
no room are passed over, so that they block none of another size. With a single account the order is
that by objective and priority.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from collections.abc import Iterator
from typing import Final
from typing import Generic
from typing import Protocol
from typing import TypeVar
from typing import final

from baobabpulley.policy.fairness import DeficitQueue

# Accounts whose use differs by less than this are in the same round and go by urgency.
QUANTUM_SECONDS: Final = 0.2
# Size class of requests that any free slot serves.
ANY_SLOT: Final = 0
# Retries may lack room where others of their size have it. They are spread over so many classes of
# their own, with negative numbers, so that one without room keeps few others from being offered.
RESTRICTED_CLASSES: Final = 16
# Prompts within a factor of 2 ** (1 / this) count as of the same size.
CLASSES_PER_DOUBLING: Final = 2
# Least cost of a request in the estimate of what precedes another one.
MIN_COST_SECONDS: Final = 0.001


def size_class(tokens: int) -> int:
    """Return the class of a prompt that more than a free slot is needed for.

    >>> size_class(45_000) == size_class(46_000) < size_class(190_000)
    True
    """
    return max(1, round(CLASSES_PER_DOUBLING * math.log2(max(2, tokens))))


def restricted_class(number: int) -> int:
    """Return the class of the retry with a running number.

    >>> restricted_class(0), restricted_class(15), restricted_class(16)
    (-1, -16, -1)
    """
    return -1 - number % RESTRICTED_CLASSES


class WaitingItem(Protocol):
    """A request in the queue; ``cost`` is in seconds of engine work, ``order`` its urgency."""

    @property
    def account(self) -> str: ...

    @property
    def cost(self) -> float: ...

    @property
    def order(self) -> float: ...

    @property
    def size_class(self) -> int: ...


T = TypeVar("T", bound=WaitingItem)


@final
class FairQueue(Generic[T]):
    """The requests that wait for one service; ``use`` returns the use of an account."""

    __slots__ = ("_blocked", "_costs", "_counts", "_queue", "_use")

    def __init__(self, *, use: Callable[[str], float]) -> None:
        self._use = use
        # The teams of the queue are the size classes of each account.
        self._queue: DeficitQueue[T] = DeficitQueue(
            quantum=QUANTUM_SECONDS, cost=_cost, order=_order, debt=self._debt
        )
        self._counts: dict[str, dict[int, int]] = {}
        self._costs: dict[str, float] = {}
        self._blocked: set[int] = set()

    def __len__(self) -> int:
        return len(self._queue)

    def __iter__(self) -> Iterator[T]:
        return iter(self._queue)

    def __contains__(self, item: T) -> bool:
        return self._queue.contains(_team(item.account, item.size_class), item)

    @property
    def accounts(self) -> tuple[str, ...]:
        """Accounts with waiting requests."""
        return tuple(self._counts)

    def push(self, item: T) -> None:
        """Add a request."""
        self._queue.push(_team(item.account, item.size_class), item)
        classes = self._counts.setdefault(item.account, {})
        classes[item.size_class] = classes.get(item.size_class, 0) + 1
        self._costs[item.account] = self._costs.get(item.account, 0.0) + item.cost

    def remove(self, item: T) -> bool:
        """Remove a request; return whether it was in the queue."""
        if item not in self:
            return False
        self._queue.remove(_team(item.account, item.size_class), item)
        classes = self._counts[item.account]
        classes[item.size_class] -= 1
        self._costs[item.account] -= item.cost
        if not classes[item.size_class]:
            del classes[item.size_class]
        if not classes:
            del self._counts[item.account], self._costs[item.account]
        return True

    def serve(self, try_place: Callable[[T], bool], *, only_unblocked: bool = False) -> None:
        """Offer the requests in order to ``try_place``, which returns whether one is done with.

        A size class is offered no more after its first request without room, and the pass ends with
        the first request that any slot would do for. ``only_unblocked`` passes over the classes
        that had no room in the last pass, as nothing has changed since.
        """
        if not only_unblocked:
            self._blocked.clear()
        if ANY_SLOT in self._blocked:
            return
        while self._serve_next(try_place):
            pass

    def count_before(self, item: T) -> int:
        """Return how many of the other waiting requests precede one, which itself may wait too."""
        cost = max(item.cost, MIN_COST_SECONDS)
        own = self._count_up_to(item.account, item.order) - (item in self)
        reached = self._use(item.account) + own * cost + QUANTUM_SECONDS
        others = (account for account in self._counts if account != item.account)
        return own + sum(self._count_until(account, reached, item.order) for account in others)

    def _serve_next(self, try_place: Callable[[T], bool]) -> bool:
        """Place the first request that has room; return whether there was one."""
        for _, item in self._queue.heads():
            if item.size_class in self._blocked:
                continue
            if try_place(item):
                self.remove(item)
                return True
            self._blocked.add(item.size_class)
            if item.size_class == ANY_SLOT:
                return False
        return False

    def _count_until(self, account: str, reached: float, order: float) -> int:
        """Return how many requests of another account go first until its use has reached this."""
        waiting = sum(self._counts[account].values())
        cost = max(self._costs[account] / waiting, MIN_COST_SECONDS)
        left = reached - self._use(account)
        if left <= 0.0:
            return 0
        affordable = math.ceil(left / cost)
        if left <= QUANTUM_SECONDS:
            return min(affordable, self._count_up_to(account, order))
        return min(affordable, waiting)

    def _count_up_to(self, account: str, order: float) -> int:
        classes = self._counts.get(account, {})
        return sum(self._queue.count_before(_team(account, size), order) for size in classes)

    def _debt(self, team: str) -> float:
        return self._use(team.partition("/")[2])


def _team(account: str, size: int) -> str:
    return f"{size}/{account}"


def _cost(item: WaitingItem) -> float:
    return item.cost


def _order(item: WaitingItem) -> float:
    return item.order
