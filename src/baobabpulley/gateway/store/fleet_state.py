"""The gateway's copy of the configuration, the upstreams and the member list.

Entries come from the store, or from other gateways while the store is unavailable. All updates are
ordered by store era and revision: an entry is replaced only by a newer one, whatever its source, so
the state never goes back to an older one. A snapshot of a newer era comes from a store that came
back from a copy, see ``docs/design/store-eras.md``.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Final
from typing import final

import msgspec
from loguru import logger

from baobabpulley.errors import InvalidDocument
from baobabpulley.gateway.store.change_log import ChangeLog
from baobabpulley.gateway.store.entry_kinds import CONFIGURATION
from baobabpulley.gateway.store.entry_kinds import EVACUATION
from baobabpulley.gateway.store.entry_kinds import MEMBER
from baobabpulley.gateway.store.entry_kinds import UPSTREAM
from baobabpulley.gateway.store.fleet_snapshot import FleetSnapshot
from baobabpulley.gateway.store.listed_upstreams import ListedUpstreams
from baobabpulley.gateway.store.store_return import StoreReturn
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.revisions import carried_over
from baobabpulley.model.revisions import era_of
from baobabpulley.model.revisions import number_of
from baobabpulley.model.routes import RoutingTable
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.evacuation import EvacuatedDomains
from baobabpulley.ports.fleet_documents import FleetDocuments
from baobabpulley.ports.fleet_documents import GatewayMember

STORE: Final = "store"

Listener = Callable[[], None]


@final
class FleetState:
    """The newest known entry of each store key, and the decoded values."""

    __slots__ = (
        "_change_log",
        "_configuration_revision",
        "_configured",
        "_documents",
        "_entries",
        "_evacuations",
        "_listeners",
        "_may_lack_evacuations",
        "_members",
        "_pending_removals",
        "_return",
        "_returned_within",
        "_revision",
        "_table",
        "_upstreams",
    )

    def __init__(self, documents: FleetDocuments, *, returned_within: float = 0.0) -> None:
        self._documents = documents
        # Seconds within which upstreams and gateways register again after a return of the store.
        self._returned_within = returned_within
        self._entries: dict[str, StoredEntry] = {}
        self._change_log = ChangeLog()
        # Keys that were missing after a store outage, and when they are to be removed
        # (monotonic seconds) unless they are registered again.
        self._pending_removals: dict[str, float] = {}
        self._upstreams = ListedUpstreams(notify=self._notify)
        self._return = StoreReturn(
            documents=documents,
            entries=self._entries,
            upstreams=self._upstreams,
            table=lambda: self._table,
        )
        self._evacuations = EvacuatedDomains()
        self._may_lack_evacuations = False
        self._members: dict[str, GatewayMember] = {}
        self._table: RoutingTable | None = None
        self._configuration_revision = 0
        self._configured = asyncio.Event()
        self._revision = 0
        self._listeners: list[Listener] = []

    @property
    def table(self) -> RoutingTable | None:
        """The current configuration, or ``None`` before the first one is known."""
        return self._table

    @property
    def configuration_revision(self) -> int:
        """Revision of the current configuration, 0 before the first one is known."""
        return self._configuration_revision

    @property
    def revision(self) -> int:
        """Ordered store revision up to which all changes have been applied."""
        return self._revision

    @property
    def returned_at(self) -> int:
        """Revision of the first snapshot known of the store's era; 0 in era 0.

        Whatever is of a later revision was written after the store came back from a copy.
        """
        return self._return.revision

    @property
    def upstreams(self) -> dict[str, ListedUpstream]:
        """Upstreams by id, including those that are leaving."""
        return self._upstreams.by_id

    @property
    def said_leaving_count(self) -> int:
        """Number of upstreams that said that they are leaving, but are registered as ready."""
        return self._upstreams.leaving.said_count

    @property
    def reported_leaving_count(self) -> int:
        """Number of upstreams that are leaving only by reports of other gateways."""
        return self._upstreams.leaving.reported_count

    @property
    def members(self) -> dict[str, GatewayMember]:
        """Registered gateways by node."""
        return self._members

    @property
    def evacuations(self) -> EvacuatedDomains:
        """The failure domains that the operators evacuate."""
        return self._evacuations

    @property
    def may_lack_evacuations(self) -> bool:
        """Whether the last snapshot was one that leaves evacuations out; only the store has all."""
        return self._may_lack_evacuations

    @property
    def change_log_bytes(self) -> int:
        """Bytes of the changes that are kept for gateways that follow this one."""
        return self._change_log.size

    async def wait_for_table(self, *, seconds: float) -> RoutingTable | None:
        """Wait for the first configuration; return ``None`` if none is known in time."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._configured.wait(), seconds)
        return self._table

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` after each update."""
        self._listeners.append(listener)

    def listen_to_returns(self, listener: Listener) -> None:
        """Call ``listener`` when the store has come back from a copy, before its snapshot is used.

        What the system wrote to the store since the copy is gone then.
        """
        self._return.listen(listener)

    def snapshot(self) -> FleetSnapshot:
        """Return all entries."""
        snapshot = self._snapshot(self._all_entries())
        return msgspec.structs.replace(snapshot, unregistered=tuple(self._pending_removals))

    def changes_since(self, revision: int) -> tuple[StoredEntry, ...] | None:
        """Return the changes after a revision, or ``None`` if they are no longer known."""
        return self._change_log.since(revision)

    def registered_snapshot(self) -> FleetSnapshot:
        """Return all entries but those of upstreams whose removal is only delayed."""
        entries = (
            entry for entry in self._all_entries() if entry.key not in self._pending_removals
        )
        return self._snapshot(entries)

    def install(
        self,
        snapshot: FleetSnapshot,
        *,
        now: float,
        removal_delay: float = 0.0,
        source: str = STORE,
    ) -> bool:
        """Apply a snapshot unless it is older than the state; return whether it was applied.

        Entries that it lacks are removed; upstreams that aren't draining only after
        ``removal_delay`` seconds. ``source`` is where it came from: `STORE`, or the control address
        of a gateway. A snapshot of a newer era replaces all that is known; what it lacks may be
        written again.
        """
        if snapshot.revision < self._revision:
            logger.bind(
                event="older_snapshot",
                revision=number_of(snapshot.revision),
                era=era_of(snapshot.revision),
                known=number_of(self._revision),
                known_era=era_of(self._revision),
                source=source,
            ).info("dropped a snapshot that is older than what is known")
            return False
        if self._revision and era_of(snapshot.revision) > era_of(self._revision):
            removal_delay = max(removal_delay, self._returned_within)
            self._enter_era(snapshot.revision, source=source)
        elif not self._revision:
            self._return.begin(snapshot.revision)
        self._return.withhold_outdated(snapshot, now=now)
        unregistered = frozenset(snapshot.unregistered)
        if unregistered:
            removal_delay = max(removal_delay, self._returned_within)
        present = {entry.key for entry in snapshot.entries} - unregistered
        for entry in snapshot.entries:
            if entry.key in present or entry.key not in self._entries:
                self._install(entry, now=now, source=source)
        self._may_lack_evacuations = not snapshot.covers_evacuations
        for key in dict.fromkeys(entry.key for entry in self._all_entries()):
            if key in present or self._known_revision(key) > snapshot.revision:
                continue
            if self._may_lack_evacuations and self._documents.classify_key(key)[0] == EVACUATION:
                continue
            removed = StoredEntry(key=key, value=None, mod_revision=snapshot.revision)
            self._remove(removed, now=now, removal_delay=removal_delay, source=source)
        self._revision = snapshot.revision
        self._change_log.restart(snapshot.revision)
        self._notify()
        return True

    def apply_changes(
        self,
        entries: tuple[StoredEntry, ...],
        *,
        revision: int,
        now: float,
        removal_delay: float = 0.0,
        source: str = STORE,
    ) -> None:
        """Apply all changes up to a revision; the rest is as for `install`."""
        if era_of(revision) != era_of(self._revision):
            # Only a snapshot leads from one era into another.
            return
        self._change_log.append(entries, above=self._revision)
        # Changes up to the revision reached are known: one of a removed key must not bring it back.
        new = [entry for entry in entries if entry.mod_revision > self._revision]
        for entry in new:
            if entry.value is not None:
                self._install(entry, now=now, source=source)
            elif self._known_revision(entry.key) < entry.mod_revision:
                self._remove(entry, now=now, removal_delay=removal_delay, source=source)
        self._revision = max(self._revision, revision)
        if new:
            self._notify()

    def has_said_leaving(self, upstream: str) -> bool:
        """Whether an upstream that is registered as ready said that it is leaving."""
        return self._upstreams.leaving.has_said_so(upstream)

    def is_only_reported_leaving(self, upstream: str) -> bool:
        """Whether an upstream is leaving only by reports of other gateways."""
        return self._upstreams.leaving.is_only_reported(upstream)

    def accepting(self, upstreams: Sequence[ListedUpstream]) -> list[ListedUpstream]:
        """Return the upstreams of a service, of all those listed, that may get new requests."""
        return self._upstreams.accepting(upstreams)

    def record_leaving(self, upstream: ListedUpstream) -> bool:
        """Record that an upstream, as listed when it got a request, said that it is leaving.

        Return whether neither its entry nor a response said so before.
        """
        return self._upstreams.record_leaving(upstream)

    def record_reported_leaving(
        self, id: str, *, born: int, revision: int, peer: str, now: float
    ) -> None:
        """Record another gateway's report that an upstream said that it is leaving."""
        self._upstreams.record_reported_leaving(
            id, born=born, revision=revision, peer=peer, now=now
        )

    def drop_expired_reports(self, *, now: float) -> None:
        """Use the upstreams again of which other gateways no longer report that they leave."""
        self._upstreams.drop_expired_reports(now=now)

    def remove_expired(self, *, now: float) -> None:
        """Remove upstreams that weren't registered again within the removal delay.

        Entries that were held back for long are used.
        """
        released = self._upstreams.take_held(now=now)
        for entry in released:
            self._install(entry, now=now, source=STORE)
        expired = [key for key, until in self._pending_removals.items() if until <= now]
        for key in expired:
            removed = StoredEntry(key=key, value=None, mod_revision=self._revision)
            self._remove(removed, now=now, removal_delay=0.0, source=STORE)
        if expired or released:
            self._notify()

    def _all_entries(self) -> list[StoredEntry]:
        """Return the entries in use, then those held back, which have later revisions."""
        return [*self._entries.values(), *self._upstreams.held_entries]

    def _known_revision(self, key: str) -> int:
        entry = self._entries.get(key)
        revision = 0 if entry is None else entry.mod_revision
        kind, name = self._documents.classify_key(key)
        return max(revision, self._upstreams.held_revision(name)) if kind == UPSTREAM else revision

    def _enter_era(self, revision: int, *, source: str) -> None:
        """Prepare the state for the first snapshot of a store that came back from a copy."""
        self._return.record_return(revision, known=self._revision, source=source)
        oldest = carried_over(era_of(revision))
        for key, entry in self._entries.items():
            self._entries[key] = msgspec.structs.replace(entry, mod_revision=oldest)
        self._upstreams.keep_leaving()

    def _install(self, entry: StoredEntry, *, now: float, source: str) -> None:
        if self._return.is_withheld(entry):
            return
        self._pending_removals.pop(entry.key, None)
        if self._known_revision(entry.key) >= entry.mod_revision:
            return
        kind, name = self._documents.classify_key(entry.key)
        if kind is None:
            return
        log = logger.bind(
            event="bad_document", key=entry.key, revision=number_of(entry.mod_revision)
        )
        try:
            if kind == UPSTREAM:
                registered = self._documents.upstream(name, entry.value or b"")
                if self._upstreams.hold_back(registered, entry, now=now, source=source):
                    return
                self._upstreams.register(registered, revision=entry.mod_revision, source=source)
            else:
                self._decode(kind, name, entry, source=source)
        except InvalidDocument as error:
            log.warning("{}", error.message)
            self._drop_invalid(kind, name)
        except Exception:
            # One entry must not keep the others from being applied.
            log.exception("unexpected error while decoding a stored entry")
            self._drop_invalid(kind, name)
        self._entries[entry.key] = entry
        self._return.record_entry(entry.key)

    def _drop_invalid(self, kind: str, name: str) -> None:
        """Drop an upstream whose entry is invalid; an invalid configuration replaces no other."""
        if kind == UPSTREAM:
            self._upstreams.drop(name)

    def _decode(self, kind: str, name: str, entry: StoredEntry, *, source: str) -> None:
        value = entry.value or b""
        if kind == CONFIGURATION:
            table = self._documents.configuration(value)
            for fault in table.faults:
                logger.bind(event="bad_part", version=table.version).warning(
                    "a part of the configuration can't be read and is left out: {}", fault
                )
            table.adopt_bounds(self._table)
            for service in table.adopt_engines(self._table):
                logger.bind(event="bad_engine", service=service.name).warning(
                    "the performance of a service's engines can't be read: {}", service.engine_error
                )
            self._table, self._configuration_revision = table, entry.mod_revision
            self._configured.set()
            logger.bind(
                event="configuration",
                version=table.version,
                revision=number_of(entry.mod_revision),
                source=source,
            ).info("applied a configuration")
        elif kind == EVACUATION:
            if self._evacuations.begin(name, revision=entry.mod_revision):
                _log_evacuation("evacuation_began", name, entry.mod_revision, source)
        else:
            self._members[name] = self._documents.member(value)

    def _snapshot(self, entries: Iterable[StoredEntry]) -> FleetSnapshot:
        return FleetSnapshot(
            revision=self._revision,
            entries=tuple(entries),
            covers_evacuations=not self._may_lack_evacuations,
        )

    def _remove(
        self, removed: StoredEntry, *, now: float, removal_delay: float, source: str
    ) -> None:
        kind, name = self._documents.classify_key(removed.key)
        if kind == CONFIGURATION:
            # Operators never delete the configuration, so its absence is a fault of the store.
            return
        if kind == UPSTREAM:
            self._remove_upstream(removed, name, now=now, removal_delay=removal_delay)
            return
        is_lost_in_return = self._return.is_carried_over(removed.key)
        if removal_delay and (kind == MEMBER or (kind == EVACUATION and is_lost_in_return)):
            # A short list would let each gateway take the others' share of what they divide, and an
            # evacuation that the copy lacks is written again.
            self._pending_removals.setdefault(removed.key, now + removal_delay)
            return
        self._pending_removals.pop(removed.key, None)
        self._entries.pop(removed.key, None)
        if kind == MEMBER:
            self._members.pop(name, None)
        elif kind == EVACUATION and self._evacuations.end(
            name, revision=removed.mod_revision, now=now
        ):
            _log_evacuation("evacuation_ended", name, removed.mod_revision, source)

    def _remove_upstream(
        self, removed: StoredEntry, name: str, *, now: float, removal_delay: float
    ) -> None:
        key = removed.key
        is_leaving = self._upstreams.is_registered_leaving(name)
        if name in self._upstreams.by_id and removal_delay and not is_leaving:
            self._pending_removals.setdefault(key, now + removal_delay)
            return
        self._pending_removals.pop(key, None)
        self._entries.pop(key, None)
        self._upstreams.remove(name, now=now)
        self._return.record_removal(removed, now=now)

    def _notify(self) -> None:
        for listener in self._listeners:
            try:
                listener()
            except Exception:
                logger.bind(event="listener_failed").exception(
                    "a listener failed after an update of the state"
                )


def _log_evacuation(event: str, domain: str, revision: int, source: str) -> None:
    logger.bind(event=event, domain=domain, revision=number_of(revision), source=source).info(
        "the operators changed the evacuation of a failure domain"
    )
