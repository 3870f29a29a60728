"""Collect the VM list and the engines' loads, and tell entries what is known."""

from __future__ import annotations

import contextlib
from typing import Final
from typing import final

import msgspec

from baobabpulley.errors import BaobabError
from baobabpulley.errors import StoreUnavailable
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.context import KeeperPart
from baobabpulley.keeper.context import keeper_parts
from baobabpulley.model.messages import FleetQuestion
from baobabpulley.model.upstreams import Upstream

VM_LIST_PERIOD: Final = 1.0
LOAD_PERIOD: Final = 0.5


@keeper_parts.register("fleet_state")
@final
class FleetState(KeeperPart):
    """Poll what the platform and the engines publish."""

    __slots__ = ("_context",)

    def __init__(self, context: KeeperContext) -> None:
        self._context = context

    async def start(self) -> None:
        self._context.peers.answer(FleetQuestion, self._describe)
        await self._read_list()
        self._context.timers.every(VM_LIST_PERIOD, self._read_list, jitter=0.2, name="vms")
        self._context.timers.every(LOAD_PERIOD, self._poll_loads, jitter=0.2, name="loads")

    async def _describe(self, message: msgspec.Struct, sender: str) -> msgspec.Struct:
        del sender
        assert isinstance(message, FleetQuestion)
        view = self._context.view
        for notice in message.leaving:
            view.mark_leaving(notice.upstream, incarnation=notice.incarnation)
        return view.describe(message, now=self._context.timers.now())

    async def _read_list(self) -> None:
        # The last list stays in force while the platform does not answer.
        with contextlib.suppress(StoreUnavailable):
            self._context.view.set_vms(await self._context.vm_list.read())

    async def _poll_loads(self) -> None:
        view = self._context.view
        for upstream in tuple(view.upstreams.values()):
            service = view.book.services.get(upstream.service)
            if service is not None and service.kind == "engine":
                await self._poll(upstream)

    async def _poll(self, upstream: Upstream) -> None:
        with contextlib.suppress(BaobabError):
            report = await self._context.engine.load(upstream)
            self._context.view.set_load(report, taken=self._context.timers.now() - report.age)
