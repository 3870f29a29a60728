"""Messages between entries and keepers that carry the state of the fleet."""

from __future__ import annotations

import msgspec

from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.limits import Limit
from baobabpulley.model.upstreams import LoadReport
from baobabpulley.model.upstreams import Upstream
from baobabpulley.model.upstreams import Vm
from baobabpulley.ports.peers import peer_message


class LeavingUpstream(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that takes no new work any more; a later incarnation takes work again."""

    upstream: str
    incarnation: str


@peer_message("fleet.question")
class FleetStateRequest(msgspec.Struct, frozen=True):
    """Ask for the fleet's state; settings only past ``settings_revision``.

    ``origin``, ``vms_version`` and ``loads_version`` repeat what the last answer said, so that
    the next one can leave out what has not changed. ``leaving`` is what the asker has found out.
    """

    settings_revision: int
    origin: str = ""
    vms_version: int = 0
    loads_version: int = 0
    leaving: tuple[LeavingUpstream, ...] = ()


class AgedLoad(msgspec.Struct, frozen=True):
    """A load report and the model seconds since the keeper got it."""

    report: LoadReport
    held: float


@peer_message("fleet.answer")
class FleetStateResponse(msgspec.Struct, frozen=True):
    """What a keeper knows.

    The settings are complete from ``settings_since`` to ``settings_revision``. ``limits`` are
    those in force beyond the stored documents; limits never shrink.

    Without ``whole`` the lists of upstreams and VMs are those of the last answer, and ``loads``
    are those that changed. ``live_keepers`` are the ids of the live entry VMs of the keeper's
    failure domain.
    """

    settings_revision: int
    settings: tuple[StoredEntry, ...]
    limits: dict[str, Limit]
    upstreams: tuple[Upstream, ...]
    loads: tuple[AgedLoad, ...]
    entry_vms: tuple[Vm, ...]
    settings_since: int = 0
    origin: str = ""
    vms_version: int = 0
    loads_version: int = 0
    whole: bool = True
    leaving: tuple[LeavingUpstream, ...] = ()
    live_keepers: tuple[str, ...] = ()


@peer_message("done")
class Acknowledgement(msgspec.Struct, frozen=True):
    """The answer to a message that needs no other."""


@peer_message("cache.news")
class CacheDelta(msgspec.Struct, frozen=True, array_like=True):
    """Prefix blocks that an engine stored or evicted, for the entries of a failure domain.

    ``gap`` says that news of this upstream before this one was lost. Blocks are chained 64-bit
    hashes.
    """

    upstream: str
    incarnation: str
    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    gap: bool = False


class CompactLoad(msgspec.Struct, frozen=True, array_like=True):
    """A load report in few bytes; ``age`` is in milliseconds, rates in whole tokens a second."""

    upstream: str
    incarnation: str
    sequence: int
    queued: int
    queued_high: int
    running: int
    long_prefills: int
    memory_total: int
    memory_held: int
    prefill_rate: int
    models: tuple[str, ...]
    state: str
    age: int


class LoadDelta(msgspec.Struct, frozen=True, array_like=True):
    """What changed in a load since its sender last gave it whole; ``age`` is in milliseconds."""

    upstream: str
    sequence: int
    queued: int
    queued_high: int
    running: int
    long_prefills: int
    memory_held: int
    age: int


@peer_message("heartbeat")
class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A keeper's sign of life and, in the same failure domain, what it has collected.

    The answer to a heartbeat is the other keeper's. ``headroom`` is the free engine memory of
    the failure domain in tokens. Between failure domains ``live`` names the sender's live
    keepers, and loads and cache news stay empty. ``stopping`` says that the sender shuts down
    and is to be taken for gone.
    """

    vm: str
    failure_domain: str
    incarnation: str
    applied_revision: int
    headroom: int = 0
    live: tuple[str, ...] = ()
    leaving: tuple[LeavingUpstream, ...] = ()
    loads: tuple[CompactLoad, ...] = ()
    news: tuple[CacheDelta, ...] = ()
    changes: tuple[LoadDelta, ...] = ()
    stopping: bool = False


class OrderDecision(msgspec.Struct, frozen=True):
    """One decision of the keeper that gives orders; ``at`` is wall-clock seconds."""

    at: float
    what: str
    upstream: str = ""
    model: str = ""
    version: str = ""
    order: str = ""
    fence: int = 0
    reason: str = ""


@peer_message("tender.explain")
class OrderDecisionsRequest(msgspec.Struct, frozen=True):
    """Ask a keeper for its latest decisions on orders, of one upstream or of all."""

    upstream: str = ""
    limit: int = 100


@peer_message("tender.explained")
class OrderDecisionsResponse(msgspec.Struct, frozen=True):
    """The decisions, oldest first; ``holds`` says whether this keeper gives orders now."""

    vm: str
    failure_domain: str
    holds: bool
    fence: int
    decisions: tuple[OrderDecision, ...]
