"""Messages about settings, changes of settings and the capacity of failure domains."""

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
    """Engine memory in tokens and number of live entry VMs of a failure domain.

    ``age`` is in model seconds.
    """

    failure_domain: str
    memory_tokens: int
    entry_vms: int
    age: float = 0.0


class VmListDelta(msgspec.Struct, frozen=True, array_like=True):
    """Difference between two versions of the VM list, identified by their digests.

    ``rows`` are the rows added or changed between the versions ``since`` and ``digest``, and
    ``removed`` the ids of those removed; with ``since`` 0, ``rows`` is the whole list. ``age`` is
    the model seconds since the list was requested from the platform.
    """

    digest: int
    since: int = 0
    age: float = 0.0
    rows: tuple[Vm, ...] = ()
    removed: tuple[str, ...] = msgspec.field(default=(), name="gone")


@peer_message("settings.question")
class SettingsRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request the settings later than ``revision``.

    A keeper includes the ``capacity`` of its failure domain. ``vms`` is the digest of the VM list
    that it has. With ``all_domains`` it also requests the capacity of every failure domain.
    """

    revision: int
    capacity: DomainCapacity | None = None
    vms: int = 0
    all_domains: bool = False


@peer_message("settings.news")
class SettingsUpdate(msgspec.Struct, frozen=True, array_like=True):
    """All changes of settings after ``since`` up to ``revision``; sent as a reply and published.

    ``more`` says that there are later ones to request. ``limits`` are the team limits in force
    above those of the entries. In a reply to a keeper of the same failure domain, ``vms`` brings
    its VM list up to date and ``capacities`` holds the capacity of all failure domains if it
    requested them. In a reply to a keeper of another failure domain, ``capacities`` holds only
    the capacity of the sender's own. In a reply, ``confirmed_age`` is the model seconds since the
    store confirmed to the sender, or to one that it has this from, that there are no later changes.
    """

    since: int
    revision: int
    entries: tuple[StoredEntry, ...]
    limits: dict[str, Limit] = {}
    more: bool = False
    capacities: tuple[DomainCapacity, ...] = ()
    vms: VmListDelta | None = None
    confirmed_age: float | None = None


@peer_message("settings.raise")
class RaiseLimit(msgspec.Struct, frozen=True):
    """Raise a team's limit; a retry with the same ``change_id`` has no further effect."""

    team: Name
    change_id: ChangeId
    limit: Limit


@peer_message("settings.write")
class WriteDocument(msgspec.Struct, frozen=True):
    """Write a team's own settings document; a ``value`` of ``None`` deletes it.

    An ``expected_revision`` of 0 requires that the document doesn't exist yet; ``None`` requires
    nothing.
    """

    team: Name
    change_id: ChangeId
    name: Name
    value: bytes | None
    expected_revision: int | None = None


@peer_message("settings.resolve")
class ResolveChange(msgspec.Struct, frozen=True):
    """Request the outcome of a change; if it hasn't been applied yet, it never will be."""

    team: Name
    change_id: ChangeId


@peer_message("settings.changed")
class ChangeAccepted(msgspec.Struct, frozen=True):
    """The change was applied, at ``revision`` of the store."""

    change_id: str
    revision: int
