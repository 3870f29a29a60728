"""Engine memory and entry VMs of every failure domain, as far as this keeper has heard."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final
from typing import final

import msgspec

from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.settings_messages import DomainCapacity
from baobabpulley.model.upstreams import LIVE
from baobabpulley.timers import TimerService

MAX_AGE_SECONDS: Final = 30.0


@final
class CapacityTracker:
    """Keep the newest figures of each failure domain; the own one's come from load reports.

    Figures older than ``MAX_AGE_SECONDS`` do not count: no limit is committed on them.
    """

    __slots__ = ("_received", "_timers", "_view")

    def __init__(self, *, view: FleetView, timers: TimerService) -> None:
        self._view = view
        self._timers = timers
        self._received: dict[str, tuple[float, DomainCapacity]] = {}

    @property
    def domains(self) -> tuple[DomainCapacity, ...]:
        """Figures of all failure domains that are fresh enough, the own one first."""
        now = self._timers.now()
        others = (
            msgspec.structs.replace(capacity, age=now - taken)
            for name, (taken, capacity) in sorted(self._received.items())
            if name != self._view.failure_domain and now - taken <= MAX_AGE_SECONDS
        )
        return (self.own, *others)

    @property
    def own(self) -> DomainCapacity:
        """Figures of this keeper's own failure domain."""
        loads = self._view.loads
        memory = sum(
            loads[upstream.id].report.memory_total
            for upstream in self._view.upstreams.values()
            if self._view.accepts_work(upstream) and upstream.id in loads
        )
        live = [vm for vm in self._view.keepers if vm.state == LIVE]
        return DomainCapacity(self._view.failure_domain, memory, len(live))

    def receive(self, capacities: Iterable[DomainCapacity]) -> None:
        """Take over figures that are newer than those held."""
        now = self._timers.now()
        for capacity in capacities:
            taken = now - capacity.age
            held = self._received.get(capacity.failure_domain)
            if held is None or held[0] < taken:
                self._received[capacity.failure_domain] = (taken, capacity)
