"""One gang at work: parts one after another, the answer from the last member, repairs."""

from __future__ import annotations

import contextlib
import secrets
from collections.abc import AsyncIterator
from typing import Final
from typing import Protocol
from typing import final

from baobabpulley.adapters.metrics import EntryMetrics
from baobabpulley.entry.delivery import AnswerProgress
from baobabpulley.entry.gang_acquire import FAILED_KEPT
from baobabpulley.entry.gang_acquire import POLL
from baobabpulley.entry.gang_acquire import GangAcquirer
from baobabpulley.entry.gang_acquire import GangPlan
from baobabpulley.entry.hold_renewal import HoldRenewal
from baobabpulley.entry.reservations import EntryReservations
from baobabpulley.errors import BaobabError
from baobabpulley.errors import UpstreamImportFailed
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamRefused
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.model.requests import CompletionEvent
from baobabpulley.model.requests import CompletionRequest
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.gangs import SplitPrompt
from baobabpulley.ports.engine import PRIORITY_LONG
from baobabpulley.ports.engine import ChunkRef
from baobabpulley.ports.engine import Engine
from baobabpulley.ports.engine import EngineCall
from baobabpulley.ports.engine import PrefillCall
from baobabpulley.timers import TimerService

_FAILURES: Final = (UpstreamRefused, UpstreamUnreachable, UpstreamLost)
# Failures in a row of one step after which the gang begins anew on other engines.
MAX_FAILURES: Final = 6


class GangBroken(Exception):
    """No replacement was to be had in time; the gang gives all its memory back."""


class Note(Protocol):
    """Write a step of the decision record."""

    def __call__(self, what: str, **detail: str | int | float | bool | None) -> None: ...


class _Member:
    """An engine of the gang, and its part once that is prefilled."""

    __slots__ = ("part", "ref", "upstream")

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.part = ""
        self.ref: ChunkRef | None = None


