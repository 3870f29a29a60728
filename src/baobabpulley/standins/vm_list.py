"""The platform's VM list: what is put into it shows after a lag."""

from __future__ import annotations

from typing import Any
from typing import final

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application
from tornado.web import RequestHandler

from baobabpulley.adapters.addresses import split_address
from baobabpulley.model.upstreams import Vm
from baobabpulley.standins.faults import Faults
from baobabpulley.standins.faults import FaultsHandler
from baobabpulley.timers import TimerService


@final
class VmListStandin:
    """``PUT /vms`` sets the rows, ``GET /vms`` shows them ``lag`` model seconds later."""

    __slots__ = ("_address", "_lag", "_server", "_shown", "_timers", "faults")

    def __init__(self, *, address: str, lag: float, timers: TimerService) -> None:
        self._address = address
        self._lag = lag
        self._timers = timers
        self._shown: tuple[Vm, ...] = ()
        self._server: HTTPServer | None = None
        self.faults = Faults(timers)

    @property
    def shown(self) -> tuple[Vm, ...]:
        """Rows that readers get at present."""
        return self._shown

    def start(self) -> None:
        """Listen; the event loop must run."""
        routes: list[Any] = [
            (r"/vms", _VmsHandler, {"vm_list": self}),
            (r"/faults", FaultsHandler, {"faults": self.faults}),
        ]
        self._server = HTTPServer(Application(routes))
        host, port = split_address(self._address)
        self._server.listen(port, host)

    def set_rows(self, rows: tuple[Vm, ...]) -> None:
        """Show rows at once the first time, and after the lag from then on."""
        if self._shown:
            self._timers.after(self._lag, lambda: self._show(rows), name="lag")
        else:
            self._show(rows)

    def _show(self, rows: tuple[Vm, ...]) -> None:
        self._shown = rows


class _VmsHandler(RequestHandler):
    def initialize(self, vm_list: VmListStandin) -> None:
        self._vm_list = vm_list

    def get(self) -> None:
        if self._vm_list.faults.down:
            self.set_status(503)
            self.finish({})
            return
        self.finish(msgspec.json.encode(self._vm_list.shown))

    def put(self) -> None:
        self._vm_list.set_rows(msgspec.json.decode(self.request.body, type=tuple[Vm, ...]))
        self.finish({})
