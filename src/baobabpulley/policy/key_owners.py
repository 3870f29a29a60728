"""The keys that a keeper owns, given the set of keepers over which a holder hashes.

A renewal does not list every key: it names the holder's set of keepers, normally by digest only,
and the keeper derives from it the keys that it owns by rendezvous hashing.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final
from typing import final

from xxhash import xxh3_64_intdigest

from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.reservation_messages import HolderRenewal
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.gang_queue import GANG_QUEUE_KEY
from baobabpulley.policy.memory_ledger import ReservationsSection
from baobabpulley.policy.rendezvous import owner_of
from baobabpulley.policy.team_ledger import team_key

MAX_KEEPER_SETS: Final = 64
RENEWALS_PER_SECOND: Final = 10
# If one renewal is lost, the next one still arrives within the expiry time.
MAX_RENEWAL_EXPIRY_RATIO: Final = 0.45
# Renewals of the same keeper set are not evaluated again within this fraction of the expiry time.
RECHECK_EXPIRY_RATIO: Final = 0.125


def keepers_digest(ids: Iterable[str]) -> int:
    """Return a digest of a set of keeper ids, independent of their order.

    >>> keepers_digest(["vm-1", "vm-0"]) == keepers_digest(("vm-0", "vm-1"))
    True
    """
    return xxh3_64_intdigest("\0".join(sorted(ids)).encode())


def renewal_period(section: ReservationsSection, *, keepers: int) -> float:
    """Return the interval in model seconds between two renewals of a holder.

    It grows with the number of keepers, to limit the renewals that a holder sends per second.

    >>> renewal_period(ReservationsSection(expiry=4.0, renewal=1.0), keepers=4)
    1.0
    >>> renewal_period(ReservationsSection(expiry=4.0, renewal=1.0), keepers=17)
    1.7
    """
    longest = max(section.renewal, MAX_RENEWAL_EXPIRY_RATIO * section.expiry)
    return min(longest, max(section.renewal, keepers / RENEWALS_PER_SECOND))


def renewed_keys(renewal: HolderRenewal) -> tuple[str, ...]:
    """Return the keys of the claims and team shares that a renewal reports.

    The keeper may not know some of them yet.
    """
    claims = {held.claim.upstream for held in renewal.claims}
    return (*claims, *(team_key(hold.team) for hold in renewal.teams))


@final
class KnownKeys:
    """All keys known to a process: upstreams, teams that have a limit, and the gang queue."""

    __slots__ = ("_keys", "_teams", "_upstreams", "_view")

    def __init__(self, *, view: FleetView) -> None:
        self._view = view
        self._upstreams: dict[str, Upstream] | None = None
        self._teams = 0
        self._keys: tuple[str, ...] = ()

    @property
    def keys(self) -> tuple[str, ...]:
        """The keys; the same tuple object until they change."""
        view = self._view
        # The view replaces its upstreams mapping on every change, and limits are only added.
        if view.upstreams is not self._upstreams or len(view.settings_state.limits) != self._teams:
            self._upstreams = view.upstreams
            self._teams = len(view.settings_state.limits)
            teams = (team_key(team) for team in view.settings_state.limits)
            self._keys = (*view.upstreams, *teams, GANG_QUEUE_KEY)
        return self._keys


@final
class OwnedKeys:
    """The keys that one keeper owns under each set of keepers that holders have recently used."""

    __slots__ = ("_evaluated_at", "_keeper", "_keeper_sets", "_keys", "_known", "_recheck_seconds")

    def __init__(self, *, keeper: str, expiry: float) -> None:
        self._keeper = keeper
        self._recheck_seconds = RECHECK_EXPIRY_RATIO * expiry
        self._keeper_sets: OrderedDict[int, frozenset[str]] = OrderedDict()
        self._known: tuple[str, ...] = ()
        self._keys: dict[int, tuple[str, ...]] = {}
        self._evaluated_at: dict[int, float] = {}

    def add_keepers(self, keepers: Iterable[str]) -> int:
        """Register a set of keepers and return its digest.

        The least recently used sets beyond `MAX_KEEPER_SETS` are evicted.
        """
        ids = frozenset(keepers)
        digest = keepers_digest(ids)
        self._keeper_sets[digest] = ids
        self._keeper_sets.move_to_end(digest)
        while len(self._keeper_sets) > MAX_KEEPER_SETS:
            evicted, _ = self._keeper_sets.popitem(last=False)
            self._keys.pop(evicted, None)
            self._evaluated_at.pop(evicted, None)
        return digest

    def knows(self, digest: int) -> bool:
        """Whether the set of keepers with this digest is registered."""
        return digest in self._keeper_sets

    def due_keys(self, digest: int, *, known: tuple[str, ...], now: float) -> tuple[str, ...]:
        """Return the ``known`` keys that this keeper owns under the set of keepers with ``digest``.

        Return an empty tuple if the same set was evaluated a short time ago. Pass the same
        ``known`` tuple object as long as the keys are unchanged: it is compared by identity.
        """
        if (
            now - self._evaluated_at.get(digest, float("-inf")) < self._recheck_seconds
            and known is self._known
        ):
            return ()
        if known is not self._known:
            self._known = known
            self._keys.clear()
        self._evaluated_at[digest] = now
        self._keeper_sets.move_to_end(digest)
        keys = self._keys.get(digest)
        if keys is None:
            ids = self._keeper_sets[digest]
            keys = tuple(key for key in known if owner_of(key, ids) == self._keeper)
            self._keys[digest] = keys
        return keys
