"""Deficit round robin over teams, with the tokens of a request as its cost.

The deficits are kept by the queue or, with ``debt``, follow from what teams used elsewhere too.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Iterator
from typing import Generic
from typing import TypeVar
from typing import final

from sortedcontainers import SortedKeyList

T = TypeVar("T")


@final
class DeficitQueue(Generic[T]):
    """A queue of items by team; each team gets tokens in proportion to its weight.

    ``quantum`` is the number of tokens that a team of weight 1 is credited per round. With
    ``order`` a team's items are sorted by it, the smallest first, and not by arrival. ``debt``
    returns what a team has used beyond its share, here and elsewhere; with it the queue keeps no
    deficits of its own, and `heads` returns the order of service.

    >>> queue = DeficitQueue[str](quantum=10, cost=lambda item: 10)
    >>> for item in ("a1", "a2", "b1"):
    ...     queue.push(item[0], item)
    >>> [queue.take(), queue.take(), queue.take()]
    ['a1', 'b1', 'a2']
    """

    __slots__ = ("_cost", "_debt", "_deficits", "_order", "_quantum", "_rank", "_teams", "_weight")

    def __init__(
        self,
        *,
        quantum: float,
        cost: Callable[[T], float],
        rank: Callable[[T], float] | None = None,
        weight: Callable[[str], float] | None = None,
        order: Callable[[T], float] | None = None,
        debt: Callable[[str], float] | None = None,
    ) -> None:
        self._quantum = quantum
        self._cost = cost
        self._rank = rank
        self._weight = weight
        self._order = order
        self._debt = debt
        self._teams: OrderedDict[str, list[T] | SortedKeyList] = OrderedDict()
        self._deficits: dict[str, float] = {}

    def __len__(self) -> int:
        return sum(len(items) for items in self._teams.values())

    def __iter__(self) -> Iterator[T]:
        for items in self._teams.values():
            yield from items

    @property
    def teams(self) -> int:
        """Number of teams with waiting items."""
        return len(self._teams)

    def of_team(self, team: str) -> tuple[T, ...]:
        """Return a team's waiting items, oldest first."""
        return tuple(self._teams.get(team, ()))

    def contains(self, team: str, item: T) -> bool:
        """Whether an item of a team is queued."""
        return item in self._teams.get(team, ())

    def push(self, team: str, item: T) -> None:
        """Add an item to the team's queue."""
        if team not in self._teams:
            self._teams[team] = [] if self._order is None else SortedKeyList(key=self._order)
        items = self._teams[team]
        if isinstance(items, SortedKeyList):
            items.add(item)
        else:
            items.append(item)
        self._deficits.setdefault(team, 0.0)

    def remove(self, team: str, item: T) -> None:
        """Remove an item if it is still queued."""
        items = self._teams.get(team, [])
        if item in items:
            items.remove(item)
        self._drop_team_if_empty(team)

    def heads(self) -> list[tuple[str, T]]:
        """Return each team and its next item, in the order of service; needs ``order``, ``debt``.

        Teams whose debts differ by less than a quantum are in the same round, in which the items go
        by ``order``.
        """
        assert self._order is not None
        heads = [(team, items[0]) for team, items in self._teams.items()]
        keys = {team: (self.round_of(team), self._order(item)) for team, item in heads}
        return sorted(heads, key=lambda head: keys[head[0]])

    def round_of(self, team: str) -> int:
        """Return the round in which a team can afford its next item, counted from no debt."""
        assert self._debt is not None
        weight = 1.0 if self._weight is None else self._weight(team)
        return math.floor(self._debt(team) / (self._quantum * weight))

    def count_before(self, team: str, order: float) -> int:
        """Return how many items of a team go before an item of this ``order``; needs ``order``."""
        items = self._teams.get(team)
        return 0 if items is None else int(items.bisect_key_right(order))

    def head(self) -> T | None:
        """Return the next item without removing it, or ``None`` if the queue is empty.

        Teams are credited until one can afford its next item, which is its oldest or, with
        ``rank``, the one of highest rank.
        """
        while self._teams:
            team = next(iter(self._teams))
            item = self._next_of_team(team)
            if self._deficits[team] >= self._cost(item):
                return item
            weight = 1.0 if self._weight is None else self._weight(team)
            self._deficits[team] += self._quantum * weight
            if self._deficits[team] < self._cost(item) or len(self._teams) > 1:
                self._teams.move_to_end(team)
        return None

    def take(self) -> T | None:
        """Remove and return the next item, or ``None`` if the queue is empty."""
        item = self.head()
        if item is not None:
            team = next(iter(self._teams))
            self.charge(team, item)
        return item

    def charge(self, team: str, item: T) -> None:
        """Remove an item and charge its team for it; the item need not be the next one."""
        if self._debt is None:
            self._deficits[team] -= self._cost(item)
        self.remove(team, item)

    def _next_of_team(self, team: str) -> T:
        items = self._teams[team]
        return items[0] if self._rank is None else max(items, key=self._rank)

    def _drop_team_if_empty(self, team: str) -> None:
        # An idle team keeps no credit, as usual in deficit round robin.
        if not self._teams.get(team):
            self._teams.pop(team, None)
            self._deficits.pop(team, None)
