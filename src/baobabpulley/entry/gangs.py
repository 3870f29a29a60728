"""Run prompts that need the memory of several engines.

Such a group of engines is a gang: each member prefills one chunk of the prompt, and the last one
generates the completion.
"""

from __future__ import annotations

import contextlib
import secrets
from collections.abc import AsyncIterator
from typing import Final
from typing import final

from baobabpulley.adapters.metrics import EntryMetrics
from baobabpulley.entry.delivery import CompletionProgress
from baobabpulley.entry.gang_acquire import GangAcquirer
from baobabpulley.entry.gang_acquire import GangPlan
from baobabpulley.entry.gang_run import GangFailed
from baobabpulley.entry.gang_run import GangRun
from baobabpulley.entry.hold_renewal import HoldRenewal
from baobabpulley.entry.reservations import EntryReservations
from baobabpulley.errors import DeadlineBeforeStart
from baobabpulley.errors import DeadlineExceeded
from baobabpulley.errors import NoUpstream
from baobabpulley.errors import UnknownModel
from baobabpulley.errors import UpstreamLost
from baobabpulley.model.decisions import DecisionRecord
from baobabpulley.model.decisions import Detail
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.requests import CompletionEvent
from baobabpulley.model.requests import CompletionRequest
from baobabpulley.policy.gangs import members_needed
from baobabpulley.policy.gangs import split_prompt
from baobabpulley.policy.lanes import LanesSection
from baobabpulley.ports.engine import Engine
from baobabpulley.ports.gangs import GangRunner
from baobabpulley.timers import TimerService

# Time before the deadline that is left for decoding after the prefill.
DECODE_RESERVE_SECONDS: Final = 2.0


@final
class EntryGangRunner(GangRunner):
    """Split prompts, acquire gangs and run them; start over on other engines if a gang fails."""

    __slots__ = (
        "_acquirer",
        "_engine",
        "_holds",
        "_lanes",
        "_metrics",
        "_reservations",
        "_timers",
        "_view",
    )

    def __init__(
        self,
        *,
        engine: Engine,
        view: FleetView,
        reservations: EntryReservations,
        acquirer: GangAcquirer,
        holds: HoldRenewal,
        lanes: LanesSection,
        metrics: EntryMetrics,
        timers: TimerService,
    ) -> None:
        self._engine = engine
        self._view = view
        self._reservations = reservations
        self._acquirer = acquirer
        self._holds = holds
        self._lanes = lanes
        self._metrics = metrics
        self._timers = timers

    async def run(
        self, request: CompletionRequest, record: DecisionRecord
    ) -> AsyncIterator[CompletionEvent]:
        progress = CompletionProgress(
            max_tokens=request.max_tokens, offset=request.offset, delivered=request.delivered
        )
        started = False
        try:
            while True:
                plan = self._plan(request)
                run = await self._acquire(request, record, plan, progress)
                started = True
                try:
                    async with (
                        self._timers.timeout(request.deadline - self._timers.now()),
                        contextlib.aclosing(run.events()) as events,
                    ):
                        async for event in events:
                            yield event
                    return
                except GangFailed as failure:
                    self._add_step(request, record, "gang broken", why=str(failure))
                finally:
                    run.release()
        except TimeoutError:
            raise DeadlineExceeded(f"the deadline passed after {progress.offset} tokens") from None
        except DeadlineBeforeStart as error:
            if not started:
                raise
            raise DeadlineExceeded(error.message) from error
        except NoUpstream as error:
            if not started:
                raise
            raise UpstreamLost(
                f"engines were lost while the gang was running: {error.message}"
            ) from error

    async def _acquire(
        self,
        request: CompletionRequest,
        record: DecisionRecord,
        plan: GangPlan,
        progress: CompletionProgress,
    ) -> GangRun:
        self._add_step(request, record, "gang", members=len(plan.needs))
        members = await self._acquirer.acquire(plan)
        names = ",".join(member.id for member in members)
        self._add_step(request, record, "gang acquired", members=names)
        return GangRun(
            request=request,
            split=split_prompt(request.prompt, len(members)),
            plan=plan,
            members=members,
            progress=progress,
            add_step=lambda what, **detail: self._add_step(request, record, what, **detail),
            engine=self._engine,
            acquirer=self._acquirer,
            reservations=self._reservations,
            holds=self._holds,
            metrics=self._metrics,
            timers=self._timers,
        )

    def _plan(self, request: CompletionRequest) -> GangPlan:
        """Return the memory needs of a prompt; raise `TooFewEngines` if all engines lack room."""
        document = self._view.settings_state.models.get(request.model)
        if document is None:
            raise UnknownModel(f"unknown model {request.model!r}")
        candidates = self._acquirer.all_candidates(document.service, request.model)
        count = members_needed(
            tokens=request.total_tokens, share=self._lanes.engine_share, candidates=candidates
        )
        split = split_prompt(request.prompt, count)
        needs = [split.tokens(index) for index in range(count)]
        needs[-1] += request.max_tokens
        rate = min(candidate.prefill_rate for candidate in candidates)
        ideal = request.prompt_tokens / rate
        return GangPlan(
            reservation=f"gang-{secrets.token_hex(8)}",
            service=document.service,
            model=request.model,
            needs=tuple(needs),
            ideal=ideal,
            arrived=request.arrived,
            give_up_at=request.deadline - ideal - DECODE_RESERVE_SECONDS,
        )

    def _add_step(
        self,
        request: CompletionRequest,
        record: DecisionRecord,
        what: str,
        **detail: Detail,
    ) -> None:
        record.add_step(what, at=self._timers.now() - request.arrived, **detail)
