"""Collect the VM list and the engines' loads and cache events, and report them to entries.

The engines of a failure domain are divided among its live keepers by rendezvous hashing. Each
keeper follows the event streams of its engines, and polls only engines whose stream has been
quiet. Heartbeats relay what it collects to the other keepers.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Final
from typing import cast
from typing import final

import msgspec

from baobabpulley.errors import BaobabError
from baobabpulley.errors import StoreUnavailable
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.context import KeeperPart
from baobabpulley.keeper.context import keeper_parts
from baobabpulley.keeper.membership import HeartbeatMembership
from baobabpulley.keeper.settings_relay import SettingsRelay
from baobabpulley.keeper.vm_relay import vm_relay_of
from baobabpulley.model.messages import FleetStateRequest
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.rendezvous import owner_of
from baobabpulley.ports.engine import EngineEvent
from baobabpulley.ports.engine import LoadEvent
from baobabpulley.settings import Seconds
from baobabpulley.settings import section

VM_LIST_PERIOD_SECONDS: Final = 1.0
ASSIGNMENT_PERIOD_SECONDS: Final = 0.5
RETRY_MIN_SECONDS: Final = 0.1
RETRY_MAX_SECONDS: Final = 2.0
# Lower bound for the combined load reports of a keeper's engines, even if it exceeds the budget.
MIN_REPORTS_PER_SECOND: Final = 1.0


@section("collection", "keeper")
class CollectionSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``period`` is the shortest time between two load reports of an engine.

    With many engines each reports less often, to stay within the budget for control traffic. An
    engine that has sent no event for ``quiet`` seconds is polled.
    """

    period: Seconds = 0.5
    quiet: Seconds = 2.0


@final
class FollowedEngine:
    """An engine that this keeper collects from.

    ``report_interval`` is the interval of its load reports in model seconds. ``gap`` is set if
    cache events may have been missed before the next one.
    """

    __slots__ = (
        "gap",
        "incarnation",
        "last_event_at",
        "reopen_count",
        "report_interval",
        "sequence",
        "task",
        "upstream",
    )

    def __init__(self, *, upstream: Upstream, every: float, now: float) -> None:
        self.upstream = upstream
        self.report_interval = every
        self.last_event_at = now
        self.incarnation = ""
        self.sequence = 0
        self.gap = True
        self.reopen_count = 0
        self.task: asyncio.Task[None] | None = None


