"""How much the fleet can promise: what it still honours after the loss of any one part.

With M(d) the engine memory in tokens of failure domain d, V(d) its entry VMs and T the tokens
that one entry VM carries at a time, a loss leaves the domains with at least one entry VM, since
entries send only to engines of their own domain. After a loss, the fleet honours in flight

    F = min(sum of M(d) over the domains left, T * sum of V(d) over the domains left)

tokens, and one prompt of at most P = max of M(d) over the domains left, since a prompt's parts
stay in one failure domain. What can be promised is the smallest F and the smallest P over the
losses of each failure domain and of one entry VM of each. The promises to all teams together may
take F; each team's longest prompt may take P.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

import msgspec

from baobabpulley.errors import CommitmentRefused
from baobabpulley.model.limits import Limit
from baobabpulley.model.settings_messages import DomainCapacity


class Promisable(msgspec.Struct, frozen=True):
    """Tokens that remain after any one loss: in flight over all teams, and of one prompt."""

    in_flight: int
    prompt: int


def promisable(domains: Iterable[DomainCapacity], *, tokens_per_entry_vm: int) -> Promisable:
    """Return what remains after the worst single loss; nothing if there is nothing.

    >>> fleet = [DomainCapacity(name, 1000, 2) for name in ("fes", "meknes", "rabat")]
    >>> promisable(fleet, tokens_per_entry_vm=10_000)
    Promisable(in_flight=2000, prompt=1000)
    >>> promisable(fleet[:1], tokens_per_entry_vm=10_000)
    Promisable(in_flight=0, prompt=0)
    """
    left = [_honoured(rest, tokens_per_entry_vm) for rest in _after_each_loss(list(domains))]
    return Promisable(
        in_flight=min((item.in_flight for item in left), default=0),
        prompt=min((item.prompt for item in left), default=0),
    )


def check_raise(
    *, team: str, wanted: Limit, held: Limit, promised: Mapping[str, Limit], capacity: Promisable
) -> None:
    """Raise `CommitmentRefused`, with the figures that would be accepted, if a raise is too much.

    ``held`` is the team's limit in force; figures that stay as they are always pass.

    >>> check_raise(team="souk", wanted=Limit(10, 60), held=Limit(10, 20),
    ...             promised={"stall": Limit(5, 50)}, capacity=Promisable(100, 40))
    Traceback (most recent call last):
    baobabpulley.errors.control.CommitmentRefused: ... max_prompt_tokens 40, max_tokens_in_flight 50
    """
    others = sum(limit.max_tokens_in_flight for name, limit in promised.items() if name != team)
    accepted = held.merged(Limit(capacity.prompt, max(0, capacity.in_flight - others)))
    if accepted.covers(wanted):
        return
    raise CommitmentRefused(
        f"after the loss of one failure domain or entry VM the fleet could not honour this limit "
        f"of {team}; accepted would be at most max_prompt_tokens {accepted.max_prompt_tokens}, "
        f"max_tokens_in_flight {accepted.max_tokens_in_flight}"
    )


def _after_each_loss(domains: list[DomainCapacity]) -> Iterator[list[DomainCapacity]]:
    for index, lost in enumerate(domains):
        others = domains[:index] + domains[index + 1 :]
        yield others
        yield [*others, msgspec.structs.replace(lost, entry_vms=lost.entry_vms - 1)]


def _honoured(domains: list[DomainCapacity], tokens_per_entry_vm: int) -> Promisable:
    reached = [domain for domain in domains if domain.entry_vms > 0]
    memory = [domain.memory_tokens for domain in reached]
    carried = tokens_per_entry_vm * sum(domain.entry_vms for domain in reached)
    return Promisable(in_flight=min(sum(memory), carried), prompt=max(memory, default=0))
