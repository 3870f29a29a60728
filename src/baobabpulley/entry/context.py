"""The parts of a running entry daemon, as its HTTP handlers see them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

from baobabpulley.model.decisions import DecisionLog
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.ports.peers import Peers
from baobabpulley.settings import NodeSection
from baobabpulley.settings import Settings
from baobabpulley.timers import TimerService

if TYPE_CHECKING:
    from baobabpulley.adapters.metrics import EntryMetrics
    from baobabpulley.entry.dispatch import Dispatcher
    from baobabpulley.entry.hold_renewal import HoldRenewal
    from baobabpulley.entry.keeper_link import KeeperLink
    from baobabpulley.entry.lifecycle import Lifecycle
    from baobabpulley.entry.reservations import EntryReservations


@final
class EntryContext:
    """One entry process."""

    __slots__ = (
        "decisions",
        "dispatcher",
        "holds",
        "keeper",
        "lifecycle",
        "metrics",
        "node",
        "peers",
        "reservations",
        "settings",
        "timers",
        "view",
    )

    def __init__(
        self,
        *,
        settings: Settings,
        node: NodeSection,
        timers: TimerService,
        peers: Peers,
        view: FleetView,
        keeper: KeeperLink,
        dispatcher: Dispatcher,
        reservations: EntryReservations,
        holds: HoldRenewal,
        decisions: DecisionLog,
        metrics: EntryMetrics,
        lifecycle: Lifecycle,
    ) -> None:
        self.settings = settings
        self.node = node
        self.timers = timers
        self.peers = peers
        self.view = view
        self.keeper = keeper
        self.dispatcher = dispatcher
        self.reservations = reservations
        self.holds = holds
        self.decisions = decisions
        self.metrics = metrics
        self.lifecycle = lifecycle
