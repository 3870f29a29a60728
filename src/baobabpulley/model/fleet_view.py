"""What a process knows of the fleet: settings, upstreams, loads and entry VMs."""

from __future__ import annotations

from typing import final

from baobabpulley.model.messages import AgedLoad
from baobabpulley.model.messages import FleetAnswer
from baobabpulley.model.settings_book import Alarm
from baobabpulley.model.settings_book import SettingsBook
from baobabpulley.model.upstreams import LEAVING
from baobabpulley.model.upstreams import LIVE
from baobabpulley.model.upstreams import LoadReport
from baobabpulley.model.upstreams import Upstream
from baobabpulley.model.upstreams import Vm


@final
class LoadView:
    """A load report and the time, on this process's clock, at which its figures were taken."""

    __slots__ = ("report", "taken")

    def __init__(self, *, report: LoadReport, taken: float) -> None:
        self.report = report
        self.taken = taken


@final
class FleetView:
    """The state of one failure domain as this process last heard it."""

    __slots__ = ("_book", "_entry_vms", "_failure_domain", "_leaving", "_loads", "_upstreams")

    def __init__(self, *, failure_domain: str, alarm: Alarm | None = None) -> None:
        self._failure_domain = failure_domain
        self._book = SettingsBook(alarm=alarm)
        self._upstreams: dict[str, Upstream] = {}
        self._loads: dict[str, LoadView] = {}
        self._entry_vms: tuple[Vm, ...] = ()
        self._leaving: set[str] = set()

    @property
    def failure_domain(self) -> str:
        """The failure domain that this process belongs to."""
        return self._failure_domain

    @property
    def book(self) -> SettingsBook:
        """Settings in force."""
        return self._book

    @property
    def ready(self) -> bool:
        """Whether settings have arrived."""
        return self._book.revision > 0

    @property
    def upstreams(self) -> dict[str, Upstream]:
        """Upstreams of this failure domain by id."""
        return self._upstreams

    @property
    def loads(self) -> dict[str, LoadView]:
        """Newest load report of each upstream."""
        return self._loads

    @property
    def entry_vms(self) -> tuple[Vm, ...]:
        """Entry VMs of all failure domains."""
        return self._entry_vms

    @property
    def keepers(self) -> tuple[Vm, ...]:
        """Entry VMs of this failure domain, sorted by id; their address is the keeper's."""
        own = (vm for vm in self._entry_vms if vm.failure_domain == self._failure_domain)
        return tuple(sorted(own, key=lambda vm: vm.id))

    def set_vms(self, rows: tuple[Vm, ...]) -> None:
        """Take over the platform's VM list."""
        self._entry_vms = tuple(vm for vm in rows if vm.role == "entry")
        self._upstreams = {
            vm.id: Upstream(
                id=vm.id,
                service=vm.service,
                failure_domain=vm.failure_domain,
                address=vm.address,
                state=vm.state,
            )
            for vm in rows
            if vm.role == "upstream" and vm.failure_domain == self._failure_domain
        }
        self._leaving &= set(self._upstreams)

    def set_load(self, report: LoadReport, *, taken: float) -> None:
        """Take over a load report unless a newer one of the same incarnation is held."""
        held = self._loads.get(report.upstream)
        if (
            held is not None
            and held.report.incarnation == report.incarnation
            and held.report.sequence >= report.sequence
        ):
            return
        if held is not None and held.report.incarnation != report.incarnation:
            # A restarted engine starts anew; whatever its predecessor said no longer holds.
            self._leaving.discard(report.upstream)
            if held.taken > taken:
                return
        if report.state == LEAVING:
            self._leaving.add(report.upstream)
        self._loads[report.upstream] = LoadView(report=report, taken=taken)

    def mark_leaving(self, upstream: str) -> None:
        """Note that an upstream said itself, or through a peer, that it leaves."""
        self._leaving.add(upstream)

    def takes_work(self, upstream: Upstream) -> bool:
        """Whether an upstream may get new work."""
        return upstream.state == LIVE and upstream.id not in self._leaving

    def live(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that take new work, sorted by id."""
        found = (
            upstream
            for upstream in self._upstreams.values()
            if upstream.service == service and self.takes_work(upstream)
        )
        return tuple(sorted(found, key=lambda upstream: upstream.id))

    def apply(self, answer: FleetAnswer, *, now: float) -> None:
        """Take over what a keeper knows."""
        self._book.install(
            answer.settings, revision=answer.settings_revision, since=answer.settings_since
        )
        self._book.raise_limits(answer.limits)
        self._entry_vms = answer.entry_vms
        self._upstreams = {upstream.id: upstream for upstream in answer.upstreams}
        self._leaving &= set(self._upstreams)
        for load in answer.loads:
            self.set_load(load.report, taken=now - load.held - load.report.age)

    def describe(self, *, settings_revision: int, now: float) -> FleetAnswer:
        """Return what this process knows, for another one."""
        page = self._book.page(settings_revision)
        return FleetAnswer(
            settings_since=settings_revision,
            settings_revision=page.revision,
            settings=page.entries,
            limits=self._book.limits_beyond_entries,
            upstreams=tuple(self._upstreams.values()),
            loads=tuple(_aged(load, now) for load in self._loads.values()),
            entry_vms=self._entry_vms,
        )


def _aged(load: LoadView, now: float) -> AgedLoad:
    return AgedLoad(report=load.report, held=max(0.0, now - load.taken - load.report.age))
