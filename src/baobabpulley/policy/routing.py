"""Routing policies: choose the upstream for a request."""

from __future__ import annotations

import random
from abc import ABC
from abc import abstractmethod
from collections.abc import Sequence
from typing import Annotated
from typing import Final
from typing import final

import msgspec

from baobabpulley.model.upstreams import Upstream
from baobabpulley.registry import Registry
from baobabpulley.settings import Count
from baobabpulley.settings import Name
from baobabpulley.settings import section

CHOICE_SEED: Final = 20


@section("routing", "entry")
class RoutingSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings for the choice of an upstream.

    ``policy`` is the name of a registered routing policy. ``corrected`` adjusts load reports, which
    lag, by the requests that this entry has sent and seen finish since. ``prefix_aware`` subtracts
    the prompt tokens that an engine's prefix cache is estimated to hold. ``prefill_rate`` (tokens a
    second) is used until an engine's first load report.

    The other settings add prefill tokens to the estimated queue of an engine. ``step_tokens`` is
    the prefill between two checks of an engine's queue; half of it is added to an engine that is
    running requests, and 0 turns that off. ``beside_long_tokens`` are added instead, if they are
    more, to an engine that is prefilling a long prompt: half a step passes on average until the
    engine checks its queue, and the last step is filled up. A larger value keeps short prompts away
    from engines with long ones, which favours the long prompts.

    ``foreign_tokens`` are added to engines that are assigned to another entry of the failure
    domain. The engines are divided among the entries, so that entries, which cannot see each
    other's latest requests, rarely choose the same engine. For long prompts the value counts
    twenty times.
    """

    policy: Name = "least_wait"
    corrected: bool = True
    prefix_aware: bool = True
    prefill_rate: Count = 20_000
    step_tokens: Annotated[int, msgspec.Meta(ge=0)] = 512
    beside_long_tokens: Annotated[int, msgspec.Meta(ge=0)] = 512
    foreign_tokens: Annotated[int, msgspec.Meta(ge=0)] = 1_024


@final
class Candidate:
    """An upstream that may take a request, with its estimated load.

    ``in_flight`` is the number of attempts of this process that are running there. ``ahead_tokens``
    estimates the prefill tokens queued ahead of the request. ``cached_tokens`` estimates how many
    tokens of the prompt are in the upstream's prefix cache. ``prefill_rate`` is in tokens a second.
    """

    __slots__ = ("ahead_tokens", "cached_tokens", "in_flight", "prefill_rate", "upstream")

    def __init__(
        self,
        *,
        upstream: Upstream,
        prefill_rate: float,
        in_flight: int = 0,
        ahead_tokens: float = 0.0,
        cached_tokens: float = 0.0,
    ) -> None:
        self.upstream = upstream
        self.prefill_rate = prefill_rate
        self.in_flight = in_flight
        self.ahead_tokens = ahead_tokens
        self.cached_tokens = cached_tokens

    def first_token_seconds(self, prompt_tokens: int) -> float:
        """Estimate the model seconds until the first token of a prompt."""
        uncached_tokens = max(1.0, prompt_tokens - self.cached_tokens)
        return (self.ahead_tokens + uncached_tokens) / self.prefill_rate


class RoutingPolicy(ABC):
    """Base class of policies that choose one of several candidates."""

    @abstractmethod
    def choose(self, candidates: Sequence[Candidate], *, prompt_tokens: int) -> Candidate:
        """Return the candidate for the request; ``candidates`` must not be empty."""


routing_policies: Registry[type[RoutingPolicy]] = Registry("routing policy")


@routing_policies.register("round_robin")
@final
class RoundRobin(RoutingPolicy):
    """Choose the upstreams in turn."""

    __slots__ = ("_next_index",)

    def __init__(self) -> None:
        self._next_index = 0

    def choose(self, candidates: Sequence[Candidate], *, prompt_tokens: int) -> Candidate:
        del prompt_tokens
        self._next_index += 1
        return candidates[self._next_index % len(candidates)]


@routing_policies.register("least_in_flight")
@final
class LeastInFlight(RoutingPolicy):
    """Choose the upstream with the fewest running attempts of this process, ties in turn."""

    __slots__ = ("_next_index",)

    def __init__(self) -> None:
        self._next_index = 0

    def choose(self, candidates: Sequence[Candidate], *, prompt_tokens: int) -> Candidate:
        del prompt_tokens
        self._next_index += 1
        fewest = min(candidate.in_flight for candidate in candidates)
        best = [candidate for candidate in candidates if candidate.in_flight == fewest]
        return best[self._next_index % len(best)]


@routing_policies.register("two_choices")
@final
class TwoChoices(RoutingPolicy):
    """Choose the better of two random upstreams by the estimated time to first token."""

    __slots__ = ("_random",)

    def __init__(self) -> None:
        self._random = random.Random(CHOICE_SEED)

    def choose(self, candidates: Sequence[Candidate], *, prompt_tokens: int) -> Candidate:
        pair = self._random.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda candidate: candidate.first_token_seconds(prompt_tokens))


@routing_policies.register("least_wait")
@final
class LeastWait(RoutingPolicy):
    """Choose the shortest estimated time to first token; ties by attempts in flight."""

    __slots__ = ("_random",)

    def __init__(self) -> None:
        # Unseeded, so that entries that see equal loads do not all choose the same upstream.
        self._random = random.Random()

    def choose(self, candidates: Sequence[Candidate], *, prompt_tokens: int) -> Candidate:
        return min(
            candidates,
            key=lambda candidate: (
                round(candidate.first_token_seconds(prompt_tokens), 3),
                candidate.in_flight,
                self._random.random(),
            ),
        )
