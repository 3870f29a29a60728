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
    """An upstream that is draining; a later incarnation of it accepts work again."""

    upstream: str
    incarnation: str


@peer_message("fleet.question")
class FleetStateRequest(msgspec.Struct, frozen=True):
    """Request the state of the fleet, with settings later than ``settings_revision``.

    ``origin``, ``vms_version`` and ``loads_version`` are those of the last response, so that the
    next one can omit what hasn't changed. ``leaving`` lists the draining upstreams that the
    requester knows of.
    """

    settings_revision: int
    origin: str = ""
    vms_version: int = 0
    loads_version: int = 0
    leaving: tuple[LeavingUpstream, ...] = ()


class AgedLoad(msgspec.Struct, frozen=True):
    """A load report and the model seconds since the keeper received it."""

    report: LoadReport
    received_ago: float = msgspec.field(name="held")


@peer_message("fleet.answer")
class FleetStateResponse(msgspec.Struct, frozen=True):
    """State of the fleet as a keeper knows it.

    The settings contain every change after ``settings_since`` up to ``settings_revision``.
    ``limits`` are the team limits in force above those of the stored documents; a limit is never
    lowered.

    ``origin`` identifies the process that ``vms_version`` and ``loads_version`` belong to. If
    ``full`` is false, ``upstreams`` and ``entry_vms`` are empty because they haven't changed
    since the last response, and ``loads`` holds only the loads that have. ``live_keepers`` are
    the ids of the live entry VMs of the keeper's failure domain.
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
    full: bool = msgspec.field(default=True, name="whole")
    leaving: tuple[LeavingUpstream, ...] = ()
    live_keepers: tuple[str, ...] = ()


@peer_message("done")
class Acknowledgement(msgspec.Struct, frozen=True):
    """The reply to a message that requires no other."""


@peer_message("cache.news")
class CacheDelta(msgspec.Struct, frozen=True, array_like=True):
    """Prefix blocks that an engine stored or evicted, for the entries of a failure domain.

    ``gap`` says that earlier deltas of this upstream were lost. A block is identified by a 64-bit
    hash that covers the blocks before it too.
    """

    upstream: str
    incarnation: str
    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    gap: bool = False


class CompactLoad(msgspec.Struct, frozen=True, array_like=True):
    """Compact form of a load report.

    ``age`` is in milliseconds, ``prefill_rate`` in whole tokens per second.
    """

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
    """The changing fields of a load whose `CompactLoad` the receiver already has.

    ``age`` is in milliseconds.
    """

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
    """A keeper's heartbeat and, within a failure domain, the loads that it has collected.

    The reply to a heartbeat is the receiver's own heartbeat. ``headroom`` is the free engine
    memory of the failure domain in tokens. ``news`` are cache deltas, ``changes`` load deltas.
    Between failure domains ``live`` lists the live keepers of the sender's failure domain, and
    loads and deltas are empty. ``stopping`` says that the sender is shutting down and counts as
    departed from now on.
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
    """One decision of the keeper that issues orders to engines.

    ``at`` is in wall-clock seconds, ``what`` the kind of decision, ``order`` the id of the order.
    """

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
    """Request a keeper's latest ``limit`` decisions on orders, for one upstream or all."""

    upstream: str = ""
    limit: int = 100


@peer_message("tender.explained")
class OrderDecisionsResponse(msgspec.Struct, frozen=True):
    """A keeper's decisions on orders, oldest first.

    ``holds`` says whether the keeper holds the lease under which orders are issued, and ``fence``
    is the fencing token of its orders.
    """

    vm: str
    failure_domain: str
    holds: bool
    fence: int
    decisions: tuple[OrderDecision, ...]
