"""The fleet as known to a process: settings, upstreams, load reports and entry VMs."""

from __future__ import annotations

import secrets
from typing import final

import msgspec

from baobabpulley.model.messages import AgedLoad
from baobabpulley.model.messages import FleetStateRequest
from baobabpulley.model.messages import FleetStateResponse
from baobabpulley.model.messages import LeavingUpstream
from baobabpulley.model.settings_state import Alarm
from baobabpulley.model.settings_state import SettingsState
from baobabpulley.model.upstreams import LEAVING
from baobabpulley.model.upstreams import LIVE
from baobabpulley.model.upstreams import LoadReport
from baobabpulley.model.upstreams import Upstream
from baobabpulley.model.upstreams import Vm


@final
class TimedLoad:
    """A load report with the time of its measurement on this process's clock.

    ``version`` numbers the reports of a `FleetView` in the order of their arrival.
    """

    __slots__ = ("measured_at", "report", "version")

    def __init__(self, *, report: LoadReport, measured_at: float, version: int = 0) -> None:
        self.report = report
        self.measured_at = measured_at
        self.version = version


@final
class FleetView:
    """The state of one failure domain as last reported to this process."""

    __slots__ = (
        "_entry_vms",
        "_failure_domain",
        "_has_vm_list",
        "_keepers",
        "_last_reply",
        "_leaving",
        "_live_keepers",
        "_loads",
        "_loads_version",
        "_origin",
        "_settings_state",
        "_upstreams",
        "_vms_version",
    )

    def __init__(self, *, failure_domain: str, alarm: Alarm | None = None) -> None:
        self._origin = secrets.token_hex(4)
        self._failure_domain = failure_domain
        self._settings_state = SettingsState(alarm=alarm)
        self._has_vm_list = False
        self._upstreams: dict[str, Upstream] = {}
        self._loads: dict[str, TimedLoad] = {}
        self._entry_vms: tuple[Vm, ...] = ()
        self._keepers: tuple[Vm, ...] = ()
        self._leaving: dict[str, str] = {}
        self._live_keepers: tuple[str, ...] = ()
        self._loads_version = 0
        self._vms_version = 0
        self._last_reply: FleetStateResponse | None = None

    @property
    def failure_domain(self) -> str:
        """The failure domain that this process belongs to."""
        return self._failure_domain

    @property
    def settings_state(self) -> SettingsState:
        """The settings in force."""
        return self._settings_state

    @property
    def ready(self) -> bool:
        """Whether settings and the VM list have arrived."""
        return self._settings_state.revision > 0 and self.has_vm_list

    @property
    def has_vm_list(self) -> bool:
        """Whether the VM list has arrived, from the platform or from a keeper."""
        return self._has_vm_list

    @property
    def upstreams(self) -> dict[str, Upstream]:
        """Upstreams of this failure domain by id."""
        return self._upstreams

    @property
    def loads(self) -> dict[str, TimedLoad]:
        """The newest load report of each upstream, by upstream id."""
        return self._loads

    @property
    def entry_vms(self) -> tuple[Vm, ...]:
        """Entry VMs of all failure domains."""
        return self._entry_vms

    @property
    def keepers(self) -> tuple[Vm, ...]:
        """Entry VMs of this failure domain, sorted by id; ``address`` is that of the keeper."""
        return self._keepers

    @property
    def live_keepers(self) -> tuple[Vm, ...]:
        """Entry VMs of this failure domain whose keepers are alive, sorted by id."""
        return tuple(vm for vm in self.keepers if vm.id in self._live_keepers)

    @property
    def leaving(self) -> tuple[LeavingUpstream, ...]:
        """Upstreams that are draining, as reported by themselves or by a peer."""
        items = sorted(self._leaving.items())
        return tuple(
            LeavingUpstream(upstream=id, incarnation=incarnation) for id, incarnation in items
        )

    def set_live_keepers(self, ids: tuple[str, ...]) -> None:
        """Set the ids of the entry VMs of this failure domain whose keepers are alive."""
        self._live_keepers = ids

    def set_vms(self, vms: tuple[Vm, ...]) -> None:
        """Install the platform's VM list."""
        self._has_vm_list = True
        entry_vms = tuple(vm for vm in vms if vm.role == "entry")
        upstreams = {
            vm.id: Upstream(
                id=vm.id,
                service=vm.service,
                failure_domain=vm.failure_domain,
                address=vm.address,
                state=vm.state,
            )
            for vm in vms
            if vm.role == "upstream" and vm.failure_domain == self._failure_domain
        }
        if (entry_vms, upstreams) == (self._entry_vms, self._upstreams):
            return
        self._set_entry_vms(entry_vms)
        self._set_upstreams(upstreams)
        self._vms_version += 1

    def set_load(self, report: LoadReport, *, measured_at: float) -> None:
        """Install a load report unless the installed one is newer.

        Reports are ordered by sequence within an incarnation and by time across incarnations.
        """
        current = self._loads.get(report.upstream)
        if (
            current is not None
            and current.report.incarnation == report.incarnation
            and current.report.sequence >= report.sequence
        ):
            return
        restarted = current is not None and current.report.incarnation != report.incarnation
        if current is not None and restarted and current.measured_at > measured_at:
            return
        # A restarted engine accepts work: notices of an earlier incarnation no longer apply.
        if self._leaving.get(report.upstream, report.incarnation) != report.incarnation:
            del self._leaving[report.upstream]
        if report.state == LEAVING:
            self._leaving[report.upstream] = report.incarnation
        self._loads_version += 1
        self._loads[report.upstream] = TimedLoad(
            report=report, measured_at=measured_at, version=self._loads_version
        )

    def mark_leaving(self, upstream: str, *, incarnation: str = "") -> None:
        """Record that an upstream is draining, as reported by itself or by a peer.

        ``incarnation`` defaults to that of the upstream's last load report. A notice of any other
        incarnation is ignored.
        """
        load = self._loads.get(upstream)
        current = load.report.incarnation if load is not None else ""
        if incarnation and current and incarnation != current:
            return
        self._leaving[upstream] = incarnation or current

    def accepts_work(self, upstream: Upstream) -> bool:
        """Whether an upstream may be given new work."""
        return upstream.state == LIVE and upstream.id not in self._leaving

    def live_upstreams(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that accept new work, sorted by id."""
        accepting = (
            upstream
            for upstream in self._upstreams.values()
            if upstream.service == service and self.accepts_work(upstream)
        )
        return tuple(sorted(accepting, key=lambda upstream: upstream.id))

    def apply(self, reply: FleetStateResponse, *, now: float) -> None:
        """Install the state that a keeper replied with."""
        self._settings_state.install(
            reply.settings, revision=reply.settings_revision, since=reply.settings_since
        )
        self._settings_state.raise_limits(reply.limits)
        # A keeper that has just started has no VM list and knows no live peers; the last known ones
        # stay in use.
        if reply.full and reply.vms_version:
            self._has_vm_list = True
            self._set_entry_vms(reply.entry_vms)
            self._set_upstreams({upstream.id: upstream for upstream in reply.upstreams})
        for load in reply.loads:
            self.set_load(load.report, measured_at=now - load.received_ago - load.report.age)
        for notice in reply.leaving:
            self.mark_leaving(notice.upstream, incarnation=notice.incarnation)
        if reply.live_keepers:
            self._live_keepers = reply.live_keepers
        self._last_reply = reply

    def state_request(self) -> FleetStateRequest:
        """Return a request for the state that has changed since the last reply."""
        last = self._last_reply
        return FleetStateRequest(
            settings_revision=self._settings_state.revision,
            origin=last.origin if last else "",
            vms_version=last.vms_version if last else 0,
            loads_version=last.loads_version if last else 0,
            leaving=self.leaving,
        )

    def state_response(self, request: FleetStateRequest, *, now: float) -> FleetStateResponse:
        """Return the state that is known here and new to the requesting process."""
        same_origin = request.origin == self._origin
        full = not same_origin or request.vms_version != self._vms_version
        loads_after = request.loads_version if same_origin else 0
        page = self._settings_state.page(request.settings_revision)
        return FleetStateResponse(
            settings_since=request.settings_revision,
            settings_revision=page.revision,
            settings=page.entries,
            limits=self._settings_state.limits_above_documents,
            upstreams=tuple(self._upstreams.values()) if full else (),
            loads=tuple(
                _aged_load(load, now) for load in self._loads.values() if load.version > loads_after
            ),
            entry_vms=self._entry_vms if full else (),
            origin=self._origin,
            vms_version=self._vms_version,
            loads_version=self._loads_version,
            full=full,
            leaving=self.leaving,
            live_keepers=self._live_keepers,
        )

    def _set_entry_vms(self, vms: tuple[Vm, ...]) -> None:
        self._entry_vms = vms
        own = (vm for vm in vms if vm.failure_domain == self._failure_domain)
        self._keepers = tuple(sorted(own, key=lambda vm: vm.id))

    def _set_upstreams(self, upstreams: dict[str, Upstream]) -> None:
        self._upstreams = upstreams
        self._leaving = {
            id: incarnation for id, incarnation in self._leaving.items() if id in upstreams
        }
        self._loads = {id: load for id, load in self._loads.items() if id in upstreams}


def _aged_load(load: TimedLoad, now: float) -> AgedLoad:
    return AgedLoad(
        report=load.report, received_ago=max(0.0, now - load.measured_at - load.report.age)
    )


def without_settings(reply: FleetStateResponse) -> FleetStateResponse:
    """Return the reply without settings, for a process that merges those of several peers."""
    return msgspec.structs.replace(reply, settings=(), settings_revision=0, limits={})
