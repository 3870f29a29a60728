"""Which keys a holder takes a keeper for the home of, from the keepers that it chooses from.

A holder does not list the keys: it names the keepers over which it hashes, as a rule by a digest
alone, and the home works out the rest.
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
from baobabpulley.policy.gang_queue import GANGS_KEY
from baobabpulley.policy.rendezvous import home_of
from baobabpulley.policy.reservation_book import ReservationsSection
from baobabpulley.policy.team_book import team_key

MAX_SETS: Final = 64
RENEWALS_A_SECOND: Final = 10
# A holder's second renewal after one that was lost still comes within one expiry time.
LONGEST_SHARE_OF_EXPIRY: Final = 0.45
# Part of an expiry time within which the same set of keepers is not worked through again.
REST_SHARE_OF_EXPIRY: Final = 0.125


def keepers_digest(ids: Iterable[str]) -> int:
    """Return a digest of a set of keepers.

    >>> keepers_digest(["vm-1", "vm-0"]) == keepers_digest(("vm-0", "vm-1"))
    True
    """
    return xxh3_64_intdigest("\0".join(sorted(ids)).encode())


def renewal_period(section: ReservationsSection, *, keepers: int) -> float:
    """Return the model seconds between two renewals of a holder, longer with many keepers.

    >>> renewal_period(ReservationsSection(expiry=4.0, renewal=1.0), keepers=4)
    1.0
    >>> renewal_period(ReservationsSection(expiry=4.0, renewal=1.0), keepers=17)
    1.7
    """
    longest = max(section.renewal, LONGEST_SHARE_OF_EXPIRY * section.expiry)
    return min(longest, max(section.renewal, keepers / RENEWALS_A_SECOND))


def stated_keys(renewal: HolderRenewal) -> tuple[str, ...]:
    """Return the keys of what a holder has of this home, which may know nothing of them yet."""
    claims = {held.claim.upstream for held in renewal.claims}
    return (*claims, *(team_key(hold.team) for hold in renewal.teams))


@final
class KnownKeys:
    """All keys that a process knows of: upstreams, teams with a limit, and the gangs' turn."""

    __slots__ = ("_keys", "_teams", "_upstreams", "_view")

    def __init__(self, *, view: FleetView) -> None:
        self._view = view
        self._upstreams: dict[str, Upstream] | None = None
        self._teams = 0
        self._keys: tuple[str, ...] = ()

    @property
    def keys(self) -> tuple[str, ...]:
        """The keys; the same tuple while there are no others."""
        view = self._view
        # The view replaces its upstreams when they change, and no team loses its limit.
        if view.upstreams is not self._upstreams or len(view.settings_state.limits) != self._teams:
            self._upstreams = view.upstreams
            self._teams = len(view.settings_state.limits)
            teams = (team_key(team) for team in view.settings_state.limits)
            self._keys = (*view.upstreams, *teams, GANGS_KEY)
        return self._keys


@final
class HomeKeys:
    """The keys of one keeper under each set of keepers that holders choose from of late."""

    __slots__ = ("_all", "_heard", "_keys", "_own", "_rest", "_sets")

    def __init__(self, *, own: str, expiry: float) -> None:
        self._own = own
        self._rest = REST_SHARE_OF_EXPIRY * expiry
        self._sets: OrderedDict[int, frozenset[str]] = OrderedDict()
        self._all: tuple[str, ...] = ()
        self._keys: dict[int, tuple[str, ...]] = {}
        self._heard: dict[int, float] = {}

    def learn(self, keepers: Iterable[str]) -> int:
        """Remember a set of keepers; return its digest."""
        ids = frozenset(keepers)
        digest = keepers_digest(ids)
        self._sets[digest] = ids
        self._sets.move_to_end(digest)
        while len(self._sets) > MAX_SETS:
            forgotten, _ = self._sets.popitem(last=False)
            self._keys.pop(forgotten, None)
            self._heard.pop(forgotten, None)
        return digest

    def knows(self, digest: int) -> bool:
        """Whether a digest's set has been named here."""
        return digest in self._sets

    def due(self, digest: int, *, known: tuple[str, ...], now: float) -> tuple[str, ...]:
        """Return those of the ``known`` keys whose home this keeper is under a set of keepers.

        Returns none if the same set was worked through just before. ``known`` has to be the same
        tuple while the keys do not change.
        """
        if now - self._heard.get(digest, float("-inf")) < self._rest and known is self._all:
            return ()
        if known is not self._all:
            self._all = known
            self._keys.clear()
        self._heard[digest] = now
        self._sets.move_to_end(digest)
        keys = self._keys.get(digest)
        if keys is None:
            ids = self._sets[digest]
            keys = tuple(key for key in known if home_of(key, ids) == self._own)
            self._keys[digest] = keys
        return keys
