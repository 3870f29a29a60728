"""Messages that carry settings, their changes and the fleet's capacity between processes."""

from __future__ import annotations

from typing import Annotated

import msgspec

from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.limits import Limit
from baobabpulley.model.upstreams import Vm
from baobabpulley.ports.peers import peer_message
from baobabpulley.settings import Name

ChangeId = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_-]{8,64}$")]


class DomainCapacity(msgspec.Struct, frozen=True, array_like=True):
    """Engine memory (tokens) and live entry VMs of a failure domain; ``age`` in model seconds."""

    failure_domain: str
    memory_tokens: int
    entry_vms: int
    age: float = 0.0


class VmListDelta(msgspec.Struct, frozen=True, array_like=True):
    """How the rows of a VM list became those of ``digest``; ``since`` 0 gives all of them.

    ``age`` is the model seconds since the platform was asked for the list.
    """

    digest: int
    since: int = 0
    age: float = 0.0
    rows: tuple[Vm, ...] = ()
    gone: tuple[str, ...] = ()


@peer_message("settings.question")
class SettingsRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask for settings past ``revision``; a keeper tells its failure domain's capacity with it.

    ``vms`` is the digest of the rows of the VM list that it holds. With ``all_domains`` it asks
    for the capacity of every failure domain too.
    """

    revision: int
    capacity: DomainCapacity | None = None
    vms: int = 0
    all_domains: bool = False


@peer_message("settings.news")
class SettingsUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Settings complete from ``since`` to ``revision``; ``more`` if a repeat brings later ones.

    ``limits`` are in force beyond what the entries tell. ``capacities`` are those of all failure
    domains for a keeper of the own one that asks for them, and that of the own one for a keeper of
    another. ``vms`` are for a keeper of the own one too.
    """

    since: int
    revision: int
    entries: tuple[StoredEntry, ...]
    limits: dict[str, Limit] = {}
    more: bool = False
    capacities: tuple[DomainCapacity, ...] = ()
    vms: VmListDelta | None = None


@peer_message("settings.raise")
class RaiseLimit(msgspec.Struct, frozen=True):
    """Raise a team's limit; a repeat with the same ``change_id`` changes nothing more."""

    team: Name
    change_id: ChangeId
    limit: Limit


@peer_message("settings.write")
class WriteDocument(msgspec.Struct, frozen=True):
    """Write a team's own settings document, or delete it with ``value`` ``None``.

    ``expected_revision`` 0 asks that there is none yet; ``None`` asks nothing.
    """

    team: Name
    change_id: ChangeId
    name: Name
    value: bytes | None
    expected_revision: int | None = None


@peer_message("settings.resolve")
class ResolveChange(msgspec.Struct, frozen=True):
    """Ask how a change ended; one that has not held by then can hold no more."""

    team: Name
    change_id: ChangeId


@peer_message("settings.changed")
class ChangeAccepted(msgspec.Struct, frozen=True):
    """The change held, at ``revision`` of the store."""

    change_id: str
    revision: int
