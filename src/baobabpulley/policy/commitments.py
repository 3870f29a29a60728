"""The limits that the fleet can commit to, so that it honours them after any single failure.

A single failure is the loss of one failure domain or of one entry VM. Let M(d) be the engine memory
of failure domain d in tokens, V(d) the number of its entry VMs, and T the tokens in flight that
one entry VM can carry. Entries send requests only to engines of their own failure domain, so only
domains with at least one entry VM are usable. With the sums and the maximum over the domains that
are usable after a failure, the fleet can serve

    F = min(sum of M(d), T * sum of V(d))

tokens in flight, and a prompt of at most P = max of M(d) tokens, because the chunks of a prompt
stay in one failure domain. The capacity for commitments is the smallest F and the smallest P over
all single failures. The limits of all teams on tokens in flight may add up to F, and each team's
limit on the length of a prompt may be up to P.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

import msgspec

from baobabpulley.errors import CommitmentRefused
from baobabpulley.model.limits import Limit
from baobabpulley.model.settings_messages import DomainCapacity


class CommitmentCapacity(msgspec.Struct, frozen=True):
    """The tokens that the fleet can serve after any single failure.

    ``in_flight`` is the sum over all teams, ``prompt`` the longest prompt.
    """

    in_flight: int
    prompt: int


def commitment_capacity(
    domains: Iterable[DomainCapacity], *, tokens_per_entry_vm: int
) -> CommitmentCapacity:
    """Return the capacity after the worst single failure, 0 tokens if there are no domains.

    ``tokens_per_entry_vm`` is the number of tokens in flight that one entry VM can carry.

    >>> fleet = [DomainCapacity(name, 1000, 2) for name in ("fes", "meknes", "rabat")]
    >>> commitment_capacity(fleet, tokens_per_entry_vm=10_000)
    CommitmentCapacity(in_flight=2000, prompt=1000)
    >>> commitment_capacity(fleet[:1], tokens_per_entry_vm=10_000)
    CommitmentCapacity(in_flight=0, prompt=0)
    """
    capacities = [
        _serving_capacity(remaining, tokens_per_entry_vm)
        for remaining in _after_each_failure(list(domains))
    ]
    return CommitmentCapacity(
        in_flight=min((capacity.in_flight for capacity in capacities), default=0),
        prompt=min((capacity.prompt for capacity in capacities), default=0),
    )


def check_limit_raise(
    *,
    team: str,
    wanted: Limit,
    current: Limit,
    committed: Mapping[str, Limit],
    capacity: CommitmentCapacity,
) -> None:
    """Raise `CommitmentRefused` if the fleet cannot commit to a raised limit.

    The message gives the highest values that would be accepted. ``current`` is the team's limit in
    force, whose values are always accepted. ``committed`` are the limits of all teams.

    >>> check_limit_raise(team="souk", wanted=Limit(10, 60), current=Limit(10, 20),
    ...             committed={"stall": Limit(5, 50)}, capacity=CommitmentCapacity(100, 40))
    Traceback (most recent call last):
    baobabpulley.errors.control.CommitmentRefused: ... max_prompt_tokens 40, max_tokens_in_flight 50
    """
    others = sum(limit.max_tokens_in_flight for name, limit in committed.items() if name != team)
    accepted = current.merged(Limit(capacity.prompt, max(0, capacity.in_flight - others)))
    if accepted.covers(wanted):
        return
    raise CommitmentRefused(
        f"after the loss of one failure domain or entry VM the fleet could not honour this limit "
        f"of {team}; the highest accepted values are max_prompt_tokens "
        f"{accepted.max_prompt_tokens}, max_tokens_in_flight {accepted.max_tokens_in_flight}"
    )


def _after_each_failure(domains: list[DomainCapacity]) -> Iterator[list[DomainCapacity]]:
    """Yield the remaining domains after the loss of each domain, and of one entry VM of each."""
    for index, lost in enumerate(domains):
        others = domains[:index] + domains[index + 1 :]
        yield others
        yield [*others, msgspec.structs.replace(lost, entry_vms=lost.entry_vms - 1)]


def _serving_capacity(
    domains: list[DomainCapacity], tokens_per_entry_vm: int
) -> CommitmentCapacity:
    usable = [domain for domain in domains if domain.entry_vms > 0]
    memory = [domain.memory_tokens for domain in usable]
    carried = tokens_per_entry_vm * sum(domain.entry_vms for domain in usable)
    return CommitmentCapacity(in_flight=min(sum(memory), carried), prompt=max(memory, default=0))
