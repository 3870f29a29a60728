"""A stand-in for the platform's VM list: changes become visible after a lag."""

from __future__ import annotations

from typing import final

import msgspec

from baobabpulley.model.upstreams import Vm
from baobabpulley.standins.web import Standin
from baobabpulley.standins.web import call_route
from baobabpulley.timers import TimerService


@final
class VmListStandin(Standin):
    """``PUT /vms`` sets the rows; ``GET /vms`` returns them ``lag`` model seconds later."""

    __slots__ = ("_lag", "_visible")

    def __init__(self, *, address: str, lag: float, timers: TimerService) -> None:
        super().__init__(address=address, timers=timers)
        self._lag = lag
        self._visible: tuple[Vm, ...] = ()

    def start(self) -> None:
        """Start listening; the event loop must run."""
        self.serve(call_route(r"/vms", VmListStandin.get_or_set))

    def get_or_set(self, rows: object) -> tuple[Vm, ...]:
        """Set the rows if given, without lag the first time; return the visible rows."""
        if rows:
            vms = msgspec.convert(rows, tuple[Vm, ...])
            lag = self._lag if self._visible else 0.0
            self.timers.after(lag, lambda: self._publish(vms), name="lag")
        return self._visible

    def _publish(self, rows: tuple[Vm, ...]) -> None:
        self._visible = rows
