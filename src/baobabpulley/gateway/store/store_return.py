"""What a gateway knows better than a store that came back from a copy.

See ``docs/design/store-eras.md``.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import final

from loguru import logger

from baobabpulley.errors import InvalidDocument
from baobabpulley.gateway.store.entry_kinds import CONFIGURATION
from baobabpulley.gateway.store.entry_kinds import UPSTREAM
from baobabpulley.gateway.store.fleet_snapshot import FleetSnapshot
from baobabpulley.gateway.store.listed_upstreams import ListedUpstreams
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.revisions import era_of
from baobabpulley.model.revisions import is_carried_over
from baobabpulley.model.revisions import number_of
from baobabpulley.model.routes import RoutingTable
from baobabpulley.policy.outdated_entries import OutdatedEntries
from baobabpulley.ports.fleet_documents import FleetDocuments

Listener = Callable[[], None]


@final
class StoreReturn:
    """Withhold the entries of a copy that are older than what was known before the store's return.

    ``entries`` are the known ones by key, ``table`` returns the configuration in force.
    """

    __slots__ = (
        "_documents",
        "_entries",
        "_listeners",
        "_outdated",
        "_revision",
        "_table",
        "_upstreams",
    )

    def __init__(
        self,
        *,
        documents: FleetDocuments,
        entries: Mapping[str, StoredEntry],
        upstreams: ListedUpstreams,
        table: Callable[[], RoutingTable | None],
    ) -> None:
        self._documents = documents
        self._entries = entries
        self._upstreams = upstreams
        self._table = table
        self._outdated = OutdatedEntries()
        self._listeners: list[Listener] = []
        self._revision = 0

    @property
    def revision(self) -> int:
        """Revision of the first snapshot known of the store's era; 0 in era 0."""
        return self._revision

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` when the store has come back from a copy, before what it holds is used.

        What the system wrote to the store since the copy is gone then.
        """
        self._listeners.append(listener)

    def record_return(self, revision: int, *, known: int, source: str) -> None:
        """Record the first snapshot of a newer era, at ``revision``, in place of that at ``known``.

        ``source`` is where the snapshot came from.
        """
        logger.bind(
            event="store_returned",
            era=era_of(revision),
            known_era=era_of(known),
            revision=number_of(revision),
            known=number_of(known),
            source=source,
        ).warning("the store came back from a copy: what it holds replaces what is known")
        self.begin(revision)
        for listener in self._listeners:
            listener()

    def begin(self, revision: int) -> None:
        """Record the revision of the first snapshot known of an era."""
        if era_of(revision):
            self._revision = revision

    def withhold_outdated(self, snapshot: FleetSnapshot, *, now: float) -> None:
        """Withhold the entries of a snapshot that are older than what is known from before.

        The snapshot that led into the era may have come from a gateway that withholds them, so
        those of each one are looked at.
        """
        if era_of(snapshot.revision) == 0:
            return
        for entry in snapshot.entries:
            if self._is_outdated(entry, now=now):
                self._outdated.withhold(entry.key, revision=entry.mod_revision)

    def is_withheld(self, entry: StoredEntry) -> bool:
        """Whether an entry isn't to be used."""
        return self._outdated.is_withheld(entry.key, revision=entry.mod_revision)

    def record_entry(self, key: str) -> None:
        """Record that the entry of a key that is up to date is known."""
        self._outdated.record_entry(key)

    def record_removal(self, removed: StoredEntry, *, now: float) -> None:
        """Record that the entry of an upstream was removed."""
        self._outdated.record_removal(removed.key, revision=removed.mod_revision, now=now)

    def is_carried_over(self, key: str) -> bool:
        """Whether the entry known of a key was written before the store came back from a copy."""
        entry = self._entries.get(key)
        return entry is not None and is_carried_over(entry.mod_revision)

    def _is_outdated(self, entry: StoredEntry, *, now: float) -> bool:
        if entry.mod_revision > self._revision:
            # Written after the return, whatever was known before.
            return False
        kind, name = self._documents.classify_key(entry.key)
        if kind == UPSTREAM and self._outdated.was_removed(
            entry.key, before=entry.mod_revision, now=now
        ):
            return True
        if not self.is_carried_over(entry.key):
            return False
        try:
            return self._is_older(kind, name, entry.value or b"")
        except InvalidDocument:
            return False

    def _is_older(self, kind: str | None, name: str, value: bytes) -> bool:
        """Whether a document is older than the one known, by what it says itself."""
        table = self._table()
        if kind == CONFIGURATION and table is not None:
            return self._documents.configuration(value).version < table.version
        known = self._upstreams.by_id.get(name) if kind == UPSTREAM else None
        return known is not None and self._documents.upstream(name, value).born < known.born
