"""Decide whether a registration of an upstream is older than what is known of it.

The store may carry out a call seconds after it was sent, and a heartbeat that comes after the
report that its upstream is leaving would bring it back into use. The order of the store's revisions
doesn't tell; that of the upstream's own words does: a later start replaces an earlier one, and
within one start a higher sequence a lower one. If they can't be compared, the store's order counts,
but an upstream never takes back that it is leaving, so a registration as ready is then older.

An older registration is held back. The upstream writes a newer one with its next heartbeat or is
removed, so one that still stands after `HELD_SECONDS` is used: what was known was another writer's.
"""

from __future__ import annotations

from typing import Final
from typing import final

import msgspec

from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.servers import ListedUpstream

# Longer than upstreams serve on after they have said that they are leaving.
HELD_SECONDS: Final = 60.0


class _Held(msgspec.Struct, frozen=True):
    """An entry that is held back, ``until`` a time in monotonic seconds."""

    entry: StoredEntry
    until: float


@final
class RegistrationOrder:
    """The newest registration of each upstream by its id, and entries held back as older.

    ``now`` is in seconds of the monotonic clock.
    """

    __slots__ = ("_held", "_newest", "_removed_at")

    def __init__(self) -> None:
        self._newest: dict[str, ListedUpstream] = {}
        self._held: dict[str, _Held] = {}
        # Of upstreams in ``_newest`` that were removed, in the order of the removals.
        self._removed_at: dict[str, float] = {}

    @property
    def held(self) -> list[StoredEntry]:
        """The entries held back."""
        return [held.entry for held in self._held.values()]

    def held_entry(self, id: str) -> StoredEntry | None:
        """Return the entry of an upstream that is held back, if any."""
        held = self._held.get(id)
        return None if held is None else held.entry

    def newest(self, id: str) -> ListedUpstream | None:
        """Return the newest registration of an upstream, also for a while after its removal."""
        return self._newest.get(id)

    def is_older(self, registered: ListedUpstream) -> bool:
        """Whether a registration is older than what is known of its upstream."""
        known = self._newest.get(registered.id)
        if known is None or known.service != registered.service:
            return False
        if known.born and registered.born and known.born != registered.born:
            return registered.born < known.born
        if known.address != registered.address:
            # Within one start neither changes, so one of both is another writer's.
            return False
        if known.born == registered.born:
            before, after = known.sequence, registered.sequence
            if before is not None and after is not None:
                return after < before
        was_removed = registered.id in self._removed_at
        return known.leaving and not registered.leaving and not was_removed

    def record(self, registered: ListedUpstream) -> None:
        """Record a registration that replaces what is known of its upstream."""
        self._newest[registered.id] = registered
        self._held.pop(registered.id, None)
        self._removed_at.pop(registered.id, None)

    def hold(self, id: str, entry: StoredEntry, *, now: float) -> None:
        """Hold back an older entry in place of the one before, and no longer than that."""
        before = self._held.get(id)
        until = now + HELD_SECONDS if before is None else before.until
        self._held[id] = _Held(entry, until)

    def release(self, id: str) -> None:
        """Drop the entry of an upstream that is held back."""
        self._held.pop(id, None)

    def take_expired(self, *, now: float) -> list[StoredEntry]:
        """Return the entries that were held back for long, and forget what is known instead."""
        expired = [id for id, held in self._held.items() if held.until <= now]
        for id in expired:
            self._newest.pop(id, None)
            self._removed_at.pop(id, None)
        return [self._held.pop(id).entry for id in expired]

    def record_removal(self, id: str, *, now: float) -> None:
        """Record that an upstream was removed; its last registration is remembered for a while."""
        self._held.pop(id, None)
        if id in self._newest:
            self._removed_at.pop(id, None)
            self._removed_at[id] = now
        for other, removed_at in tuple(self._removed_at.items()):
            if now - removed_at <= HELD_SECONDS:
                break
            del self._removed_at[other]
            self._newest.pop(other, None)