@final
class GangRun:
    """All members are reserved; `release` gives everything back."""

    __slots__ = (
        "_acquirer",
        "_cut",
        "_engine",
        "_holds",
        "_members",
        "_metrics",
        "_note",
        "_plan",
        "_progress",
        "_request",
        "_reservations",
        "_timers",
    )

    def __init__(
        self,
        *,
        request: CompletionRequest,
        cut: SplitPrompt,
        plan: GangPlan,
        members: tuple[Upstream, ...],
        progress: AnswerProgress,
        note: Note,
        engine: Engine,
        acquirer: GangAcquirer,
        reservations: EntryReservations,
        holds: HoldRenewal,
        metrics: EntryMetrics,
        timers: TimerService,
    ) -> None:
        self._request = request
        self._cut = cut
        self._plan = plan
        self._members = [_Member(upstream) for upstream in members]
        self._progress = progress
        self._note = note
        self._engine = engine
        self._acquirer = acquirer
        self._reservations = reservations
        self._holds = holds
        self._metrics = metrics
        self._timers = timers

    async def events(self) -> AsyncIterator[CompletionEvent]:
        """Yield the answer; raise `GangBroken` if the gang has to begin anew."""
        last = len(self._members) - 1
        for index in range(last):
            await self._prefill(index)
        for _ in range(MAX_FAILURES):
            try:
                async with contextlib.aclosing(self._generate()) as events:
                    async for event in events:
                        yield event
                return
            except _FAILURES as error:
                self._note(error.code, upstream=self._members[last].upstream.id, part=last)
                await self._mend(last, error)
        raise GangBroken(f"the answer failed {MAX_FAILURES} times")

    def release(self) -> None:
        """Free the parts and give the reservation back."""
        for member in self._members:
            self._free_part(member)
        self._reservations.release_claims(
            self._plan.reservation, tuple(member.upstream.id for member in self._members)
        )

    async def _prefill(self, index: int) -> None:
        """Have a member prefill its part, on a replacement if it fails."""
        for _ in range(MAX_FAILURES):
            member = self._members[index]
            try:
                await self._attempt_part(index, member)
                return
            except _FAILURES as error:
                self._note(error.code, upstream=member.upstream.id, part=index)
                self._free_part(member)
                await self._mend(index, error)
        raise GangBroken(f"part {index} failed {MAX_FAILURES} times")

    async def _attempt_part(self, index: int, member: _Member) -> None:
        member.part = f"part-{secrets.token_hex(8)}"
        call = PrefillCall(
            part=member.part,
            request_id=self._request.request_id,
            holder=self._reservations.holder,
            model=self._request.model,
            text=self._cut.chunks[index],
            imports=self._imports(index),
            priority=PRIORITY_LONG,
            deadline=self._request.deadline - self._timers.now(),
            encoding=self._cut.encoding,
        )
        self._metrics.attempts.labels(service=member.upstream.service).inc()
        self._note("part", upstream=member.upstream.id, part=index)
        self._holds.keep(member.upstream, member.part)
        member.ref = await self._engine.prefill_chunk(member.upstream, call)

    async def _generate(self) -> AsyncIterator[CompletionEvent]:
        last = len(self._members) - 1
        upstream = self._members[last].upstream
        attempt = f"gang-{secrets.token_hex(8)}"
        call = EngineCall(
            attempt=attempt,
            request_id=self._request.request_id,
            holder=self._reservations.holder,
            model=self._request.model,
            prompt=self._cut.chunks[last],
            max_tokens=self._request.max_tokens,
            seed=self._request.seed,
            priority=PRIORITY_LONG,
            deadline=self._request.deadline - self._timers.now(),
            offset=self._progress.offset,
            delivered=self._progress.text,
            imports=self._imports(last),
            encoding=self._cut.encoding,
        )
        self._metrics.attempts.labels(service=upstream.service).inc()
        self._note("answer", upstream=upstream.id, offset=self._progress.offset)
        self._holds.keep(upstream, attempt)
        try:
            events = self._engine.complete(upstream, call)
            async with contextlib.aclosing(events):  # type: ignore[type-var]
                async for event in events:
                    fresh = self._progress.accept(event)
                    if fresh is not None:
                        yield fresh
        finally:
            self._holds.free(upstream, attempt)

    def _imports(self, index: int) -> tuple[ChunkRef, ...]:
        refs = (member.ref for member in self._members[:index])
        return tuple(ref for ref in refs if ref is not None)

    async def _mend(self, index: int, error: BaobabError) -> None:
        """Replace what failed: the member itself, or earlier ones whose part is gone."""
        if not isinstance(error, UpstreamImportFailed):
            await self._replace(index)
        for earlier in range(index):
            if not await self._has_part(self._members[earlier]):
                self._note("part lost", upstream=self._members[earlier].upstream.id, part=earlier)
                self._free_part(self._members[earlier])
                await self._replace(earlier)
                await self._prefill(earlier)
        await self._timers.sleep(POLL)

    async def _has_part(self, member: _Member) -> bool:
        try:
            holds = await self._engine.holds(member.upstream)
        except BaobabError:
            return False
        return any(hold.id == member.part for hold in holds)

    async def _replace(self, index: int) -> None:
        member = self._members[index]
        self._plan.failed[member.upstream.id] = self._timers.now() + FAILED_KEPT
        members = {other.upstream.id for other in self._members if other is not member}
        self._reservations.release_claims(self._plan.reservation, (member.upstream.id,))
        found = await self._acquirer.replace(
            self._plan, tokens=self._plan.needs[index], members=members
        )
        if found is None:
            raise GangBroken(f"no replacement for {member.upstream.id}")
        self._note("replaced", upstream=member.upstream.id, by=found.id, part=index)
        member.upstream = found

    def _free_part(self, member: _Member) -> None:
        if member.part:
            self._holds.free(member.upstream, member.part)
        member.part = ""
        member.ref = None