@keeper_parts.register("fleet_state")
@final
class FleetStateCollector(KeeperPart):
    """Follow the engines' event streams, refresh the VM list, and reply with the fleet state."""

    __slots__ = ("_assigned", "_assignment_inputs", "_context", "_followed", "_random", "_section")

    def __init__(self, context: KeeperContext) -> None:
        self._context = context
        self._section = context.settings.get(CollectionSection)
        self._followed: dict[str, FollowedEngine] = {}
        self._assignment_inputs: _AssignmentInputs | None = None
        self._assigned: dict[str, Upstream] = {}
        self._random = random.Random(context.node.id)

    @property
    def followed(self) -> dict[str, FollowedEngine]:
        """Engines whose event streams this keeper follows, by id."""
        return self._followed

    async def start(self) -> None:
        timers = self._context.timers
        self._context.peers.register_handler(FleetStateRequest, self._handle_state_request)
        await self._refresh_vm_list()
        timers.every(VM_LIST_PERIOD_SECONDS, self._refresh_vm_list, jitter=0.2, name="vms")
        timers.every(
            ASSIGNMENT_PERIOD_SECONDS, self._assign_engines, jitter=0.2, name="engine assignment"
        )
        timers.every(
            self._section.quiet / 2, self._poll_quiet_engines, jitter=0.2, name="quiet engines"
        )

    async def stop(self) -> None:
        for id in tuple(self._followed):
            self._unfollow(id)

    @property
    def _membership(self) -> HeartbeatMembership:
        membership = self._context.membership
        assert isinstance(membership, HeartbeatMembership)
        return membership

    async def _handle_state_request(self, message: msgspec.Struct, sender: str) -> msgspec.Struct:
        del sender
        assert isinstance(message, FleetStateRequest)
        view = self._context.view
        for notice in message.leaving:
            view.mark_leaving(notice.upstream, incarnation=notice.incarnation)
        return view.state_response(message, now=self._context.timers.now())

    async def _refresh_vm_list(self) -> None:
        # The last list stays in use while the platform does not respond.
        relay = cast(SettingsRelay, self._context.parts["settings_relay"])
        with contextlib.suppress(StoreUnavailable):
            await vm_relay_of(self._context).refresh(is_watcher=relay.is_watcher)

    def _assign_engines(self) -> None:
        """Follow exactly the engines that are assigned to this keeper."""
        own = self._assigned_engines()
        reports = max(MIN_REPORTS_PER_SECOND, self._membership.share.reports)
        every = max(self._section.period, len(own) / reports)
        for id, followed in tuple(self._followed.items()):
            if own.get(id) != followed.upstream or not _is_close(followed.report_interval, every):
                self._unfollow(id)
        for id, upstream in own.items():
            if id not in self._followed:
                self._follow(upstream, every)
        self._membership.relay.set_collected(set(own))

    def _assigned_engines(self) -> dict[str, Upstream]:
        view = self._context.view
        node = self._context.node
        live = [vm.id for vm in self._context.membership.live_keepers(node.failure_domain)]
        # This keeper counts even if its VM is not in the list yet, since it serves its own entries.
        keepers = frozenset({*live, node.vm})
        services = view.settings_state.services
        engines = frozenset(name for name, service in services.items() if service.kind == "engine")
        inputs = _AssignmentInputs(upstreams=view.upstreams, keepers=keepers, engines=engines)
        if self._assignment_inputs is None or not self._assignment_inputs.equals(inputs):
            self._assignment_inputs = inputs
            self._assigned = {
                id: upstream
                for id, upstream in view.upstreams.items()
                if upstream.service in engines and owner_of(id, keepers) == node.vm
            }
        return self._assigned

    def _follow(self, upstream: Upstream, every: float) -> None:
        now = self._context.timers.now()
        followed = FollowedEngine(upstream=upstream, every=every, now=now)
        self._followed[upstream.id] = followed
        loop = asyncio.get_running_loop()
        followed.task = loop.create_task(self._follow_forever(followed), name=upstream.id)

    def _unfollow(self, id: str) -> None:
        followed = self._followed.pop(id)
        if followed.task is not None:
            followed.task.cancel()

    async def _follow_forever(self, followed: FollowedEngine) -> None:
        delay = RETRY_MIN_SECONDS
        while True:
            opened = self._context.timers.now()
            with contextlib.suppress(BaobabError):
                await self._follow_once(followed)
            # Events that the engine published while no stream was open are lost.
            followed.gap = True
            followed.reopen_count += 1
            if followed.last_event_at > opened:
                delay = RETRY_MIN_SECONDS
            await self._context.timers.sleep(self._random.uniform(0.0, delay))
            delay = min(RETRY_MAX_SECONDS, 2 * delay)

    async def _follow_once(self, followed: FollowedEngine) -> None:
        stream = self._context.engine.events(followed.upstream, every=followed.report_interval)
        async with contextlib.aclosing(stream) as events:  # type: ignore[type-var]
            async for event in events:
                self._receive(followed, event)

    def _receive(self, followed: FollowedEngine, event: EngineEvent) -> None:
        now = self._context.timers.now()
        followed.last_event_at = now
        if isinstance(event, LoadEvent):
            followed.incarnation = event.report.incarnation
            self._context.view.set_load(event.report, measured_at=now - event.report.age)
            return
        gap = followed.gap or event.sequence != followed.sequence + 1
        followed.gap = False
        followed.sequence = event.sequence
        self._membership.relay.add_cache_delta(
            followed.upstream.id, followed.incarnation, event, gap=gap
        )

    async def _poll_quiet_engines(self) -> None:
        now = self._context.timers.now()
        quiet = [
            followed.upstream
            for followed in self._followed.values()
            if now - followed.last_event_at > max(self._section.quiet, 2 * followed.report_interval)
        ]
        await asyncio.gather(*(self._poll(upstream) for upstream in quiet))

    async def _poll(self, upstream: Upstream) -> None:
        with contextlib.suppress(BaobabError):
            report = await self._context.engine.load(upstream)
            self._context.view.set_load(report, measured_at=self._context.timers.now() - report.age)


def _is_close(current: float, wanted: float) -> bool:
    """Whether a stream's report interval is close enough that it need not be reopened."""
    return 0.5 <= current / wanted <= 2.0


@final
class _AssignmentInputs:
    """Inputs of the assignment of engines to keepers."""

    __slots__ = ("_engines", "_keepers", "_upstreams")

    def __init__(
        self,
        *,
        upstreams: dict[str, Upstream],
        keepers: frozenset[str],
        engines: frozenset[str],
    ) -> None:
        self._upstreams = upstreams
        self._keepers = keepers
        self._engines = engines

    def equals(self, other: _AssignmentInputs) -> bool:
        """Whether the inputs are unchanged; the view replaces its dict when upstreams change."""
        same = (self._keepers, self._engines) == (other._keepers, other._engines)
        return same and self._upstreams is other._upstreams
