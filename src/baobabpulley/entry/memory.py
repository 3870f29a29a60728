"""Build the components of an entry that hold engine memory: reservations, renewals, gangs."""

from __future__ import annotations

import secrets
from typing import final

from baobabpulley.adapters.metrics import EntryMetrics
from baobabpulley.entry.backpressure import EntryBackpressure
from baobabpulley.entry.gang_acquire import GangAcquirer
from baobabpulley.entry.gangs import EntryGangRunner
from baobabpulley.entry.hold_renewal import HoldRenewal
from baobabpulley.entry.owners import Owners
from baobabpulley.entry.reservations import EntryReservations
from baobabpulley.entry.reserving_engine import ReservingEngine
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.policy.lanes import LanesSection
from baobabpulley.policy.memory_ledger import ReservationsSection
from baobabpulley.ports.engine import Engine
from baobabpulley.ports.peers import Peers
from baobabpulley.settings import NodeSection
from baobabpulley.settings import Settings
from baobabpulley.timers import TimerService


@final
class EntryMemory:
    """The components of one entry that reserve, renew and release engine memory."""

    __slots__ = ("engine", "gangs", "holder", "holds", "reservations")

    def __init__(
        self,
        *,
        settings: Settings,
        engine: Engine,
        backpressure: EntryBackpressure,
        peers: Peers,
        view: FleetView,
        metrics: EntryMetrics,
        timers: TimerService,
    ) -> None:
        section = settings.get(ReservationsSection)
        lanes = settings.get(LanesSection)
        # A restarted entry must not renew the holds of the previous process.
        self.holder = f"{settings.get(NodeSection).id}.{secrets.token_hex(4)}"
        self.reservations = EntryReservations(
            holder=self.holder,
            owners=Owners(peers=peers, view=view),
            view=view,
            section=section,
            timers=timers,
        )
        self.holds = HoldRenewal(holder=self.holder, engine=engine, timers=timers)
        self.engine = ReservingEngine(
            engine=engine,
            reservations=self.reservations,
            holds=self.holds,
            short_tokens=lanes.short_tokens,
            timers=timers,
        )
        self.gangs = EntryGangRunner(
            engine=engine,
            view=view,
            reservations=self.reservations,
            acquirer=GangAcquirer(
                reservations=self.reservations,
                view=view,
                backpressure=backpressure,
                timers=timers,
                stale_load=section.stale_load,
            ),
            holds=self.holds,
            lanes=lanes,
            metrics=metrics,
            timers=timers,
        )

    def start(self) -> None:
        """Start the periodic renewals."""
        self.reservations.start()
        self.holds.start()
