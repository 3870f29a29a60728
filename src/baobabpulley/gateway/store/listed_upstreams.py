"""The upstreams that are registered, and which of them are leaving.

An upstream counts as leaving if its entry says so, or if it said so itself in a response to this
gateway or another; see `baobabpulley.policy.leaving_upstreams`. An entry that is older than what is
known of its upstream is held back; see `baobabpulley.policy.registration_order`.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import final

import msgspec
from loguru import logger

from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.revisions import number_of
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.leaving_upstreams import LeavingUpstreams
from baobabpulley.policy.registration_order import RegistrationOrder


@final
class ListedUpstreams:
    """Upstreams by id; ``notify`` is called when one begins to leave or is used again."""

    __slots__ = ("_by_id", "_leaving", "_notify", "_order")

    def __init__(self, *, notify: Callable[[], None]) -> None:
        self._by_id: dict[str, ListedUpstream] = {}
        self._leaving = LeavingUpstreams()
        self._order = RegistrationOrder()
        self._notify = notify

    @property
    def by_id(self) -> dict[str, ListedUpstream]:
        """Upstreams by id, including those that are leaving."""
        return self._by_id

    @property
    def leaving(self) -> LeavingUpstreams:
        """Which upstreams are leaving while registered as ready."""
        return self._leaving

    @property
    def held_entries(self) -> list[StoredEntry]:
        """The entries that are held back, as newer ones of their upstreams are known."""
        return self._order.held

    def held_revision(self, id: str) -> int:
        """Return the revision of an upstream's entry that is held back, 0 if none is."""
        entry = self._order.held_entry(id)
        return 0 if entry is None else entry.mod_revision

    def hold_back(
        self, registered: ListedUpstream, entry: StoredEntry, *, now: float, source: str
    ) -> bool:
        """Hold a registration back if it is older than what is known; return whether it is."""
        if not self._order.is_older(registered):
            return False
        self._order.hold(registered.id, entry, now=now)
        newest = self._order.newest(registered.id)
        logger.bind(
            event="older_registration",
            upstream=registered.id,
            registered_leaving=registered.leaving,
            born=registered.born,
            known_born=None if newest is None else newest.born,
            sequence=registered.sequence,
            known_sequence=None if newest is None else newest.sequence,
            revision=number_of(entry.mod_revision),
            source=source,
        ).info("held a registration back that is older than what is known of its upstream")
        return True

    def take_held(self, *, now: float) -> list[StoredEntry]:
        """Return the entries that were held back for long; they are newest from now on."""
        entries = self._order.take_expired(now=now)
        for entry in entries:
            logger.bind(
                event="older_registration_used",
                key=entry.key,
                revision=number_of(entry.mod_revision),
            ).info("a registration that was held back still stands and is used")
        return entries

    def register(self, registered: ListedUpstream, *, revision: int, source: str) -> None:
        """List an upstream as registered at a store revision; ``source`` told of it."""
        self._order.record(registered)
        upstream = msgspec.structs.replace(
            registered,
            leaving=self._leaving.is_leaving(registered, revision=revision),
            revision=revision,
        )
        previous = self._by_id.get(upstream.id)
        self._by_id[upstream.id] = upstream
        if previous is None or previous.leaving != upstream.leaving:
            logger.bind(
                event="upstream",
                upstream=upstream.id,
                service=upstream.service,
                leaving=upstream.leaving,
                registered_leaving=registered.leaving,
                born=upstream.born,
                sequence=upstream.sequence,
                revision=number_of(revision),
                source=source,
            ).info("upstream registered or changed state")

    def is_registered_leaving(self, id: str) -> bool:
        """Whether the entry of an upstream says that it is leaving."""
        upstream = self._by_id.get(id)
        return upstream is not None and upstream.leaving and id not in self._leaving

    def drop(self, id: str) -> None:
        """Take an upstream with an invalid entry off the list."""
        self._order.release(id)
        self._by_id.pop(id, None)

    def remove(self, id: str, *, now: float) -> None:
        """Take an upstream off the list, and forget that it was leaving."""
        self._leaving.forget(id)
        self._order.record_removal(id, now=now)
        if self._by_id.pop(id, None) is not None:
            logger.bind(event="upstream_gone", upstream=id).info("upstream removed")

    def keep_leaving(self) -> None:
        """Let what is known of leaving upstreams hold against their entries in a store's copy."""
        for upstream in self._by_id.values():
            if upstream.leaving and not self._leaving.is_only_reported(upstream.id):
                self._leaving.record(upstream)

    def accepting(self, upstreams: Sequence[ListedUpstream]) -> list[ListedUpstream]:
        """Return the upstreams of a service, of all those listed, that may get new requests."""
        return self._leaving.accepting(upstreams)

    def record_leaving(self, upstream: ListedUpstream) -> bool:
        """Record that an upstream, as listed when it got a request, said that it is leaving.

        Return whether neither its entry nor a response said so before.
        """
        listed = self._by_id.get(upstream.id)
        if listed is None or listed.born > upstream.born:
            return False
        if listed.leaving and not self._leaving.is_only_reported(listed.id):
            return False
        self._leaving.record(listed)
        self._begin_leaving(listed, source="response", peer=None)
        return True

    def record_reported_leaving(
        self, id: str, *, born: int, revision: int, peer: str, now: float
    ) -> None:
        """Record another gateway's report that an upstream said that it is leaving."""
        listed = self._by_id.get(id)
        if listed is None:
            return
        if not self._leaving.record_report(listed, born=born, revision=revision, now=now):
            return
        if not listed.leaving:
            self._begin_leaving(listed, source="peer", peer=peer)

    def drop_expired_reports(self, *, now: float) -> None:
        """Use the upstreams again of which other gateways no longer report that they leave."""
        expired = self._leaving.take_expired(now=now)
        for id in expired:
            listed = self._by_id.get(id)
            if listed is not None:
                self._by_id[id] = msgspec.structs.replace(listed, leaving=False)
            logger.bind(event="upstream_leaving_expired", upstream=id).info(
                "no gateway reports any more that an upstream is leaving"
            )
        if expired:
            self._notify()

    def _begin_leaving(self, listed: ListedUpstream, *, source: str, peer: str | None) -> None:
        self._by_id[listed.id] = msgspec.structs.replace(listed, leaving=True)
        logger.bind(
            event="upstream_leaving",
            upstream=listed.id,
            service=listed.service,
            born=listed.born,
            source=source,
            peer=peer,
        ).info("upstream said in a response that it is leaving")
        self._notify()
