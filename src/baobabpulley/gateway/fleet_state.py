"""What this gateway believes of configuration, upstreams and members, and how it keeps up.

The store's revision orders everything: a value is taken over only if it is newer than the one
held, wherever it comes from, so nothing reverts. While the store is away, peers are asked.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Final
from typing import final

import msgspec
from loguru import logger

from baobabpulley.errors import InvalidDocument
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.routes import RoutingTable
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.ports.fleet_documents import FleetDocuments
from baobabpulley.ports.fleet_documents import GatewayMember

CONFIGURATION: Final = "configuration"
UPSTREAM: Final = "upstream"
MEMBER: Final = "member"

Listener = Callable[[], None]


class FleetSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Everything held, at one revision of the store; what peers give each other."""

    revision: int
    entries: tuple[StoredEntry, ...]


@final
class FleetState:
    """The newest known entry of each key, decoded."""

    __slots__ = (
        "_configuration_revision",
        "_configured",
        "_documents",
        "_entries",
        "_listeners",
        "_members",
        "_pending_removals",
        "_revision",
        "_table",
        "_upstreams",
    )

    def __init__(self, documents: FleetDocuments) -> None:
        self._documents = documents
        self._entries: dict[str, StoredEntry] = {}
        # Keys missing since an outage, and until when they may come back (monotonic seconds).
        self._pending_removals: dict[str, float] = {}
        self._upstreams: dict[str, ListedUpstream] = {}
        self._members: dict[str, GatewayMember] = {}
        self._table: RoutingTable | None = None
        self._configuration_revision = 0
        self._configured = asyncio.Event()
        self._revision = 0
        self._listeners: list[Listener] = []

    @property
    def table(self) -> RoutingTable | None:
        """The configuration in force, or ``None`` before any is known."""
        return self._table

    @property
    def configuration_revision(self) -> int:
        """Revision of the configuration in force."""
        return self._configuration_revision

    @property
    def revision(self) -> int:
        """The store's revision up to which all is known."""
        return self._revision

    @property
    def upstreams(self) -> dict[str, ListedUpstream]:
        """Upstreams by id, those that are leaving included."""
        return self._upstreams

    @property
    def members(self) -> dict[str, GatewayMember]:
        """Gateways that registered, by node."""
        return self._members

    async def wait_for_table(self, *, seconds: float) -> RoutingTable | None:
        """Return the configuration, or ``None`` if there is none within some seconds."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._configured.wait(), seconds)
        return self._table

    def listen(self, listener: Listener) -> None:
        """Call a part after each change of upstreams or configuration."""
        self._listeners.append(listener)

    def snapshot(self) -> FleetSnapshot:
        """Return all that is held."""
        return FleetSnapshot(revision=self._revision, entries=tuple(self._entries.values()))

    def install(self, snapshot: FleetSnapshot, *, now: float, removal_delay: float = 0.0) -> bool:
        """Take over a snapshot unless a newer one is known; return whether it was taken.

        What is missing from it is gone, after ``removal_delay`` seconds if those are not 0.
        """
        if snapshot.revision < self._revision:
            return False
        found = {entry.key for entry in snapshot.entries}
        for entry in snapshot.entries:
            self._install(entry)
        for key, entry in tuple(self._entries.items()):
            if key not in found and entry.mod_revision <= snapshot.revision:
                self._remove(key, now=now, removal_delay=removal_delay)
        self._revision = snapshot.revision
        self._notify()
        return True

    def apply_changes(
        self,
        entries: tuple[StoredEntry, ...],
        *,
        revision: int,
        now: float,
        removal_delay: float = 0.0,
    ) -> None:
        """Take over changes up to a revision."""
        for entry in entries:
            if entry.value is not None:
                self._install(entry)
            elif self._known_revision(entry.key) < entry.mod_revision:
                self._remove(entry.key, now=now, removal_delay=removal_delay)
        self._revision = max(self._revision, revision)
        if entries:
            self._notify()

    def remove_expired(self, *, now: float) -> None:
        """Drop what did not come back in time after an outage."""
        late = [key for key, until in self._pending_removals.items() if until <= now]
        for key in late:
            self._remove(key, now=now, removal_delay=0.0)
        if late:
            self._notify()

    def _known_revision(self, key: str) -> int:
        entry = self._entries.get(key)
        return 0 if entry is None else entry.mod_revision

    def _install(self, entry: StoredEntry) -> None:
        self._pending_removals.pop(entry.key, None)
        if self._known_revision(entry.key) >= entry.mod_revision:
            return
        kind, name = self._documents.classify_key(entry.key)
        if kind is None:
            return
        self._entries[entry.key] = entry
        try:
            self._decode(kind, name, entry)
        except InvalidDocument as fault:
            logger.bind(event="bad_document", key=entry.key, revision=entry.mod_revision).warning(
                "{}", fault.message
            )
            # An entry that cannot be read names no upstream; a configuration keeps the last one.
            self._upstreams.pop(name, None)

    def _decode(self, kind: str, name: str, entry: StoredEntry) -> None:
        value = entry.value or b""
        if kind == CONFIGURATION:
            table = self._documents.configuration(value)
            self._table, self._configuration_revision = table, entry.mod_revision
            self._configured.set()
            logger.bind(
                event="configuration", version=table.version, revision=entry.mod_revision
            ).info("configuration in force")
        elif kind == UPSTREAM:
            upstream = self._documents.upstream(name, value)
            before = self._upstreams.get(name)
            self._upstreams[name] = upstream
            if before is None or before.leaving != upstream.leaving:
                logger.bind(
                    event="upstream",
                    upstream=name,
                    service=upstream.service,
                    leaving=upstream.leaving,
                    revision=entry.mod_revision,
                ).info("upstream listed")
        else:
            self._members[name] = self._documents.member(value)

    def _remove(self, key: str, *, now: float, removal_delay: float) -> None:
        kind, name = self._documents.classify_key(key)
        upstream = self._upstreams.get(name) if kind == UPSTREAM else None
        if kind == CONFIGURATION:
            # The operators never delete it; a store that says so is not believed.
            return
        if upstream is not None and removal_delay and not upstream.leaving:
            self._pending_removals.setdefault(key, now + removal_delay)
            return
        self._pending_removals.pop(key, None)
        self._entries.pop(key, None)
        self._upstreams.pop(name, None) if kind == UPSTREAM else self._members.pop(name, None)
        if upstream is not None:
            logger.bind(event="upstream_gone", upstream=name).info("upstream gone")

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
