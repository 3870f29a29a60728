"""The components of an entry process that its HTTP handlers use."""

from __future__ import annotations

from typing import final

from baobabpulley.adapters.envelope import Sealer
from baobabpulley.adapters.metrics import EntryMetrics
from baobabpulley.entry.claims import Claims
from baobabpulley.entry.dispatch import Dispatcher
from baobabpulley.entry.keeper_link import KeeperLink
from baobabpulley.entry.lifecycle import Lifecycle
from baobabpulley.entry.memory import EntryMemory
from baobabpulley.entry.resume_tokens import ResumeTokens
from baobabpulley.entry.service_caller import ServiceCaller
from baobabpulley.entry.tickets import Tickets
from baobabpulley.model.decisions import DecisionLog
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.policy.burn import BurnCounters
from baobabpulley.ports.peers import Peers
from baobabpulley.settings import NodeSection
from baobabpulley.settings import Settings
from baobabpulley.timers import TimerService


@final
class EntryContext:
    """The components of one entry process."""

    __slots__ = (
        "burn",
        "claims",
        "decisions",
        "dispatcher",
        "keeper",
        "lifecycle",
        "memory",
        "metrics",
        "node",
        "peers",
        "resume_tokens",
        "sealer",
        "services",
        "settings",
        "tickets",
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
        memory: EntryMemory,
        decisions: DecisionLog,
        metrics: EntryMetrics,
        lifecycle: Lifecycle,
        services: ServiceCaller,
        tickets: Tickets,
        claims: Claims,
        sealer: Sealer,
        burn: BurnCounters,
        resume_tokens: ResumeTokens,
    ) -> None:
        self.settings = settings
        self.node = node
        self.timers = timers
        self.peers = peers
        self.view = view
        self.keeper = keeper
        self.dispatcher = dispatcher
        self.memory = memory
        self.decisions = decisions
        self.metrics = metrics
        self.lifecycle = lifecycle
        self.services = services
        self.tickets = tickets
        self.claims = claims
        self.sealer = sealer
        self.burn = burn
        self.resume_tokens = resume_tokens
