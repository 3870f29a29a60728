"""Which upstream gets a request."""

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
    """How an upstream is chosen.

    ``policy`` names a registered routing policy. ``corrected`` adjusts lagging load reports by
    what this entry has sent and seen finish; ``prefix_aware`` counts the tokens that an engine's
    prefix cache is thought to hold. ``prefill_rate`` (tokens a second) stands in until an
    engine's first report. ``step_tokens`` is the prefill between two looks of an engine at its
    queue: half of it counts as waiting where something runs, 0 leaves that out.
    ``beside_long_tokens`` count as waiting where a long prompt is being prefilled: half a step
    until the engine looks, and the last step is filled up. A larger value keeps shorts away from
    engines with longs, to the longs' advantage.
    ``foreign_tokens`` count as waiting at engines that belong to another entry of the failure
    domain: the engines are dealt out among the entries, so that entries that cannot know of each
    other's newest sends seldom meet on one engine; for longs they count twenty times.
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
    """An upstream that may take a request, and what is known of it.

    ``in_flight`` are this process's own running attempts there. ``ahead_tokens`` is the estimate
    of the prefill tokens that go first. ``cached_tokens`` is the estimate of how much of the
    prompt the upstream's prefix cache holds. ``prefill_rate`` is in tokens a second.
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
        own = max(1.0, prompt_tokens - self.cached_tokens)
        return (self.ahead_tokens + own) / self.prefill_rate


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


@routing_policies.register("two_choices")
@final
class TwoChoices(RoutingPolicy):
    """Take the one with less estimated wait of two random upstreams."""

    __slots__ = ("_random",)

    def __init__(self) -> None:
        self._random = random.Random(CHOICE_SEED)

    def choose(self, candidates: Sequence[Candidate], *, prompt_tokens: int) -> Candidate:
        pair = self._random.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda candidate: candidate.first_token_seconds(prompt_tokens))


@routing_policies.register("least_wait")
@final
class LeastWait(RoutingPolicy):
    """Take the least estimated time to first token; of equal ones the least used."""

    __slots__ = ("_random",)

    def __init__(self) -> None:
        # Unseeded: entries that see equal loads must not all take the same upstream.
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
