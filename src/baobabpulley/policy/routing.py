"""Which upstream gets a request."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections.abc import Sequence
from typing import final

from baobabpulley.model.fleet_view import LoadView
from baobabpulley.model.upstreams import Upstream
from baobabpulley.registry import Registry


@final
class Candidate:
    """An upstream that may take a request, and what is known of it.

    ``sent_tokens`` are prefill tokens that this process has sent since the load report was
    taken; ``in_flight`` are this process's own running attempts there; ``cached_tokens`` is the
    estimate of how much of the prompt its prefix cache holds.
    """

    __slots__ = ("cached_tokens", "in_flight", "load", "sent_tokens", "upstream")

    def __init__(
        self,
        *,
        upstream: Upstream,
        load: LoadView | None,
        in_flight: int = 0,
        sent_tokens: int = 0,
        cached_tokens: int = 0,
    ) -> None:
        self.upstream = upstream
        self.load = load
        self.in_flight = in_flight
        self.sent_tokens = sent_tokens
        self.cached_tokens = cached_tokens


class RoutingPolicy(ABC):
    """Choose one of several candidates."""

    @abstractmethod
    def choose(self, candidates: Sequence[Candidate], *, prompt_tokens: int) -> Candidate:
        """Return the candidate that should get the request; ``candidates`` is not empty."""


routing_policies: Registry[type[RoutingPolicy]] = Registry("routing policy")


@routing_policies.register("round_robin")
@final
class RoundRobin(RoutingPolicy):
    """Take turns."""

    __slots__ = ("_turn",)

    def __init__(self) -> None:
        self._turn = 0

    def choose(self, candidates: Sequence[Candidate], *, prompt_tokens: int) -> Candidate:
        del prompt_tokens
        self._turn += 1
        return candidates[self._turn % len(candidates)]


@routing_policies.register("least_in_flight")
@final
class LeastInFlight(RoutingPolicy):
    """Take the upstream with the fewest attempts of this process."""

    __slots__ = ("_turn",)

    def __init__(self) -> None:
        self._turn = 0

    def choose(self, candidates: Sequence[Candidate], *, prompt_tokens: int) -> Candidate:
        del prompt_tokens
        self._turn += 1
        fewest = min(candidate.in_flight for candidate in candidates)
        best = [candidate for candidate in candidates if candidate.in_flight == fewest]
        return best[self._turn % len(best)]
