"""Engine memory and entry VMs of every failure domain, as far as this keeper knows them."""

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
    """The newest known capacity of each failure domain; the local one comes from load reports.

    Figures older than ``MAX_AGE_SECONDS`` are left out, so that no limit is committed on them.
    """

    __slots__ = ("_received", "_timers", "_view")

    def __init__(self, *, view: FleetView, timers: TimerService) -> None:
        self._view = view
        self._timers = timers
        self._received: dict[str, tuple[float, DomainCapacity]] = {}

    @property
    def domains(self) -> tuple[DomainCapacity, ...]:
        """Capacity of all failure domains with recent figures, the local one first."""
        now = self._timers.now()
        others = (
            msgspec.structs.replace(capacity, age=now - measured_at)
            for name, (measured_at, capacity) in sorted(self._received.items())
            if name != self._view.failure_domain and now - measured_at <= MAX_AGE_SECONDS
        )
        return (self.own, *others)

    @property
    def own(self) -> DomainCapacity:
        """Capacity of this keeper's own failure domain."""
        loads = self._view.loads
        memory = sum(
            loads[upstream.id].report.memory_total
            for upstream in self._view.upstreams.values()
            if self._view.accepts_work(upstream) and upstream.id in loads
        )
        live = [vm for vm in self._view.keepers if vm.state == LIVE]
        return DomainCapacity(self._view.failure_domain, memory, len(live))

    def receive(self, capacities: Iterable[DomainCapacity]) -> None:
        """Store the capacities that are newer than those known."""
        now = self._timers.now()
        for capacity in capacities:
            measured_at = now - capacity.age
            known = self._received.get(capacity.failure_domain)
            if known is None or known[0] < measured_at:
                self._received[capacity.failure_domain] = (measured_at, capacity)
