"""All that a gateway knows at one store revision, and how gateways send it to each other."""

from __future__ import annotations

from typing import Protocol
from typing import TypeVar

import msgspec

from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.revisions import era_of
from baobabpulley.model.revisions import number_of
from baobabpulley.model.revisions import ordered_revision
from baobabpulley.model.revisions import with_numbers
from baobabpulley.model.revisions import with_ordered_revisions


class FleetSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """All entries at one store revision.

    ``covers_evacuations`` is whether the requests to evacuate domains are among the entries.
    ``era`` is that of the revisions while they are sent. The store lacks the keys in
    ``unregistered``, whose removal is only delayed. Gateways of earlier versions leave out the last
    fields; they leave out evacuations, and know no era but 0.
    """

    revision: int
    entries: tuple[StoredEntry, ...]
    covers_evacuations: bool = False
    era: int = 0
    unregistered: tuple[str, ...] = ()


class _Sent(Protocol):
    """A message with entries, whose revisions are the store's numbers while it is sent."""

    @property
    def revision(self) -> int: ...

    @property
    def entries(self) -> tuple[StoredEntry, ...]: ...

    @property
    def era(self) -> int: ...


S = TypeVar("S", bound=_Sent)


def as_sent(message: S) -> S:
    """Return a message with ordered revisions as it is sent: with numbers, and their era."""
    return msgspec.structs.replace(  # type: ignore[type-var]
        message,
        revision=number_of(message.revision),
        entries=with_numbers(message.entries),
        era=era_of(message.revision),
    )


def as_received(message: S) -> S:
    """Return a message that was sent with ordered revisions in place of numbers."""
    return msgspec.structs.replace(  # type: ignore[type-var]
        message,
        revision=ordered_revision(message.revision, era=message.era),
        entries=with_ordered_revisions(message.entries, era=message.era),
    )
